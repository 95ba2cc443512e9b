//! The planner: chooses a node for each task that edges submit, and offers the task to that node.
//!
//! [`core::Core`] is a state machine without I/O. Its inputs are messages of edges, answers of nodes and the node list;
//! its outputs are the effects to carry out, which follow from the actions of the scheduling policy. [`run()`] is the
//! program around it, with sockets, timers and the disk, and makes no decisions. It is the entry point of
//! `tidespur-planner` and of `tidespur planner`.

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
