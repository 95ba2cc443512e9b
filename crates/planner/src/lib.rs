//! The planner: chooses a node for each task that edges hand to it, and offers the task there.
//!
//! [`core::Core`] is the planner as a state machine without I/O: messages of edges, answers of nodes and the node list
//! go in, the scheduling policy is asked, and the effects to carry out come out. [`run()`] is the program around it:
//! sockets, timers and the disk. It decides nothing. Called by `tidespur-planner` and by `tidespur planner`.

pub mod attempts;
pub mod convert;
pub mod core;
mod edge_connections;
mod effects;
mod event_loop;
mod membership;
mod node_client;
mod node_watches;
pub mod nodes;
mod options;
mod pending_reasons;
pub mod pod;
mod process;
pub mod run;
pub mod task_table;

pub use options::Options;
pub use run::{RunError, run};
