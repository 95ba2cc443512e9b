//! In-memory store of an edge's API objects. Every write is checked against its precondition, gets the next
//! resourceVersion and is recorded in a bounded history that watches read.
//!
//! The store is shared under one lock by the REST handlers and the edge's core. A watch is a [`Cursor`] into the shared
//! history and buffers nothing, however slow its reader is; once its position has been compacted it gets [`Expired`].

mod change_reader;
mod history;
mod list;
mod write;
mod write_tracking;

pub use change_reader::ChangeReader;
pub use history::{Change, ChangeKind, Cursor, Expired};
pub use list::{Page, PageRequest};

use history::History;
use imbl::OrdMap;
use rand::{RngCore, SeedableRng};
use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;
use tidespur_api::resource::RESOURCES;
use tidespur_api::{Object, Resource};

/// Identifies an object: index of its resource, namespace (empty for cluster-scoped resources), name.
pub type Key = (usize, String, String);

/// Limits of the store's memory use.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum number of changes in the history of one resource.
    pub max_history: usize,
    /// Maximum number of versions that are kept for the continuation of paged lists.
    pub max_snapshots: usize,
    /// Maximum number of objects of one resource.
    pub max_objects: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_history: 16_384,
            max_snapshots: 64,
            max_objects: 200_000,
        }
    }
}

/// Condition on the current object for a write to succeed.
#[derive(Clone, Debug, Default)]
pub struct Precondition {
    /// Required uid; `None` accepts any.
    pub uid: Option<String>,
    /// Required version; `None` accepts any.
    pub version: Option<u64>,
}

/// The objects of all resources, with the history of their changes.
#[derive(Debug)]
pub struct Store {
    objects: OrdMap<Key, Arc<Object>>,
    /// Number of objects by resource index.
    counts: [usize; RESOURCES.len()],
    /// Version of the last change.
    version: u64,
    histories: [History; RESOURCES.len()],
    /// Versions kept for the continuation of paged lists, oldest first.
    snapshots: VecDeque<(u64, OrdMap<Key, Arc<Object>>)>,
    limits: Limits,
    rng: rand_pcg::Pcg64,
    /// Keys of the objects written since the last [`Store::take_unpersisted`]; `None` while writes are not tracked.
    unpersisted: Option<BTreeSet<Key>>,
    /// Watches see no change after this version.
    visible_version: u64,
}

impl Store {
    /// An empty store. `seed` initializes the generator of uids and name suffixes. Versions start after `version`,
    /// which after a restart must not be below any version that an earlier process may have handed out.
    pub fn new(limits: Limits, seed: u64, version: u64) -> Self {
        Self {
            objects: OrdMap::new(),
            counts: [0; RESOURCES.len()],
            version,
            histories: std::array::from_fn(|_| History::new(limits.max_history, version)),
            snapshots: VecDeque::new(),
            limits,
            rng: rand_pcg::Pcg64::seed_from_u64(seed),
            unpersisted: None,
            visible_version: u64::MAX,
        }
    }

    /// The version of the last change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// A random uid.
    pub fn new_uid(&mut self) -> String {
        let (a, b) = (self.rng.next_u64(), self.rng.next_u64());
        // UUID version 4 with the variant of RFC 9562.
        let (a, b) = (a & !0xf000 | 0x4000, b & !(0b11 << 62) | 0b10 << 62);
        format!(
            "{:08x}-{:04x}-{:04x}-{:04x}-{:012x}",
            a >> 32,
            a >> 16 & 0xffff,
            a & 0xffff,
            b >> 48,
            b & ((1 << 48) - 1)
        )
    }

    /// Five random characters for a generated name, from the alphabet of Kubernetes. It has no vowels, which avoids
    /// accidental words.
    pub fn random_suffix(&mut self) -> String {
        const LETTERS: &[u8] = b"bcdfghjklmnpqrstvwxz2456789";
        (0..5)
            .map(|_| LETTERS[self.rng.next_u32() as usize % LETTERS.len()] as char)
            .collect()
    }

    /// The object, if it exists.
    pub fn get(&self, resource: &Resource, namespace: &str, name: &str) -> Option<&Arc<Object>> {
        self.objects.get(&key(resource, namespace, name))
    }

    /// Number of objects of the resource.
    pub fn count(&self, resource: &Resource) -> usize {
        self.counts[resource.index]
    }

    /// Objects of a resource in one namespace, or in all if it is empty, in order of namespace and name.
    pub fn iter<'a>(
        &'a self,
        resource: &Resource,
        namespace: &'a str,
    ) -> impl Iterator<Item = &'a Arc<Object>> {
        let index = resource.index;
        self.objects
            .range((index, namespace.to_owned(), String::new())..)
            .take_while(move |(k, _)| k.0 == index && (namespace.is_empty() || k.1 == namespace))
            .map(|(_, object)| object)
    }

    /// A cursor that reads the changes after `version`.
    ///
    /// # Errors
    /// [`Expired`] if the history does not reach back to that version.
    pub fn watch(&self, resource: &Resource, version: u64) -> Result<Cursor, Expired> {
        self.histories[resource.index].check(version)?;
        Ok(Cursor::new(resource.index, version))
    }

    /// Appends the next changes for the cursor, at most `max`, and advances it.
    ///
    /// # Errors
    /// [`Expired`] if the history does not reach back to the cursor.
    pub fn poll(
        &self,
        cursor: &mut Cursor,
        max: usize,
        changes: &mut Vec<Change>,
    ) -> Result<(), Expired> {
        self.histories[cursor.resource()].read(cursor, max, self.version, changes)
    }

    /// Like [`Store::poll`], without changes that are not visible yet, see [`Store::set_visible_version`].
    ///
    /// # Errors
    /// As [`Store::poll`].
    pub fn poll_visible(
        &self,
        cursor: &mut Cursor,
        max: usize,
        changes: &mut Vec<Change>,
    ) -> Result<(), Expired> {
        self.histories[cursor.resource()].read(
            cursor,
            max,
            self.version.min(self.visible_version),
            changes,
        )
    }

    /// Drops the history and all snapshots, as a compaction or a restart does.
    pub fn compact(&mut self) {
        self.histories.iter_mut().for_each(History::clear);
        self.snapshots.clear();
    }
}

fn key(resource: &Resource, namespace: &str, name: &str) -> Key {
    let namespace = if resource.namespaced { namespace } else { "" };
    (resource.index, namespace.to_owned(), name.to_owned())
}
