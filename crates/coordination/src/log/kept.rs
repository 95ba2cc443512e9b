//! The log in memory, each change of it noted for the next batch.

use super::{ENTRY, FACT};
use crate::{Entry, ReplicatedState};
use omnipaxos::ballot_leader_election::Ballot;
use serde::Serialize;
use tidespur_persistence::Batch;

#[derive(Debug, Default)]
pub(super) struct Kept {
    /// Entries at the front that were folded into the one after them: they are counted, and held nowhere.
    pub(super) hollow: usize,
    /// Those after them.
    pub(super) entries: Vec<Entry>,
    pub(super) decided: usize,
    pub(super) promise: Option<Ballot>,
    pub(super) accepted: Option<Ballot>,
    pub(super) batch: Batch,
}

pub(super) fn name(index: usize) -> String {
    format!("{index:020}")
}

impl Kept {
    pub(super) fn put(&mut self, kind: &str, key: &str, what: &impl Serialize) {
        // Entries are bounded by the state that they change, far below the bound of a record.
        let bytes = serde_json::to_vec(what).unwrap_or_default();
        drop(self.batch.put(kind, key, bytes));
    }

    pub(super) fn len(&self) -> usize {
        self.hollow + self.entries.len()
    }

    pub(super) fn append(&mut self, entry: Entry) {
        if entry == Entry::Noop && self.entries.is_empty() {
            self.hollow += 1;
            return self.put(FACT, "hollow", &self.hollow.clone());
        }
        self.put(ENTRY, &name(self.len()), &entry);
        self.entries.push(entry);
    }

    pub(super) fn cut(&mut self, from: usize) {
        for index in from.max(self.hollow)..self.len() {
            self.batch.remove(ENTRY, &name(index));
        }
        self.entries.truncate(from.saturating_sub(self.hollow));
        if from < self.hollow {
            self.hollow = from;
            self.put(FACT, "hollow", &from);
        }
    }

    /// Folds the first `upto` entries, which are decided and come to `state`.
    pub(super) fn fold(&mut self, upto: usize, state: &ReplicatedState) {
        if upto <= self.hollow + 1 || upto > self.len() {
            return;
        }
        for index in self.hollow..upto - 1 {
            self.batch.remove(ENTRY, &name(index));
        }
        self.entries.drain(..upto - 1 - self.hollow);
        self.hollow = upto - 1;
        let whole = Entry::Snapshot(Box::new(state.clone()));
        self.put(ENTRY, &name(self.hollow), &whole);
        self.put(FACT, "hollow", &self.hollow.clone());
        if let Some(first) = self.entries.first_mut() {
            *first = whole;
        }
    }

    pub(super) fn get(&self, from: usize, to: usize) -> Vec<Entry> {
        if to > self.len() || from > to {
            return vec![];
        }
        let hollow = (from..to.min(self.hollow)).map(|_| Entry::Noop);
        let rest = from.max(self.hollow) - self.hollow..to.max(self.hollow) - self.hollow;
        hollow
            .chain(self.entries.get(rest).unwrap_or_default().iter().cloned())
            .collect()
    }
}
