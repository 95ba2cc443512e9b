//! Errors of starting a voter, of handshakes, and of frames.

use crate::Frame;
use std::io;
use tidespur_coordination::VoterError;

/// Why a voter can't start.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum StartError {
    /// The process has no store.
    #[error("the ledger's voters need a store: name a folder by --data or durable {{ dir = ... }}")]
    NoStore,
    /// The settings are rejected, or the stored state can't be loaded.
    #[error(transparent)]
    Voter(#[from] VoterError),
    /// The address for the streams of other voters can't be used.
    #[error("ledger: {address}: can't listen: {reason}")]
    Listen {
        /// The address, from `ledger.voters`.
        address: String,
        /// The operating system's error.
        reason: io::Error,
    },
}

/// Why a packed message can't be read.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum FrameError {
    /// The frame is shorter than its length field.
    #[error("it has no length")]
    NoLength,
    /// The message is larger than allowed.
    #[error("it claims {bytes} bytes, {max} are allowed")]
    TooLarge {
        /// The size that the frame states, in bytes.
        bytes: usize,
        /// The largest allowed size, in bytes.
        max: usize,
    },
    /// The bytes can't be decompressed.
    #[error("it can't be decompressed: {0}")]
    Decompress(#[from] lz4_flex::block::DecompressError),
    /// The bytes are no message.
    #[error("it can't be decoded: {0}")]
    Decode(#[from] postcard::Error),
}

/// Why a stream is no stream between two voters.
#[derive(Debug, thiserror::Error)]
pub(crate) enum HandshakeError {
    #[error("the socket can't be set up: {0}")]
    Socket(#[from] io::Error),
    #[error("the peer takes no bytes")]
    WriteTimeout,
    #[error("the peer sends no bytes")]
    ReadTimeout,
    #[error("the stream broke: {reason}")]
    Broken { reason: String },
    #[error("the peer is of the cluster {cluster:?}")]
    OtherCluster { cluster: String },
    #[error("{name:?} is at that address: look at ledger.voters")]
    UnexpectedVoter { name: String },
    #[error("the peer is no voter of this fleet: {first:?}")]
    NotAVoter { first: Option<Frame> },
}
