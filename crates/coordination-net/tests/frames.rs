//! Packing and unpacking of large messages.

use omnipaxos::messages::Message;
use omnipaxos::messages::sequence_paxos::{PaxosMessage, PaxosMsg};
use tidespur_coordination::{Entry, PeerMessage};
use tidespur_coordination_net::{Frame, FrameError, pack, unpack};

const ENTRIES: usize = 5_000_000;

/// Compacted entries, as they are sent to a voter that has missed them.
fn compacted_entries() -> PeerMessage {
    let msg = PaxosMsg::ProposalForward(vec![Entry::Noop; ENTRIES]);
    PeerMessage::Consensus(Box::new(Message::SequencePaxos(PaxosMessage {
        from: 1,
        to: 2,
        msg,
    })))
}

fn packed() -> Vec<u8> {
    let frame = pack(compacted_entries()).expect("the message is within the size limit");
    let encoded =
        tidespur_planner_protocol::encode(&frame).expect("the frame is within the size limit");
    assert!(
        encoded.len() < 1 << 18,
        "the frame has {} bytes, more than a quarter of the size limit",
        encoded.len()
    );
    let Frame::Packed(bytes) = frame else {
        panic!("the message was not packed")
    };
    bytes
}

/// If the entries did not fit into a frame, the stream to a voter that was down for long would be closed on each
/// attempt to send them.
#[test]
fn millions_of_compacted_entries_fit_into_a_frame_when_packed() {
    let Ok(PeerMessage::Consensus(message)) = unpack(&packed()) else {
        panic!("the unpacked message is not a consensus message")
    };

    let Message::SequencePaxos(PaxosMessage {
        msg: PaxosMsg::ProposalForward(entries),
        ..
    }) = *message
    else {
        panic!("the unpacked message is of another type")
    };
    assert_eq!(entries.len(), ENTRIES);
}

#[test]
fn unpacking_fails_when_the_length_field_is_wrong_or_missing_or_the_message_is_truncated() {
    let bytes = packed();
    let mut wrong_length = bytes.clone();
    wrong_length[..4].copy_from_slice(&u32::MAX.to_le_bytes());

    assert!(matches!(
        unpack(&wrong_length),
        Err(FrameError::TooLarge { .. })
    ));
    assert!(matches!(
        unpack(&bytes[..bytes.len() / 2]),
        Err(FrameError::Decompress(_))
    ));
    assert!(matches!(unpack(&[1]), Err(FrameError::MissingLength)));
}
