//! The program that meets clients.
//!
//! [`desk::Desk`] leads each open task to its one answer and shares the tasks out to planners; [`core::Core`] puts
//! desk, Job controller and store together; both are state machines without I/O. [`run`] is the loop around them.

pub mod core;
mod count;
pub mod desk;
mod garbage;
mod hooks;
pub mod keep;
mod links;
mod memory;
mod metrics;
mod options;
mod pods;
pub mod run;
mod turn;
mod waits;

pub use options::Options;
pub use run::run;
