//! Encoding messages as frames and decoding frames from a byte stream. Called by the sockets of edges and planners.

use crate::PROTOCOL_VERSION;
use serde::{Serialize, de::DeserializeOwned};

/// Largest size of a message in a frame, in bytes, without the frame's header.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

/// A frame's header: the message's length (four bytes) and the protocol version (two bytes), both big endian.
const HEADER_BYTES: usize = 6;

/// Why a frame can't be encoded or decoded. After a decoding error the stream has no known frame boundary any more:
/// the connection has to be closed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The peer speaks another version of the protocol.
    #[error(
        "the peer speaks version {0} of the planner protocol, this program version {PROTOCOL_VERSION}: upgrade the older one"
    )]
    Version(u16),
    /// The message has more bytes than [`MAX_FRAME_BYTES`].
    #[error("a frame of {0} bytes exceeds the maximum of {MAX_FRAME_BYTES}")]
    TooLong(usize),
    /// The frame's body is no message of the expected type, or the message can't be serialized.
    #[error("a malformed frame: {0}")]
    Malformed(postcard::Error),
}

/// Encodes a message as one frame.
///
/// # Errors
/// [`FrameError::TooLong`], or [`FrameError::Malformed`] where the message can't be serialized.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, FrameError> {
    let body = postcard::to_stdvec(message).map_err(FrameError::Malformed)?;
    if body.len() > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(body.len()));
    }
    let mut frame = Vec::with_capacity(HEADER_BYTES + body.len());
    frame.extend((body.len() as u32).to_be_bytes());
    frame.extend(PROTOCOL_VERSION.to_be_bytes());
    frame.extend(body);
    Ok(frame)
}

/// Buffers the bytes of a stream and decodes messages from them.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: Vec<u8>,
    /// Bytes at the start of `buffer` that were decoded already.
    consumed: usize,
}

impl Decoder {
    /// Appends bytes that were read from the stream.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.consumed);
        self.consumed = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// Decodes the next message; `None` until all bytes of its frame have been fed.
    ///
    /// # Errors
    /// What is wrong with the next frame. The connection has to be closed then.
    pub fn next_message<T: DeserializeOwned>(&mut self) -> Result<Option<T>, FrameError> {
        let unread = &self.buffer[self.consumed..];
        let Some(header) = unread.first_chunk::<HEADER_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes([header[0], header[1], header[2], header[3]]) as usize;
        let version = u16::from_be_bytes([header[4], header[5]]);
        if version != PROTOCOL_VERSION {
            return Err(FrameError::Version(version));
        }
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong(length));
        }
        let Some(body) = unread.get(HEADER_BYTES..HEADER_BYTES + length) else {
            return Ok(None);
        };
        let message = postcard::from_bytes(body).map_err(FrameError::Malformed)?;
        self.consumed += HEADER_BYTES + length;
        Ok(Some(message))
    }
}
