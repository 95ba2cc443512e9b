//! What a memory beside the store needs: what was written since it last looked, and the way back.

use crate::{Key, Store, key};
use std::collections::BTreeSet;
use std::sync::Arc;
use tidespur_api::{Object, Resource};

impl Store {
    /// Takes in an object as an earlier store had it, version and uid included. Only before anything is written or
    /// watched: its version must not be above the one that this store began at.
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

    /// From now on notes what is written, for [`Store::take_unpersisted`].
    pub fn track_writes(&mut self) {
        self.unkept.get_or_insert_with(BTreeSet::new);
    }

    /// What was written or removed since the last call, each as it stands now; one that is gone without its object.
    pub fn take_unpersisted(&mut self) -> Vec<(Key, Option<Arc<Object>>)> {
        let keys = self.unkept.as_mut().map(std::mem::take).unwrap_or_default();
        keys.into_iter()
            .map(|key| (key.clone(), self.objects.get(&key).cloned()))
            .collect()
    }

    /// Watches may see all up to this version. A store that nobody keeps shows all.
    ///
    /// Guards against a watcher who was told what a power loss then takes back.
    pub fn set_visible_version(&mut self, version: u64) {
        self.shown = version;
    }
}
