//! An edge that comes back: its objects as they stood, each Pod's request led on, each Job's slots.

use super::{JOB, OBJECT, OPEN, Open, SLOT, STRAY, VERSION};
use crate::core::{Core, owner_uid};
use crate::desk;
use std::collections::BTreeMap;
use std::sync::Arc;
use tidespur_api::resource::{JOBS, PODS, RESOURCES};
use tidespur_api::{Object, meta, names, task};
use tidespur_config::RetrySafety;
use tidespur_job_controller::{
    self as controller, JobView, Kept, Past, Phase, PodEnd, PodPhase, PodView,
};
use tidespur_persistence::LoadedRecords;
use tidespur_store::{ChangeReader, Store};

/// A record that this program wrote and can't read.
#[derive(Debug, thiserror::Error)]
#[error(
    "the memory's record {kind} {key:?} can't be read: {why}; restore the folder from a copy, or move it away: what runs is then settled by asking"
)]
pub struct RecallError {
    /// Kind of the record.
    pub kind: String,
    /// Its key.
    pub key: String,
    /// What is wrong with it.
    pub why: String,
}

/// What came back.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Returned {
    /// Objects.
    pub objects: usize,
    /// Pods that a node had.
    pub placed: usize,
    /// Pods that wait for an answer and were never offered.
    pub waiting: usize,
    /// Pods that may have been offered and have no answer.
    pub cut: usize,
}

fn wrong(kind: &str, key: &str, why: impl ToString) -> RecallError {
    RecallError {
        kind: kind.into(),
        key: key.into(),
        why: why.to_string(),
    }
}

fn read<T: serde::de::DeserializeOwned>(
    kind: &str,
    key: &str,
    bytes: &[u8],
) -> Result<T, RecallError> {
    serde_json::from_slice(bytes).map_err(|e| wrong(kind, key, e))
}

/// The version that no earlier process went beyond; 0 where there was none.
///
/// # Errors
/// [`RecallError`].
pub fn version(memory: &LoadedRecords) -> Result<u64, RecallError> {
    memory
        .records_of_kind(VERSION)
        .try_fold(0, |most: u64, (key, bytes)| {
            Ok(most.max(read(VERSION, key, bytes)?))
        })
}

impl Core {
    /// Takes up what an earlier process left, into a store without objects. Placed Pods are adopted where they are;
    /// those that were never offered are placed; those that may have been are settled by asking, or, where a second
    /// start does no harm, refused and whatever runs of them stopped.
    ///
    /// # Errors
    /// [`RecallError`]; nothing may be served then.
    pub fn recall(
        &mut self,
        now: f64,
        memory: &LoadedRecords,
        store: &mut Store,
    ) -> Result<Returned, RecallError> {
        let mut returned = Returned::default();
        for (key, bytes) in memory.records_of_kind(OBJECT) {
            let plural = key.split('/').next().unwrap_or("");
            let resource = RESOURCES.iter().find(|resource| resource.plural == plural);
            let resource = resource.ok_or_else(|| wrong(OBJECT, key, "no such resource"))?;
            store.restore(resource, read(OBJECT, key, bytes)?);
            returned.objects += 1;
        }
        let mut open: BTreeMap<&str, Open> = BTreeMap::new();
        for (uid, bytes) in memory.records_of_kind(OPEN) {
            open.insert(uid, read(OPEN, uid, bytes)?);
        }
        (self.jobs, self.pods) = (
            ChangeReader::from_current(JOBS, store),
            ChangeReader::from_current(PODS, store),
        );
        let (mut pods, mut events): (Vec<Arc<Object>>, Vec<desk::Event>) =
            (store.iter(PODS, "").cloned().collect(), vec![]);
        pods.sort_by_key(|pod| meta::version(pod));
        let mut owned: BTreeMap<&str, Vec<(u32, PodView)>> = BTreeMap::new();
        for pod in &pods {
            let view = PodView::read(pod);
            if let Some(number) = slot_number(pod) {
                owned
                    .entry(owner_uid(pod))
                    .or_default()
                    .push((number, view.clone()));
            }
            if matches!(view.phase, PodPhase::Ended(_)) {
                self.ended.add(pod, store);
                continue;
            }
            let ask = task::placement_request(pod);
            self.known.insert(
                view.uid.clone(),
                (view.namespace.clone(), view.name.clone()),
            );
            let class = self.config.class_or_default(&ask.class);
            let safe = class.is_some_and(|class| class.retry_safety == RetrySafety::Idempotent);
            if view.phase != PodPhase::Waiting {
                let node = meta::text_at(pod, &["spec", "nodeName"]).to_owned();
                events.push(desk::Event::Adopt(ask, node));
                returned.placed += 1;
                continue;
            }
            let within = ask
                .timeout
                .or(class.map(|class| class.deadline))
                .unwrap_or(0.0);
            match open.get(view.uid.as_str()) {
                Some(Open { gone: true, .. }) => {
                    events.push(desk::Event::Cut(ask, safe));
                    returned.cut += 1;
                }
                known => {
                    // A clock that was set back must not make its owner wait longer than it asked for.
                    let deadline =
                        known.map_or(now + within, |open| open.deadline.min(now + within));
                    self.waits.open(now, &ask, &view.name);
                    events.push(desk::Event::Submit(ask, deadline, safe));
                    returned.waiting += 1;
                }
            }
        }
        self.recall_jobs(now, memory, store, owned)?;
        self.returning = events;
        Ok(returned)
    }

