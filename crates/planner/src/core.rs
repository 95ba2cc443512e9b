//! The planner's state machine, without I/O. The scheduling policy chooses machines; the core applies the policy's
//! actions to tasks and ensures that each task gets exactly one answer.
//!
//! Owns the tasks, the state of nodes and the log of attempts. Driven by the event loop of [`crate::run()`].

use crate::attempts::Attempts;
use crate::convert;
use crate::nodes::{MachineNames, NodeTable};
use crate::pending_reasons::{PendingReasons, PlannerState};
use crate::pod::PodName;
use crate::task_table::{EdgeId, Stage, TaskTable};
use std::collections::BTreeMap;
use tidespur_api::task::PlacementRequest;
use tidespur_config::Config;
use tidespur_coordination::Fence;
use tidespur_load_shedding::LoadShedder;
use tidespur_persistence::Batch;
use tidespur_planner_protocol::ToEdge;
use tidespur_policy::Scheduler;
use tidespur_policy::interface::{Event, RetrySafety, SettingsError, TaskId};

mod cancellation;
mod edge_messages;
mod inputs;
mod locate;
mod messages;
mod node_events;
mod offer_answers;
mod pods;
mod policy_actions;

pub use messages::{Input, Offer, OfferAnswer, Output};

/// Pods of an unwanted request are deleted if a node reports them within this time, in seconds. It is far longer than
/// an offer can be in flight.
const UNWANTED_REQUEST_RETENTION: f64 = 120.0;
/// After a stall longer than this fraction of the edges' planner timeout, the planner abandons all open tasks. Its last
/// heartbeat precedes the stall by at most a quarter of the timeout, so an edge that has not yet declared the planner
/// lost learns of the stall by the closed connection.
const STALL_FRACTION: f64 = 0.6;

/// A [`ToPlanner::Locate`](tidespur_planner_protocol::ToPlanner::Locate) that has not been answered yet.
#[derive(Debug)]
struct LocateQuery {
    edge: EdgeId,
    uid: String,
    pod: PodName,
    asked_at: f64,
}

/// A task that was acknowledged and not yet committed by its edge.
#[derive(Debug)]
struct UncommittedTask {
    edge: EdgeId,
    request: PlacementRequest,
}

/// The state of a planner.
#[derive(Debug)]
pub struct Core {
    config: Config,
    scheduler: Scheduler,
    /// By class index: whether its tasks may run more than once.
    is_idempotent_class: Vec<bool>,
    tasks: TaskTable,
    /// Acknowledged tasks by uid. They are not offered to nodes.
    uncommitted: BTreeMap<String, UncommittedTask>,
    machine_names: MachineNames,
    nodes: NodeTable,
    /// Whether the complete node list was received since this process started.
    has_node_list: bool,
    locate_queries: Vec<LocateQuery>,
    last_step_at: f64,
    pending_reasons: PendingReasons,
    /// Uids of cancelled, rejected and abandoned requests, each with the time until which its Pods are deleted when a
    /// node reports them.
    unwanted_requests: BTreeMap<String, f64>,
    shedder: LoadShedder,
    attempts: Attempts,
    /// Whether records can't be written. While it is set, no new task is acknowledged.
    has_storage_failed: bool,
    /// The newest fencing token of each lease, including those that earlier processes stored.
    fence: Fence,
    /// Number of planners that the next step passes to the policy.
    new_planner_count: Option<u32>,
}

/// One step of the core: the events for the policy and the outputs for the caller.
struct Step<'a> {
    now: f64,
    events: Vec<Event>,
    outputs: &'a mut Vec<Output>,
}

impl Step<'_> {
    fn send(&mut self, edge: EdgeId, message: ToEdge) {
        self.outputs.push(Output::SendToEdge(edge, message));
    }
}

