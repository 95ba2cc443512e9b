//! In-memory entries and fields of the log, with their changes collected for the next batch to be written to disk.

use super::{ENTRY_KIND, FIELD_COMPACTED, FIELD_KIND};
use crate::{Entry, ReplicatedState};
use omnipaxos::ballot_leader_election::Ballot;
use serde::Serialize;
use tidespur_persistence::Batch;

#[derive(Debug, Default)]
pub(super) struct LogContents {
    /// Number of leading entries that are compacted into the snapshot that follows them. Only this number is stored.
    pub(super) compacted: usize,
    /// The entries from index `compacted` on.
    pub(super) entries: Vec<Entry>,
    pub(super) decided: usize,
    pub(super) promise: Option<Ballot>,
    pub(super) accepted: Option<Ballot>,
    pub(super) batch: Batch,
}

/// Key of the record of an entry, zero-padded so that keys sort in the order of the indices.
pub(super) fn entry_key(index: usize) -> String {
    format!("{index:020}")
}

impl LogContents {
    pub(super) fn put(&mut self, kind: &str, key: &str, value: &impl Serialize) {
        // Encoding can't fail because all maps have string keys. Writing can't fail because the limits of the
        // replicated state keep entries far below the size limit of a record.
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

    /// Shortens the log to its first `len` entries.
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

    /// Compacts the first `end` entries into one snapshot at their last index. They must be decided, and `state` must
    /// be their result.
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

    /// The entries of the range `start..end`; empty if the range is not within the log. Compacted entries are returned
    /// as [`Entry::Noop`].
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
