//! Entries and fields of the log in memory, with each change collected for the next batch.

use super::{ENTRY_KIND, FIELD_COMPACTED, FIELD_KIND};
use crate::{Entry, ReplicatedState};
use omnipaxos::ballot_leader_election::Ballot;
use serde::Serialize;
use tidespur_persistence::Batch;

#[derive(Debug, Default)]
pub(super) struct LogContents {
    /// Number of entries at the front that are compacted into the snapshot after them: counted, and stored nowhere.
    pub(super) compacted: usize,
    /// The entries after them.
    pub(super) entries: Vec<Entry>,
    pub(super) decided: usize,
    pub(super) promise: Option<Ballot>,
    pub(super) accepted: Option<Ballot>,
    pub(super) batch: Batch,
}

/// Key of the record of an entry; keys sort like indices.
pub(super) fn entry_key(index: usize) -> String {
    format!("{index:020}")
}

impl LogContents {
    pub(super) fn put(&mut self, kind: &str, key: &str, value: &impl Serialize) {
        // Maps have strings as keys, so encoding does not fail; entries are bounded by the state that they change, far
        // below the limit of a record.
        let bytes = serde_json::to_vec(value).unwrap_or_default();
        drop(self.batch.put(kind, key, bytes));
    }

    fn put_compacted(&mut self) {
        let compacted = self.compacted;
        self.put(FIELD_KIND, FIELD_COMPACTED, &compacted);
    }

    pub(super) fn len(&self) -> usize {
        self.compacted + self.entries.len()
    }

    pub(super) fn append(&mut self, entry: Entry) {
        if entry == Entry::Noop && self.entries.is_empty() {
            self.compacted += 1;
            self.put_compacted();
            return;
        }
        self.put(ENTRY_KIND, &entry_key(self.len()), &entry);
        self.entries.push(entry);
    }

    /// Removes the entries from the index `len` on.
    pub(super) fn truncate(&mut self, len: usize) {
        for index in len.max(self.compacted)..self.len() {
            self.batch.remove(ENTRY_KIND, &entry_key(index));
        }
        self.entries.truncate(len.saturating_sub(self.compacted));
        if len < self.compacted {
            self.compacted = len;
            self.put_compacted();
        }
    }

    /// Compacts the first `end` entries, which are decided and result in `state`, into one snapshot at their last index.
    pub(super) fn compact(&mut self, end: usize, state: &ReplicatedState) {
        if end <= self.compacted + 1 || end > self.len() {
            return;
        }
        let snapshot_index = end - 1;
        for index in self.compacted..snapshot_index {
            self.batch.remove(ENTRY_KIND, &entry_key(index));
        }
        self.entries.drain(..snapshot_index - self.compacted);
        self.compacted = snapshot_index;
        let snapshot = Entry::Snapshot(Box::new(state.clone()));
        self.put(ENTRY_KIND, &entry_key(snapshot_index), &snapshot);
        self.put_compacted();
        if let Some(first) = self.entries.first_mut() {
            *first = snapshot;
        }
    }

    /// The entries from `start` up to, and without, `end`; none if that is not a range of the log.
    pub(super) fn get(&self, start: usize, end: usize) -> Vec<Entry> {
        if end > self.len() || start > end {
            return vec![];
        }
        let mut entries = vec![Entry::Noop; end.min(self.compacted).saturating_sub(start)];
        let stored_start = start.max(self.compacted) - self.compacted;
        let stored_end = end.max(self.compacted) - self.compacted;
        entries.extend_from_slice(&self.entries[stored_start..stored_end]);
        entries
    }
}
