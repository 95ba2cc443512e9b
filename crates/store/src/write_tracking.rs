//! Interface for persistence: tracks written objects, restores objects at the start, and hides changes from watches
//! until they are durable.

use crate::{Key, Store, key};
use std::collections::BTreeSet;
use std::sync::Arc;
use tidespur_api::{Object, Resource};

impl Store {
    /// Restores an object of an earlier process, with its version and uid. Must be called before the first write or
    /// watch. The version must not exceed the one that was passed to [`Store::new`].
    pub fn restore(&mut self, resource: &Resource, object: Object) {
        let key = key(
            resource,
            tidespur_api::meta::namespace(&object),
            tidespur_api::meta::name(&object),
        );
        if self.objects.insert(key, Arc::new(object)).is_none() {
            self.counts[resource.index] += 1;
        }
    }

    /// Starts to track writes for [`Store::take_unpersisted`].
    pub fn track_writes(&mut self) {
        self.unpersisted.get_or_insert_with(BTreeSet::new);
    }

    /// Takes the keys written since the last call, each with the current object or `None` if it was deleted. Empty
    /// while writes are not tracked.
    pub fn take_unpersisted(&mut self) -> Vec<(Key, Option<Arc<Object>>)> {
        let keys = self
            .unpersisted
            .as_mut()
            .map(std::mem::take)
            .unwrap_or_default();
        keys.into_iter()
            .map(|key| (key.clone(), self.objects.get(&key).cloned()))
            .collect()
    }

    /// Makes changes up to this version visible to watches. All changes are visible if this is never called.
    ///
    /// The caller sets it to the last durable version, so that no watch reports a change that a power loss then
    /// reverts.
    pub fn set_visible_version(&mut self, version: u64) {
        self.visible_version = version;
    }
}
