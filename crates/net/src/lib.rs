//! Sockets, timers and their limits. Nothing here decides what is sent to whom.

pub mod body;
pub mod client;
pub mod clock;
pub mod frames;
pub mod record;
pub mod server;

pub use body::Body;
pub use client::{Client, NetError, Reply};
pub use record::Recorder;
