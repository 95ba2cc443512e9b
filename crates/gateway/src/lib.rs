//! The planner's front end for the operators' platform, without I/O.
//!
//! [`Gateway`] is a state machine: inputs of connections go in, the policy decides, and what is to be written, dialled
//! and closed comes out. It owns the requests and their attempts; [`pool::Pool`] owns the connections to machines.
//! Which machine takes a task, how long an attempt lasts and which task is rejected is decided by the policy.
//! `gateway-net` runs it on sockets.

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
pub use gateway::{Gateway, Input, Limits, Output, PeerCheck};

/// A connection that a client opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DownstreamId(pub u64);

/// A connection that the gateway opened to a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamId(pub u64);
