//! The log on its way to the disk: kept whole in memory, and each change of it noted for the next batch.

use crate::ReplicatedState;
use omnipaxos::ballot_leader_election::Ballot;
use serde::de::DeserializeOwned;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tidespur_persistence::{Batch, LoadedRecords};

mod kept;
mod storage;

use kept::{Kept, name};

const ENTRY: &str = "ledger.entry";
const FACT: &str = "ledger";
const FOLDED: &str = "the log is folded in place";

/// The log; a clone is a handle on the same one.
#[derive(Clone, Debug, Default)]
pub struct Log(Arc<Mutex<Kept>>);

impl Log {
    /// The log as an earlier process left it.
    ///
    /// # Errors
    /// A record that can't be read.
    pub fn load(memory: &LoadedRecords) -> Result<Self, String> {
        fn read<T: DeserializeOwned>(
            memory: &LoadedRecords,
            key: &str,
        ) -> Result<Option<T>, String> {
            let found = memory.records_of_kind(FACT).find(|(name, _)| *name == key);
            found.map(|(_, bytes)| serde_json::from_slice(bytes)).transpose().map_err(|e| {
                format!(
                    "the memory's record {FACT} {key:?} can't be read: {e}; restore the folder from a copy"
                )
            })
        }
        let mut entries = Vec::new();
        let hollow: usize = read(memory, "hollow")?.unwrap_or(0);
        for (index, bytes) in memory.records_of_kind(ENTRY) {
            if index != name(hollow + entries.len()) {
                return Err(format!(
                    "the memory's log has a gap before {index}; restore the folder from a copy"
                ));
            }
            let entry = serde_json::from_slice(bytes);
            entries.push(
                entry.map_err(|e| {
                    format!("the memory's record {ENTRY} {index} can't be read: {e}")
                })?,
            );
        }
        Ok(Self(Arc::new(Mutex::new(Kept {
            hollow,
            entries,
            decided: read(memory, "decided")?.unwrap_or(0),
            promise: read(memory, "promise")?,
            accepted: read(memory, "accepted")?,
            batch: Batch::default(),
        }))))
    }

    fn lock(&self) -> MutexGuard<'_, Kept> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What has changed since the last call. Nothing that rests on it may be said before it is safe.
    pub fn take_batch(&self) -> Batch {
        std::mem::take(&mut self.lock().batch)
    }

    /// Entries that were written, compacted ones included.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether nothing was ever written.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The round in which it was written last, and how far it goes.
    pub fn accepted(&self) -> (Option<Ballot>, usize) {
        let kept = self.lock();
        (kept.accepted, kept.len())
    }

    /// Entries that are known as decided.
    pub fn decided(&self) -> usize {
        self.lock().decided
    }

    /// What all entries come to. For a log that only one voter keeps, and that is decided as it is written.
    pub(crate) fn whole(&self) -> ReplicatedState {
        let mut state = ReplicatedState::default();
        for entry in &self.lock().entries {
            state.apply(entry);
        }
        state
    }

    /// Folds the first entries, which are decided and come to `state`, into one.
    pub(crate) fn fold(&self, upto: usize, state: &ReplicatedState) {
        self.lock().fold(upto, state);
    }

    /// Entries that are held.
    pub(crate) fn held(&self) -> usize {
        self.lock().entries.len()
    }

    /// The round that was promised.
    pub fn promise(&self) -> Option<Ballot> {
        self.lock().promise
    }

    /// Promises at least this round: a voter that is taken in again may have promised it before.
    pub fn promise_at_least(&self, floor: Option<Ballot>) {
        let mut kept = self.lock();
        if floor > kept.promise {
            kept.promise = floor;
            kept.put(FACT, "promise", &floor);
        }
    }
}
