//! The planner as a state machine without I/O. The policy decides about machines; here its actions are applied to
//! tasks, and each task gets exactly one answer.
//!
//! Owns the tasks, the state of nodes and the log of attempts. Called by the event loop of [`crate::run()`].

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

/// Pods of a cancelled request are deleted when they turn up within this many seconds: far longer than an offer can
/// be under way.
const UNWANTED_RETENTION: f64 = 120.0;
/// After a stall of this fraction of the edges' planner timeout the planner gives up all open tasks. Its last heartbeat
/// is at most a quarter of the timeout older than the stall, so an edge that has not yet declared it lost learns of it
/// by the closed connection.
const STALL_FRACTION: f64 = 0.6;

/// A question of an edge where a task is.
#[derive(Debug)]
struct LocateQuery {
    edge: EdgeId,
    uid: String,
    pod: PodName,
    asked_at: f64,
}

/// A task that was acknowledged, and that its edge has not yet committed.
#[derive(Debug)]
struct UncommittedTask {
    edge: EdgeId,
    request: PlacementRequest,
}

/// The planner.
#[derive(Debug)]
pub struct Core {
    config: Config,
    scheduler: Scheduler,
    /// By class: whether its tasks may run twice without harm.
    is_idempotent_class: Vec<bool>,
    tasks: TaskTable,
    /// Acknowledged tasks by uid. Nothing is offered for them.
    uncommitted: BTreeMap<String, UncommittedTask>,
    machine_names: MachineNames,
    nodes: NodeTable,
    /// Whether the node registry has listed its Nodes since this process started.
    has_node_list: bool,
    locate_queries: Vec<LocateQuery>,
    last_step_at: f64,
    pending_reasons: PendingReasons,
    /// Uids of requests of which nothing may run any more, each with the time until which its Pods are deleted when
    /// they turn up.
    unwanted: BTreeMap<String, f64>,
    shedder: LoadShedder,
    attempts: Attempts,
    /// Whether nothing can be stored at present. Then no new task is acknowledged.
    has_storage_failed: bool,
    /// The newest fencing token of each lease, also of earlier processes.
    fence: Fence,
    /// Number of planners that the policy is not yet told.
    new_planner_count: Option<u32>,
}

/// One step of the planner: what it passes to the policy, and what it returns.
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
    /// A planner without tasks and nodes. `ordinal` is its number, from 0, and `zone` where it runs.
    ///
    /// # Errors
    /// Settings that the policy rejects.
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
            unwanted: BTreeMap::new(),
            shedder,
            attempts: Attempts::default(),
            has_storage_failed: false,
            fence: Fence::default(),
            new_planner_count: None,
        })
    }

    /// Takes over what an earlier process stored: the attempts of which something may run, and the newest fencing
    /// tokens.
    #[must_use]
    pub fn with_restored_state(mut self, attempts: Attempts, fence: Fence) -> Self {
        self.attempts = attempts;
        self.fence = fence;
        self
    }

    /// The records that must be synced before the offers and planner counts of the last step may take effect.
    pub fn take_batch(&mut self) -> Batch {
        let mut batch = self.attempts.take_batch();
        batch.extend(self.fence.take_batch());
        batch
    }

    /// Carries out [`Output::SetPlannerCount`]: the next step tells the policy.
    pub fn set_planner_count(&mut self, planners: u32) {
        self.new_planner_count = Some(planners);
    }

    /// Sets whether nothing can be stored at present. Then no new task is acknowledged, so that its edge hands it to
    /// another planner.
    pub fn set_storage_failed(&mut self, has_failed: bool) {
        self.has_storage_failed = has_failed;
    }

    /// Whether an offer that was held back is still to be sent: its task may have been given up meanwhile.
    pub fn is_offer_current(&self, task: TaskId, attempt: u32) -> bool {
        self.tasks.get(task).is_some_and(|record| {
            matches!(record.stage, Stage::Offered { attempt: current, .. } if current == attempt)
        })
    }

    /// The number of tasks that are known.
    pub fn task_count(&self) -> usize {
        self.tasks.len()
    }

    /// Handles `inputs`, all at the time `now` in seconds, and appends the effects to carry out.
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
        self.unwanted.retain(|_, until| now < *until);
    }

    /// Gives up all open tasks after a stall (stopped, starved, or its machine suspended), before any input is handled:
    /// edges may have answered for them meanwhile, so nothing may be sent for them. Also guards against a step that
    /// took too long. Cost: open tasks are rejected or failed although the planner is back.
    fn detect_stall(&mut self, step: &mut Step<'_>) {
        let stalled_for = step.now - self.last_step_at;
        self.last_step_at = step.now;
        if stalled_for <= STALL_FRACTION * self.config.edge.planner_timeout {
            return;
        }
        step.outputs.push(Output::Log(format!(
            "event loop stalled for {stalled_for:.1} s: gives up all open tasks"
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
