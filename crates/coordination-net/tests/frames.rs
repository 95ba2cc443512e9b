//! Frames of large messages.

use omnipaxos::messages::Message;
use omnipaxos::messages::sequence_paxos::{PaxosMessage, PaxosMsg};
use tidespur_coordination::{Entry, PeerMessage};
use tidespur_coordination_net::{Frame, FrameError, pack, unpack};

const ENTRIES: usize = 5_000_000;

/// Entries that were compacted, as they are sent to a voter that has missed them.
fn compacted_entries() -> PeerMessage {
    let msg = PaxosMsg::ProposalForward(vec![Entry::Noop; ENTRIES]);
    PeerMessage::Consensus(Box::new(Message::SequencePaxos(PaxosMessage {
        from: 1,
        to: 2,
        msg,
    })))
}

fn packed() -> Vec<u8> {
    let frame = pack(compacted_entries()).expect("within bounds");
    let encoded = tidespur_planner_protocol::encode(&frame).expect("it fits into a frame");
    assert!(
        encoded.len() < 1 << 18,
        "a frame may have four times as much"
    );
    let Frame::Packed(bytes) = frame else {
        panic!("it is packed")
    };
    bytes
}

/// If they did not fit into a frame, the stream to a voter that was away for long would break each time.
#[test]
fn millions_of_compacted_entries_fit_into_a_frame_when_packed() {
    let Ok(PeerMessage::Consensus(message)) = unpack(&packed()) else {
        panic!("it is a consensus message")
    };

    let Message::SequencePaxos(PaxosMessage {
        msg: PaxosMsg::ProposalForward(entries),
        ..
    }) = *message
    else {
        panic!("it is the message that was packed")
    };
    assert_eq!(entries.len(), ENTRIES);
}

#[test]
fn unpacking_fails_when_a_frame_lies_about_its_length_or_is_truncated() {
    let bytes = packed();
    let mut lie = bytes.clone();
    lie[..4].copy_from_slice(&u32::MAX.to_le_bytes());

    assert!(matches!(unpack(&lie), Err(FrameError::TooLarge { .. })));
    assert!(matches!(
        unpack(&bytes[..bytes.len() / 2]),
        Err(FrameError::Decompress(_))
    ));
    assert!(matches!(unpack(&[1]), Err(FrameError::NoLength)));
}
