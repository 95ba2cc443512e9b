//! The operators' platform as one more protocol front end of the planner, without I/O.
//!
//! [`Gateway`] is a state machine: what came on sockets goes in, the policy is asked, and what is to be written,
//! dialled and closed comes out. It keeps requests and their attempts; [`pool::Pool`] keeps the connections to
//! machines. Neither decides which machine takes a task, how long to wait, or what is refused: the policy does.

pub mod counts;
pub mod discovery;
pub mod downstream;
pub mod error;
pub mod gateway;
pub mod input_queue;
pub mod message;
pub mod pool;
pub mod request_table;
pub mod task_request;

pub use error::GatewayError;
pub use gateway::{Gateway, Input, Limits, Output, PeerCheck};

/// A connection of an owner, or of anybody who came in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DownstreamId(pub u64);

/// A connection to a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamId(pub u64);
