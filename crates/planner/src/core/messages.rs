//! The inputs and outputs of the planner's state machine.

use crate::pod::PodName;
use crate::task_table::EdgeId;
use tidespur_api::Object;
use tidespur_api::task::PlacementRequest;
use tidespur_planner_protocol::{ToEdge, ToPlanner};
use tidespur_policy::interface::{AttemptOutcome, LoadReport, TaskId};

/// What has happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// A message of an edge.
    EdgeMessage(EdgeId, ToPlanner),
    /// The connection to an edge was lost.
    EdgeDisconnected(EdgeId),
    /// The complete list of Nodes.
    NodesListed(Vec<Object>),
    /// A Node was added or changed; as it is now.
    NodeUpdated(Object),
    /// A Node was deleted; as it was last.
    NodeDeleted(Object),
    /// The node registry can't be reached, or the watch on it broke.
    NodeListFailed,
    /// An offer has ended.
    OfferAnswered {
        /// The task.
        task: TaskId,
        /// Number of the attempt.
        attempt: u32,
        /// How it ended.
        answer: OfferAnswer,
    },
    /// The complete list of a node's Pods.
    PodsListed {
        /// The node.
        node: String,
        /// Its Pods.
        pods: Vec<Object>,
    },
    /// A Pod was added or changed at a node.
    PodUpdated {
        /// The node.
        node: String,
        /// The Pod as it is now.
        pod: Object,
    },
    /// A Pod was deleted at a node.
    PodDeleted {
        /// The node.
        node: String,
        /// The Pod as it was last.
        pod: Object,
    },
    /// A node has sent a bookmark: it is alive.
    NodeAlive(String),
    /// The watch on a node's Pods broke, or can't be opened.
    NodeWatchLost(String),
    /// A node refuses connections: its process has ended.
    NodeConnectionRefused(String),
    /// A load poll has ended.
    LoadPolled {
        /// The node.
        node: String,
        /// Its load, where it answered.
        report: Option<LoadReport>,
    },
    /// A timer of the policy has fired.
    TimerFired(u64),
    /// The time, in seconds, at which this input was queued: measures how far the event loop lags behind.
    LagProbe(f64),
    /// Time has passed; due at least every quarter of a second.
    Tick,
}

/// How an offer ended.
#[derive(Clone, Debug)]
pub enum OfferAnswer {
    /// The node has accepted the task.
    Accepted(Option<LoadReport>),
    /// The node has not accepted the task, as far as is known.
    NotAccepted {
        /// The outcome.
        outcome: AttemptOutcome,
        /// The node's or the client's message, for people.
        message: String,
        /// The node's load, where it answered.
        report: Option<LoadReport>,
    },
}

/// An offer to send to a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// The task.
    pub task: TaskId,
    /// Number of the attempt.
    pub attempt: u32,
    /// The node.
    pub node: String,
    /// The node's address.
    pub address: String,
    /// The task to place.
    pub request: PlacementRequest,
    /// How long to wait for the answer, in seconds.
    pub timeout: f64,
}

/// An effect to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to an edge.
    SendToEdge(EdgeId, ToEdge),
    /// Close the connections to all edges; they are opened again.
    DisconnectEdges,
    /// Send an offer to a node, once the batch of [`super::Core::take_batch`] is synced.
    Offer(Offer),
    /// Delete a Pod at a node.
    DeletePod {
        /// The node's address.
        address: String,
        /// The Pod.
        pod: PodName,
        /// Its uid there, where it is known; a Pod of another uid is kept.
        pod_uid: Option<String>,
    },
    /// Open the watch on a node's Pods, and close an older one.
    WatchNode {
        /// The node.
        node: String,
        /// Its address.
        address: String,
    },
    /// List the Nodes and watch the list.
    WatchNodeList,
    /// Ask a node for its load.
    PollLoad {
        /// The node.
        node: String,
        /// Its address.
        address: String,
    },
    /// Set a timer of the policy.
    SetTimer {
        /// Seconds until it fires.
        after: f64,
        /// What it fires with: [`Input::TimerFired`].
        token: u64,
    },
    /// Call [`super::Core::set_planner_count`], once the batch of [`super::Core::take_batch`] is synced: it has the
    /// fencing token of this count.
    SetPlannerCount(u32),
    /// Write a line to the log.
    Log(String),
}
