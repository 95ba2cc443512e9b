//! The reasons of one task over time.

use crate::{ReasonCode, ReasonSource, ReasonUpdate};
use serde::Serialize;
use std::collections::VecDeque;

/// Closed spans that are kept of one task.
pub const MAX_SPANS: usize = 24;

/// One reason, from when to when.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ReasonSpan {
    /// The reason.
    pub code: ReasonCode,
    /// Whose doing.
    pub source: ReasonSource,
    /// It was first seen then.
    #[serde(rename = "first")]
    pub first_seen: f64,
    /// It was last seen then.
    #[serde(rename = "last")]
    pub last_seen: f64,
    /// It was seen anew so often: a reason that comes and goes is one span, as an Event with a count is.
    pub count: u32,
    /// Nodes that it ruled out when last seen.
    pub nodes: u32,
    /// It does not hold any more.
    #[serde(rename = "over")]
    pub is_over: bool,
}

/// A task that waits.
#[derive(Clone, Debug, Serialize)]
pub struct PendingRecord {
    /// Namespace.
    pub namespace: String,
    /// Pod.
    pub pod: String,
    /// Job or Pod that it belongs to.
    pub service: String,
    /// Class, as it named it.
    pub class: String,
    /// Cores and memory units that it asks for.
    #[serde(rename = "asks")]
    pub requested: [f64; 2],
    /// It waits since then.
    pub since: f64,
    /// When its reasons were last told.
    #[serde(rename = "seen")]
    pub updated_at: f64,
    /// Reasons that hold, the weightiest first.
    pub codes: Vec<ReasonCode>,
    /// For people.
    pub message: String,
    /// What would have to change.
    pub hint: Option<String>,
    /// What its planner told last.
    #[serde(rename = "word")]
    pub last_update: Option<ReasonUpdate>,
    /// Reasons over time, by when they were first seen.
    pub spans: VecDeque<ReasonSpan>,
}

impl PendingRecord {
    /// Takes in which reasons hold now.
    pub(crate) fn hold(
        &mut self,
        now: f64,
        codes: Vec<ReasonCode>,
        nodes: impl Fn(ReasonCode) -> u32,
    ) {
        for span in &mut self.spans {
            if !codes.contains(&span.code) {
                span.is_over = true;
            }
        }
        for &code in &codes {
            match self.spans.iter_mut().find(|span| span.code == code) {
                Some(span) => {
                    span.count += u32::from(span.is_over);
                    (span.last_seen, span.is_over, span.nodes) = (now, false, nodes(code));
                }
                None => {
                    if self.spans.len() >= MAX_SPANS {
                        // There are fewer codes than this today; the bound holds all the same.
                        self.spans.pop_front();
                    }
                    let source = code.source();
                    let nodes = nodes(code);
                    self.spans.push_back(ReasonSpan {
                        code,
                        source,
                        first_seen: now,
                        last_seen: now,
                        count: 1,
                        nodes,
                        is_over: false,
                    });
                }
            }
        }
        (self.codes, self.updated_at) = (codes, now);
    }
}
