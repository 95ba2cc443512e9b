//! Sockets, timers and signals of the platform's gateway. Decides nothing: see [`tidespur_gateway::Gateway`].

pub mod config;
mod discovery;
mod error;
mod run;
pub mod socket;

pub use error::StartError;
pub use run::run;
