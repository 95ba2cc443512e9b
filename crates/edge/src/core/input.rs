//! Inputs of the core, and the messages that it sends.

use crate::dispatcher::PlannerId;
use tidespur_api::Object;
use tidespur_planner_protocol::{ToEdge, ToPlanner};

/// An input of the edge.
#[derive(Clone, Debug)]
pub enum Input {
    /// The store may have changed.
    StoreChanged,
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
    /// The node registry listed all Nodes.
    NodesListed(Vec<Object>),
    /// A Node was created or changed.
    NodeUpdated(Object),
    /// A Node was deleted; as it was last.
    NodeDeleted(Object),
    /// Measures the lag of the event loop; the core ignores it.
    LagProbe {
        /// When it was put into the queue, in seconds since 1970.
        sent_at: f64,
    },
}

/// A message that is to be sent to a planner.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingMessage {
    /// The planner.
    pub planner: PlannerId,
    /// The message.
    pub message: ToPlanner,
}
