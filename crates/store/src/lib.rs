//! The edge's objects: every change gets the next resourceVersion, is checked against the version that the writer
//! has seen, and stays in a bounded history that watches read.
//!
//! A watch is a cursor into that shared history and holds nothing of its own. However slow its reader is, it can
//! hold no memory and slow nobody; once its place has been compacted away it is told [`Expired`].

mod follow;
mod history;
mod kept;
mod list;
mod write;

pub use follow::ChangeReader;
pub use history::{Change, ChangeKind, Cursor, Expired};
pub use list::{ListError, Page, PageRequest};

use history::History;
use imbl::OrdMap;
use rand::{RngCore, SeedableRng};
use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;
use tidespur_api::resource::RESOURCES;
use tidespur_api::{Object, Resource};

/// Where an object stands: index of its resource, namespace, name.
pub type Key = (usize, String, String);

/// Bounds of what is held.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Changes that the history of one resource keeps.
    pub max_history: usize,
    /// Versions that a paged list may still be continued at.
    pub max_snapshots: usize,
    /// Objects of one resource.
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

/// What a writer demands of the object that stands.
#[derive(Clone, Debug, Default)]
pub struct Precondition {
    /// Its uid.
    pub uid: Option<String>,
    /// Its version; `None` writes over whatever stands.
    pub version: Option<u64>,
}

/// The store.
#[derive(Debug)]
pub struct Store {
    objects: OrdMap<Key, Arc<Object>>,
    counts: [usize; RESOURCES.len()],
    version: u64,
    histories: [History; RESOURCES.len()],
    snapshots: VecDeque<(u64, OrdMap<Key, Arc<Object>>)>,
    limits: Limits,
    rng: rand_pcg::Pcg64,
    /// What was written since it was last taken, where anyone asked for it.
    unkept: Option<BTreeSet<Key>>,
    /// Watches see nothing above this version.
    shown: u64,
}

impl Store {
    /// An empty store. `seed` is what uids and generated names are drawn from; `version` is where versions begin:
    /// a store that begins anew must begin above all that it may have handed out before.
    pub fn new(limits: Limits, seed: u64, version: u64) -> Self {
        Self {
            objects: OrdMap::new(),
            counts: [0; RESOURCES.len()],
            version,
            histories: std::array::from_fn(|_| History::new(limits.max_history, version)),
            snapshots: VecDeque::new(),
            limits,
            rng: rand_pcg::Pcg64::seed_from_u64(seed),
            unkept: None,
            shown: u64::MAX,
        }
    }

    /// The version of the last change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// A new uid.
    pub fn new_uid(&mut self) -> String {
        let (a, b) = (self.rng.next_u64(), self.rng.next_u64());
        // Version 4, variant 1 of RFC 9562.
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

    /// Five characters for a generated name, of the published alphabet without vowels.
    pub fn random_suffix(&mut self) -> String {
        const LETTERS: &[u8] = b"bcdfghjklmnpqrstvwxz2456789";
        (0..5)
            .map(|_| LETTERS[self.rng.next_u32() as usize % LETTERS.len()] as char)
            .collect()
    }

    /// The object, if it stands.
    pub fn get(&self, resource: &Resource, namespace: &str, name: &str) -> Option<&Arc<Object>> {
        self.objects.get(&key(resource, namespace, name))
    }

    /// How many objects of the resource stand.
    pub fn count(&self, resource: &Resource) -> usize {
        self.counts[resource.index]
    }

    /// All objects of a resource, of one namespace or of all (""), in order.
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

    /// A cursor that reads what comes after `version`.
    pub fn watch(&self, resource: &Resource, version: u64) -> Result<Cursor, Expired> {
        self.histories[resource.index].check(version)?;
        Ok(Cursor::new(resource.index, version))
    }

    /// The next change for the cursor, at most `most` looked at; it moves on.
    pub fn poll(
        &self,
        cursor: &mut Cursor,
        most: usize,
        out: &mut Vec<Change>,
    ) -> Result<(), Expired> {
        self.histories[cursor.resource()].read(cursor, most, self.version, out)
    }

    /// The same, but for what may not be shown yet: see [`Store::set_visible_version`].
    pub fn poll_visible(
        &self,
        cursor: &mut Cursor,
        most: usize,
        out: &mut Vec<Change>,
    ) -> Result<(), Expired> {
        self.histories[cursor.resource()].read(cursor, most, self.version.min(self.shown), out)
    }

    /// Drops all history up to now, as a restart or an operator's compaction would.
    pub fn compact(&mut self) {
        self.histories.iter_mut().for_each(History::clear);
        self.snapshots.clear();
    }
}

fn key(resource: &Resource, namespace: &str, name: &str) -> Key {
    let namespace = if resource.namespaced { namespace } else { "" };
    (resource.index, namespace.to_owned(), name.to_owned())
}
