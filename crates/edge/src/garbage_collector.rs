//! Deletion of the oldest objects of one resource beyond a bound, for objects that nobody else deletes.

use std::collections::VecDeque;
use tidespur_api::{Object, Resource, meta};
use tidespur_store::{Precondition, Store};

#[derive(Debug)]
struct ObjectRef {
    namespace: String,
    name: String,
    uid: String,
}

/// Objects of one resource that are kept for people to read.
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

    /// Adds an object, and deletes the oldest ones beyond the bound.
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
            // It may be deleted already, or replaced by another of the same name: then there is nothing to delete.
            drop(store.delete(
                self.resource,
                &oldest.namespace,
                &oldest.name,
                &precondition,
            ));
        }
    }
}
