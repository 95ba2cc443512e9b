//! Sockets, timers and signals of the platform's door. Decides nothing: see [`tidespur_platform::Door`].

mod board;
pub mod config;
mod run;
mod socket;

pub use run::run;
