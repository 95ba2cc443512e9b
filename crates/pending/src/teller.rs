//! The planner's side: which reasons travel to an edge, and how often.

use crate::{Diagnosis, ReasonCode};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// What an edge is told of one task that waits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReasonUpdate {
    /// The task.
    pub uid: String,
    /// Why, shared by equal tasks.
    pub diagnosis: Arc<Diagnosis>,
    /// The node that has an offer of it now.
    #[serde(rename = "out")]
    pub offered_to: Option<String>,
    /// What nodes answered to earlier attempts: node and words, last ones last.
    #[serde(rename = "answers")]
    pub node_answers: Vec<(String, String)>,
    /// It can still be sent for so many seconds.
    pub sendable_for: f64,
    /// It is looked at again within so many seconds.
    #[serde(rename = "next_look")]
    pub next_attempt_in: f64,
}

impl ReasonUpdate {
    /// All reasons in it.
    pub fn codes(&self) -> Vec<ReasonCode> {
        if self.offered_to.is_some() {
            return vec![ReasonCode::OfferOut];
        }
        let refused = (!self.node_answers.is_empty()).then_some(ReasonCode::NodeRefused);
        self.diagnosis.codes().into_iter().chain(refused).collect()
    }
}

/// A task that waits, as it stands now; a [`ReasonUpdate`] is made of it only where that is to be told.
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
    fn word(&self) -> ReasonUpdate {
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

/// What was told of a task.
#[derive(Debug)]
struct PublishedReasons {
    at: f64,
    diagnosis: Arc<Diagnosis>,
    out: Option<String>,
    answers: usize,
    /// The step that it last waited in.
    step: u64,
}

impl PublishedReasons {
    fn same(&self, draft: &ReasonDraft<'_>) -> bool {
        let diagnosis = Arc::ptr_eq(&self.diagnosis, draft.diagnosis)
            || self.diagnosis.is_equivalent(draft.diagnosis);
        // Answers only ever come: as many are the same, until the oldest are forgotten at their bound.
        diagnosis
            && self.out.as_deref() == draft.offered_to
            && self.answers == draft.node_answers.len()
    }
}

/// Sends what has changed, for each task at most so often; an unchanged word is repeated now and then, so that its
/// reader knows that it still holds.
#[derive(Debug)]
pub struct ReasonPublisher {
    every: f64,
    repeat: f64,
    most: usize,
    told: BTreeMap<String, PublishedReasons>,
    steps: u64,
}

impl ReasonPublisher {
    /// Tells of one task at most every `every` seconds, of an unchanged one every `repeat`, and of at most `most` in
    /// one go.
    pub fn new(every: f64, repeat: f64, most: usize) -> Self {
        Self {
            every,
            repeat,
            most,
            told: BTreeMap::new(),
            steps: 0,
        }
    }

    /// All that waits now; what of it is to be told. Tasks that are not in it any more are forgotten. Those that are
    /// left out for the bound come first next time, as they were told longest ago.
    pub fn step<'a>(
        &mut self,
        now: f64,
        drafts: impl IntoIterator<Item = ReasonDraft<'a>>,
    ) -> Vec<ReasonUpdate> {
        self.steps += 1;
        let mut due: Vec<(f64, ReasonDraft<'a>)> = Vec::new();
        for draft in drafts {
            let Some(told) = self.told.get_mut(draft.uid) else {
                due.push((f64::NEG_INFINITY, draft));
                continue;
            };
            told.step = self.steps;
            let age = now - told.at;
            if age >= self.repeat || (age >= self.every && !told.same(&draft)) {
                due.push((told.at, draft));
            }
        }
        // Stable: equal ages keep the caller's order.
        due.sort_by(|a, b| a.0.total_cmp(&b.0));
        due.truncate(self.most);
        self.told.retain(|_, told| told.step == self.steps);
        let step = self.steps;
        due.into_iter()
            .map(|(_, draft)| {
                let (diagnosis, out) =
                    (draft.diagnosis.clone(), draft.offered_to.map(str::to_owned));
                let told = PublishedReasons {
                    at: now,
                    diagnosis,
                    out,
                    answers: draft.node_answers.len(),
                    step,
                };
                self.told.insert(draft.uid.to_owned(), told);
                draft.word()
            })
            .collect()
    }

    /// Tasks that were told of.
    pub fn len(&self) -> usize {
        self.told.len()
    }

    /// Whether none was told of.
    pub fn is_empty(&self) -> bool {
        self.told.is_empty()
    }
}
