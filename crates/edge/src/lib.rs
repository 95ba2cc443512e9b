//! The edge: the API server. It serves the REST API from its store, runs the Job controller, and distributes open tasks
//! among planners.
//!
//! [`dispatcher::Dispatcher`] assigns each open task to a planner and ensures that it gets exactly one answer;
//! [`core::Core`] connects dispatcher, Job controller and store. Both are state machines without I/O. [`run()`] is the
//! program around them.

pub mod admission;
pub mod core;
pub mod dispatcher;
mod error;
mod event_loop;
mod events;
mod garbage_collector;
mod hooks;
mod initial_state;
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
mod storage;

pub use error::{RunError, error_chain};
pub use options::Options;
pub use run::run;
