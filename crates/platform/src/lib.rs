//! The operators' platform as one more door of the planner, without I/O.
//!
//! [`Door`] is a state machine: what came on sockets goes in, the policy is asked, and what is to be written,
//! dialled and closed comes out. It keeps requests and their attempts; [`lines::Lines`] keeps the connections to
//! machines. Neither decides which machine takes a task, how long to wait, or what is refused: the policy does.

pub mod ask;
pub mod board;
pub mod clients;
pub mod counts;
pub mod desk;
pub mod door;
pub mod lines;
pub mod message;
pub mod turn;

pub use door::{Door, Input, Limits, Output};

/// A connection of an owner, or of anybody who came in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

/// A connection to a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LineId(pub u64);
