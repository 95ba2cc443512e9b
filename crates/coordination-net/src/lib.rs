//! Runs a voter of the coordination log: streams to the other voters, timers and disk writes. The voter's logic is in
//! `tidespur-coordination`; this package only does its I/O. Started by the edge.

mod error;
mod event_loop;
mod frame;
mod handle;
mod handshake;
mod peer_streams;
mod readiness;
mod report;

pub use error::{FrameError, StartError};
pub use frame::{Frame, pack, unpack};
pub use handle::VoterHandle;
pub use readiness::{NotReady, Ready};
pub use report::report;

/// Name of the lease whose holder is the one edge that acts for the whole fleet.
pub const FLEET_LEASE: &str = "fleet";
