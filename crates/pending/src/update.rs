//! What a planner sends to an edge about one pending task.

use crate::{Diagnosis, ReasonCode};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The present reasons of one pending task, as sent from a planner to an edge.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReasonUpdate {
    /// Uid of the task.
    pub uid: String,
    /// Why it is pending; tasks with the same reasons share one diagnosis.
    pub diagnosis: Arc<Diagnosis>,
    /// The node that has an unanswered offer of the task.
    #[serde(rename = "out")]
    pub offered_to: Option<String>,
    /// Rejections by nodes of earlier attempts, as node and message, the latest last.
    #[serde(rename = "answers")]
    pub node_answers: Vec<(String, String)>,
    /// Seconds for which the task can still be offered.
    pub sendable_for: f64,
    /// Seconds until the planner tries again at the latest.
    #[serde(rename = "next_look")]
    pub next_attempt_in: f64,
}

impl ReasonUpdate {
    /// All reasons in it.
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

/// The present reasons of one pending task, borrowed from the planner; a [`ReasonUpdate`] is made of it only if it is to
/// be sent. The fields are those of [`ReasonUpdate`].
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
    /// The update that is sent of it.
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
