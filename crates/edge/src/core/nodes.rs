//! The edge's copy of the Nodes of the node registry, which clients read.

use std::collections::BTreeSet;
use std::sync::Arc;
use tidespur_api::resource::NODES;
use tidespur_api::{ApiError, Object, meta};
use tidespur_store::{Precondition, Store};

/// Status code of an error that is not logged: the Node is deleted already.
const NOT_FOUND: u16 = 404;

/// Replaces all Nodes by those that the node registry listed.
pub(super) fn replace_all(listed: Vec<Object>, store: &mut Store, now: f64) {
    let names: BTreeSet<&str> = listed.iter().map(meta::name).collect();
    let removed: Vec<Arc<Object>> = store
        .iter(NODES, "")
        .filter(|node| !names.contains(meta::name(node)))
        .cloned()
        .collect();
    for node in removed {
        delete(&node, store);
    }
    for node in listed {
        update(node, store, now);
    }
}

/// Creates or updates a Node.
pub(super) fn update(node: Object, store: &mut Store, now: f64) {
    let name = meta::name(&node).to_owned();
    let written = if store.get(NODES, "", &name).is_some() {
        store
            .update(NODES, node, &Precondition::default())
            .map(drop)
    } else {
        store.create(NODES, node, now).map(drop)
    };
    log_failure(&name, written);
}

/// Deletes a Node, if it exists.
pub(super) fn delete(node: &Object, store: &mut Store) {
    let name = meta::name(node);
    let deleted = store.delete(NODES, "", name, &Precondition::default());
    log_failure(name, deleted.map(drop));
}

fn log_failure(name: &str, result: Result<(), ApiError>) {
    if let Err(error) = result
        && error.code != NOT_FOUND
    {
        tracing::warn!(node = name, %error, "cannot update the copy of a Node");
    }
}
