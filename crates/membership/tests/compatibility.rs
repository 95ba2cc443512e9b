//! The encoding of datagrams is the same as in earlier versions, so that old and new members form one cluster during a
//! rolling upgrade.

use foca::{Header, Member, Message};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;
use std::net::SocketAddr;
use std::path::PathBuf;
use tidespur_fixtures::{Codec, assert_compatible, fixture_path, from_hex, to_hex};
use tidespur_membership::wire::{self, Body};
use tidespur_membership::{MemberId, MemberMetadata, MetadataUpdate, MetadataVersion, Role};

const CLUSTER: &str = "altmuehlfeld";

fn fixture(file: &str) -> PathBuf {
    fixture_path(env!("CARGO_MANIFEST_DIR"), file)
}

fn id(name: &str, address: &str, incarnation: u64, rejoin_count: u32) -> MemberId {
    let address: SocketAddr = address.parse().unwrap();
    MemberId {
        name: name.into(),
        address,
        incarnation,
        rejoin_count,
    }
}

fn edge() -> MemberId {
    id("edge-1", "127.0.0.1:7400", 1_764_680_400_000_001, 0)
}

fn planner() -> MemberId {
    id("planner-2", "[2001:db8::7]:7401", u64::MAX, 300)
}

fn role_name(role: Role) -> &'static str {
    match role {
        Role::Edge => "edge",
        Role::Planner => "planner",
    }
}

fn edge_metadata() -> MemberMetadata {
    MemberMetadata {
        role: Role::Edge,
        zone: "north-1".into(),
        api_address: "10.0.0.1:6443".into(),
        link_address: "10.0.0.1:6500".into(),
        open_tasks: Some(70_000),
        is_leaving: false,
    }
}

fn planner_metadata() -> MemberMetadata {
    MemberMetadata {
        is_leaving: true,
        ..MemberMetadata::for_role(Role::Planner)
    }
}

fn edge_update() -> MetadataUpdate {
    MetadataUpdate {
        name: "edge-1".into(),
        version: MetadataVersion {
            incarnation: 1_764_680_400_000_001,
            count: 7,
        },
        view_hash: 0x0123_4567_89ab_cdef,
        metadata: edge_metadata(),
    }
}

fn planner_update() -> MetadataUpdate {
    MetadataUpdate {
        name: "planner-2".into(),
        version: MetadataVersion::default(),
        view_hash: 0,
        metadata: planner_metadata(),
    }
}

/// Exhaustive, so that a new variant fails to compile here; it also needs a sample in [`bodies`].
fn body_name(body: &Body) -> &'static str {
    match body {
        Body::Swim(_) => "swim",
        Body::Hello(_) => "hello",
        Body::Welcome(_) => "welcome",
        Body::ReplacedBy(_) => "newer",
        Body::Versions(..) => "versions",
        Body::Metadata(..) => "facts",
    }
}

fn bodies() -> Vec<Body> {
    let versions = vec![
        (
            "edge-1".to_owned(),
            MetadataVersion {
                incarnation: 1,
                count: 2,
            },
        ),
        (
            "planner-2".to_owned(),
            MetadataVersion {
                incarnation: u64::MAX,
                count: u32::MAX,
            },
        ),
    ];
    vec![
        Body::Swim(vec![0, 1, 127, 128, 255]),
        Body::Hello(edge()),
        Body::Welcome(planner()),
        Body::ReplacedBy(edge()),
        Body::Versions(edge(), versions),
        Body::Metadata(
            planner(),
            vec![edge_update(), planner_update()],
            vec!["edge-3".into(), "edge-4".into()],
        ),
    ]
}

fn assert_postcard_compatible<T: Debug + Serialize + DeserializeOwned>(
    file: &str,
    samples: &[(&str, T)],
) {
    let encode = |value: &T| to_hex(&postcard::to_stdvec(value).unwrap());
    let decode = |text: &str| postcard::from_bytes(&from_hex(text)).unwrap();
    assert_compatible(
        &fixture(file),
        samples,
        &Codec {
            encode: &encode,
            decode: &decode,
        },
    );
}

#[test]
fn datagrams_keep_their_bytes_when_encoded_and_decoded() {
    let samples: Vec<(&str, Body)> = bodies()
        .into_iter()
        .map(|body| (body_name(&body), body))
        .collect();
    let encode = |body: &Body| to_hex(&wire::encode(CLUSTER, body));
    let decode = |text: &str| wire::decode(CLUSTER, &from_hex(text)).unwrap();
    assert_compatible(
        &fixture("datagrams.txt"),
        &samples,
        &Codec {
            encode: &encode,
            decode: &decode,
        },
    );
}

/// Metadata is also gossiped outside of [`Body::Metadata`]: as broadcasts in the failure detector's messages.
#[test]
fn metadata_keeps_its_bytes_when_encoded_and_decoded() {
    let samples =
        [edge_update(), planner_update()].map(|update| (role_name(update.metadata.role), update));
    assert_postcard_compatible("facts.txt", &samples);
}

fn message_name(message: &Message<MemberId>) -> &'static str {
    match message {
        Message::Ping(_) => "ping",
        Message::Ack(_) => "ack",
        Message::PingReq { .. } => "ping-req",
        Message::IndirectPing { .. } => "indirect-ping",
        Message::IndirectAck { .. } => "indirect-ack",
        Message::ForwardedAck { .. } => "forwarded-ack",
        Message::Announce => "announce",
        Message::Feed => "feed",
        Message::Gossip => "gossip",
        Message::Broadcast => "broadcast",
        Message::TurnUndead => "turn-undead",
    }
}

fn messages() -> Vec<Message<MemberId>> {
    vec![
        Message::Ping(1),
        Message::Ack(255),
        Message::PingReq {
            target: edge(),
            probe_number: 2,
        },
        Message::IndirectPing {
            origin: planner(),
            probe_number: 3,
        },
        Message::IndirectAck {
            target: edge(),
            probe_number: 4,
        },
        Message::ForwardedAck {
            origin: planner(),
            probe_number: 5,
        },
        Message::Announce,
        Message::Feed,
        Message::Gossip,
        Message::Broadcast,
        Message::TurnUndead,
    ]
}

#[test]
fn failure_detector_headers_keep_their_bytes_when_encoded_and_decoded() {
    let sample = |message: Message<MemberId>| {
        let name = message_name(&message);
        (
            name,
            Header {
                src: edge(),
                src_incarnation: 9,
                dst: planner(),
                message,
            },
        )
    };
    let samples: Vec<(&str, Header<MemberId>)> = messages().into_iter().map(sample).collect();
    assert_postcard_compatible("failure-detector-headers.txt", &samples);
}

#[test]
fn failure_detector_members_keep_their_bytes_when_encoded_and_decoded() {
    let state_name = |state: foca::State| match state {
        foca::State::Alive => "alive",
        foca::State::Suspect => "suspect",
        foca::State::Down => "down",
    };
    let states = [foca::State::Alive, foca::State::Suspect, foca::State::Down];
    let samples = states.map(|state| (state_name(state), Member::new(edge(), 300, state)));
    assert_postcard_compatible("failure-detector-members.txt", &samples);
}
