//! Encodes messages as frames and decodes frames from a byte stream. Used on both ends of a connection.

use crate::PROTOCOL_VERSION;
use serde::{Serialize, de::DeserializeOwned};

/// Maximum size of an encoded message, in bytes, without the frame header.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

/// Size of the frame header: the message's length (four bytes) and the protocol version (two bytes), both big endian.
const HEADER_BYTES: usize = 6;

/// Why a frame can't be encoded or decoded. After a decoding error the position of the next frame in the stream is
/// unknown, so the connection has to be closed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The peer uses another protocol version, which is given here.
    #[error(
        "the peer speaks version {0} of the planner protocol, this program version {PROTOCOL_VERSION}: upgrade the older one"
    )]
    Version(u16),
    /// The encoded message has this many bytes, more than [`MAX_FRAME_BYTES`].
    #[error("frame of {0} bytes exceeds the maximum of {MAX_FRAME_BYTES} bytes")]
    TooLong(usize),
    /// The frame's body can't be decoded as the expected type, or the message can't be serialized.
    #[error("malformed frame: {0}")]
    Malformed(postcard::Error),
}

/// Encodes a message as one frame.
///
/// # Errors
/// [`FrameError::TooLong`], or [`FrameError::Malformed`] if the message can't be serialized.
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

/// Decodes messages from a byte stream that arrives in chunks of any size.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: Vec<u8>,
    /// Length of the prefix of `buffer` that has been decoded.
    consumed: usize,
}

impl Decoder {
    /// Appends bytes read from the stream.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.consumed);
        self.consumed = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// Decodes the next message; `None` until all bytes of its frame have been fed.
    ///
    /// # Errors
    /// The next frame is malformed, too long or of another protocol version. The connection has to be closed.
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
