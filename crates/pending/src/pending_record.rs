//! The reasons of one task over time.

use crate::{ReasonCode, ReasonSource, ReasonUpdate};
use serde::{Serialize, Serializer};
use std::collections::VecDeque;
use tidespur_units::Resources;

/// Reasons that are kept of one task, those that hold and those that are over.
pub const MAX_SPANS: usize = 24;

/// One reason and the time over which it was seen.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ReasonSpan {
    /// The reason.
    pub code: ReasonCode,
    /// The part of the system that holds the work back.
    pub source: ReasonSource,
    /// When it was first seen, in seconds of the caller's clock.
    #[serde(rename = "first")]
    pub first_seen: f64,
    /// When it was last seen, in seconds of the caller's clock.
    #[serde(rename = "last")]
    pub last_seen: f64,
    /// How often it began: a reason that comes and goes is one span, like an Event with a count.
    pub count: u32,
    /// Nodes that it rejected when it was last seen.
    pub nodes: u32,
    /// Whether it no longer holds.
    #[serde(rename = "over")]
    pub is_over: bool,
}

/// A pending task with its reasons.
#[derive(Clone, Debug, Serialize)]
pub struct PendingRecord {
    /// Namespace of the Pod.
    pub namespace: String,
    /// Name of the Pod.
    pub pod: String,
    /// The Job that the Pod belongs to, or the Pod itself.
    pub service: String,
    /// Priority class, as the Pod names it.
    pub class: String,
    /// CPU in cores and memory in memory units of the API; a list of both in JSON.
    #[serde(rename = "asks", serialize_with = "as_list")]
    pub requested: Resources,
    /// Since when the task is pending, in seconds of the caller's clock.
    pub since: f64,
    /// When its reasons were last reported.
    #[serde(rename = "seen")]
    pub updated_at: f64,
    /// Reasons that hold, the one that rejects most nodes first.
    pub codes: Vec<ReasonCode>,
    /// The reasons as a message for people.
    pub message: String,
    /// What would have to change.
    pub hint: Option<String>,
    /// The last update of its planner.
    #[serde(rename = "word")]
    pub last_update: Option<ReasonUpdate>,
    /// Reasons over time, in order of their first occurrence.
    pub spans: VecDeque<ReasonSpan>,
}

fn as_list<S: Serializer>(resources: &Resources, serializer: S) -> Result<S::Ok, S::Error> {
    [resources.cpu, resources.memory].serialize(serializer)
}

impl PendingRecord {
    /// Takes in which reasons hold now. `nodes` says how many nodes a reason rejects.
    pub(crate) fn set_reasons(
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
            self.extend_span(now, code, nodes(code));
        }
        self.codes = codes;
        self.updated_at = now;
    }

    /// Extends the span of a reason that holds now, or begins one.
    fn extend_span(&mut self, now: f64, code: ReasonCode, nodes: u32) {
        if let Some(span) = self.spans.iter_mut().find(|span| span.code == code) {
            span.count += u32::from(span.is_over);
            span.last_seen = now;
            span.is_over = false;
            span.nodes = nodes;
            return;
        }
        if self.spans.len() >= MAX_SPANS {
            // There are fewer reason codes than this today; the bound holds all the same.
            self.spans.pop_front();
        }
        self.spans.push_back(ReasonSpan {
            code,
            source: code.source(),
            first_seen: now,
            last_seen: now,
            count: 1,
            nodes,
            is_over: false,
        });
    }
}
