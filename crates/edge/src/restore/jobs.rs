//! Restores the Job controller: slots, counters and phase of each Job, and Pods that belong to no Job.

use super::{PodsByJob, RestoreError, malformed_key, read};
use crate::core::Core;
use crate::persisted_records::{JOB_KIND, SLOT_KIND, STRAY_POD_KIND};
use serde_json::Value;
use std::collections::BTreeMap;
use tidespur_api::resource::JOBS;
use tidespur_api::{Object, meta};
use tidespur_job_controller::{
    Event, JobPhase, JobView, PersistedSlot, PodOutcome, PodPhase, PodView, RestoredJob,
};
use tidespur_persistence::LoadedRecords;
use tidespur_store::Store;

/// Persisted slots with their numbers, by uid of the Job.
type SlotsByJob<'a> = BTreeMap<&'a str, Vec<(u32, PersistedSlot)>>;

impl Core {
    pub(super) fn restore_jobs(
        &mut self,
        now: f64,
        records: &LoadedRecords,
        store: &Store,
        mut pods_by_job: PodsByJob,
    ) -> Result<(), RestoreError> {
        let mut slots_by_job = read_slots(records)?;
        let mut next_slots: BTreeMap<&str, u32> = BTreeMap::new();
        for (job, bytes) in records.records_of_kind(JOB_KIND) {
            next_slots.insert(job, read(JOB_KIND, job, bytes)?);
        }
        let mut events = Vec::new();
        for job in store.iter(JOBS, "") {
            let uid = meta::uid(job);
            let mut restored = restored_job(job, now);
            restored.next_slot = next_slots.get(uid).copied().unwrap_or(0);
            restored.slots = slots_by_job.remove(uid).unwrap_or_default();
            add_pods(&mut restored, pods_by_job.remove(uid).unwrap_or_default());
            events.push(Event::JobRestored(Box::new(restored)));
        }
        for (uid, _) in records.records_of_kind(STRAY_POD_KIND) {
            let uid = uid.to_owned();
            events.push(Event::StrayPodRestored { uid });
        }
        // Events of restored state result in no actions.
        let mut actions = Vec::new();
        self.controller.observe_all(now, events, &mut actions);
        Ok(())
    }
}

fn read_slots(records: &LoadedRecords) -> Result<SlotsByJob<'_>, RestoreError> {
    let mut slots_by_job = SlotsByJob::new();
    for (key, bytes) in records.records_of_kind(SLOT_KIND) {
        let (job, number) = key
            .rsplit_once('/')
            .ok_or_else(|| malformed_key(SLOT_KIND, key))?;
        let number = number
            .parse()
            .map_err(|_not_a_number| malformed_key(SLOT_KIND, key))?;
        let slot = read(SLOT_KIND, key, bytes)?;
        slots_by_job.entry(job).or_default().push((number, slot));
    }
    Ok(slots_by_job)
}

/// Adds the Pods of a Job: those that occupy slots, and those that ended without success.
fn add_pods(restored: &mut RestoredJob, pods: Vec<(u32, PodView)>) {
    for (number, pod) in pods {
        match pod.phase {
            PodPhase::Ended(PodOutcome::Succeeded) => {}
            PodPhase::Ended(_) => restored.unsuccessful_pods.push(pod),
            _ => restored.pods.push((number, pod)),
        }
    }
}

/// The state that the object of a Job contains, without slots and Pods.
fn restored_job(job: &Object, now: f64) -> RestoredJob {
    let status = meta::value_at(job, &["status"]);
    let count = |key: &str| {
        let count = status[key].as_u64().unwrap_or(0);
        u32::try_from(count).unwrap_or(0)
    };
    let start_time = meta::unix(meta::text_at(status, &["startTime"]));
    RestoredJob {
        view: JobView::read(job),
        succeeded: count("succeeded"),
        failed: count("failed"),
        phase: phase(status),
        started: start_time.unwrap_or(now),
        ended: end_time(status, now),
        next_slot: 0,
        pods: vec![],
        slots: vec![],
        unsuccessful_pods: vec![],
    }
}

/// The condition of this type, if its status is `True`.
fn true_condition<'a>(status: &'a Value, condition_type: &str) -> Option<&'a Value> {
    let conditions = status["conditions"].as_array()?;
    conditions
        .iter()
        .find(|condition| condition["type"] == condition_type && condition["status"] == "True")
}

fn phase(status: &Value) -> JobPhase {
    if let Some(failed) = true_condition(status, "Failed") {
        if failed["reason"] == "DeadlineExceeded" {
            JobPhase::DeadlineExceeded
        } else {
            JobPhase::BackoffLimitExceeded
        }
    } else if true_condition(status, "Complete").is_some() {
        JobPhase::Complete
    } else if true_condition(status, "Suspended").is_some() {
        JobPhase::Suspended
    } else {
        JobPhase::Active
    }
}

fn end_time(status: &Value, now: f64) -> Option<f64> {
    let condition =
        true_condition(status, "Failed").or_else(|| true_condition(status, "Complete"))?;
    let transition = meta::unix(meta::text_at(condition, &["lastTransitionTime"]));
    Some(transition.unwrap_or(now))
}
