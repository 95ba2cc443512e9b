//! The edge as a state machine over its store, without I/O: it passes changes of the store to the dispatcher and the
//! Job controller as events, and applies their actions to the store or sends them to planners. It makes no decisions
//! itself. Owned by the server's event loop.

use crate::dispatcher::{self, Dispatcher, PlannerId};
use crate::garbage_collector::GarbageCollector;
use crate::pending_status::PendingStatus;
use crate::persisted_records::PendingWrites;
use parking_lot::Mutex;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use tidespur_api::resource::{EVENTS, JOBS, PODS};
use tidespur_api::{Object, meta};
use tidespur_config::Config;
use tidespur_job_controller::{self as controller, Controller};
use tidespur_pending::PendingRecords;
use tidespur_planner_protocol::ToEdge;
use tidespur_store::{ChangeReader, Store};

mod apply_actions;
mod changes;
mod controller_actions;
mod input;
mod nodes;
mod settings;

pub use input::{Input, OutgoingMessage};
use settings::{controller_settings, dispatcher_settings};

/// Namespace and name of a Pod.
#[derive(Clone, Debug)]
pub(crate) struct PodName {
    pub(crate) namespace: String,
    pub(crate) name: String,
}

/// Ended Pods that are kept for users to read; the oldest ones above this number are deleted.
const MAX_ENDED_PODS: usize = 12_500;
/// Events that are kept; the oldest ones above this number are deleted.
const MAX_EVENTS: usize = 5_000;
/// Changes of one resource that are read from the store at a time.
const MAX_CHANGES_PER_READ: usize = 1_024;

/// The state machine of the edge.
#[derive(Debug)]
pub struct Core {
    pub(crate) config: Config,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) controller: Controller,
    pub(crate) job_changes: ChangeReader,
    pub(crate) pod_changes: ChangeReader,
    /// Names of the Pods that wait for an answer or are placed, by uid.
    pub(crate) pod_names: BTreeMap<String, PodName>,
    pub(crate) ended_pods: GarbageCollector,
    pub(crate) events: GarbageCollector,
    pub(crate) pending_status: PendingStatus,
    /// Changes that the next batch persists.
    pub(crate) pending_writes: PendingWrites,
    /// Events of the restored tasks; the first step delivers them to the dispatcher.
    pub(crate) restored_events: Vec<dispatcher::Event>,
}

/// What the handlers of one step share: the store, and the events and messages that they produce.
pub(crate) struct StepContext<'a> {
    pub(crate) now: f64,
    pub(crate) store: &'a mut Store,
    pub(crate) dispatcher_events: Vec<dispatcher::Event>,
    pub(crate) controller_events: VecDeque<controller::Event>,
    pub(crate) messages: &'a mut Vec<OutgoingMessage>,
}

impl StepContext<'_> {
    fn has_no_events(&self) -> bool {
        self.controller_events.is_empty() && self.dispatcher_events.is_empty()
    }
}

impl Core {
    /// The core of an edge that has not read its store yet. `seed` determines all its random numbers.
    pub fn new(config: Config, seed: u64) -> Self {
        Self {
            dispatcher: Dispatcher::new(dispatcher_settings(&config)),
            controller: Controller::new(controller_settings(&config), seed),
            config,
            job_changes: ChangeReader::new(JOBS),
            pod_changes: ChangeReader::new(PODS),
            pod_names: BTreeMap::new(),
            ended_pods: GarbageCollector::new(PODS, MAX_ENDED_PODS),
            events: GarbageCollector::new(EVENTS, MAX_EVENTS),
            pending_status: PendingStatus::new(),
            pending_writes: PendingWrites::default(),
            restored_events: Vec::new(),
        }
    }

    /// Number of tasks without an answer.
    pub fn open_tasks(&self) -> usize {
        self.dispatcher.open_tasks()
    }

    /// The records of pending work, shared with the handlers of API requests.
    pub fn pending_records(&self) -> Arc<Mutex<PendingRecords>> {
        self.pending_status.records()
    }