    fn recall_jobs(
        &mut self,
        now: f64,
        memory: &LoadedRecords,
        store: &Store,
        mut owned: BTreeMap<&str, Vec<(u32, PodView)>>,
    ) -> Result<(), RecallError> {
        let mut slots: BTreeMap<&str, Vec<(u32, Kept)>> = BTreeMap::new();
        for (key, bytes) in memory.records_of_kind(SLOT) {
            let (job, number) = key
                .rsplit_once('/')
                .ok_or_else(|| wrong(SLOT, key, "no number"))?;
            let number = number.parse().map_err(|e| wrong(SLOT, key, e))?;
            slots
                .entry(job)
                .or_default()
                .push((number, read(SLOT, key, bytes)?));
        }
        let mut numbers: BTreeMap<&str, u32> = BTreeMap::new();
        for (job, bytes) in memory.records_of_kind(JOB) {
            numbers.insert(job, read(JOB, job, bytes)?);
        }
        let mut events = Vec::new();
        for job in store.iter(JOBS, "") {
            let uid = meta::uid(job);
            let all = owned.remove(uid).unwrap_or_default();
            let (over, pods) = all
                .into_iter()
                .partition::<Vec<_>, _>(|(_, pod)| matches!(pod.phase, PodPhase::Ended(_)));
            let leftovers = over.into_iter().map(|(_, pod)| pod);
            let leftovers = leftovers
                .filter(|pod| pod.phase != PodPhase::Ended(PodEnd::Succeeded))
                .collect::<Vec<_>>();
            let past = Past {
                next_slot: numbers.get(uid).copied().unwrap_or(0),
                kept: slots.remove(uid).unwrap_or_default(),
                pods,
                leftovers,
                ..past(job, now)
            };
            events.push(controller::Event::Recall(Box::new(past)));
        }
        events.extend(
            memory
                .records_of_kind(STRAY)
                .map(|(uid, _)| controller::Event::RecallStray(uid.to_owned())),
        );
        let mut none = Vec::new();
        self.controller.observe_all(now, events, &mut none);
        Ok(())
    }
}

/// Number of the slot that a Job's Pod stands for.
fn slot_number(pod: &Object) -> Option<u32> {
    let (job, number) = meta::annotation(pod, names::IDEMPOTENCY_KEY)?.rsplit_once('/')?;
    (!job.is_empty() && job == owner_uid(pod)).then(|| number.parse().ok())?
}

/// What a Job's status tells of its past.
fn past(job: &Object, now: f64) -> Past {
    let status = meta::value_at(job, &["status"]);
    let count = |key: &str| {
        status[key]
            .as_u64()
            .and_then(|n| u32::try_from(n).ok())
            .unwrap_or(0)
    };
    let time = |key: &str| meta::unix(meta::text_at(status, &[key]));
    let conditions = status["conditions"].as_array();
    let on = |kind: &str| {
        let is = |c: &&Object| c["type"] == kind && c["status"] == "True";
        conditions.into_iter().flatten().find(is)
    };
    let phase = match on("Failed") {
        Some(failed) if failed["reason"] == "DeadlineExceeded" => Phase::DeadlineExceeded,
        Some(_) => Phase::BackoffLimitExceeded,
        None if on("Complete").is_some() => Phase::Complete,
        None if on("Suspended").is_some() => Phase::Suspended,
        None => Phase::Open,
    };
    let over = on("Failed").or(on("Complete"));
    let ended = over.map(|c| meta::unix(meta::text_at(c, &["lastTransitionTime"])).unwrap_or(now));
    Past {
        view: JobView::read(job),
        succeeded: count("succeeded"),
        failed: count("failed"),
        phase,
        started: time("startTime").unwrap_or(now),
        ended,
        next_slot: 0,
        pods: vec![],
        kept: vec![],
        leftovers: vec![],
    }
}
