//! Frames cut anywhere, garbled, too long, and of another version.

use proptest::prelude::*;
use tidespur_api::task::PlacementRequest;
use tidespur_planner_protocol::*;

fn message(uid: &str, n: u32) -> ToPlanner {
    match n % 3 {
        0 => ToPlanner::Place(PlacementRequest {
            uid: uid.into(),
            cores: f64::from(n),
            ..PlacementRequest::default()
        }),
        1 => ToPlanner::Cancel { uid: uid.into() },
        _ => ToPlanner::Heartbeat,
    }
}

#[test]
fn another_version_is_named_before_its_message_is_read() {
    let mut frame = encode(&ToPlanner::Heartbeat).unwrap();
    frame[5] = 9;
    let mut decoder = Decoder::default();
    decoder.feed(&frame);
    let error = decoder.next_message::<ToPlanner>().unwrap_err();
    assert_eq!(error, FrameError::Version(9));
    assert!(error.to_string().contains("upgrade"));
}

#[test]
fn a_frame_too_long_is_refused_by_its_head() {
    let mut decoder = Decoder::default();
    let version = tidespur_planner_protocol::PROTOCOL_VERSION.to_be_bytes();
    decoder.feed(&[0xff, 0xff, 0xff, 0xff, version[0], version[1]]);
    assert!(matches!(
        decoder.next_message::<ToPlanner>(),
        Err(FrameError::TooLong(_))
    ));
}

#[test]
fn silence_is_loss_and_a_ping_comes_before() {
    let mut life = Liveness::new(1.0, 3.0, 0.0);
    assert!(!life.is_heartbeat_due(0.9) && life.is_heartbeat_due(1.0));
    life.on_sent(1.0);
    assert!(!life.is_peer_lost(2.9) && life.is_peer_lost(3.0));
    life.on_received(2.0);
    assert!(!life.is_peer_lost(4.9));
    assert_eq!(life.next_deadline(), 2.0);
}

proptest! {
    #[test]
    fn messages_come_out_as_they_went_in(
        list in proptest::collection::vec(("[a-z]{0,40}", 0u32..9), 1..20), cut in 1usize..50,
    ) {
        let sent: Vec<ToPlanner> = list.iter().map(|(uid, n)| message(uid, *n)).collect();
        let bytes: Vec<u8> = sent.iter().flat_map(|m| encode(m).unwrap()).collect();
        let (mut decoder, mut got) = (Decoder::default(), vec![]);
        for part in bytes.chunks(cut) {
            decoder.feed(part);
            while let Some(message) = decoder.next_message::<ToPlanner>().unwrap() {
                got.push(message);
            }
        }
        prop_assert_eq!(got, sent);
    }

    #[test]
    fn any_bytes_are_an_error_or_wait_for_more(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut decoder = Decoder::default();
        decoder.feed(&bytes);
        while let Ok(Some(_)) = decoder.next_message::<ToPlanner>() {}
    }
}
