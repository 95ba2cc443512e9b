//! The owner of a store, and the records that its earlier processes wrote.

use crate::RecordKey;
use crate::durable_store::CLEAN_SHUTDOWN_KIND;
use std::collections::BTreeMap;

/// The process to which a store belongs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Role of the process, such as `edge` or `planner`.
    pub role: String,
    /// Name of the process, unique within its role and cluster.
    pub name: String,
    /// Name of the cluster to which the process belongs.
    pub cluster: String,
}

/// How the previous process of the store ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PreviousShutdown {
    /// The store is new: there was no previous process.
    FirstStart,
    /// It shut down gracefully, with everything synced.
    Clean,
    /// It was killed, crashed or lost power.
    Unclean,
}

/// The content of a store at the start of a process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadedRecords {
    /// Values of all records.
    pub records: BTreeMap<RecordKey, Vec<u8>>,
    /// Number of times the store was opened, this time included; it rises by one with each start.
    pub generation: u64,
    /// Creation time of the store by the wall clock, in microseconds since the Unix epoch.
    pub created_at: u64,
}

impl LoadedRecords {
    /// The incarnation of this process. It is higher than that of each earlier process of this store, even if the wall
    /// clock was set back. The incarnations of a new store start at its creation time, so that they are higher than
    /// those of a store that was lost.
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

    /// How the previous process ended, from the generation and the clean-shutdown marker.
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
