//! The encodings of what voters store and send stay compatible with earlier versions, so that old and new voters can
//! work together while the fleet is upgraded.

mod samples;

use omnipaxos::messages::Message;
use omnipaxos::messages::ballot_leader_election::{BLEMessage, HeartbeatMsg, HeartbeatRequest};
use samples::{
    assert_wire_compatible, entries, fixture, known_position, position, state, unknown_position,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;
use tidespur_coordination::{LogPosition, PeerMessage};
use tidespur_fixtures::{Codec, assert_compatible};

fn assert_json_compatible<T: Debug + Serialize + DeserializeOwned>(
    file: &str,
    samples: &[(&str, T)],
) {
    let encode = |value: &T| serde_json::to_string(value).unwrap();
    let decode = |text: &str| serde_json::from_str(text).unwrap();
    assert_compatible(
        &fixture(file),
        samples,
        &Codec {
            encode: &encode,
            decode: &decode,
        },
    );
}

/// Names the sample of a message. A new variant does not compile until it is added here; add a sample to [`messages`]
/// too.
fn message_name(message: &PeerMessage) -> &'static str {
    match message {
        PeerMessage::Position(_) => "here",
        PeerMessage::KnownPosition(_) => "known",
        PeerMessage::Consensus(_) => "agree",
        PeerMessage::Heartbeat => "ping",
    }
}

fn messages() -> Vec<PeerMessage> {
    let request = HeartbeatMsg::Request(HeartbeatRequest { round: 5 });
    vec![
        PeerMessage::Position(position()),
        PeerMessage::KnownPosition(known_position()),
        PeerMessage::Consensus(Box::new(Message::BLE(BLEMessage {
            from: 1,
            to: 2,
            msg: request,
        }))),
        PeerMessage::Heartbeat,
    ]
}

#[test]
fn messages_keep_their_bytes_when_encoded_and_decoded() {
    let samples: Vec<(&str, PeerMessage)> = messages()
        .into_iter()
        .map(|message| (message_name(&message), message))
        .collect();
    assert_wire_compatible("words.txt", &samples);
    let unset = [
        (
            "here of a new voter",
            PeerMessage::Position(LogPosition::default()),
        ),
        (
            "known of a new voter",
            PeerMessage::KnownPosition(unknown_position()),
        ),
    ];
    assert_wire_compatible("words-unset.txt", &unset);
}

#[test]
fn entries_keep_their_bytes_when_sent() {
    assert_wire_compatible("entries-wire.txt", &entries());
}

#[test]
fn entries_keep_their_json_when_stored() {
    assert_json_compatible("entries-stored.txt", &entries());
}

#[test]
fn positions_keep_their_json_when_stored() {
    assert_json_compatible(
        "marks-stored.txt",
        &[("mark", position()), ("new", LogPosition::default())],
    );
}

#[test]
fn states_keep_their_json_when_stored() {
    assert_json_compatible("states-stored.txt", &[("state", state())]);
}
