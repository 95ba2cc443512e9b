//! Bytes to messages and back.

use crate::PROTOCOL_VERSION;
use serde::{Serialize, de::DeserializeOwned};

/// A frame may have so many bytes.
pub const MAX_FRAME_BYTES: usize = 1 << 20;
const HEADER_BYTES: usize = 6;

/// What is wrong with what a peer sent. None can be recovered from: the connection is to be closed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The peer speaks another version.
    Version(u16),
    /// Longer than [`MAX_FRAME_BYTES`].
    TooLong(usize),
    /// No message in it.
    Malformed(String),
}

impl std::fmt::Display for FrameError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Version(v) => write!(
                f,
                "the peer speaks version {v} of the link, this program {PROTOCOL_VERSION}: upgrade the older one"
            ),
            Self::TooLong(n) => write!(f, "a frame of {n} bytes, {MAX_FRAME_BYTES} are allowed"),
            Self::Malformed(why) => write!(f, "a frame that holds no message: {why}"),
        }
    }
}

impl std::error::Error for FrameError {}

/// One frame.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, FrameError> {
    let body = postcard::to_stdvec(message).map_err(|e| FrameError::Malformed(e.to_string()))?;
    if body.len() > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(body.len()));
    }
    let mut frame = Vec::with_capacity(HEADER_BYTES + body.len());
    frame.extend((body.len() as u32).to_be_bytes());
    frame.extend(PROTOCOL_VERSION.to_be_bytes());
    frame.extend(body);
    Ok(frame)
}

/// Takes in bytes as they come and gives out whole messages.
#[derive(Debug, Default)]
pub struct Decoder {
    bytes: Vec<u8>,
    read: usize,
}

impl Decoder {
    /// Takes in bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.read);
        self.read = 0;
        self.bytes.extend_from_slice(bytes);
    }

    /// The next whole message, if there is one.
    pub fn next_message<T: DeserializeOwned>(&mut self) -> Result<Option<T>, FrameError> {
        let rest = &self.bytes[self.read..];
        let Some(head) = rest.first_chunk::<HEADER_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
        let version = u16::from_be_bytes([head[4], head[5]]);
        if version != PROTOCOL_VERSION {
            return Err(FrameError::Version(version));
        }
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong(length));
        }
        let Some(body) = rest.get(HEADER_BYTES..HEADER_BYTES + length) else {
            return Ok(None);
        };
        let message =
            postcard::from_bytes(body).map_err(|e| FrameError::Malformed(e.to_string()))?;
        self.read += HEADER_BYTES + length;
        Ok(Some(message))
    }
}
