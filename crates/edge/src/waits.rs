//! Why work waits, at the edge: the record of each open task, and what of it is written to Pods and Events.

use crate::desk::{Desk, PlannerId};
use crate::garbage::Garbage;
use crate::pods;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tidespur_api::resource::{EVENTS, PODS};
use tidespur_api::{Object, meta, task::PlacementRequest};
use tidespur_pending::{PendingRecord, PendingRecords, ReasonUpdate, Settings, StatusUpdate};
use tidespur_store::{Precondition, Store};
use tidespur_units::Resources;

/// The desk is asked this often what nobody has taken.
const LOOK_EVERY: f64 = 0.25;

/// Records of what waits; shared with those who answer questions about it.
#[derive(Debug)]
pub(crate) struct Waits {
    ledger: Arc<Mutex<PendingRecords>>,
    look_at: f64,
    /// Name of the one Event of a Pod that tells of its wait.
    events: BTreeMap<String, String>,
}

/// What is under a lock; each change of it is one call, so a panic leaves none half made.
pub(crate) fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Waits {
    pub(crate) fn new() -> Self {
        let ledger = Arc::new(Mutex::new(PendingRecords::new(Settings::default())));
        Self {
            ledger,
            look_at: 0.0,
            events: BTreeMap::new(),
        }
    }

    pub(crate) fn ledger(&self) -> Arc<Mutex<PendingRecords>> {
        self.ledger.clone()
    }

    /// A task to place was taken.
    pub(crate) fn open(&mut self, now: f64, ask: &PlacementRequest, pod: &str) {
        let record = PendingRecord {
            namespace: ask.tenant.clone(),
            pod: pod.to_owned(),
            service: ask.service.clone(),
            class: ask.class.clone(),
            requested: Resources::new(ask.cores, ask.memory),
            since: now,
            updated_at: now,
            codes: vec![],
            message: String::new(),
            hint: None,
            last_update: None,
            spans: Default::default(),
        };
        lock(&self.ledger).open(now, &ask.uid, record);
    }

    /// It has its answer, or nobody wants it any more.
    pub(crate) fn close(&mut self, uid: &str) {
        lock(&self.ledger).close(uid);
        self.events.remove(uid);
    }

    /// A planner's words, of tasks that it has: a word on another is late.
    pub(crate) fn told(
        &mut self,
        now: f64,
        planner: PlannerId,
        words: Vec<ReasonUpdate>,
        desk: &Desk,
    ) {
        let mut ledger = lock(&self.ledger);
        words
            .into_iter()
            .filter(|word| desk.is_with(&word.uid, planner))
            .for_each(|word| ledger.apply_update(now, word));
    }

    /// A planner has it now: the edge's own reasons hold no more.
    pub(crate) fn taken(&mut self, now: f64, uid: &str) {
        lock(&self.ledger).clear_edge_reason(now, uid);
    }

    pub(crate) fn next_wake(&self, desk: &Desk) -> Option<f64> {
        (desk.open() > 0).then_some(self.look_at)
    }

    /// Looks at what nobody has taken, and writes what is due.
    pub(crate) fn look(
        &mut self,
        now: f64,
        desk: &Desk,
        names: &BTreeMap<String, (String, String)>,
        store: &mut Store,
        kept: &mut Garbage,
    ) {
        if now < self.look_at {
            return;
        }
        self.look_at = now + LOOK_EVERY;
        let due = {
            let mut ledger = lock(&self.ledger);
            desk.untaken(now)
                .for_each(|(uid, code)| ledger.set_edge_reason(now, uid, code));
            ledger.due_updates(now)
        };
        for write in due {
            let Some((space, name)) = names.get(&write.uid) else {
                continue;
            };
            let Some(pod) = store
                .get(PODS, space, name)
                .filter(|pod| meta::uid(pod) == write.uid)
                .cloned()
            else {
                continue;
            };
            let mut waits = (*pod).clone();
            pods::waits(&mut waits, &write.message, now);
            if let Err(problem) = store.update(PODS, waits, &Precondition::default()) {
                tracing::error!(uid = write.uid, %problem, "a Pod's wait can't be written");
            }
            self.event(now, &pod, &write, store, kept);
        }
    }

    /// One Event for the whole wait: its count and series grow, as published ones do.
    fn event(
        &mut self,
        now: f64,
        pod: &Object,
        write: &StatusUpdate,
        store: &mut Store,
        kept: &mut Garbage,
    ) {
        let space = meta::namespace(pod);
        let known = self
            .events
            .get(&write.uid)
            .and_then(|name| store.get(EVENTS, space, name))
            .cloned();
        let done = match known {
            Some(event) => {
                let mut event = (*event).clone();
                pods::repeat_event(&mut event, &write.message, write.count, now);
                store.update(EVENTS, event, &Precondition::default())
            }
            None => {
                let name = format!("{}.{}", meta::name(pod), store.random_suffix());
                self.events.insert(write.uid.clone(), name.clone());
                let event = pods::event(
                    pod,
                    name,
                    "Warning",
                    "FailedScheduling",
                    &write.message,
                    now,
                );
                store
                    .create(EVENTS, event, now)
                    .inspect(|event| kept.add(event, store))
            }
        };
        if let Err(problem) = done {
            tracing::debug!(uid = write.uid, %problem, "an Event can't be written");
        }
    }
}
