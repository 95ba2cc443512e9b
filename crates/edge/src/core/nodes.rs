//! The register's Nodes, shown at the edge.

use std::collections::BTreeSet;
use std::sync::Arc;
use tidespur_api::resource::NODES;
use tidespur_api::{Object, meta};
use tidespur_store::{Precondition, Store};

pub(super) fn nodes_whole(list: Vec<Object>, store: &mut Store, now: f64) {
    let listed: BTreeSet<&str> = list.iter().map(meta::name).collect();
    let gone: Vec<Arc<Object>> = store
        .iter(NODES, "")
        .filter(|node| !listed.contains(meta::name(node)))
        .cloned()
        .collect();
    for node in gone {
        drop(store.delete(NODES, "", meta::name(&node), &Precondition::default()));
    }
    list.into_iter()
        .for_each(|node| node_change(node, false, store, now));
}

pub(super) fn node_change(node: Object, deleted: bool, store: &mut Store, now: f64) {
    let name = meta::name(&node).to_owned();
    let done = match (deleted, store.get(NODES, "", &name).is_some()) {
        (true, _) => store
            .delete(NODES, "", &name, &Precondition::default())
            .map(drop),
        (false, true) => store
            .update(NODES, node, &Precondition::default())
            .map(drop),
        (false, false) => store.create(NODES, node, now).map(drop),
    };
    if let Err(problem) = done.or_else(|e| if e.code == 404 { Ok(()) } else { Err(e) }) {
        tracing::warn!(node = name, %problem, "a Node can't be shown");
    }
}
