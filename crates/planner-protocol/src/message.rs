//! Messages.

use serde::{Deserialize, Serialize};
use tidespur_api::task::PlacementRequest;
use tidespur_pending::ReasonUpdate;

/// From an edge to a planner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToPlanner {
    /// Answer to `Hello`.
    Welcome {
        /// Name of the edge.
        edge: String,
    },
    /// A task to place. `Taken` is due at once; nothing may be offered before `Go`.
    Place(PlacementRequest),
    /// The task is the planner's now: one of `Placed`, `Refused`, `Failed` is owed. Until this is sent the edge can
    /// take the task back and know that it was never offered.
    #[serde(rename = "Go")]
    Commit {
        /// The task.
        uid: String,
        /// Seconds from now in which its owner waits.
        #[serde(rename = "within")]
        timeout: f64,
    },
    /// A task that a node holds; from now on this planner tells of it.
    #[serde(rename = "InPlace")]
    Adopt {
        /// The task.
        #[serde(rename = "ask")]
        request: PlacementRequest,
        /// The node.
        node: String,
    },
    /// Nobody wants the task any more: nothing more may be sent for it, and what runs of it is to be stopped.
    #[serde(rename = "Stop")]
    Cancel {
        /// The task.
        uid: String,
    },
    /// Asks whether a node holds what was once offered for this task.
    Locate {
        /// The question's subject.
        uid: String,
        /// Namespace and name at nodes.
        tenant: String,
        /// See `tenant`.
        name: String,
    },
    /// Still here.
    #[serde(rename = "Ping")]
    Heartbeat,
    /// So many planners share what cold nodes bear. Said under a lease; an older token than one heard before is refused.
    #[serde(rename = "Sharers")]
    PlannerCount {
        /// Name of the lease.
        lease: String,
        /// Its token.
        token: u64,
        /// How many, the planner that hears it included.
        planners: u32,
    },
}

/// How a placed task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TerminationReason {
    /// It finished.
    Succeeded,
    /// It ended with an error.
    Failed,
    /// Evicted for memory.
    Evicted,
    /// Pushed out by a higher priority.
    #[serde(rename = "PushedOut")]
    Preempted,
    /// Sent away by a node that drains.
    #[serde(rename = "SentAway")]
    Drained,
    /// Lost with its node.
    #[serde(rename = "Lost")]
    NodeLost,
    /// Stopped as its owner wanted, or moved by the policy.
    Stopped,
}

/// What is known of a task that may have been taken by a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Location {
    /// This node holds it.
    At(String),
    /// It came to its end there.
    Ended(TerminationReason),
    /// No node holds it, and every node that it was offered to has been heard since.
    #[serde(rename = "Nowhere")]
    NotFound,
    /// A node that it may have gone to can't be heard now.
    #[serde(rename = "Unclear")]
    Unknown,
}

/// From a planner to an edge.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToEdge {
    /// First message.
    Hello {
        /// Name of the planner.
        planner: String,
        /// Its number.
        ordinal: u32,
    },
    /// The task has been read; `Go` or `Stop` is due.
    #[serde(rename = "Taken")]
    Acknowledged {
        /// The task.
        uid: String,
    },
    /// A node accepted the task: its one answer.
    Placed {
        /// The task.
        uid: String,
        /// The node.
        node: String,
    },
    /// Not placed and never run: its one answer.
    #[serde(rename = "Refused")]
    Rejected {
        /// The task.
        uid: String,
        /// Why, for people.
        #[serde(rename = "why")]
        reason: String,
        /// Advice to stay away this long, in seconds; 0: none.
        #[serde(rename = "retry_in")]
        retry_after: f64,
    },
    /// No claim whether it ran: its one answer.
    Failed {
        /// The task.
        uid: String,
        /// Why, for people.
        #[serde(rename = "why")]
        reason: String,
    },
    /// A placed task runs now.
    #[serde(rename = "Runs")]
    Started {
        /// The task.
        uid: String,
    },
    /// A placed task ended.
    Ended {
        /// The task.
        uid: String,
        /// How.
        #[serde(rename = "end")]
        reason: TerminationReason,
    },
    /// Why tasks wait: what has changed, and now and then what has not.
    #[serde(rename = "Waits")]
    PendingReasons(Vec<ReasonUpdate>),
    /// Answer to `Locate`.
    Located {
        /// The question's subject.
        uid: String,
        /// What is known.
        #[serde(rename = "found")]
        location: Location,
    },
    /// Still here.
    #[serde(rename = "Ping")]
    Heartbeat,
    /// What was said under a lease is refused: its token is not the newest any more.
    #[serde(rename = "Stale")]
    StaleToken {
        /// Name of the lease.
        lease: String,
        /// The token that was said.
        token: u64,
        /// The newest one known.
        newest: u64,
    },
}
