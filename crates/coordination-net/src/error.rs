//! Errors of starting a voter, of handshakes, and of decoding frames.

use crate::Frame;
use std::io;
use tidespur_coordination::VoterError;

/// Why a voter could not be started.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum StartError {
    /// The process has no store.
    #[error(
        "a voter listed in ledger.voters requires a store: set its folder by --data or durable {{ dir = ... }}"
    )]
    NoStore,
    /// The settings are invalid, or the stored state could not be loaded.
    #[error(transparent)]
    Voter(#[from] VoterError),
    /// Listening for streams of other voters failed.
    #[error("ledger.voters: listening on {address} failed: {reason}")]
    Listen {
        /// The address of this voter in `ledger.voters`.
        address: String,
        /// The operating system's error.
        reason: io::Error,
    },
}

/// Why a packed message could not be unpacked.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum FrameError {
    /// The packed message is shorter than its length field.
    #[error("the length field is missing")]
    MissingLength,
    /// The length field states a larger message than allowed.
    #[error("the length field states {bytes} bytes, but at most {max} are allowed")]
    TooLarge {
        /// The stated size, in bytes.
        bytes: usize,
        /// The largest allowed size, in bytes.
        max: usize,
    },
    /// The bytes after the length field are not LZ4 data that fits into the stated size.
    #[error("decompression failed: {0}")]
    Decompress(#[from] lz4_flex::block::DecompressError),
    /// The decompressed bytes are not a valid message.
    #[error("decoding failed: {0}")]
    Decode(#[from] postcard::Error),
}

/// Why a handshake failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum HandshakeError {
    #[error("setting a socket option failed: {0}")]
    Socket(#[from] io::Error),
    #[error("timeout while sending the hello frame")]
    WriteTimeout,
    #[error("timeout while waiting for the hello frame of the peer")]
    ReadTimeout,
    #[error("the connection failed: {reason}")]
    ConnectionFailed { reason: String },
    #[error("the peer belongs to another cluster: {cluster:?}")]
    OtherCluster { cluster: String },
    #[error("the peer at this address is {name:?}; check ledger.voters")]
    UnexpectedVoter { name: String },
    #[error("the peer is not another voter of this fleet; its first frame was {first:?}")]
    NotAVoter { first: Option<Frame> },
}
