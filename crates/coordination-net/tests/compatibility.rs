//! The encoding of frames between voters and the JSON of `/debug/ledger` stay compatible with earlier versions.

use omnipaxos::messages::Message;
use omnipaxos::messages::sequence_paxos::{PaxosMessage, PaxosMsg};
use std::path::PathBuf;
use tidespur_coordination::{
    Entry, Input, KnownPosition, LogPosition, Output, PeerMessage, Settings, Voter,
};
use tidespur_coordination_net::{FLEET_LEASE, Frame, pack, report, unpack};
use tidespur_fixtures::{Codec, assert_compatible, assert_lines, fixture_path, from_hex, to_hex};
use tidespur_persistence::LoadedRecords;
use tidespur_planner_protocol::Decoder;

fn fixture(file: &str) -> PathBuf {
    fixture_path(env!("CARGO_MANIFEST_DIR"), file)
}

/// Names the sample of a frame. A new variant does not compile until it is added here; add a sample to [`frames`] too.
fn frame_name(frame: &Frame) -> &'static str {
    match frame {
        Frame::Hello(..) => "hi",
        Frame::Message(_) => "word",
        Frame::Packed(_) => "packed",
    }
}

fn frames() -> Vec<Frame> {
    vec![
        Frame::Hello("altmuehlfeld".into(), "edge-1".into()),
        Frame::Message(PeerMessage::Heartbeat),
        Frame::Packed(vec![0, 127, 128, 255]),
    ]
}

/// Encodes a frame with its header, which holds the length and the protocol version.
fn encode(frame: &Frame) -> String {
    to_hex(&tidespur_planner_protocol::encode(frame).unwrap())
}

fn decode(text: &str) -> Frame {
    let mut decoder = Decoder::default();
    decoder.feed(&from_hex(text));
    decoder.next_message().unwrap().unwrap()
}

#[test]
fn frames_keep_their_bytes_when_encoded_and_decoded() {
    let samples: Vec<(&str, Frame)> = frames()
        .into_iter()
        .map(|frame| (frame_name(&frame), frame))
        .collect();
    assert_compatible(
        &fixture("frames.txt"),
        &samples,
        &Codec {
            encode: &encode,
            decode: &decode,
        },
    );
}

/// A message that is large enough to be packed.
fn long_message() -> PeerMessage {
    let msg = PaxosMsg::ProposalForward(vec![Entry::Noop; 70_000]);
    PeerMessage::Consensus(Box::new(Message::SequencePaxos(PaxosMessage {
        from: 1,
        to: 2,
        msg,
    })))
}

#[test]
fn messages_keep_their_bytes_when_packed_and_unpacked() {
    let encode = |message: &PeerMessage| encode(&pack(message.clone()).unwrap());
    let decode = |text: &str| match decode(text) {
        Frame::Packed(bytes) => unpack(&bytes).unwrap(),
        Frame::Message(message) => message,
        Frame::Hello(..) => panic!("a hello frame contains no message"),
    };
    let samples = [("long", long_message()), ("short", PeerMessage::Heartbeat)];
    assert_compatible(
        &fixture("packed-words.txt"),
        &samples,
        &Codec {
            encode: &encode,
            decode: &decode,
        },
    );
}

fn voter(voters: &[&str]) -> Voter {
    let settings = Settings {
        voters: voters.iter().map(|voter| (*voter).to_owned()).collect(),
        name: voters[0].into(),
        incarnation: 1,
        start_nonce: 1,
        lease_term: 3.0,
        max_clock_drift: 0.01,
    };
    Voter::new(
        settings,
        &LoadedRecords {
            generation: 1,
            created_at: 1,
            ..LoadedRecords::default()
        },
        0.0,
    )
    .unwrap()
}

/// Steps a voter, and syncs its batches immediately.
fn step(voter: &mut Voter, now: f64, inputs: Vec<Input>) {
    let mut outputs = Vec::new();
    voter.step(now, inputs, &mut outputs);
    let written = outputs.iter().filter_map(|output| match output {
        Output::Persist(batch, _) => Some(Input::BatchSynced(*batch)),
        _ => None,
    });
    voter.step(now, written.collect::<Vec<_>>(), &mut Vec::new());
}

/// A single voter that holds the lease of the fleet and has stored a value.
fn voting() -> Voter {
    let mut voter = voter(&["edge-1"]);
    step(
        &mut voter,
        0.0,
        vec![Input::AcquireLease(FLEET_LEASE.into())],
    );
    let put = Input::Put {
        lease: FLEET_LEASE.into(),
        key: "settings".into(),
        value: vec![1],
    };
    step(&mut voter, 0.5, vec![put]);
    voter
}

/// One of three voters, after a peer has announced a position and then an earlier one.
fn verifying() -> Voter {
    let mut voter = voter(&["edge-1", "edge-2", "edge-3"]);
    let position = |generation| {
        Input::MessageReceived(
            "edge-2".into(),
            PeerMessage::Position(LogPosition {
                generation,
                ..LogPosition::default()
            }),
        )
    };
    step(&mut voter, 0.0, vec![position(5), position(4)]);
    voter
}

/// One of three voters, after a peer has replied that it knows a later position of this voter.
fn quarantined() -> Voter {
    let mut voter = voter(&["edge-1", "edge-2", "edge-3"]);
    let known = KnownPosition {
        position: Some(LogPosition::default()),
        may_vote: false,
        min_promise: None,
        incarnation: 0,
    };
    step(
        &mut voter,
        0.0,
        vec![Input::MessageReceived(
            "edge-2".into(),
            PeerMessage::KnownPosition(known),
        )],
    );
    voter
}

#[test]
fn report_keeps_its_json_when_a_voter_is_in_each_state() {
    let lines = [
        ("voting", voting()),
        ("asking", verifying()),
        ("barred", quarantined()),
    ]
    .map(|(name, voter)| (name.to_owned(), report(&voter, 0.5).to_string()));
    assert_lines(&fixture("debug-ledger.txt"), &lines);
}
