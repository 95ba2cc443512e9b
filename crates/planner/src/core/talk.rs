//! What the planner is told, and what is to be done.

use crate::book::EdgeId;
use tidespur_api::Object;
use tidespur_api::task::PlacementRequest;
use tidespur_planner_protocol::{ToEdge, ToPlanner};
use tidespur_policy::interface::{AttemptOutcome, LoadReport, TaskId};

/// What the planner is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// A message of an edge.
    Edge(EdgeId, ToPlanner),
    /// An edge is lost.
    EdgeLost(EdgeId),
    /// The whole list of Nodes.
    ListWhole(Vec<Object>),
    /// A Node as it stands now, or (true) as it last stood.
    ListChange(Object, bool),
    /// The register can't be reached, or its watch broke.
    ListFailed,
    /// An attempt has its answer.
    Answered {
        /// The task.
        task: TaskId,
        /// Which attempt.
        attempt: u32,
        /// What it brought.
        answer: Answer,
    },
    /// What a node holds, all of it.
    NodeHolds(String, Vec<Object>),
    /// A Pod at a node as it stands now, or (true) as it last stood.
    NodePod(String, Object, bool),
    /// A node lives.
    NodeHeard(String),
    /// A node's watch broke; true: it refuses connections.
    NodeDown(String, bool),
    /// A probe's answer.
    Probed(String, Option<LoadReport>),
    /// A timer of the policy is due.
    Timer(u64),
    /// This was put into the queue of inputs at that time: how far the planner is behind its work.
    Sent(f64),
    /// Time has passed; due at least every quarter second.
    Tick,
}

/// What an attempt brought.
#[derive(Clone, Debug)]
pub enum Answer {
    /// The node has it.
    Accepted(Option<LoadReport>),
    /// The node's other answers: the ending, its words, its load.
    Ended(AttemptOutcome, String, Option<LoadReport>),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// A message to an edge.
    Edge(EdgeId, ToEdge),
    /// End all links to edges; they are opened anew.
    Cut,
    /// Offer a task to a node.
    Offer {
        /// The task.
        task: TaskId,
        /// Which attempt.
        attempt: u32,
        /// Where to.
        node: String,
        /// Its address.
        address: String,
        /// The task.
        ask: PlacementRequest,
        /// Wait so long for the answer.
        wait: f64,
    },
    /// Delete a Pod at a node.
    Delete {
        /// The node's address.
        address: String,
        /// Namespace and name.
        name: (String, String),
        /// Its uid there, where known.
        pod_uid: Option<String>,
    },
    /// Open the watch on a node, closing an older one.
    WatchNode(String, String),
    /// Open the watch on the register.
    Subscribe,
    /// Ask a node for its load.
    Probe(String, String),
    /// Come back with this token.
    Timer(f64, u64),
    /// So many planners share what cold nodes bear: [`super::Core::share`] once the token that said so is safe.
    Share(u32),
    /// A line for the operators.
    Log(String),
}
