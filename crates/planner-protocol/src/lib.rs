//! The link between edge and planner, without I/O.
//!
//! A frame is four bytes of length (big endian), two of the protocol's version, and a message in postcard. A peer
//! of another version is told so by its first frame and cut, before a message of it is read.

pub mod frame;
pub mod liveness;
pub mod message;

pub use frame::{Decoder, FrameError, encode};
pub use liveness::Liveness;
pub use message::{Location, TerminationReason, ToEdge, ToPlanner};

/// Version of frames and messages.
pub const PROTOCOL_VERSION: u16 = 3;
