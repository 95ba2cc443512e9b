//! A change reader that recovers from an expired cursor, for the edge's dispatcher and Job controller, which cannot
//! list again as clients do.
//!
//! It keeps a pointer to the last reported state of each object. When its cursor has expired, by a burst of writes
//! longer than the history or by a compaction, it compares these states with the store and reports all additions,
//! modifications with their previous state, and deletions. An object that was created and deleted in the gap is not
//! reported: neither consumer can have acted on it.

use crate::{Change, ChangeKind, Cursor, Store};
use std::collections::BTreeMap;
use std::sync::Arc;
use tidespur_api::{Object, Resource, meta};

/// Reads all changes of one resource.
#[derive(Debug)]
pub struct ChangeReader {
    resource: &'static Resource,
    cursor: Cursor,
    /// Last reported state of each object, by namespace and name.
    reported: BTreeMap<(String, String), Arc<Object>>,
    resync_count: u64,
}

impl ChangeReader {
    /// A reader that reports every existing object as added.
    #[must_use]
    pub fn new(resource: &'static Resource) -> Self {
        // Version 0 is older than any store's history, so the first read is a comparison with the store.
        let cursor = Cursor::new(resource.index, 0);
        Self {
            resource,
            cursor,
            reported: BTreeMap::new(),
            resync_count: 0,
        }
    }

    /// A reader that treats the current objects as reported, as after a restore, and reports only later changes.
    pub fn from_current(resource: &'static Resource, store: &Store) -> Self {
        let reported = store
            .iter(resource, "")
            .map(|object| (key(object), object.clone()))
            .collect();
        Self {
            resource,
            cursor: Cursor::new(resource.index, store.version()),
            reported,
            resync_count: 0,
        }
    }

    /// Whether all changes of the store have been read.
    pub fn is_current(&self, store: &Store) -> bool {
        self.cursor.version() == store.version()
    }

    /// Number of comparisons with the store because of an expired cursor; the first read does not count.
    pub fn resync_count(&self) -> u64 {
        self.resync_count
    }

    /// The changes since the last call, at most `max`, in order of versions. After a resync all changes at once,
    /// deletions first.
    pub fn read(&mut self, store: &Store, max: usize) -> Vec<Change> {
        let mut changes = Vec::new();
        if store.poll(&mut self.cursor, max, &mut changes).is_err() {
            changes = self.resync(store);
        }
        for change in &changes {
            let key = key(&change.object);
            if change.kind == ChangeKind::Deleted {
                self.reported.remove(&key);
            } else {
                self.reported.insert(key, change.object.clone());
            }
        }
        changes
    }

    /// The changes from the reported states to the current ones. Advances the cursor to the current version.
    fn resync(&mut self, store: &Store) -> Vec<Change> {
        if self.cursor.version() > 0 {
            self.resync_count += 1;
        }
        let mut deleted = Vec::new();
        let mut present_changes = Vec::new();
        let mut unmatched = self.reported.clone();
        for object in store.iter(self.resource, "") {
            let previous = unmatched.remove(&key(object));
            let change = match previous {
                Some(old) if meta::uid(&old) != meta::uid(object) => {
                    // The uid differs, so the reported object was deleted and another one created under its name.
                    deleted.push(old);
                    change(ChangeKind::Added, object, None)
                }
                Some(old) if meta::version(&old) == meta::version(object) => continue,
                Some(old) => change(ChangeKind::Modified, object, Some(old)),
                None => change(ChangeKind::Added, object, None),
            };
            present_changes.push(change);
        }
        deleted.extend(unmatched.into_values());
        present_changes.sort_by_key(|change| change.version);
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
        changes.extend(present_changes);
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
