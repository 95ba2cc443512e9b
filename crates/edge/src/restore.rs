//! Restores the edge after a restart from the records of [`crate::persisted_records`]: its objects, the request of each
//! Pod, and the slots of each Job. No I/O; called once, before the first step.

use crate::core::{Core, PodName, owner_uid};
use crate::dispatcher;
use crate::persisted_records::{OBJECT_KIND, OPEN_REQUEST_KIND, OpenRequest, VERSION_KIND};
use std::collections::BTreeMap;
use std::sync::Arc;
use tidespur_api::resource::{JOBS, PODS, RESOURCES};
use tidespur_api::{Object, meta, names, task};
use tidespur_job_controller::{PodPhase, PodView};
use tidespur_persistence::LoadedRecords;
use tidespur_store::{ChangeReader, Store};

mod jobs;

/// A record that an earlier process wrote and this one cannot read.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum RestoreError {
    /// The value of a record is malformed.
    #[error(
        "the stored record {kind} {key:?} is malformed: {reason}; restore the data directory from a copy, or move it away: running Pods are then located by asking the nodes"
    )]
    MalformedRecord {
        /// Kind of the record, as listed in [`crate::persisted_records`].
        kind: String,
        /// Key of the record.
        key: String,
        /// Error of the JSON parser.
        reason: serde_json::Error,
    },
    /// The key of a record is malformed.
    #[error(
        "the stored record {kind} {key:?} has a malformed key; restore the data directory from a copy, or move it away: running Pods are then located by asking the nodes"
    )]
    MalformedKey {
        /// Kind of the record, as listed in [`crate::persisted_records`].
        kind: String,
        /// Key of the record.
        key: String,
    },
}

/// Numbers of restored objects and Pods.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RestoredCounts {
    /// Objects of all resources.
    pub objects: usize,
    /// Pods that a node had accepted and that have not ended.
    pub placed: usize,
    /// Pods without an answer that were certainly not offered to nodes.
    pub queued: usize,
    /// Pods without an answer that may have been offered to nodes.
    pub interrupted: usize,
}

/// Pods of Jobs with their slot numbers, by uid of the Job.
type PodsByJob = BTreeMap<String, Vec<(u32, PodView)>>;

fn malformed_key(kind: &str, key: &str) -> RestoreError {
    RestoreError::MalformedKey {
        kind: kind.to_owned(),
        key: key.to_owned(),
    }
}

fn read<T: serde::de::DeserializeOwned>(
    kind: &str,
    key: &str,
    bytes: &[u8],
) -> Result<T, RestoreError> {
    serde_json::from_slice(bytes).map_err(|reason| RestoreError::MalformedRecord {
        kind: kind.to_owned(),
        key: key.to_owned(),
        reason,
    })
}

/// Upper bound of the resource versions that earlier processes published; 0 without records.
///
/// # Errors
/// [`RestoreError`] if its record is malformed.
pub fn reserved_version(records: &LoadedRecords) -> Result<u64, RestoreError> {
    let mut highest = 0;
    for (key, bytes) in records.records_of_kind(VERSION_KIND) {
        highest = highest.max(read(VERSION_KIND, key, bytes)?);
    }
    Ok(highest)
}

impl Core {
    /// Restores the state that an earlier process persisted into a store without objects. Placed Pods are adopted on
    /// their nodes, and Pods that were not offered to nodes are placed. Pods that may have been offered fail with an
    /// unknown outcome, so that the Job controller locates them; if a second run is harmless, they are rejected instead
    /// and any running instance is stopped.
    ///
    /// # Errors
    /// [`RestoreError`] if a record is malformed. The edge must not serve requests then.
    pub fn restore(
        &mut self,
        now: f64,
        records: &LoadedRecords,
        store: &mut Store,
    ) -> Result<RestoredCounts, RestoreError> {
        let mut restored = RestoredCounts {
            objects: restore_objects(records, store)?,
            ..RestoredCounts::default()
        };
        let mut open_requests: BTreeMap<&str, OpenRequest> = BTreeMap::new();
        for (uid, bytes) in records.records_of_kind(OPEN_REQUEST_KIND) {
            open_requests.insert(uid, read(OPEN_REQUEST_KIND, uid, bytes)?);
        }
        self.job_changes = ChangeReader::from_current(JOBS, store);
        self.pod_changes = ChangeReader::from_current(PODS, store);
        let mut pods: Vec<Arc<Object>> = store.iter(PODS, "").cloned().collect();
        pods.sort_by_key(|pod| meta::version(pod));
        let mut pods_by_job = PodsByJob::new();
        for pod in &pods {
            let view = PodView::read(pod);
            if let Some(number) = slot_number(pod) {
                let job_uid = owner_uid(pod).to_owned();
                let pods_of_job = pods_by_job.entry(job_uid).or_default();
                pods_of_job.push((number, view.clone()));
            }
            if matches!(view.phase, PodPhase::Ended(_)) {
                self.ended_pods.add(pod, store);
                continue;
            }
            let open_request = open_requests.get(view.uid.as_str()).copied();
            self.restore_request(now, pod, view, open_request, &mut restored);
        }
        self.restore_jobs(now, records, store, pods_by_job)?;
        Ok(restored)
    }

    /// Restores the request of a Pod that has not ended.
    fn restore_request(
        &mut self,
        now: f64,
        pod: &Object,
        view: PodView,
        open_request: Option<OpenRequest>,
        restored: &mut RestoredCounts,
    ) {
        let request = task::placement_request(pod);
        let terms = self.placement_terms(&request);
        let is_idempotent = terms.is_idempotent;
        let event = if view.phase != PodPhase::Pending {
            restored.placed += 1;
            let node = meta::text_at(pod, &["spec", "nodeName"]).to_owned();
            dispatcher::Event::RunningTaskAdopted { request, node }
        } else if open_request.is_some_and(|open| open.may_be_offered) {
            restored.interrupted += 1;
            dispatcher::Event::TaskInterrupted {
                request,
                is_idempotent,
            }
        } else {
            restored.queued += 1;
            // If the clock was set back, the owner must not wait longer than its timeout.
            let latest = now + terms.timeout;
            let deadline = open_request.map_or(latest, |open| open.deadline.min(latest));
            self.pending_status.open(now, &request, &view.name);
            dispatcher::Event::TaskSubmitted {
                request,
                deadline,
                is_idempotent,
            }
        };
        self.restored_events.push(event);
        let (namespace, name) = (view.namespace, view.name);
        self.pod_names.insert(view.uid, PodName { namespace, name });
    }
}

/// Restores all objects; returns their number.
fn restore_objects(records: &LoadedRecords, store: &mut Store) -> Result<usize, RestoreError> {
    let mut count = 0;
    for (key, bytes) in records.records_of_kind(OBJECT_KIND) {
        let plural = key.split('/').next().unwrap_or("");
        let resource = RESOURCES
            .iter()
            .find(|resource| resource.plural == plural)
            .ok_or_else(|| malformed_key(OBJECT_KIND, key))?;
        store.restore(resource, read(OBJECT_KIND, key, bytes)?);
        count += 1;
    }
    Ok(count)
}

/// Number of the slot that a Job's Pod occupies.
fn slot_number(pod: &Object) -> Option<u32> {
    let key = meta::annotation(pod, names::IDEMPOTENCY_KEY)?;
    let (job, number) = key.rsplit_once('/')?;
    if job.is_empty() || job != owner_uid(pod) {
        return None;
    }
    number.parse().ok()
}
