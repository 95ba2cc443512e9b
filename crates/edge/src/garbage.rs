//! Objects that nobody will remove: the oldest go first, beyond a bound.

use std::collections::VecDeque;
use tidespur_api::{Object, Resource, meta};
use tidespur_store::{Precondition, Store};

/// Objects of one kind that are kept for people to read.
#[derive(Debug)]
pub(crate) struct Garbage {
    resource: &'static Resource,
    most: usize,
    order: VecDeque<(String, String, String)>,
}

impl Garbage {
    pub(crate) fn new(resource: &'static Resource, most: usize) -> Self {
        Self {
            resource,
            most,
            order: VecDeque::new(),
        }
    }

    /// Takes note of an object; removes the oldest beyond the bound.
    pub(crate) fn add(&mut self, object: &Object, store: &mut Store) {
        let (space, name, uid) = (
            meta::namespace(object),
            meta::name(object),
            meta::uid(object),
        );
        self.order
            .push_back((space.to_owned(), name.to_owned(), uid.to_owned()));
        while self.order.len() > self.most {
            let Some((space, name, uid)) = self.order.pop_front() else {
                return;
            };
            // Gone already, or another of that name stands: then there is nothing to remove.
            drop(store.delete(
                self.resource,
                &space,
                &name,
                &Precondition {
                    uid: Some(uid),
                    version: None,
                },
            ));
        }
    }
}
