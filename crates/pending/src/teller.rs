//! The planner's side: which reasons travel to an edge, and how often.

use crate::{Code, Diagnosis};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// What an edge is told of one task that waits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Word {
    /// The task.
    pub uid: String,
    /// Why, shared by equal tasks.
    pub diagnosis: Arc<Diagnosis>,
    /// The node that has an offer of it now.
    pub out: Option<String>,
    /// What nodes answered to earlier attempts: node and words, last ones last.
    pub answers: Vec<(String, String)>,
    /// It can still be sent for so many seconds.
    pub sendable_for: f64,
    /// It is looked at again within so many seconds.
    pub next_look: f64,
}

impl Word {
    /// All reasons in it.
    pub fn codes(&self) -> Vec<Code> {
        if self.out.is_some() {
            return vec![Code::OfferOut];
        }
        let refused = (!self.answers.is_empty()).then_some(Code::NodeRefused);
        self.diagnosis.codes().into_iter().chain(refused).collect()
    }
}

/// A task that waits, as it stands now; a [`Word`] is made of it only where that is to be told.
#[derive(Clone, Copy, Debug)]
pub struct Draft<'a> {
    /// See [`Word::uid`].
    pub uid: &'a str,
    /// See [`Word::diagnosis`].
    pub diagnosis: &'a Arc<Diagnosis>,
    /// See [`Word::out`].
    pub out: Option<&'a str>,
    /// See [`Word::answers`].
    pub answers: &'a [(String, String)],
    /// See [`Word::sendable_for`].
    pub sendable_for: f64,
    /// See [`Word::next_look`].
    pub next_look: f64,
}

impl Draft<'_> {
    fn word(&self) -> Word {
        Word {
            uid: self.uid.to_owned(),
            diagnosis: self.diagnosis.clone(),
            out: self.out.map(str::to_owned),
            answers: self.answers.to_vec(),
            sendable_for: self.sendable_for,
            next_look: self.next_look,
        }
    }
}

/// What was told of a task.
#[derive(Debug)]
struct Told {
    at: f64,
    diagnosis: Arc<Diagnosis>,
    out: Option<String>,
    answers: usize,
    /// The step that it last waited in.
    step: u64,
}

impl Told {
    fn same(&self, draft: &Draft<'_>) -> bool {
        let diagnosis =
            Arc::ptr_eq(&self.diagnosis, draft.diagnosis) || self.diagnosis.same(draft.diagnosis);
        // Answers only ever come: as many are the same, until the oldest are forgotten at their bound.
        diagnosis && self.out.as_deref() == draft.out && self.answers == draft.answers.len()
    }
}

/// Sends what has changed, for each task at most so often; an unchanged word is repeated now and then, so that its
/// reader knows that it still holds.
#[derive(Debug)]
pub struct Teller {
    every: f64,
    repeat: f64,
    most: usize,
    told: BTreeMap<String, Told>,
    steps: u64,
}

impl Teller {
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
    pub fn step<'a>(&mut self, now: f64, drafts: impl IntoIterator<Item = Draft<'a>>) -> Vec<Word> {
        self.steps += 1;
        let mut due: Vec<(f64, Draft<'a>)> = Vec::new();
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
                let (diagnosis, out) = (draft.diagnosis.clone(), draft.out.map(str::to_owned));
                let told = Told {
                    at: now,
                    diagnosis,
                    out,
                    answers: draft.answers.len(),
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
