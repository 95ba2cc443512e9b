//! The event loop that runs the gateway on sockets, timers and signals.
//!
//! It decides nothing: inputs go to [`tidespur_gateway::Gateway`], and its outputs are carried out. The planner's `main`
//! calls [`run`] on the operators' platform.

pub mod config;
mod connection;
mod discovery;
mod error;
mod run;
pub mod socket;

pub use error::StartError;
pub use run::run;
