//! Settings, events and actions of the dispatcher.

use super::PlannerId;
use tidespur_api::task::PlacementRequest;
use tidespur_planner_protocol::{Location, TerminationReason, ToEdge, ToPlanner};

/// Bounds and durations.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Open tasks that one planner may have.
    pub max_tasks_per_planner: usize,
    /// Whether all tasks of one service go to one planner while that planner is connected.
    pub single_planner_per_service: bool,
    /// A planner answers by the deadline; the edge answers for it this much later, in seconds.
    pub answer_slack: f64,
    /// How long planners may take to say where a task is, in seconds.
    pub locate_timeout: f64,
    /// A planner that has not acknowledged a task within this, in seconds, gets no tasks until it sends a message.
    pub acknowledge_timeout: f64,
}

/// An event that the dispatcher observes.
#[derive(Clone, Debug)]
pub enum Event {
    /// A task to place was created.
    TaskSubmitted {
        /// The request.
        request: PlacementRequest,
        /// When its owner gives up, in seconds since 1970.
        deadline: f64,
        /// Whether a second run is harmless.
        is_idempotent: bool,
    },
    /// A task exists that runs at a node already.
    RunningTaskAdopted {
        /// The request.
        request: PlacementRequest,
        /// Name of the node.
        node: String,
    },
    /// An earlier process of this edge had let a planner offer this task, and has no answer: it may run.
    TaskInterrupted {
        /// The request.
        request: PlacementRequest,
        /// Whether a second run is harmless.
        is_idempotent: bool,
    },
    /// The owner does not want the task any more.
    TaskCancelled {
        /// Uid of the task.
        uid: String,
    },
    /// Whatever runs of this request is to be stopped.
    StopRequested {
        /// Uid of the task.
        uid: String,
    },
    /// The owner asks where a task is.
    LocateRequested {
        /// Uid of the task.
        uid: String,
        /// Its namespace.
        tenant: String,
        /// Its name at nodes.
        name: String,
    },
    /// A planner connected.
    PlannerConnected(PlannerId),
    /// The connection to a planner was lost.
    PlannerLost(PlannerId),
    /// A planner sent a message.
    MessageReceived {
        /// The planner.
        planner: PlannerId,
        /// The message.
        message: ToEdge,
    },
}

/// An action that the dispatcher asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to a planner.
    SendToPlanner {
        /// The planner.
        planner: PlannerId,
        /// The message.
        message: ToPlanner,
    },
    /// Record the task's one answer: a node has accepted it.
    MarkPlaced {
        /// Uid of the task.
        uid: String,
        /// Name of the node.
        node: String,
    },
    /// Record the task's one answer: it was not placed and never ran, or a second run is harmless.
    MarkRejected {
        /// Uid of the task.
        uid: String,
        /// Why.
        reason: String,
    },
    /// Record the task's one answer: it is unknown whether it runs.
    MarkFailed {
        /// Uid of the task.
        uid: String,
        /// Why.
        reason: String,
    },
    /// Record that a placed task runs.
    MarkRunning {
        /// Uid of the task.
        uid: String,
    },
    /// Record that a placed task ended.
    MarkEnded {
        /// Uid of the task.
        uid: String,
        /// How it ended.
        reason: TerminationReason,
    },
    /// Answer an [`Event::LocateRequested`].
    ReportLocation {
        /// Uid of the task.
        uid: String,
        /// Where it is.
        location: Location,
    },
}

impl Action {
    pub(super) fn send(planner: PlannerId, message: ToPlanner) -> Self {
        Self::SendToPlanner { planner, message }
    }

    pub(super) fn cancel(planner: PlannerId, uid: &str) -> Self {
        let uid = uid.to_owned();
        Self::send(planner, ToPlanner::Cancel { uid })
    }

    pub(super) fn reject(uid: impl Into<String>, reason: &str) -> Self {
        Self::MarkRejected {
            uid: uid.into(),
            reason: reason.to_owned(),
        }
    }

    pub(super) fn fail(uid: impl Into<String>, reason: &str) -> Self {
        Self::MarkFailed {
            uid: uid.into(),
            reason: reason.to_owned(),
        }
    }
}
