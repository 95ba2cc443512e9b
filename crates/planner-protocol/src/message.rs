//! The messages of the protocol. Names in `serde(rename)` are the names of earlier versions; they stay in JSON recordings.

use serde::{Deserialize, Serialize};
use tidespur_api::task::PlacementRequest;
use tidespur_pending::ReasonUpdate;

/// A message from an edge to a planner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToPlanner {
    /// Answer to [`ToEdge::Hello`].
    Welcome {
        /// Name of the edge.
        edge: String,
    },
    /// A task to place. The planner replies with [`ToEdge::Acknowledged`] at once, and offers the task to no node before
    /// [`ToPlanner::Commit`].
    Place(PlacementRequest),
    /// The planner now owns the task and owes it exactly one of [`ToEdge::Placed`], [`ToEdge::Rejected`] and
    /// [`ToEdge::Failed`]. Before this is sent the edge can withdraw the task, knowing that no node was offered it.
    #[serde(rename = "Go")]
    Commit {
        /// The task.
        uid: String,
        /// How long its owner waits for an answer, in seconds from now.
        #[serde(rename = "within")]
        timeout: f64,
    },
    /// A task that a node already holds: this planner reports its state from now on.
    #[serde(rename = "InPlace")]
    Adopt {
        /// The task.
        #[serde(rename = "ask")]
        request: PlacementRequest,
        /// The node.
        node: String,
    },
    /// The task is not wanted any more: it is offered to no node any more, and what runs of it is stopped.
    #[serde(rename = "Stop")]
    Cancel {
        /// The task.
        uid: String,
    },
    /// Asks whether any node holds the task, which was offered by this or another planner.
    Locate {
        /// The task.
        uid: String,
        /// Namespace of its Pod.
        tenant: String,
        /// Name of its Pod.
        name: String,
    },
    /// Keeps the connection alive while nothing else is sent.
    #[serde(rename = "Ping")]
    Heartbeat,
    /// The number of planners that share the slow-start budget of nodes. Sent by the holder of a lease; a planner
    /// rejects a fencing token older than the newest that it knows ([`ToEdge::StaleToken`]).
    #[serde(rename = "Sharers")]
    PlannerCount {
        /// Name of the lease.
        lease: String,
        /// Fencing token of the lease.
        token: u64,
        /// Number of planners, the receiver included.
        planners: u32,
    },
}

/// Why a placed task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TerminationReason {
    /// The program finished successfully.
    Succeeded,
    /// The program ended with an error.
    Failed,
    /// The node evicted it for lack of memory.
    Evicted,
    /// The node preempted it for a task of higher priority.
    #[serde(rename = "PushedOut")]
    Preempted,
    /// The node drained it, or shut down.
    #[serde(rename = "SentAway")]
    Drained,
    /// Its node was lost.
    #[serde(rename = "Lost")]
    NodeLost,
    /// It was stopped at its owner's request, or migrated by the policy.
    Stopped,
}

/// Where a task is that a node may have accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Location {
    /// This node holds it.
    At(String),
    /// A node held it, and it has ended there.
    Ended(TerminationReason),
    /// No node holds it. Every node that may have been offered it has reported its Pods since the question.
    #[serde(rename = "Nowhere")]
    NotFound,
    /// A node that may hold it does not report its Pods now.
    #[serde(rename = "Unclear")]
    Unknown,
}

/// A message from a planner to an edge.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToEdge {
    /// The first message on a connection.
    Hello {
        /// Name of the planner.
        planner: String,
        /// Its ordinal, from 0.
        ordinal: u32,
    },
    /// The task was read. The edge replies with [`ToPlanner::Commit`] or [`ToPlanner::Cancel`].
    #[serde(rename = "Taken")]
    Acknowledged {
        /// The task.
        uid: String,
    },
    /// A node accepted the task. Also the answer to [`ToPlanner::Adopt`].
    Placed {
        /// The task.
        uid: String,
        /// The node.
        node: String,
    },
    /// The task was not placed and has not run; or, where it is idempotent, what may run of it is being stopped.
    #[serde(rename = "Refused")]
    Rejected {
        /// The task.
        uid: String,
        /// The reason, for people.
        #[serde(rename = "why")]
        reason: String,
        /// Retry-After: how long the owner should wait before it submits again, in seconds; 0 for no advice.
        #[serde(rename = "retry_in")]
        retry_after: f64,
    },
    /// The task was given up, and it may have run.
    Failed {
        /// The task.
        uid: String,
        /// The reason, for people.
        #[serde(rename = "why")]
        reason: String,
    },
    /// A placed task has started to run.
    #[serde(rename = "Runs")]
    Started {
        /// The task.
        uid: String,
    },
    /// A placed task has ended.
    Ended {
        /// The task.
        uid: String,
        /// Why it ended.
        #[serde(rename = "end")]
        reason: TerminationReason,
    },
    /// Why tasks are pending: changes since the last message, and unchanged reasons again from time to time.
    #[serde(rename = "Waits")]
    PendingReasons(Vec<ReasonUpdate>),
    /// Answer to [`ToPlanner::Locate`].
    Located {
        /// The task.
        uid: String,
        /// Where the task is.
        #[serde(rename = "found")]
        location: Location,
    },
    /// Keeps the connection alive while nothing else is sent.
    #[serde(rename = "Ping")]
    Heartbeat,
    /// A message sent under a lease was rejected: its fencing token is not the newest any more.
    #[serde(rename = "Stale")]
    StaleToken {
        /// Name of the lease.
        lease: String,
        /// The token of the rejected message.
        token: u64,
        /// The newest token that the planner knows.
        newest: u64,
    },
}
