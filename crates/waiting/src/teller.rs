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

    fn same(&self, other: &Self) -> bool {
        self.diagnosis.same(&other.diagnosis) && (&self.out, &self.answers) == (&other.out, &other.answers)
    }
}

/// Sends what has changed, for each task at most so often; an unchanged word is repeated now and then, so that its
/// reader knows that it still holds.
#[derive(Debug)]
pub struct Teller {
    every: f64,
    repeat: f64,
    most: usize,
    told: BTreeMap<String, (f64, Word)>,
}

impl Teller {
    /// Tells of one task at most every `every` seconds, of an unchanged one every `repeat`, and of at most `most` in
    /// one go.
    pub fn new(every: f64, repeat: f64, most: usize) -> Self {
        Self { every, repeat, most, told: BTreeMap::new() }
    }

    /// All that waits now; what of it is to be told. Tasks that are not in it any more are forgotten. Those that are
    /// left out for the bound come first next time, as they were told longest ago.
    pub fn step(&mut self, now: f64, words: Vec<Word>) -> Vec<Word> {
        let mut told = std::mem::take(&mut self.told);
        let mut due: Vec<(f64, Word)> = Vec::new();
        for word in words {
            match told.remove(&word.uid) {
                None => due.push((f64::NEG_INFINITY, word)),
                Some((at, old)) => {
                    let age = now - at;
                    if age >= self.repeat || (age >= self.every && !old.same(&word)) {
                        due.push((at, word));
                    } else {
                        self.told.insert(old.uid.clone(), (at, old));
                    }
                }
            }
        }
        // Stable: equal ages keep the caller's order.
        due.sort_by(|a, b| a.0.total_cmp(&b.0));
        let late = due.split_off(due.len().min(self.most));
        for (at, word) in late {
            if at.is_finite() {
                self.told.insert(word.uid.clone(), (at, word));
            }
        }
        for (_, word) in &due {
            self.told.insert(word.uid.clone(), (now, word.clone()));
        }
        due.into_iter().map(|(_, word)| word).collect()
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
