//! Tracks why each open task is pending, and writes the reasons to Pods and Events. Owned by the core, which reports
//! answers and updates of planners to it.

use crate::core::PodName;
use crate::dispatcher::{Dispatcher, PlannerId};
use crate::events::{self, EventType};
use crate::garbage_collector::GarbageCollector;
use crate::pod_status;
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::sync::Arc;
use tidespur_api::resource::{EVENTS, PODS};
use tidespur_api::{Object, meta, task::PlacementRequest};
use tidespur_pending::{PendingRecord, PendingRecords, ReasonUpdate, Settings, StatusUpdate};
use tidespur_store::{Precondition, Store};
use tidespur_units::Resources;

/// How often the reasons are updated and written, in seconds.
const UPDATE_INTERVAL: f64 = 0.25;

/// Records of pending work, and the Events that show them.
#[derive(Debug)]
pub(crate) struct PendingStatus {
    /// Shared with the handlers of API requests.
    records: Arc<Mutex<PendingRecords>>,
    next_update: f64,
    /// Name of the Event that shows why a Pod is pending, by uid of the Pod.
    event_names: BTreeMap<String, String>,
}

impl PendingStatus {
    pub(crate) fn new() -> Self {
        let records = PendingRecords::new(Settings::default());
        Self {
            records: Arc::new(Mutex::new(records)),
            next_update: 0.0,
            event_names: BTreeMap::new(),
        }
    }

    pub(crate) fn records(&self) -> Arc<Mutex<PendingRecords>> {
        self.records.clone()
    }

    /// Opens a record for a task that was created.
    pub(crate) fn open(&mut self, now: f64, request: &PlacementRequest, pod: &str) {
        let record = PendingRecord {
            namespace: request.tenant.clone(),
            pod: pod.to_owned(),
            service: request.service.clone(),
            class: request.class.clone(),
            requested: Resources::new(request.cores, request.memory),
            since: now,
            updated_at: now,
            codes: vec![],
            message: String::new(),
            hint: None,
            last_update: None,
            spans: Default::default(),
        };
        self.records.lock().open(now, &request.uid, record);
    }

    /// Closes the record of a task that was answered or deleted.
    pub(crate) fn close(&mut self, uid: &str) {
        self.records.lock().close(uid);
        self.event_names.remove(uid);
    }

    /// Applies the updates of a planner. Updates of tasks that are not assigned to it are outdated and ignored.
    pub(crate) fn apply_updates(
        &mut self,
        now: f64,
        planner: PlannerId,
        updates: Vec<ReasonUpdate>,
        dispatcher: &Dispatcher,
    ) {
        let mut records = self.records.lock();
        for update in updates {
            if dispatcher.is_assigned_to(&update.uid, planner) {
                records.apply_update(now, update);
            }
        }
    }

    /// Clears the reason that the edge itself has set, since a planner has the task now.
    pub(crate) fn clear_edge_reason(&mut self, now: f64, uid: &str) {
        self.records.lock().clear_edge_reason(now, uid);
    }

    pub(crate) fn next_wake(&self, dispatcher: &Dispatcher) -> Option<f64> {
        (dispatcher.open_tasks() > 0).then_some(self.next_update)
    }

    /// Updates the reasons of tasks that no planner has acknowledged, and writes the updates that are due to Pods and
    /// Events.
    pub(crate) fn update(
        &mut self,
        now: f64,
        dispatcher: &Dispatcher,
        pod_names: &BTreeMap<String, PodName>,
        store: &mut Store,
        events: &mut GarbageCollector,
    ) {
        if now < self.next_update {
            return;
        }
        self.next_update = now + UPDATE_INTERVAL;
        for update in self.due_updates(now, dispatcher) {
            let Some(pod_name) = pod_names.get(&update.uid) else {
                continue;
            };
            let Some(pod) = store.get(PODS, &pod_name.namespace, &pod_name.name) else {
                continue;
            };
            if meta::uid(pod) != update.uid {
                continue;
            }
            let pod = pod.clone();
            write_pod(now, &pod, &update, store);
            self.write_event(now, &pod, &update, store, events);
        }
    }

    fn due_updates(&self, now: f64, dispatcher: &Dispatcher) -> Vec<StatusUpdate> {
        let mut records = self.records.lock();
        for (uid, reason) in dispatcher.unassigned_tasks(now) {
            records.set_edge_reason(now, uid, reason);
        }
        records.due_updates(now)
    }

    /// Creates the Event of a pending Pod, or increments its count. A Pod has one Event for the whole time that it is
    /// pending, as in the Kubernetes API.
    fn write_event(
        &mut self,
        now: f64,
        pod: &Object,
        update: &StatusUpdate,
        store: &mut Store,
        events: &mut GarbageCollector,
    ) {
        let namespace = meta::namespace(pod);
        let existing = self
            .event_names
            .get(&update.uid)
            .and_then(|name| store.get(EVENTS, namespace, name))
            .cloned();
        let written = match existing {
            Some(event) => {
                let mut event = (*event).clone();
                events::repeat(&mut event, &update.message, update.count, now);
                store.update(EVENTS, event, &Precondition::default())
            }
            None => {
                let name = format!("{}.{}", meta::name(pod), store.random_suffix());
                self.event_names.insert(update.uid.clone(), name.clone());
                let (event_type, reason) = (EventType::Warning, "FailedScheduling");
                let event = events::pod_event(pod, &name, event_type, reason, &update.message, now);
                store
                    .create(EVENTS, event, now)
                    .inspect(|event| events.add(event, store))
            }
        };
        if let Err(error) = written {
            tracing::debug!(uid = update.uid, %error, "cannot write the Event of a pending Pod");
        }
    }
}

fn write_pod(now: f64, pod: &Object, update: &StatusUpdate, store: &mut Store) {
    let mut pending = pod.clone();
    pod_status::set_unschedulable(&mut pending, &update.message, now);
    if let Err(error) = store.update(PODS, pending, &Precondition::default()) {
        tracing::error!(uid = update.uid, %error, "cannot update the condition of a pending Pod");
    }
}
