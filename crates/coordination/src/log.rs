//! The replicated log of one voter: held in memory, with its changes collected for the next batch to be written to
//! disk.

use crate::{LoadError, ReplicatedState};
use omnipaxos::ballot_leader_election::Ballot;
use parking_lot::{Mutex, MutexGuard};
use serde::de::DeserializeOwned;
use std::sync::Arc;
use tidespur_persistence::{Batch, LoadedRecords};

mod contents;
mod storage;

use contents::{LogContents, entry_key};

/// Kind of the records that hold the entries; their key is the index of the entry.
const ENTRY_KIND: &str = "ledger.entry";
/// Kind of the records that hold the other fields of the log; their key is the name of the field.
const FIELD_KIND: &str = "ledger";

// Names of the fields in the stored format.
const FIELD_COMPACTED: &str = "hollow";
const FIELD_DECIDED: &str = "decided";
const FIELD_PROMISE: &str = "promise";
const FIELD_ACCEPTED: &str = "accepted";

/// A shared handle to the log. Clones refer to the same log: one is used by the voter, one by the consensus library.
#[derive(Clone, Debug, Default)]
pub struct Log(Arc<Mutex<LogContents>>);

impl Log {
    /// Loads the log that an earlier process stored.
    ///
    /// # Errors
    /// If a record can't be decoded, or entries are missing.
    pub fn load(loaded: &LoadedRecords) -> Result<Self, LoadError> {
        let compacted: usize = load_field(loaded, FIELD_COMPACTED)?.unwrap_or(0);
        let mut entries = Vec::new();
        for (index, bytes) in loaded.records_of_kind(ENTRY_KIND) {
            if index != entry_key(compacted + entries.len()) {
                return Err(LoadError::MissingEntries {
                    index: index.to_owned(),
                });
            }
            entries.push(decode(ENTRY_KIND, index, bytes)?);
        }
        Ok(Self(Arc::new(Mutex::new(LogContents {
            compacted,
            entries,
            decided: load_field(loaded, FIELD_DECIDED)?.unwrap_or(0),
            promise: load_field(loaded, FIELD_PROMISE)?,
            accepted: load_field(loaded, FIELD_ACCEPTED)?,
            batch: Batch::default(),
        }))))
    }

    fn lock(&self) -> MutexGuard<'_, LogContents> {
        self.0.lock()
    }

    /// Takes the changes since the last call. Messages that depend on them may be sent only after they are synced to
    /// disk.
    pub fn take_batch(&self) -> Batch {
        std::mem::take(&mut self.lock().batch)
    }

    /// Number of entries, including compacted ones.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether the log has no entries, compacted ones included.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The ballot in which the last entry was accepted, and the length of the log.
    pub fn accepted(&self) -> (Option<Ballot>, usize) {
        let contents = self.lock();
        (contents.accepted, contents.len())
    }

    /// Number of entries that are known to be decided.
    pub fn decided(&self) -> usize {
        self.lock().decided
    }

    /// The state after all entries. Only valid for a single voter, whose entries are decided once they are written.
    pub(crate) fn replay(&self) -> ReplicatedState {
        let mut state = ReplicatedState::default();
        for entry in &self.lock().entries {
            state.apply(entry);
        }
        state
    }

    /// Compacts the first `end` entries into one snapshot. They must be decided, and `state` must be their result.
    pub(crate) fn compact(&self, end: usize, state: &ReplicatedState) {
        self.lock().compact(end, state);
    }

    /// Number of stored entries, excluding compacted ones.
    pub(crate) fn stored_len(&self) -> usize {
        self.lock().entries.len()
    }

    /// The highest ballot that this voter has promised; `None` if it never promised one.
    pub fn promise(&self) -> Option<Ballot> {
        self.lock().promise
    }

    /// Raises the promise to at least this ballot. A readmitted voter may have promised it before it lost its data.
    pub fn raise_promise(&self, ballot: Option<Ballot>) {
        let mut contents = self.lock();
        if ballot > contents.promise {
            contents.promise = ballot;
            contents.put(FIELD_KIND, FIELD_PROMISE, &ballot);
        }
    }
}

fn load_field<T: DeserializeOwned>(
    loaded: &LoadedRecords,
    field: &str,
) -> Result<Option<T>, LoadError> {
    let mut records = loaded.records_of_kind(FIELD_KIND);
    match records.find(|(key, _)| *key == field) {
        Some((_, bytes)) => decode(FIELD_KIND, field, bytes).map(Some),
        None => Ok(None),
    }
}

/// Decodes the value of a record from JSON.
pub(crate) fn decode<T: DeserializeOwned>(
    kind: &'static str,
    key: &str,
    bytes: &[u8],
) -> Result<T, LoadError> {
    serde_json::from_slice(bytes).map_err(|reason| LoadError::UnreadableRecord {
        kind,
        key: key.to_owned(),
        reason,
    })
}
