//! Deletes or releases the dependents of a deleted object.

use crate::core::owner_uid;
use serde_json::json;
use std::sync::Arc;
use tidespur_api::resource::{EVENTS, JOBS, PODS};
use tidespur_api::{Object, Resource, meta};
use tidespur_rest::DeleteOptions;
use tidespur_store::{Precondition, Store};

pub(super) fn on_deleted(
    store: &mut Store,
    resource: &Resource,
    deleted: &Object,
    options: &DeleteOptions,
) {
    match resource.kind {
        "Job" if options.propagation.as_deref() == Some("Orphan") => release_pods(store, deleted),
        "Namespace" => delete_contents(store, meta::name(deleted)),
        // The core deletes the Pods of other Jobs when it reads the change.
        _ => {}
    }
}

/// Removes the owner reference from the Pods of a deleted Job, so that they are not deleted with it.
fn release_pods(store: &mut Store, job: &Object) {
    let uid = meta::uid(job);
    let owned: Vec<Arc<Object>> = store
        .iter(PODS, meta::namespace(job))
        .filter(|pod| owner_uid(pod) == uid)
        .cloned()
        .collect();
    for pod in owned {
        let mut pod = (*pod).clone();
        meta::set(&mut pod, "ownerReferences", json!([]));
        if let Err(error) = store.update(PODS, pod, &Precondition::default()) {
            tracing::error!(job = uid, %error, "cannot release a Pod of a deleted Job");
        }
    }
}

/// Deletes all objects in a deleted Namespace.
fn delete_contents(store: &mut Store, namespace: &str) {
    for resource in [JOBS, PODS, EVENTS] {
        let objects: Vec<Arc<Object>> = store.iter(resource, namespace).cloned().collect();
        for object in objects {
            let name = meta::name(&object);
            // It was listed under the same lock, so the deletion cannot fail.
            drop(store.delete(resource, namespace, name, &Precondition::default()));
        }
    }
}
