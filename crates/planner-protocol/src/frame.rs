//! Bytes to messages and back.

use crate::VERSION;
use serde::{Serialize, de::DeserializeOwned};

/// A frame may have so many bytes.
pub const FRAME_MOST: usize = 1 << 20;
const HEAD: usize = 6;

/// What is wrong with what a peer sent. None can be recovered from: the connection is to be closed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The peer speaks another version.
    Version(u16),
    /// Longer than [`FRAME_MOST`].
    TooLong(usize),
    /// No message in it.
    Garbled(String),
}

impl std::fmt::Display for FrameError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Version(v) => write!(
                f,
                "the peer speaks version {v} of the link, this program {VERSION}: upgrade the older one"
            ),
            Self::TooLong(n) => write!(f, "a frame of {n} bytes, {FRAME_MOST} are allowed"),
            Self::Garbled(why) => write!(f, "a frame that holds no message: {why}"),
        }
    }
}

impl std::error::Error for FrameError {}

/// One frame.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, FrameError> {
    let body = postcard::to_stdvec(message).map_err(|e| FrameError::Garbled(e.to_string()))?;
    if body.len() > FRAME_MOST {
        return Err(FrameError::TooLong(body.len()));
    }
    let mut frame = Vec::with_capacity(HEAD + body.len());
    frame.extend((body.len() as u32).to_be_bytes());
    frame.extend(VERSION.to_be_bytes());
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
    pub fn message<T: DeserializeOwned>(&mut self) -> Result<Option<T>, FrameError> {
        let rest = &self.bytes[self.read..];
        let Some(head) = rest.first_chunk::<HEAD>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
        let version = u16::from_be_bytes([head[4], head[5]]);
        if version != VERSION {
            return Err(FrameError::Version(version));
        }
        if length > FRAME_MOST {
            return Err(FrameError::TooLong(length));
        }
        let Some(body) = rest.get(HEAD..HEAD + length) else {
            return Ok(None);
        };
        let message = postcard::from_bytes(body).map_err(|e| FrameError::Garbled(e.to_string()))?;
        self.read += HEAD + length;
        Ok(Some(message))
    }
}
