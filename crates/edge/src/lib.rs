//! The edge: the program that clients talk to. It serves the REST API over its store, runs the Job controller, and shares
//! open tasks out to planners.
//!
//! [`dispatcher::Dispatcher`] assigns each open task to a planner and keeps its one answer; [`core::Core`] connects
//! dispatcher, Job controller and store. Both are state machines without I/O. [`run()`] is the program around them.

pub mod admission;
pub mod core;
pub mod dispatcher;
mod error;
mod event_loop;
mod events;
mod garbage_collector;
mod hooks;
mod job_status;
mod metrics;
mod node_watch;
mod options;
mod pending_status;
pub mod persisted_records;
mod planner_count;
mod planner_sessions;
mod pod_status;
pub mod restore;
mod run;
mod server;
mod state;
mod storage;

pub use error::{RunError, error_chain};
pub use options::Options;
pub use run::run;
