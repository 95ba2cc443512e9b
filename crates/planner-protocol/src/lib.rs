//! The protocol between edge and planner: messages, framing and failure detection, without I/O.
//!
//! A frame consists of the message's length (four bytes, big endian), the protocol version (two bytes, big endian) and
//! the message in the postcard encoding. The version is checked before a message is decoded; a peer of another version
//! is disconnected with an error that names both versions.

pub mod frame;
pub mod liveness;
pub mod message;

pub use frame::{Decoder, FrameError, encode};
pub use liveness::Liveness;
pub use message::{Location, TerminationReason, ToEdge, ToPlanner};

/// Version of the frame format and of the messages. A connection between peers of different versions is closed.
pub const PROTOCOL_VERSION: u16 = 3;
