//! A reader that misses no change, for the edge's dispatcher and Job controller, which cannot list anew as clients do.
//!
//! It keeps each object as it last saw it (one pointer an object). If its cursor has expired it compares these with the
//! store, so that additions, changes with their previous state, and deletions are all reported. That covers a burst of
//! writes longer than the history and a compaction. An object that was created and deleted in the gap is not reported:
//! nobody can have acted on it.

use crate::{Change, ChangeKind, Cursor, Store};
use std::collections::BTreeMap;
use std::sync::Arc;
use tidespur_api::{Object, Resource, meta};

/// A reader of all changes of one resource.
#[derive(Debug)]
pub struct ChangeReader {
    resource: &'static Resource,
    cursor: Cursor,
    /// Objects as they were last reported, by namespace and name.
    known: BTreeMap<(String, String), Arc<Object>>,
    resync_count: u64,
}

impl ChangeReader {
    /// A reader for which every present object is new.
    #[must_use]
    pub fn new(resource: &'static Resource) -> Self {
        // No store's history reaches back to a version below its first, so the first read compares.
        let cursor = Cursor::new(resource.index, 0);
        Self {
            resource,
            cursor,
            known: BTreeMap::new(),
            resync_count: 0,
        }
    }

    /// A reader for which every present object is known already, as after a restore.
    pub fn from_current(resource: &'static Resource, store: &Store) -> Self {
        let known = store
            .iter(resource, "")
            .map(|object| (key(object), object.clone()))
            .collect();
        Self {
            resource,
            cursor: Cursor::new(resource.index, store.version()),
            known,
            resync_count: 0,
        }
    }

    /// Whether all changes of the store have been read.
    pub fn is_current(&self, store: &Store) -> bool {
        self.cursor.version() == store.version()
    }

    /// How often the cursor had expired, so that the reader had to compare with the store.
    pub fn resync_count(&self) -> u64 {
        self.resync_count
    }

    /// The changes since the last call, in order: at most `max`, but all of them after a resync.
    pub fn read(&mut self, store: &Store, max: usize) -> Vec<Change> {
        let mut changes = Vec::new();
        if store.poll(&mut self.cursor, max, &mut changes).is_err() {
            changes = self.resync(store);
        }
        for change in &changes {
            let key = key(&change.object);
            if change.kind == ChangeKind::Deleted {
                self.known.remove(&key);
            } else {
                self.known.insert(key, change.object.clone());
            }
        }
        changes
    }

    /// The changes from the known objects to the present ones; the cursor is current afterwards.
    fn resync(&mut self, store: &Store) -> Vec<Change> {
        if self.cursor.version() > 0 {
            self.resync_count += 1;
        }
        let mut deleted = Vec::new();
        let mut present = Vec::new();
        let mut unmatched = self.known.clone();
        for object in store.iter(self.resource, "") {
            let previous = unmatched.remove(&key(object));
            let change = match previous {
                Some(old) if meta::uid(&old) != meta::uid(object) => {
                    // Another object of that name: the known one was deleted.
                    deleted.push(old);
                    change(ChangeKind::Added, object, None)
                }
                Some(old) if meta::version(&old) == meta::version(object) => continue,
                Some(old) => change(ChangeKind::Modified, object, Some(old)),
                None => change(ChangeKind::Added, object, None),
            };
            present.push(change);
        }
        deleted.extend(unmatched.into_values());
        present.sort_by_key(|change| change.version);
        self.cursor = Cursor::new(self.resource.index, store.version());
        let mut changes = Vec::new();
        for object in deleted {
            changes.push(Change {
                version: store.version(),
                kind: ChangeKind::Deleted,
                object: object.clone(),
                previous: Some(object),
            });
        }
        changes.extend(present);
        changes
    }
}

fn change(kind: ChangeKind, object: &Arc<Object>, previous: Option<Arc<Object>>) -> Change {
    Change {
        version: meta::version(object),
        kind,
        object: object.clone(),
        previous,
    }
}

fn key(object: &Object) -> (String, String) {
    (
        meta::namespace(object).to_owned(),
        meta::name(object).to_owned(),
    )
}
