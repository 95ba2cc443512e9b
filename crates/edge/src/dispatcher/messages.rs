//! Settings, events and actions of the dispatcher.

use super::PlannerId;
use tidespur_api::task::PlacementRequest;
use tidespur_planner_protocol::{Location, TerminationReason, ToEdge, ToPlanner};

/// Limits and timeouts of the dispatcher.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Maximum number of open tasks that one planner may have.
    pub max_tasks_per_planner: usize,
    /// Whether all tasks of one service go to one planner while that planner is connected.
    pub single_planner_per_service: bool,
    /// How long after its deadline an assigned task fails if its planner has not answered, in seconds.
    pub answer_slack: f64,
    /// How long planners may take to answer a query for the location of a task, in seconds.
    pub locate_timeout: f64,
    /// A planner that does not acknowledge a task within this time, in seconds, gets no further tasks until it sends a
    /// message.
    pub acknowledge_timeout: f64,
}

/// An event that the dispatcher observes.
#[derive(Clone, Debug)]
pub enum Event {
    /// A task was created and is to be placed.
    TaskSubmitted {
        /// Identity and requirements of the task.
        request: PlacementRequest,
        /// When its owner gives up, in seconds since 1970.
        deadline: f64,
        /// Whether a second run is harmless.
        is_idempotent: bool,
    },
    /// A task that already runs on a node was created or restored.
    RunningTaskAdopted {
        /// Identity and requirements of the task.
        request: PlacementRequest,
        /// Name of the node.
        node: String,
    },
    /// An earlier process of this edge committed the task to a planner and persisted no answer: it may run.
    TaskInterrupted {
        /// Identity and requirements of the task.
        request: PlacementRequest,
        /// Whether a second run is harmless.
        is_idempotent: bool,
    },
    /// The owner deleted the task.
    TaskCancelled {
        /// Uid of the task.
        uid: String,
    },
    /// Any running instance of the task is to be stopped.
    StopRequested {
        /// Uid of the task.
        uid: String,
    },
    /// The Job controller asks for the location of a task whose outcome is unknown.
    LocateRequested {
        /// Uid of the task.
        uid: String,
        /// Namespace of the task.
        tenant: String,
        /// Name of the task on nodes.
        name: String,
    },
    /// A planner connected.
    PlannerConnected(PlannerId),
    /// The connection to a planner was lost.
    PlannerLost(PlannerId),
    /// A planner sent a message.
    MessageReceived {
        /// Connection that the message was received on.
        planner: PlannerId,
        /// The message; about any task, or none.
        message: ToEdge,
    },
}

/// An action that the caller of the dispatcher carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to a planner.
    SendToPlanner {
        /// Connection to send the message on.
        planner: PlannerId,
        /// The message to send.
        message: ToPlanner,
    },
    /// Record the answer of the task: a node has accepted it.
    MarkPlaced {
        /// Uid of the task.
        uid: String,
        /// Name of the node.
        node: String,
    },
    /// Record the answer of the task: it was not placed and has not run, or a second run is harmless.
    MarkRejected {
        /// Uid of the task.
        uid: String,
        /// Explanation for the owner of the task.
        reason: String,
    },
    /// Record the answer of the task: it is unknown whether it runs.
    MarkFailed {
        /// Uid of the task.
        uid: String,
        /// Explanation for the owner of the task.
        reason: String,
    },
    /// Record that a placed task runs.
    MarkRunning {
        /// Uid of the task.
        uid: String,
    },
    /// Record that a placed task has ended.
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
        /// The combined answer of all planners.
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
