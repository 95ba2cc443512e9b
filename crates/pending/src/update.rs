//! Updates that a planner sends to an edge about one pending task.

use crate::{Diagnosis, ReasonCode};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The current reasons of one pending task, as sent by a planner to an edge.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReasonUpdate {
    /// Uid of the task.
    pub uid: String,
    /// Why it is pending; tasks with the same reasons share one diagnosis.
    pub diagnosis: Arc<Diagnosis>,
    /// The node with an unanswered offer of the task, if any.
    #[serde(rename = "out")]
    pub offered_to: Option<String>,
    /// Rejections of earlier attempts as node and message, the latest last.
    #[serde(rename = "answers")]
    pub node_answers: Vec<(String, String)>,
    /// Time for which the task can still be offered, in seconds.
    pub sendable_for: f64,
    /// Upper bound of the time until the planner's next attempt, in seconds.
    #[serde(rename = "next_look")]
    pub next_attempt_in: f64,
}

impl ReasonUpdate {
    /// The current reasons; only [`ReasonCode::OfferOut`] while an offer is unanswered.
    pub fn codes(&self) -> Vec<ReasonCode> {
        if self.offered_to.is_some() {
            return vec![ReasonCode::OfferOut];
        }
        let mut codes = self.diagnosis.codes();
        if !self.node_answers.is_empty() {
            codes.push(ReasonCode::NodeRefused);
        }
        codes
    }
}

/// The current reasons of one pending task, borrowed from the planner. It is copied into a [`ReasonUpdate`] only if it
/// is sent.
#[derive(Clone, Copy, Debug)]
pub struct ReasonDraft<'a> {
    /// See [`ReasonUpdate::uid`].
    pub uid: &'a str,
    /// See [`ReasonUpdate::diagnosis`].
    pub diagnosis: &'a Arc<Diagnosis>,
    /// See [`ReasonUpdate::offered_to`].
    pub offered_to: Option<&'a str>,
    /// See [`ReasonUpdate::node_answers`].
    pub node_answers: &'a [(String, String)],
    /// See [`ReasonUpdate::sendable_for`].
    pub sendable_for: f64,
    /// See [`ReasonUpdate::next_attempt_in`].
    pub next_attempt_in: f64,
}

impl ReasonDraft<'_> {
    /// Copies the draft into an update.
    pub(crate) fn to_update(self) -> ReasonUpdate {
        ReasonUpdate {
            uid: self.uid.to_owned(),
            diagnosis: self.diagnosis.clone(),
            offered_to: self.offered_to.map(str::to_owned),
            node_answers: self.node_answers.to_vec(),
            sendable_for: self.sendable_for,
            next_attempt_in: self.next_attempt_in,
        }
    }
}
