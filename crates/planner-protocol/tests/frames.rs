//! Decoding of frames that are split, malformed, too long or of another protocol version; heartbeat timeouts.

use proptest::prelude::*;
use tidespur_api::task::PlacementRequest;
use tidespur_planner_protocol::{
    Decoder, FrameError, Liveness, PROTOCOL_VERSION, ToPlanner, encode,
};

fn message(uid: &str, variant: u32) -> ToPlanner {
    match variant % 3 {
        0 => ToPlanner::Place(PlacementRequest {
            uid: uid.into(),
            cores: f64::from(variant),
            ..PlacementRequest::default()
        }),
        1 => ToPlanner::Cancel { uid: uid.into() },
        _ => ToPlanner::Heartbeat,
    }
}

#[test]
fn a_frame_of_another_version_is_rejected_before_its_message_is_decoded() {
    let mut frame = encode(&ToPlanner::Heartbeat).unwrap();
    frame[5] = 9;
    let mut decoder = Decoder::default();
    decoder.feed(&frame);
    let error = decoder.next_message::<ToPlanner>().unwrap_err();
    assert_eq!(error, FrameError::Version(9));
    assert!(error.to_string().contains("upgrade"));
}

#[test]
fn a_too_long_frame_is_rejected_by_its_header() {
    let mut decoder = Decoder::default();
    let version = PROTOCOL_VERSION.to_be_bytes();
    decoder.feed(&[0xff, 0xff, 0xff, 0xff, version[0], version[1]]);
    assert!(matches!(
        decoder.next_message::<ToPlanner>(),
        Err(FrameError::TooLong(_))
    ));
}

#[test]
fn a_silent_peer_is_lost_and_a_heartbeat_is_due_before() {
    let mut liveness = Liveness::new(1.0, 3.0, 0.0);
    assert!(!liveness.is_heartbeat_due(0.9) && liveness.is_heartbeat_due(1.0));
    liveness.on_sent(1.0);
    assert!(!liveness.is_peer_lost(2.9) && liveness.is_peer_lost(3.0));
    liveness.on_received(2.0);
    assert!(!liveness.is_peer_lost(4.9));
    assert_eq!(liveness.next_deadline(), 2.0);
}

proptest! {
    #[test]
    fn messages_are_decoded_as_they_were_encoded(
        messages in proptest::collection::vec(("[a-z]{0,40}", 0u32..9), 1..20), chunk_bytes in 1usize..50,
    ) {
        let sent: Vec<ToPlanner> = messages.iter().map(|(uid, variant)| message(uid, *variant)).collect();
        let bytes: Vec<u8> = sent.iter().flat_map(|m| encode(m).unwrap()).collect();
        let mut decoder = Decoder::default();
        let mut received = vec![];
        for chunk in bytes.chunks(chunk_bytes) {
            decoder.feed(chunk);
            while let Some(message) = decoder.next_message::<ToPlanner>().unwrap() {
                received.push(message);
            }
        }
        prop_assert_eq!(received, sent);
    }

    #[test]
    fn arbitrary_bytes_are_an_error_or_an_incomplete_frame(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut decoder = Decoder::default();
        decoder.feed(&bytes);
        while let Ok(Some(_)) = decoder.next_message::<ToPlanner>() {}
    }
}
