//! Frames of a stream between two voters. Large messages are compressed: a voter that was down for weeks is sent one
//! entry for each one that it missed, and compacted entries are all equal.

use crate::FrameError;
use serde::{Deserialize, Serialize};
use tidespur_coordination::PeerMessage;

/// Encoded size from which a consensus message is compressed, in bytes.
const MIN_PACKED_BYTES: usize = 64 << 10;
/// Largest size of a message before compression, in bytes. Larger ones are neither sent nor decompressed.
const MAX_MESSAGE_BYTES: usize = 64 << 20;
/// Size of the length field that precedes a compressed message, in bytes.
const LENGTH_BYTES: usize = 4;

/// A frame of a stream between two voters.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Frame {
    /// The first frame in each direction: the cluster and the name of the sender.
    #[serde(rename = "Hi")]
    Hello(String, String),
    /// An uncompressed message.
    #[serde(rename = "Word")]
    Message(PeerMessage),
    /// A large message, encoded with postcard and compressed with LZ4, after its length field.
    Packed(Vec<u8>),
}

/// Creates the frame of a message and compresses large consensus messages; `None` if it exceeds the size limit.
pub fn pack(message: PeerMessage) -> Option<Frame> {
    if !matches!(message, PeerMessage::Consensus(_)) {
        return Some(Frame::Message(message));
    }
    let bytes = postcard::to_stdvec(&message).ok()?;
    match bytes.len() {
        0..MIN_PACKED_BYTES => Some(Frame::Message(message)),
        MIN_PACKED_BYTES..=MAX_MESSAGE_BYTES => {
            Some(Frame::Packed(lz4_flex::compress_prepend_size(&bytes)))
        }
        _ => None,
    }
}

/// Decompresses and decodes the message of a [`Frame::Packed`].
///
/// # Errors
/// If the bytes have no length field, the field exceeds the size limit, or decompression or decoding fails.
pub fn unpack(bytes: &[u8]) -> Result<PeerMessage, FrameError> {
    let (length, _) = bytes
        .split_first_chunk::<LENGTH_BYTES>()
        .ok_or(FrameError::MissingLength)?;
    let length = u32::from_le_bytes(*length) as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(FrameError::TooLarge {
            bytes: length,
            max: MAX_MESSAGE_BYTES,
        });
    }
    let message = lz4_flex::decompress_size_prepended(bytes)?;
    Ok(postcard::from_bytes(&message)?)
}
