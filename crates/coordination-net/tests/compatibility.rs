//! What goes over a stream between two voters, and the JSON of `/debug/ledger`, stay as an earlier version wrote them.

use omnipaxos::messages::Message;
use omnipaxos::messages::sequence_paxos::{PaxosMessage, PaxosMsg};
use std::path::PathBuf;
use tidespur_coordination::{
    Entry, Input, Known, LogPosition, Output, PeerMessage, Settings, Voter,
};
use tidespur_coordination_net::{FLEET_LEASE, Frame, pack, report, unpack};
use tidespur_fixtures::{Codec, assert_compatible, assert_lines, fixture_path, from_hex, to_hex};
use tidespur_persistence::LoadedRecords;
use tidespur_planner_protocol::Decoder;

fn fixture(file: &str) -> PathBuf {
    fixture_path(env!("CARGO_MANIFEST_DIR"), file)
}

/// A new variant fails to compile here until it has a name; add a sample of it to [`frames`] as well.
fn frame_name(frame: &Frame) -> &'static str {
    match frame {
        Frame::Hi(..) => "hi",
        Frame::Word(_) => "word",
        Frame::Packed(_) => "packed",
    }
}

fn frames() -> Vec<Frame> {
    vec![
        Frame::Hi("altmuehlfeld".into(), "edge-1".into()),
        Frame::Word(PeerMessage::Heartbeat),
        Frame::Packed(vec![0, 127, 128, 255]),
    ]
}

/// With the head of a frame: its length and the version of the link.
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

/// Longer than the bound from which words are packed.
fn long_word() -> PeerMessage {
    let msg = PaxosMsg::ProposalForward(vec![Entry::Noop; 70_000]);
    PeerMessage::Consensus(Box::new(Message::SequencePaxos(PaxosMessage {
        from: 1,
        to: 2,
        msg,
    })))
}

#[test]
fn words_keep_their_bytes_when_packed_and_unpacked() {
    let encode = |word: &PeerMessage| encode(&pack(word.clone()).unwrap());
    let decode = |text: &str| match decode(text) {
        Frame::Packed(bytes) => unpack(&bytes).unwrap(),
        Frame::Word(word) => word,
        Frame::Hi(..) => panic!("no word"),
    };
    let samples = [("long", long_word()), ("short", PeerMessage::Heartbeat)];
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
        own: voters[0].into(),
        incarnation: 1,
        start: 1,
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

/// Steps a voter, with a disk that is safe at once.
fn step(ledger: &mut Voter, now: f64, inputs: Vec<Input>) {
    let mut outputs = Vec::new();
    ledger.step(now, inputs, &mut outputs);
    let written = outputs.iter().filter_map(|output| match output {
        Output::Persist(batch, _) => Some(Input::BatchSynced(*batch)),
        _ => None,
    });
    ledger.step(now, written.collect::<Vec<_>>(), &mut Vec::new());
}

/// The only voter, which holds the fleet's lease and remembers something under it.
fn voting() -> Voter {
    let mut ledger = voter(&["edge-1"]);
    step(
        &mut ledger,
        0.0,
        vec![Input::AcquireLease(FLEET_LEASE.into())],
    );
    let note = Input::Put {
        lease: FLEET_LEASE.into(),
        key: "settings".into(),
        value: vec![1],
    };
    step(&mut ledger, 0.5, vec![note]);
    ledger
}

/// One of three that has heard nothing but a position that falls behind an earlier one.
fn asking() -> Voter {
    let mut ledger = voter(&["edge-1", "edge-2", "edge-3"]);
    let here = |turn| {
        Input::MessageReceived(
            "edge-2".into(),
            PeerMessage::Position(LogPosition {
                turn,
                ..LogPosition::default()
            }),
        )
    };
    step(&mut ledger, 0.0, vec![here(5), here(4)]);
    ledger
}

/// One of three that another knows as further than it is.
fn barred() -> Voter {
    let mut ledger = voter(&["edge-1", "edge-2", "edge-3"]);
    let known = Known {
        mark: Some(LogPosition::default()),
        fits: false,
        floor: None,
        life: 0,
    };
    step(
        &mut ledger,
        0.0,
        vec![Input::MessageReceived(
            "edge-2".into(),
            PeerMessage::KnownPosition(known),
        )],
    );
    ledger
}

#[test]
fn report_keeps_its_json_when_a_voter_is_in_each_state() {
    let lines = [
        ("voting", voting()),
        ("asking", asking()),
        ("barred", barred()),
    ]
    .map(|(name, ledger)| (name.to_owned(), report(&ledger, 0.5).to_string()));
    assert_lines(&fixture("debug-ledger.txt"), &lines);
}
