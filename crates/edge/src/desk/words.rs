//! What the desk is told, and what is to be done.

use super::PlannerId;
use tidespur_api::task::PlacementRequest;
use tidespur_planner_protocol::{Location, TerminationReason, ToEdge, ToPlanner};

/// Bounds and times.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Open tasks that one planner may hold.
    pub planner_most: usize,
    /// Tasks of one service go to one planner while that is up.
    pub one_home: bool,
    /// A planner answers by the deadline; so much later the edge does.
    pub answer_slack: f64,
    /// Waits so long for planners to say where a task is.
    pub locate_for: f64,
    /// A planner that has not taken a task within this is passed over until it speaks.
    pub take_within: f64,
}

/// What the desk is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// A task to place, when its owner gives up, and whether a second start does no harm.
    Submit(PlacementRequest, f64, bool),
    /// A task that runs at this node already.
    Adopt(PlacementRequest, String),
    /// An earlier process of this edge had told a planner to place this task, and has no answer; whether a second
    /// start does no harm. It may run.
    Cut(PlacementRequest, bool),
    /// Nobody wants the task any more.
    Cancel(String),
    /// Whatever runs of this request is to be stopped.
    Reap(String),
    /// Where is this task?
    Locate {
        /// Its uid.
        uid: String,
        /// Namespace.
        tenant: String,
        /// Name at nodes.
        name: String,
    },
    /// A planner is here.
    PlannerUp(PlannerId),
    /// A planner is lost.
    PlannerLost(PlannerId),
    /// A planner says this.
    Said(PlannerId, ToEdge),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A message to a planner.
    Tell(PlannerId, ToPlanner),
    /// The task's one answer: a node has it.
    Placed(String, String),
    /// The task's one answer: not placed, never ran.
    Refused(String, String),
    /// The task's one answer: no claim whether it ran.
    Failed(String, String),
    /// A placed task runs.
    Runs(String),
    /// A placed task ended.
    Ended(String, TerminationReason),
    /// Answer to `Locate`.
    Located(String, Location),
}
