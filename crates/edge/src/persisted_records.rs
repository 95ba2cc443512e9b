//! The records that the edge persists, and collecting their changes for the next batch. [`crate::restore`] reads them
//! after a restart. No I/O.
//!
//! | kind | key | value |
//! | --- | --- | --- |
//! | `object` | resource/namespace/name | the object |
//! | `version` | empty | upper bound of all resource versions that were published |
//! | `open` | uid of the Pod | a Pod without an answer: its deadline, and whether it may have been offered to nodes |
//! | `slot` | uid of the Job/number | state of a slot that no Pod represents |
//! | `job` | uid of the Job | the next slot number |
//! | `stray` | uid of the Pod | a Pod that may run, belongs to no Job and is to be stopped |
//!
//! Nodes are not persisted, since they are read from the node registry again, and neither are Events, which nothing
//! depends on.

use crate::core::Core;
use serde::{Deserialize, Serialize};
use tidespur_api::resource::{JOBS, NAMESPACES, PODS, RESOURCES};
use tidespur_api::{Object, Resource};
use tidespur_job_controller::PersistedSlot;
use tidespur_persistence::{Batch, PersistenceError};
use tidespur_store::Store;

pub(crate) const OBJECT_KIND: &str = "object";
pub(crate) const VERSION_KIND: &str = "version";
pub(crate) const OPEN_REQUEST_KIND: &str = "open";
pub(crate) const SLOT_KIND: &str = "slot";
pub(crate) const JOB_KIND: &str = "job";
pub(crate) const STRAY_POD_KIND: &str = "stray";

/// Number of resource versions that are reserved at a time. A restored store begins above all reserved versions, so
/// that none is published twice.
const RESERVED_VERSIONS: u64 = 1 << 20;

/// The `open` record of a Pod without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct OpenRequest {
    /// When its owner gives up, in seconds since 1970.
    pub(crate) deadline: f64,
    /// A planner got the commit, and may have offered the Pod to nodes.
    #[serde(rename = "gone")]
    pub(crate) may_be_offered: bool,
}

/// Changes of records since the last batch. Changes of objects are tracked by the store.
#[derive(Debug, Default)]
pub(crate) struct PendingWrites {
    batch: Batch,
    /// Resource versions up to this are reserved.
    reserved_version: u64,
    /// Changes are discarded, since the edge does not persist anything.
    is_disabled: bool,
}

impl PendingWrites {
    pub(crate) fn put_open_request(&mut self, uid: &str, deadline: f64, may_be_offered: bool) {
        let request = OpenRequest {
            deadline,
            may_be_offered,
        };
        self.put(OPEN_REQUEST_KIND, uid, &request);
    }

    pub(crate) fn remove_open_request(&mut self, uid: &str) {
        self.remove(OPEN_REQUEST_KIND, uid);
    }

    pub(crate) fn set_slot(&mut self, job: &str, number: u32, slot: Option<&PersistedSlot>) {
        let key = format!("{job}/{number}");
        match slot {
            Some(slot) => self.put(SLOT_KIND, &key, slot),
            None => self.remove(SLOT_KIND, &key),
        }
    }

    pub(crate) fn set_job(&mut self, job: &str, next_slot: Option<u32>) {
        match next_slot {
            Some(next_slot) => self.put(JOB_KIND, job, &next_slot),
            None => self.remove(JOB_KIND, job),
        }
    }

    pub(crate) fn put_stray_pod(&mut self, uid: &str) {
        self.put(STRAY_POD_KIND, uid, &());
    }

    pub(crate) fn remove_stray_pod(&mut self, uid: &str) {
        self.remove(STRAY_POD_KIND, uid);
    }

    fn put(&mut self, kind: &str, key: &str, value: &impl Serialize) {
        if self.is_disabled {
            return;
        }
        // These records consist of a few numbers and names: they always serialize and are far below the maximum size.
        if let Ok(bytes) = serde_json::to_vec(value) {
            drop(self.batch.put(kind, key, bytes));
        }
    }

    fn remove(&mut self, kind: &str, key: &str) {
        if !self.is_disabled {
            self.batch.remove(kind, key);
        }
    }
}

/// All changes since the last call of [`Core::take_writes`].
#[derive(Debug)]
pub struct CollectedWrites {
    /// The changes, which become durable together.
    pub batch: Batch,
    /// Errors of records that are too large and are therefore not in the batch.
    pub errors: Vec<PersistenceError>,
}

/// Whether objects of this resource are persisted.
fn is_persisted(resource: &Resource) -> bool {
    [NAMESPACES, JOBS, PODS]
        .iter()
        .any(|persisted| persisted.index == resource.index)
}

impl Core {
    /// Stops collecting changes, for an edge without a data directory.
    pub fn disable_persistence(&mut self) {
        self.pending_writes.is_disabled = true;
    }

    /// Takes all changes since the last call. Must be called under the same lock of the store as the preceding step, so
    /// that objects, open requests and slots are consistent.
    pub fn take_writes(&mut self, store: &mut Store) -> CollectedWrites {
        let mut batch = std::mem::take(&mut self.pending_writes.batch);
        let mut errors = Vec::new();
        for (object_key, object) in store.take_unpersisted() {
            let resource = &RESOURCES[object_key.0];
            if !is_persisted(resource) {
                continue;
            }
            let key = format!("{}/{}/{}", resource.plural, object_key.1, object_key.2);
            match object {
                None => batch.remove(OBJECT_KIND, &key),
                Some(object) => {
                    // A JSON value always serializes.
                    let bytes = serde_json::to_vec::<Object>(&object).unwrap_or_default();
                    errors.extend(batch.put(OBJECT_KIND, &key, bytes).err());
                }
            }
        }
        let reserved = &mut self.pending_writes.reserved_version;
        if store.version() + RESERVED_VERSIONS / 2 > *reserved {
            *reserved = store.version() + RESERVED_VERSIONS;
            let bytes = reserved.to_string().into_bytes();
            errors.extend(batch.put(VERSION_KIND, "", bytes).err());
        }
        CollectedWrites { batch, errors }
    }
}
