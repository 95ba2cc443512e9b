//! Whose memory it is, and what an earlier process left in it.

use crate::RecordKey;
use std::collections::BTreeMap;

/// Whose memory it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// What the process does: `edge`, `planner`.
    pub role: String,
    /// Its name.
    pub name: String,
    /// The cluster that it belongs to.
    pub cluster: String,
}

/// What an earlier process of this name left.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadedRecords {
    /// All records.
    pub records: BTreeMap<RecordKey, Vec<u8>>,
    /// How often the memory was opened, this time included: it rises with each start and never falls.
    pub generation: u64,
    /// When the memory was begun, in microseconds since 1970 by the clock of that moment.
    pub created_at: u64,
}

impl LoadedRecords {
    /// The incarnation of this process: higher than that of each earlier one of this memory, whatever the clock says
    /// now. Where the memory is a new one it rests on the clock, so that it is higher than what was lost.
    pub fn incarnation(&self) -> u64 {
        self.created_at.saturating_add(self.generation)
    }

    /// The records of a kind: key and value.
    pub fn records_of_kind<'a>(
        &'a self,
        kind: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a [u8])> {
        let from = (kind.to_owned(), String::new());
        let all = self
            .records
            .range(from..)
            .take_while(move |((k, _), _)| k == kind);
        all.map(|((_, key), value)| (key.as_str(), value.as_slice()))
    }
}
