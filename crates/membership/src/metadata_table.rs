//! The newest received metadata of each member.

use crate::{MetadataUpdate, MetadataVersion, Seconds};
use std::collections::{BTreeMap, BTreeSet};

/// The newest update of a member, with the time of its receipt.
#[derive(Debug)]
pub(crate) struct ReceivedMetadata {
    pub(crate) update: MetadataUpdate,
    pub(crate) received_at: Seconds,
}

#[derive(Debug, Default)]
pub(crate) struct MetadataTable {
    by_name: BTreeMap<String, ReceivedMetadata>,
    /// Maximum number of members whose metadata is kept.
    pub(crate) max_entries: usize,
    /// The time of the current step, stored with each received update.
    pub(crate) now: Seconds,
}

impl MetadataTable {
    /// Stores an update; returns `false` if it is not newer than the known one, or the table is full.
    pub(crate) fn insert(&mut self, update: MetadataUpdate) -> bool {
        let known = self.by_name.get(&update.name);
        let is_newer = known.is_none_or(|known| update.version > known.update.version);
        let has_capacity = known.is_some() || self.by_name.len() < self.max_entries;
        if !is_newer || !has_capacity {
            return false;
        }
        let name = update.name.clone();
        let received = ReceivedMetadata {
            update,
            received_at: self.now,
        };
        self.by_name.insert(name, received);
        true
    }

    pub(crate) fn get(&self, name: &str) -> Option<&ReceivedMetadata> {
        self.by_name.get(name)
    }

    pub(crate) fn version(&self, name: &str) -> Option<MetadataVersion> {
        self.get(name).map(|received| received.update.version)
    }

    /// Removes the metadata of all members except `names` and `own_name`.
    pub(crate) fn retain(&mut self, names: &BTreeSet<String>, own_name: &str) {
        self.by_name
            .retain(|name, _| names.contains(name) || name == own_name);
    }
}
