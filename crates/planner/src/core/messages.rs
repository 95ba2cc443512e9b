//! Inputs and outputs of the planner's state machine.

use crate::pod::PodName;
use crate::task_table::EdgeId;
use tidespur_api::Object;
use tidespur_api::task::PlacementRequest;
use tidespur_planner_protocol::{ToEdge, ToPlanner};
use tidespur_policy::interface::{AttemptOutcome, LoadReport, TaskId};

/// An event that the state machine handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// An edge has sent a message other than a heartbeat.
    EdgeMessage(EdgeId, ToPlanner),
    /// The connection to an edge was lost.
    EdgeDisconnected(EdgeId),
    /// The complete node list, at the start of a watch.
    NodesListed(Vec<Object>),
    /// A Node was added or changed; its current state.
    NodeUpdated(Object),
    /// A Node was deleted; its last state.
    NodeDeleted(Object),
    /// The node registry can't be reached, or the watch on the node list has ended.
    NodeListFailed,
    /// An offer was answered, failed or timed out.
    OfferAnswered {
        /// Id of the offered task.
        task: TaskId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// The node's answer, or how the attempt ended without one.
        answer: OfferAnswer,
    },
    /// The complete list of a node's Pods, at the start of a watch.
    PodsListed {
        /// Name of the node.
        node: String,
        /// All Pods of the node.
        pods: Vec<Object>,
    },
    /// A Pod was added or changed at a node.
    PodUpdated {
        /// Name of the node.
        node: String,
        /// The current state of the Pod.
        pod: Object,
    },
    /// A Pod was deleted at a node.
    PodDeleted {
        /// Name of the node.
        node: String,
        /// The last state of the Pod.
        pod: Object,
    },
    /// The watch on a node's Pods has received a bookmark: the node is alive.
    NodeAlive(String),
    /// The watch on a node's Pods has ended, or can't be opened.
    NodeWatchLost(String),
    /// A node refuses connections: its process has exited.
    NodeConnectionRefused(String),
    /// A load poll was answered, failed or timed out.
    LoadPolled {
        /// Name of the node.
        node: String,
        /// The node's load; `None` without a valid answer.
        report: Option<LoadReport>,
    },
    /// A timer set by [`Output::SetTimer`] has fired, with the token of the timer.
    TimerFired(u64),
    /// The time at which this input was queued, in seconds. Measures the lag of the event loop.
    LagProbe(f64),
    /// Time has passed. The core has to be stepped at least every quarter of a second.
    Tick,
}

/// The result of an offer.
#[derive(Clone, Debug)]
pub enum OfferAnswer {
    /// The node has accepted the task. Its load, if the answer reports it.
    Accepted(Option<LoadReport>),
    /// The node has rejected the task, or it is not known to have accepted it.
    NotAccepted {
        /// Outcome of the attempt for the policy.
        outcome: AttemptOutcome,
        /// Message of the node or of the HTTP client, for the owner.
        message: String,
        /// The node's load, if its answer reports it.
        report: Option<LoadReport>,
    },
}

/// An offer of a task to a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// Id of the offered task.
    pub task: TaskId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// Name of the node.
    pub node: String,
    /// `host:port` of the node.
    pub address: String,
    /// Request that the Pod is made from.
    pub request: PlacementRequest,
    /// Time to wait for the answer, in seconds.
    pub timeout: f64,
}

/// An effect to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to an edge.
    SendToEdge(EdgeId, ToEdge),
    /// Close the connections to all edges. They are reopened after a delay.
    DisconnectEdges,
    /// Send an offer to a node once the batch of [`super::Core::take_batch`] is synced.
    Offer(Offer),
    /// Delete a Pod at a node.
    DeletePod {
        /// `host:port` of the node.
        address: String,
        /// Namespace and name of the Pod.
        pod: PodName,
        /// Uid of the Pod at the node, if known. A Pod with another uid is kept.
        pod_uid: Option<String>,
    },
    /// Open a watch on a node's Pods, and close an older one.
    WatchNode {
        /// Name of the node.
        node: String,
        /// `host:port` of the node.
        address: String,
    },
    /// Request the node list and watch it.
    WatchNodeList,
    /// Request a node's load.
    PollLoad {
        /// Name of the node.
        node: String,
        /// `host:port` of the node.
        address: String,
    },
    /// Set a timer of the policy.
    SetTimer {
        /// Time until it fires, in seconds.
        after: f64,
        /// Token that [`Input::TimerFired`] returns.
        token: u64,
    },
    /// Call [`super::Core::set_planner_count`] once the batch of [`super::Core::take_batch`] is synced, which contains
    /// the fencing token of this count.
    SetPlannerCount(u32),
    /// Write a line to the log.
    Log(String),
}
