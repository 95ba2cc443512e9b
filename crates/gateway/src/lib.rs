//! The planner's front end for the operators' platform, without I/O.
//!
//! [`Gateway`] is a state machine: it takes the inputs of connections and returns what to write, dial and close. It
//! owns the requests and their attempts; [`pool::Pool`] owns the connections to machines. The policy decides which
//! machine gets a task, how long an attempt may take and which task is rejected. `gateway-net` runs it on sockets.

pub mod counts;
pub mod discovery;
pub mod downstream;
pub mod error;
pub mod gateway;
pub mod input_queue;
pub mod machine_report;
pub mod message;
pub mod pool;
pub mod request_table;
pub mod task_request;

pub use error::GatewayError;
pub use gateway::{Gateway, Input, Limits, MemoryLimits, Output, PeerCheck};
pub use tidespur_units::byte_budget;

/// Id of a connection that a client opened; assigned by the event loop and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DownstreamId(pub u64);

/// Id of a connection that the gateway opened to a machine; assigned by the pool and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamId(pub u64);
