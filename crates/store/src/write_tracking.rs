//! What persistence beside the store needs: which objects were written since it last asked, and restoring them.

use crate::{Key, Store, key};
use std::collections::BTreeSet;
use std::sync::Arc;
use tidespur_api::{Object, Resource};

impl Store {
    /// Restores an object as an earlier store had it, version and uid included. To be called before anything is written
    /// or watched; its version must not be above the one that this store began at.
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

    /// Tracks writes from now on, for [`Store::take_unpersisted`].
    pub fn track_writes(&mut self) {
        self.unpersisted.get_or_insert_with(BTreeSet::new);
    }

    /// Objects that were written or deleted since the last call, in their present state; deleted ones without an object.
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

    /// Makes changes up to this version visible to watches. Without a call all changes are visible.
    ///
    /// Prevents that a watch reports a change that a power loss then takes back.
    pub fn set_visible_version(&mut self, version: u64) {
        self.visible_version = version;
    }
}
