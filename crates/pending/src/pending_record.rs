//! The record of one pending task: its current reasons and their history.

use crate::{ReasonCode, ReasonSource, ReasonUpdate};
use serde::{Serialize, Serializer};
use std::collections::VecDeque;
use tidespur_units::Resources;

/// Maximum number of spans in the record of one task, current and past ones together.
pub const MAX_SPANS: usize = 24;

/// One reason and the period in which it was reported.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ReasonSpan {
    /// The reason.
    pub code: ReasonCode,
    /// The part of the system that blocks the task.
    pub source: ReasonSource,
    /// When it was first reported, in seconds of the caller's clock.
    #[serde(rename = "first")]
    pub first_seen: f64,
    /// When it was last reported, in seconds of the caller's clock.
    #[serde(rename = "last")]
    pub last_seen: f64,
    /// How often the reason began to apply. A reason that recurs extends its span, like an Event with a count.
    pub count: u32,
    /// Number of nodes that it rejected when it was last reported.
    pub nodes: u32,
    /// Whether the reason no longer applies.
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
    /// The Job that the Pod belongs to; for a Pod without a Job, the Pod itself.
    pub service: String,
    /// Priority class, as the Pod names it.
    pub class: String,
    /// Requested CPU in cores and memory in memory units of the API; serialized as a list of the two.
    #[serde(rename = "asks", serialize_with = "as_list")]
    pub requested: Resources,
    /// When the task became pending, in seconds of the caller's clock.
    pub since: f64,
    /// When its reasons were last reported, in seconds of the caller's clock.
    #[serde(rename = "seen")]
    pub updated_at: f64,
    /// Current reasons, in the order of [`ReasonUpdate::codes`]; a reason set by the edge stands alone.
    pub codes: Vec<ReasonCode>,
    /// The current reasons as a message for users; empty if there are none.
    pub message: String,
    /// What would have to change for the task to be placed, as a message for users.
    pub hint: Option<String>,
    /// The last update from its planner; `None` while the edge itself sets the reason.
    #[serde(rename = "word")]
    pub last_update: Option<ReasonUpdate>,
    /// History of reasons, in order of their first occurrence; at most [`MAX_SPANS`].
    pub spans: VecDeque<ReasonSpan>,
}

fn as_list<S: Serializer>(resources: &Resources, serializer: S) -> Result<S::Ok, S::Error> {
    [resources.cpu, resources.memory].serialize(serializer)
}

impl PendingRecord {
    /// Replaces the current reasons and updates the history. `nodes` returns how many nodes a reason rejects.
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

    /// Extends the span of a current reason, or starts one.
    fn extend_span(&mut self, now: f64, code: ReasonCode, nodes: u32) {
        if let Some(span) = self.spans.iter_mut().find(|span| span.code == code) {
            span.count += u32::from(span.is_over);
            span.last_seen = now;
            span.is_over = false;
            span.nodes = nodes;
            return;
        }
        if self.spans.len() >= MAX_SPANS {
            // Rare: each code has at most one span, so nearly all codes must have applied to the task.
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
