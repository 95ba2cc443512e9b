//! The edge's objects: every change gets the next resourceVersion, is checked against the version that the writer
//! has seen, and stays in a bounded history that watches read.
//!
//! A watch is a cursor into that shared history and holds nothing of its own. However slow its reader is, it can
//! hold no memory and slow nobody; once its place has been compacted away it is told [`Expired`].

mod follow;
mod history;
mod list;

pub use follow::Follower;
pub use history::{Change, ChangeKind, Cursor, Expired};
pub use list::{ListError, Page, PageRequest};

use history::History;
use imbl::OrdMap;
use rand::{RngCore, SeedableRng};
use std::collections::VecDeque;
use std::sync::Arc;
use tidespur_api::resource::RESOURCES;
use tidespur_api::{ApiError, Object, Resource, meta};

/// Where an object stands: index of its resource, namespace, name.
pub type Key = (usize, String, String);

/// Bounds of what is held.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Changes that the history of one resource keeps.
    pub history: usize,
    /// Versions that a paged list may still be continued at.
    pub snapshots: usize,
    /// Objects of one resource.
    pub objects: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { history: 16_384, snapshots: 64, objects: 200_000 }
    }
}

/// What a writer demands of the object that stands.
#[derive(Clone, Debug, Default)]
pub struct Expect {
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
}

impl Store {
    /// An empty store. `seed` is what uids and generated names are drawn from; `version` is where versions begin:
    /// a store that begins anew must begin above all that it may have handed out before.
    pub fn new(limits: Limits, seed: u64, version: u64) -> Self {
        Self {
            objects: OrdMap::new(),
            counts: [0; RESOURCES.len()],
            version,
            histories: std::array::from_fn(|_| History::new(limits.history, version)),
            snapshots: VecDeque::new(),
            limits,
            rng: rand_pcg::Pcg64::seed_from_u64(seed),
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
    pub fn suffix(&mut self) -> String {
        const LETTERS: &[u8] = b"bcdfghjklmnpqrstvwxz2456789";
        (0..5).map(|_| LETTERS[self.rng.next_u32() as usize % LETTERS.len()] as char).collect()
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
    pub fn all<'a>(
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

    /// Creates an object under `metadata.name`; sets uid, version, generation and time.
    pub fn create(
        &mut self,
        resource: &Resource,
        mut object: Object,
        now: f64,
    ) -> Result<Arc<Object>, ApiError> {
        let key = key(resource, meta::namespace(&object), meta::name(&object));
        if self.objects.contains_key(&key) {
            return Err(ApiError::exists(resource.plural, &key.2));
        }
        if self.counts[resource.index] >= self.limits.objects {
            let text = format!(
                "{} {} stand already, which is the most that is held",
                self.limits.objects, resource.plural
            );
            return Err(ApiError::too_many(text, 10));
        }
        let uid = self.new_uid();
        meta::set(&mut object, "uid", uid.into());
        meta::set(&mut object, "creationTimestamp", meta::timestamp(now).into());
        if object.get("spec").is_some() {
            meta::set(&mut object, "generation", 1.into());
        }
        self.counts[resource.index] += 1;
        Ok(self.put(resource, key, object, None))
    }

    /// Replaces an object. What the server sets (uid, time of creation) stays; an equal one is no change.
    pub fn update(
        &mut self,
        resource: &Resource,
        mut object: Object,
        expect: &Expect,
    ) -> Result<Arc<Object>, ApiError> {
        let key = key(resource, meta::namespace(&object), meta::name(&object));
        let Some(old) = self.objects.get(&key).cloned() else {
            return Err(ApiError::not_found(resource.plural, &key.2));
        };
        check_expected(resource, &old, expect)?;
        for field in ["uid", "creationTimestamp", "resourceVersion", "generation", "deletionTimestamp"] {
            let value = meta::at(&old, &["metadata", field]).clone();
            match value.is_null() {
                true => drop(meta::map_mut(&mut object, "metadata").remove(field)),
                false => meta::set(&mut object, field, value),
            }
        }
        if object == *old {
            return Ok(old);
        }
        if object.get("spec") != old.get("spec") {
            let generation = meta::at(&old, &["metadata", "generation"]).as_i64().unwrap_or(0);
            meta::set(&mut object, "generation", (generation + 1).into());
        }
        Ok(self.put(resource, key, object, Some(old)))
    }

    /// Removes an object; the version of its end is in what comes back.
    pub fn delete(
        &mut self,
        resource: &Resource,
        namespace: &str,
        name: &str,
        expect: &Expect,
    ) -> Result<Arc<Object>, ApiError> {
        let key = key(resource, namespace, name);
        let Some(old) = self.objects.get(&key).cloned() else {
            return Err(ApiError::not_found(resource.plural, name));
        };
        check_expected(resource, &old, expect)?;
        self.objects.remove(&key);
        self.counts[resource.index] -= 1;
        self.version += 1;
        let mut last = (*old).clone();
        meta::set(&mut last, "resourceVersion", self.version.to_string().into());
        let last = Arc::new(last);
        let change = Change {
            version: self.version,
            kind: ChangeKind::Deleted,
            object: last.clone(),
            before: Some(old),
        };
        self.histories[resource.index].push(change);
        Ok(last)
    }

    /// A cursor that reads what comes after `version`.
    pub fn watch(&self, resource: &Resource, version: u64) -> Result<Cursor, Expired> {
        self.histories[resource.index].check(version)?;
        Ok(Cursor::new(resource.index, version))
    }

    /// The next change for the cursor, at most `most` looked at; it moves on.
    pub fn poll(&self, cursor: &mut Cursor, most: usize, out: &mut Vec<Change>) -> Result<(), Expired> {
        self.histories[cursor.resource()].read(cursor, most, self.version, out)
    }

    /// Drops all history up to now, as a restart or an operator's compaction would.
    pub fn compact(&mut self) {
        self.histories.iter_mut().for_each(History::clear);
        self.snapshots.clear();
    }

    fn put(
        &mut self,
        resource: &Resource,
        key: Key,
        mut object: Object,
        before: Option<Arc<Object>>,
    ) -> Arc<Object> {
        self.version += 1;
        meta::set(&mut object, "resourceVersion", self.version.to_string().into());
        let object = Arc::new(object);
        let kind = if before.is_some() { ChangeKind::Modified } else { ChangeKind::Added };
        self.objects.insert(key, object.clone());
        let change = Change { version: self.version, kind, object: object.clone(), before };
        self.histories[resource.index].push(change);
        object
    }
}

fn key(resource: &Resource, namespace: &str, name: &str) -> Key {
    let namespace = if resource.namespaced { namespace } else { "" };
    (resource.index, namespace.to_owned(), name.to_owned())
}

fn check_expected(resource: &Resource, old: &Object, expect: &Expect) -> Result<(), ApiError> {
    let name = meta::name(old);
    if expect.uid.as_deref().is_some_and(|uid| uid != meta::uid(old)) {
        let why = format!("the uid in the precondition does not match the uid in record: {}", meta::uid(old));
        return Err(ApiError::conflict(resource.plural, name, &why));
    }
    if expect.version.is_some_and(|version| version != meta::version(old)) {
        let why =
            "the object has been modified; please apply your changes to the latest version and try again";
        return Err(ApiError::conflict(resource.plural, name, why));
    }
    Ok(())
}
