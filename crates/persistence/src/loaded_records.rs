//! Whose store it is, and what earlier processes of that identity left in it.

use crate::RecordKey;
use crate::durable_store::CLEAN_SHUTDOWN_KIND;
use std::collections::BTreeMap;

/// The process that a store belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// What the process does: `edge`, `planner`.
    pub role: String,
    /// Name of the process, unique within its role and cluster.
    pub name: String,
    /// The cluster that it belongs to.
    pub cluster: String,
}

/// How the previous process of the store ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PreviousShutdown {
    /// There was no previous process.
    FirstStart,
    /// It shut down in order, with everything written.
    Clean,
    /// It was killed, crashed or lost power.
    Unclean,
}

/// The content of a store at the start of a process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadedRecords {
    /// All records.
    pub records: BTreeMap<RecordKey, Vec<u8>>,
    /// How often the store was opened, this time included. It rises with each start and never falls.
    pub generation: u64,
    /// When the store was created, in microseconds since 1970 by the wall clock of that moment.
    pub created_at: u64,
}

impl LoadedRecords {
    /// The incarnation of this process. It is higher than that of each earlier process of this store, independent of
    /// the wall clock. The incarnations of a new store begin at its creation time, so that they are higher than those
    /// of a store that was lost.
    pub fn incarnation(&self) -> u64 {
        self.created_at.saturating_add(self.generation)
    }

    /// Keys and values of the records of a kind, in order of their keys.
    pub fn records_of_kind<'a>(
        &'a self,
        kind: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a [u8])> {
        let first = RecordKey::new(kind, "");
        self.records
            .range(first..)
            .take_while(move |(record, _)| record.kind == kind)
            .map(|(record, value)| (record.key.as_str(), value.as_slice()))
    }

    /// How the previous process ended.
    pub fn previous_shutdown(&self) -> PreviousShutdown {
        if self.generation == 1 {
            return PreviousShutdown::FirstStart;
        }
        match self.records_of_kind(CLEAN_SHUTDOWN_KIND).next() {
            Some(_) => PreviousShutdown::Clean,
            None => PreviousShutdown::Unclean,
        }
    }
}
