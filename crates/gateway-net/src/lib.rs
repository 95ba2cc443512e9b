//! The event loop that runs the gateway on sockets, timers and signals.
//!
//! [`tidespur_gateway::Gateway`] makes all decisions: the loop passes inputs to it and executes its outputs. The
//! planner's `main` calls [`run`] for its subcommand `platform`.

pub mod config;
mod connection;
mod discovery;
mod error;
mod run;
pub mod socket;
pub mod unsent;

pub use error::StartError;
pub use run::run;
