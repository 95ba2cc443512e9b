//! Inputs of the core, and the messages that it sends to planners.

use crate::dispatcher::PlannerId;
use tidespur_api::Object;
use tidespur_planner_protocol::{ToEdge, ToPlanner};

/// An input of the edge.
#[derive(Clone, Debug)]
pub enum Input {
    /// A client may have changed the store.
    StoreChanged,
    /// A planner connected.
    PlannerConnected(PlannerId),
    /// The connection to a planner was lost.
    PlannerLost(PlannerId),
    /// A planner sent a message.
    MessageReceived {
        /// Connection that the message was received on.
        planner: PlannerId,
        /// The message; heartbeats are not passed on.
        message: ToEdge,
    },
    /// A list of all Nodes of the node registry, which replaces the edge's copy.
    NodesListed(Vec<Object>),
    /// A Node was created or changed in the node registry.
    NodeUpdated(Object),
    /// A Node was deleted from the node registry; its last state.
    NodeDeleted(Object),
    /// Measures the lag of the event loop; the core ignores it.
    LagProbe {
        /// When it was queued, in seconds since 1970.
        sent_at: f64,
    },
}

/// A message for a planner.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingMessage {
    /// Connection to send the message on.
    pub planner: PlannerId,
    /// The message to send.
    pub message: ToPlanner,
}