    /// How often the core was too late to read changes from the store's history and compared all objects instead.
    pub fn resync_count(&self) -> u64 {
        self.job_changes.resync_count() + self.pod_changes.resync_count()
    }

    /// Number of connected planners.
    pub fn connected_planners(&self) -> usize {
        self.dispatcher.connected_planners()
    }

    /// When the next step is due even without input, in seconds since 1970; `None` if no timer is pending.
    pub fn next_wake(&self) -> Option<f64> {
        let times = [
            self.dispatcher.next_wake(),
            self.controller.next_wake(),
            self.pending_status.next_wake(&self.dispatcher),
        ];
        times.into_iter().flatten().min_by(f64::total_cmp)
    }

    /// Handles `inputs` and all changes of the store, including those that the step itself causes, and appends the
    /// messages for planners to `messages`.
    pub fn step(
        &mut self,
        now: f64,
        inputs: Vec<Input>,
        store: &mut Store,
        messages: &mut Vec<OutgoingMessage>,
    ) {
        let mut context = StepContext {
            now,
            store,
            dispatcher_events: std::mem::take(&mut self.restored_events),
            controller_events: VecDeque::new(),
            messages,
        };
        for input in inputs {
            self.handle_input(input, &mut context);
        }
        self.pending_status.update(
            now,
            &self.dispatcher,
            &self.pod_names,
            context.store,
            &mut self.events,
        );
        while !self.run_round(&mut context) {}
    }

    fn handle_input(&mut self, input: Input, context: &mut StepContext<'_>) {
        match input {
            Input::PlannerConnected(planner) => context
                .dispatcher_events
                .push(dispatcher::Event::PlannerConnected(planner)),
            Input::PlannerLost(planner) => context
                .dispatcher_events
                .push(dispatcher::Event::PlannerLost(planner)),
            Input::MessageReceived { planner, message } => {
                self.handle_message(planner, message, context);
            }
            Input::NodesListed(listed) => nodes::replace_all(listed, context.store, context.now),
            Input::NodeUpdated(node) => nodes::update(node, context.store, context.now),
            Input::NodeDeleted(node) => nodes::delete(&node, context.store),
            Input::StoreChanged | Input::LagProbe { .. } => {}
        }
    }

    fn handle_message(
        &mut self,
        planner: PlannerId,
        message: ToEdge,
        context: &mut StepContext<'_>,
    ) {
        match message {
            ToEdge::PendingReasons(updates) => {
                self.pending_status
                    .apply_updates(context.now, planner, updates, &self.dispatcher);
            }
            ToEdge::StaleToken {
                lease,
                token,
                newest,
            } => tracing::warn!(
                planner,
                lease,
                token,
                newest,
                "a planner rejected a message with a stale fencing token: another edge holds the lease"
            ),
            message => context
                .dispatcher_events
                .push(dispatcher::Event::MessageReceived { planner, message }),
        }
    }

    /// One round of reading changes and applying the resulting actions. Returns whether there is nothing left to do.
    fn run_round(&mut self, context: &mut StepContext<'_>) -> bool {
        let now = context.now;
        self.read_job_changes(context);
        self.read_pod_changes(context);
        let events = std::mem::take(&mut context.dispatcher_events);
        let mut actions = Vec::new();
        self.dispatcher.step(now, events, &mut actions);
        for action in actions {
            self.apply_dispatcher_action(action, context);
        }
        let events = std::mem::take(&mut context.controller_events);
        let mut actions = Vec::new();
        self.controller.step(now, events.into(), &mut actions);
        let is_idle = actions.is_empty()
            && self.pod_changes.is_current(context.store)
            && self.job_changes.is_current(context.store);
        for action in actions {
            self.apply_controller_action(action, context);
        }
        is_idle && context.has_no_events()
    }
}

/// Uid of the controlling owner of a Pod; empty if there is none.
pub(crate) fn owner_uid(pod: &Object) -> &str {
    let owners = meta::value_at(pod, &["metadata", "ownerReferences"]).as_array();
    let owner = owners
        .into_iter()
        .flatten()
        .find(|owner| owner["controller"] == true);
    owner.map_or("", |owner| meta::text_at(owner, &["uid"]))
}
