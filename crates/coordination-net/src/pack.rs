//! Words that are long for a frame, packed. A voter that was away for weeks is sent one small word for each entry that it
//! missed, and those that were folded all say the same.

use crate::streams::Frame;
use tidespur_coordination::PeerMessage;

/// Words beyond so many bytes are packed.
const PACK_FROM: usize = 64 << 10;
/// What a packed word may come to; whoever claims more is not believed.
const WORD_MOST: usize = 64 << 20;

/// A word as it goes over a stream; `None` where it is beyond all bounds.
pub fn pack(word: PeerMessage) -> Option<Frame> {
    if !matches!(word, PeerMessage::Consensus(_)) {
        return Some(Frame::Word(word));
    }
    let bytes = postcard::to_stdvec(&word).ok()?;
    match bytes.len() {
        0..PACK_FROM => Some(Frame::Word(word)),
        PACK_FROM..=WORD_MOST => Some(Frame::Packed(lz4_flex::compress_prepend_size(&bytes))),
        _ => None,
    }
}

/// Back again.
///
/// # Errors
/// What is wrong with it.
pub fn unpack(bytes: &[u8]) -> Result<PeerMessage, String> {
    let (head, _) = bytes.split_first_chunk::<4>().ok_or("it has no length")?;
    let length = u32::from_le_bytes(*head) as usize;
    if length > WORD_MOST {
        return Err(format!("it claims {length} bytes, {WORD_MOST} are allowed"));
    }
    let bytes = lz4_flex::decompress_size_prepended(bytes).map_err(|e| e.to_string())?;
    postcard::from_bytes(&bytes).map_err(|e| e.to_string())
}

#[cfg(test)]
mod tests {
    use super::*;
    use omnipaxos::messages::Message;
    use omnipaxos::messages::sequence_paxos::{PaxosMessage, PaxosMsg};
    use tidespur_coordination::Entry;

    /// Guards a voter that was away for long: beyond a frame's bound its stream would break each time it is brought up
    /// to date, for ever.
    #[test]
    fn millions_of_folded_entries_fit_into_a_frame_and_lies_are_refused() {
        let msg = PaxosMsg::ProposalForward(vec![Entry::Noop; 5_000_000]);
        let message = Message::SequencePaxos(PaxosMessage {
            from: 1,
            to: 2,
            msg,
        });
        let frame = pack(PeerMessage::Consensus(Box::new(message))).expect("within bounds");
        let encoded = tidespur_planner_protocol::encode(&frame).expect("it fits");
        assert!(
            encoded.len() < 1 << 18,
            "a frame may have four times as much"
        );
        let Frame::Packed(bytes) = frame else {
            panic!("it is packed")
        };
        let Ok(PeerMessage::Consensus(message)) = unpack(&bytes) else {
            panic!("it comes back")
        };
        let Message::SequencePaxos(PaxosMessage {
            msg: PaxosMsg::ProposalForward(entries),
            ..
        }) = *message
        else {
            panic!("as what it was")
        };
        assert_eq!(entries.len(), 5_000_000);
        let mut lie = bytes.clone();
        lie[..4].copy_from_slice(&u32::MAX.to_le_bytes());
        assert!(
            unpack(&lie).is_err()
                && unpack(&bytes[..bytes.len() / 2]).is_err()
                && unpack(&[1]).is_err()
        );
    }
}
