//! The messages of the protocol. The names in `serde(rename)` are part of the format of JSON recordings.

use serde::{Deserialize, Serialize};
use tidespur_api::task::PlacementRequest;
use tidespur_pending::ReasonUpdate;

/// A message from an edge to a planner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToPlanner {
    /// Reply to [`ToEdge::Hello`].
    Welcome {
        /// Name of the edge.
        edge: String,
    },
    /// Prepares a task for placement. The planner replies with [`ToEdge::Acknowledged`] or [`ToEdge::Rejected`] and
    /// offers the task to no node before [`ToPlanner::Commit`]. Without a reply the edge hands the task to another
    /// planner.
    Place(PlacementRequest),
    /// Transfers the task to the planner, which answers with exactly one of [`ToEdge::Placed`], [`ToEdge::Rejected`]
    /// and [`ToEdge::Failed`]. Until it sends this, the edge can withdraw the task knowing that no node was offered it.
    #[serde(rename = "Go")]
    Commit {
        /// Uid of the task.
        uid: String,
        /// Time that remains until the owner's deadline, in seconds.
        #[serde(rename = "within")]
        timeout: f64,
    },
    /// Transfers a task that a node already holds: the planner reports its state from now on. The reply is
    /// [`ToEdge::Placed`].
    #[serde(rename = "InPlace")]
    Adopt {
        /// The request that the task was placed for.
        #[serde(rename = "ask")]
        request: PlacementRequest,
        /// Name of the node that holds it.
        node: String,
    },
    /// Cancels the task: it is offered to no further node, and its running Pods are deleted.
    #[serde(rename = "Stop")]
    Cancel {
        /// Uid of the task.
        uid: String,
    },
    /// Asks which node holds the task, whichever planner offered it. The reply is [`ToEdge::Located`].
    Locate {
        /// Uid of the task.
        uid: String,
        /// Namespace of its Pod.
        tenant: String,
        /// Name of its Pod.
        name: String,
    },
    /// Sent when nothing else was sent for the heartbeat interval.
    #[serde(rename = "Ping")]
    Heartbeat,
    /// The number of planners that share the slow-start budget of nodes, sent by the holder of a lease. A planner that
    /// knows a newer fencing token rejects it with [`ToEdge::StaleToken`].
    #[serde(rename = "Sharers")]
    PlannerCount {
        /// Name of the lease.
        lease: String,
        /// Fencing token of the sender's term of the lease.
        token: u64,
        /// Number of planners, including the receiver.
        planners: u32,
    },
}

/// Why a placed task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TerminationReason {
    /// The program exited successfully.
    Succeeded,
    /// The program exited with an error.
    Failed,
    /// The node evicted it because memory ran low.
    Evicted,
    /// The node preempted it for a task of higher priority.
    #[serde(rename = "PushedOut")]
    Preempted,
    /// The node drained it, or shut down.
    #[serde(rename = "SentAway")]
    Drained,
    /// The node failed, restarted without it, or was removed from the node list while silent.
    #[serde(rename = "Lost")]
    NodeLost,
    /// The owner cancelled it, or the policy migrated it.
    Stopped,
}

/// Result of a search for a task that a node may have accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Location {
    /// The node of this name holds it.
    At(String),
    /// A node held it, and it has ended there for this reason.
    Ended(TerminationReason),
    /// No node holds it: every node that may have been offered it has reported its Pods since the query arrived.
    #[serde(rename = "Nowhere")]
    NotFound,
    /// A node that may hold it has not reported its Pods since the query arrived.
    #[serde(rename = "Unclear")]
    Unknown,
}

/// A message from a planner to an edge.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToEdge {
    /// Introduces the planner; the first message on a connection.
    Hello {
        /// Name of the planner.
        planner: String,
        /// Ordinal of the planner, from 0.
        ordinal: u32,
    },
    /// Reply to [`ToPlanner::Place`]: the request is valid and stored in memory. The edge continues with
    /// [`ToPlanner::Commit`] or [`ToPlanner::Cancel`].
    #[serde(rename = "Taken")]
    Acknowledged {
        /// Uid of the task.
        uid: String,
    },
    /// A node has accepted the task. Also the reply to [`ToPlanner::Adopt`].
    Placed {
        /// Uid of the task.
        uid: String,
        /// Name of the node.
        node: String,
    },
    /// The task was not placed and has not run. For an idempotent task, Pods that may be left are being deleted.
    #[serde(rename = "Refused")]
    Rejected {
        /// Uid of the task.
        uid: String,
        /// Explanation for the owner.
        #[serde(rename = "why")]
        reason: String,
        /// Value of Retry-After: how long the owner should wait before it submits again, in seconds; 0 if not given.
        #[serde(rename = "retry_in")]
        retry_after: f64,
    },
    /// The task was abandoned, and it may have run.
    Failed {
        /// Uid of the task.
        uid: String,
        /// Explanation for the owner.
        #[serde(rename = "why")]
        reason: String,
    },
    /// A placed task has started to run.
    #[serde(rename = "Runs")]
    Started {
        /// Uid of the task.
        uid: String,
    },
    /// A placed task has ended.
    Ended {
        /// Uid of the task.
        uid: String,
        /// Why the task ended.
        #[serde(rename = "end")]
        reason: TerminationReason,
    },
    /// Why tasks are pending. Holds the reasons that have changed since the last message; unchanged ones are repeated
    /// from time to time.
    #[serde(rename = "Waits")]
    PendingReasons(Vec<ReasonUpdate>),
    /// Reply to [`ToPlanner::Locate`].
    Located {
        /// Uid of the task.
        uid: String,
        /// Result of the search.
        #[serde(rename = "found")]
        location: Location,
    },
    /// Sent when nothing else was sent for the heartbeat interval.
    #[serde(rename = "Ping")]
    Heartbeat,
    /// A message sent under a lease was rejected because its fencing token is older than the newest known one.
    #[serde(rename = "Stale")]
    StaleToken {
        /// Name of the lease.
        lease: String,
        /// Fencing token of the rejected message.
        token: u64,
        /// The newest fencing token that the planner knows.
        newest: u64,
    },
}
