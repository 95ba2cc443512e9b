//! A reader that must not miss anything: desk and controller live on the store's changes, and a client that misses
//! some lists anew, which they can't.
//!
//! It remembers each object as it last saw it (one pointer an object). Where its cursor has expired it compares what
//! it remembers to what stands, so that a reader is told of additions as such, of changes with what was before, and
//! of deletions. Guards against a burst of writes longer than the history; should also serve a store that was
//! compacted under a reader. No harm is known but the pointers: an object that came and went in the gap is not told,
//! as nobody can have acted on it.

use crate::{Change, ChangeKind, Cursor, Store};
use std::collections::BTreeMap;
use std::sync::Arc;
use tidespur_api::{Object, Resource, meta};

/// A reader of all changes of one resource.
#[derive(Debug)]
pub struct ChangeReader {
    resource: &'static Resource,
    cursor: Cursor,
    seen: BTreeMap<(String, String), Arc<Object>>,
    behind: u64,
}

impl ChangeReader {
    /// A reader for which all that stands now is new.
    pub fn new(resource: &'static Resource) -> Self {
        // No store's history reaches back to a version below its first, so the first read compares.
        let cursor = Cursor::new(resource.index, 0);
        Self {
            resource,
            cursor,
            seen: BTreeMap::new(),
            behind: 0,
        }
    }

    /// A reader for which all that stands now is known already, as after a return.
    pub fn from_current(resource: &'static Resource, store: &Store) -> Self {
        let seen = store
            .iter(resource, "")
            .map(|object| (key(object), object.clone()))
            .collect();
        Self {
            resource,
            cursor: Cursor::new(resource.index, store.version()),
            seen,
            behind: 0,
        }
    }

    /// Whether all that the store holds has been read.
    pub fn is_current(&self, store: &Store) -> bool {
        self.cursor.version() == store.version()
    }

    /// How often it fell behind the history and had to compare.
    pub fn resync_count(&self) -> u64 {
        self.behind
    }

    /// The changes since the last call, in order; about `most` at a time, but all of them after a gap.
    pub fn read(&mut self, store: &Store, most: usize) -> Vec<Change> {
        let mut changes = Vec::new();
        if store.poll(&mut self.cursor, most, &mut changes).is_err() {
            changes = self.compare(store);
        }
        for change in &changes {
            let key = key(&change.object);
            match change.kind {
                ChangeKind::Deleted => drop(self.seen.remove(&key)),
                _ => drop(self.seen.insert(key, change.object.clone())),
            }
        }
        changes
    }

    fn compare(&mut self, store: &Store) -> Vec<Change> {
        if self.cursor.version() > 0 {
            self.behind += 1;
        }
        let (mut gone, mut stands) = (Vec::new(), Vec::new());
        let mut before = self.seen.clone();
        for object in store.iter(self.resource, "") {
            let (kind, before) = match before.remove(&key(object)) {
                None => (ChangeKind::Added, None),
                Some(old) if meta::uid(&old) != meta::uid(object) => {
                    // Another of that name: the one before has gone.
                    gone.push(old);
                    (ChangeKind::Added, None)
                }
                Some(old) if meta::version(&old) == meta::version(object) => continue,
                Some(old) => (ChangeKind::Modified, Some(old)),
            };
            stands.push(Change {
                version: meta::version(object),
                kind,
                object: object.clone(),
                previous: before,
            });
        }
        gone.extend(before.into_values());
        let ended = |old: Arc<Object>| Change {
            version: store.version(),
            kind: ChangeKind::Deleted,
            object: old.clone(),
            previous: Some(old),
        };
        stands.sort_by_key(|change| change.version);
        self.cursor = Cursor::new(self.resource.index, store.version());
        gone.into_iter().map(ended).chain(stands).collect()
    }
}

fn key(object: &Object) -> (String, String) {
    (
        meta::namespace(object).to_owned(),
        meta::name(object).to_owned(),
    )
}