impl Core {
    /// Creates a planner without tasks and nodes. `ordinal` counts planners from 0, and `zone` is the planner's zone.
    ///
    /// # Errors
    /// The policy rejects the settings.
    pub fn new(
        config: Config,
        ordinal: usize,
        zone: &str,
        seed: u64,
    ) -> Result<Self, SettingsError> {
        let settings = config.scheduler_settings(ordinal, convert::domain_id(zone));
        let classes = settings.classes.iter();
        let is_idempotent_class = classes
            .clone()
            .map(|class| class.retry_safety == RetrySafety::Idempotent)
            .collect();
        let shedder = LoadShedder::for_classes(
            classes.map(|class| (class.latency_objective, class.priority_weight)),
        );
        Ok(Self {
            scheduler: Scheduler::new(settings, seed)?,
            config,
            is_idempotent_class,
            tasks: TaskTable::default(),
            uncommitted: BTreeMap::new(),
            machine_names: MachineNames::default(),
            nodes: NodeTable::default(),
            has_node_list: false,
            locate_queries: Vec::new(),
            last_step_at: f64::INFINITY,
            pending_reasons: PendingReasons::default(),
            unwanted_requests: BTreeMap::new(),
            shedder,
            attempts: Attempts::default(),
            has_storage_failed: false,
            fence: Fence::default(),
            new_planner_count: None,
        })
    }

    /// Sets the state that earlier processes stored: the attempts that may still run, and the newest fencing tokens.
    #[must_use]
    pub fn with_restored_state(mut self, attempts: Attempts, fence: Fence) -> Self {
        self.attempts = attempts;
        self.fence = fence;
        self
    }

    /// Removes and returns the records that must be synced before the offers and planner counts of the last step take
    /// effect.
    pub fn take_batch(&mut self) -> Batch {
        let mut batch = self.attempts.take_batch();
        batch.extend(self.fence.take_batch());
        batch
    }

    /// Carries out [`Output::SetPlannerCount`]. The next step passes the number to the policy.
    pub fn set_planner_count(&mut self, planners: u32) {
        self.new_planner_count = Some(planners);
    }

    /// Sets whether records can't be written. While they can't, no new task is acknowledged, so that its edge hands it
    /// to another planner.
    pub fn set_storage_failed(&mut self, has_failed: bool) {
        self.has_storage_failed = has_failed;
    }

    /// Whether a deferred offer is still to be sent: its task may have been abandoned in the meantime.
    pub fn is_offer_current(&self, task: TaskId, attempt: u32) -> bool {
        self.tasks.get(task).is_some_and(|record| {
            matches!(record.stage, Stage::Offered { attempt: current, .. } if current == attempt)
        })
    }

    /// The number of committed and adopted tasks that have not ended.
    pub fn task_count(&self) -> usize {
        self.tasks.len()
    }

    /// Handles `inputs` as of `now`, in seconds, and appends the effects to carry out to `outputs`.
    pub fn step(&mut self, now: f64, inputs: Vec<Input>, outputs: &mut Vec<Output>) {
        let mut step = Step {
            now,
            events: Vec::new(),
            outputs,
        };
        if let Some(planners) = self.new_planner_count.take() {
            step.events
                .push(Event::SchedulerCountChanged(planners as usize));
        }
        self.detect_stall(&mut step);
        for input in inputs {
            self.on_input(&mut step, input);
        }
        let mut actions = Vec::new();
        let events = std::mem::take(&mut step.events);
        self.scheduler.step(now, events, &mut actions);
        for action in actions {
            self.apply(&mut step, action);
        }
        self.answer_locate_queries(&mut step);
        if self.config.planner.publishes_pending_reasons {
            self.publish_pending_reasons(&mut step);
        }
        self.unwanted_requests.retain(|_, until| now < *until);
    }

    /// Abandons all open tasks if the process was stalled (stopped, starved of CPU, or suspended with its machine) or
    /// if a step took too long. Runs before any input is handled: edges may have answered for the open tasks in the
    /// meantime, so no message may be sent for them. Cost: open tasks are rejected or failed although the planner is
    /// back.
    fn detect_stall(&mut self, step: &mut Step<'_>) {
        let stalled_for = step.now - self.last_step_at;
        self.last_step_at = step.now;
        if stalled_for <= STALL_FRACTION * self.config.edge.planner_timeout {
            return;
        }
        step.outputs.push(Output::Log(format!(
            "event loop stalled for {stalled_for:.1} s; abandoning all open tasks"
        )));
        step.outputs.push(Output::DisconnectEdges);
        self.abandon_open_tasks(step, |_| true);
    }

    fn publish_pending_reasons(&mut self, step: &mut Step<'_>) {
        let state = PlannerState {
            scheduler: &self.scheduler,
            config: &self.config,
            tasks: &self.tasks,
            nodes: &self.nodes,
            machine_names: &self.machine_names,
        };
        for (edge, message) in self.pending_reasons.refresh(step.now, &state) {
            step.send(edge, message);
        }
    }
}
