//! Bounds the number of objects of one resource by deleting the oldest, for objects that nothing else deletes.

use std::collections::VecDeque;
use tidespur_api::{Object, Resource, meta};
use tidespur_store::{Precondition, Store};

#[derive(Debug)]
struct ObjectRef {
    namespace: String,
    name: String,
    uid: String,
}

/// Deletes the oldest objects of one resource above a maximum number.
#[derive(Debug)]
pub(crate) struct GarbageCollector {
    resource: &'static Resource,
    max_objects: usize,
    oldest_first: VecDeque<ObjectRef>,
}

impl GarbageCollector {
    pub(crate) fn new(resource: &'static Resource, max_objects: usize) -> Self {
        Self {
            resource,
            max_objects,
            oldest_first: VecDeque::new(),
        }
    }

    /// Adds an object, and deletes the oldest ones above the maximum number.
    pub(crate) fn add(&mut self, object: &Object, store: &mut Store) {
        self.oldest_first.push_back(ObjectRef {
            namespace: meta::namespace(object).to_owned(),
            name: meta::name(object).to_owned(),
            uid: meta::uid(object).to_owned(),
        });
        while self.oldest_first.len() > self.max_objects {
            let Some(oldest) = self.oldest_first.pop_front() else {
                return;
            };
            let precondition = Precondition {
                uid: Some(oldest.uid),
                version: None,
            };
            // It may have been deleted, or replaced by another one of the same name: there is nothing to delete then.
            drop(store.delete(
                self.resource,
                &oldest.namespace,
                &oldest.name,
                &precondition,
            ));
        }
    }
}
