//! Messages between edge and planner stay what earlier builds of the same protocol version send and read.

#[path = "common/fixtures.rs"]
mod fixtures;

use fixtures::{Sample, assert_compatible, from_hex, to_hex};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::fmt::Debug;
use std::sync::Arc;
use tidespur_api::task::Ask;
use tidespur_link::{Decoder, End, Found, ToEdge, ToPlanner, VERSION, encode};
use tidespur_waiting::{Code, Diagnosis, Limit, Nearest, Word};

/// Compares both forms of each sample: the frame that is sent, and JSON, which holds the names.
fn assert_message_compatible<T>(name: &str, samples: &[Sample<T>])
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let to_frame = |value: &T| to_hex(&encode(value).expect("a sample fits into a frame"));
    let from_frame = |text: &str| {
        let mut decoder = Decoder::default();
        decoder.feed(&from_hex(text));
        decoder.message().expect("a readable frame").expect("a complete frame")
    };
    assert_compatible(&format!("{name}.frames.txt"), samples, to_frame, from_frame);
    let to_json = |value: &T| serde_json::to_string(value).expect("a sample has a JSON form");
    let from_json = |text: &str| serde_json::from_str(text).expect("readable JSON");
    assert_compatible(&format!("{name}.json.txt"), samples, to_json, from_json);
}

fn full_ask() -> Ask {
    Ask {
        uid: "uid-1".into(),
        tenant: "tenant-1".into(),
        name: "pod-1".into(),
        service: "tenant-1/job-1".into(),
        class: "batch".into(),
        cores: 1.5,
        memory: 2.25,
        life: Some(30.5),
        within: Some(6.75),
        returned: true,
        key: "key-1".into(),
        spec: r#"{"containers":[]}"#.into(),
    }
}

fn minimal_ask() -> Ask {
    Ask {
        uid: "uid-2".into(),
        tenant: String::new(),
        name: String::new(),
        service: String::new(),
        class: String::new(),
        cores: 0.0,
        memory: 0.0,
        life: None,
        within: None,
        returned: false,
        key: String::new(),
        spec: "".into(),
    }
}

fn full_diagnosis() -> Diagnosis {
    let bars = BTreeMap::from([(Code::Cores, 2), (Code::Draining, 1)]);
    Diagnosis {
        nodes: 300,
        bars: bars.clone(),
        zones: BTreeMap::from([("zone-a".to_owned(), bars)]),
        block: Some(Code::WindowOver),
        nearest: Some(Nearest {
            node: "node-1".into(),
            zone: "zone-a".into(),
            code: Code::Memory,
            short: 3.5,
        }),
        limit: Some(Limit { place: "rack".into(), most: 4 }),
    }
}

fn minimal_diagnosis() -> Diagnosis {
    Diagnosis {
        nodes: 0,
        bars: BTreeMap::new(),
        zones: BTreeMap::new(),
        block: None,
        nearest: None,
        limit: None,
    }
}

fn full_word() -> Word {
    Word {
        uid: "uid-1".into(),
        diagnosis: Arc::new(full_diagnosis()),
        out: Some("node-2".into()),
        answers: vec![("node-3".into(), "no memory".into()), ("node-4".into(), "draining".into())],
        sendable_for: 5.5,
        next_look: 0.125,
    }
}

fn minimal_word() -> Word {
    Word {
        uid: "uid-2".into(),
        diagnosis: Arc::new(minimal_diagnosis()),
        out: None,
        answers: vec![],
        sendable_for: 0.0,
        next_look: 0.0,
    }
}

#[test]
fn protocol_version_stays_3() {
    assert_eq!(VERSION, 3);
}

#[test]
fn messages_to_planner_keep_their_bytes_and_names() {
    let samples = samples_of_each_variant! { ToPlanner:
        "Welcome", ToPlanner::Welcome { .. } => ToPlanner::Welcome { edge: "edge-1".into() };
        "Place", ToPlanner::Place(_) => ToPlanner::Place(full_ask());
        "Go", ToPlanner::Go { .. } => ToPlanner::Go { uid: "uid-1".into(), within: 6.5 };
        "InPlace", ToPlanner::InPlace { .. } =>
            ToPlanner::InPlace { ask: minimal_ask(), node: "node-1".into() };
        "Stop", ToPlanner::Stop { .. } => ToPlanner::Stop { uid: "uid-1".into() };
        "Locate", ToPlanner::Locate { .. } =>
            ToPlanner::Locate { uid: "uid-1".into(), tenant: "tenant-1".into(), name: "pod-1".into() };
        "Ping", ToPlanner::Ping => ToPlanner::Ping;
        "Sharers", ToPlanner::Sharers { .. } =>
            ToPlanner::Sharers { lease: "lease-1".into(), token: 1 << 40, planners: 300 };
    };
    assert_message_compatible("to_planner", &samples);
}

#[test]
fn messages_to_edge_keep_their_bytes_and_names() {
    let samples = samples_of_each_variant! { ToEdge:
        "Hello", ToEdge::Hello { .. } => ToEdge::Hello { planner: "planner-1".into(), ordinal: 300 };
        "Taken", ToEdge::Taken { .. } => ToEdge::Taken { uid: "uid-1".into() };
        "Placed", ToEdge::Placed { .. } => ToEdge::Placed { uid: "uid-1".into(), node: "node-1".into() };
        "Refused", ToEdge::Refused { .. } =>
            ToEdge::Refused { uid: "uid-1".into(), why: "no node".into(), retry_in: 2.5 };
        "Failed", ToEdge::Failed { .. } => ToEdge::Failed { uid: "uid-1".into(), why: "cut".into() };
        "Runs", ToEdge::Runs { .. } => ToEdge::Runs { uid: "uid-1".into() };
        "Ended", ToEdge::Ended { .. } => ToEdge::Ended { uid: "uid-1".into(), end: End::Evicted };
        "Waits", ToEdge::Waits(_) => ToEdge::Waits(vec![full_word(), minimal_word()]);
        "Located", ToEdge::Located { .. } =>
            ToEdge::Located { uid: "uid-1".into(), found: Found::At("node-1".into()) };
        "Ping", ToEdge::Ping => ToEdge::Ping;
        "Stale", ToEdge::Stale { .. } =>
            ToEdge::Stale { lease: "lease-1".into(), token: 300, newest: 1 << 40 };
    };
    assert_message_compatible("to_edge", &samples);
}

#[test]
fn ends_of_tasks_keep_their_bytes_and_names() {
    let samples = samples_of_each_variant! { End:
        "Succeeded", End::Succeeded => End::Succeeded;
        "Failed", End::Failed => End::Failed;
        "Evicted", End::Evicted => End::Evicted;
        "PushedOut", End::PushedOut => End::PushedOut;
        "SentAway", End::SentAway => End::SentAway;
        "Lost", End::Lost => End::Lost;
        "Stopped", End::Stopped => End::Stopped;
    };
    assert_message_compatible("end", &samples);
}

#[test]
fn answers_about_located_tasks_keep_their_bytes_and_names() {
    let samples = samples_of_each_variant! { Found:
        "At", Found::At(_) => Found::At("node-1".into());
        "Ended", Found::Ended(_) => Found::Ended(End::Lost);
        "Nowhere", Found::Nowhere => Found::Nowhere;
        "Unclear", Found::Unclear => Found::Unclear;
    };
    assert_message_compatible("found", &samples);
}

#[test]
fn reason_codes_keep_their_bytes_and_names() {
    let samples = samples_of_each_variant! { Code:
        "NoList", Code::NoList => Code::NoList;
        "Unlisted", Code::Unlisted => Code::Unlisted;
        "Unheard", Code::Unheard => Code::Unheard;
        "Draining", Code::Draining => Code::Draining;
        "WrongKind", Code::WrongKind => Code::WrongKind;
        "OutsideGroup", Code::OutsideGroup => Code::OutsideGroup;
        "ColdBudget", Code::ColdBudget => Code::ColdBudget;
        "Spread", Code::Spread => Code::Spread;
        "SetAside", Code::SetAside => Code::SetAside;
        "Line", Code::Line => Code::Line;
        "Cores", Code::Cores => Code::Cores;
        "Memory", Code::Memory => Code::Memory;
        "Free", Code::Free => Code::Free;
        "AttemptsUsed", Code::AttemptsUsed => Code::AttemptsUsed;
        "MayHaveRun", Code::MayHaveRun => Code::MayHaveRun;
        "WindowOver", Code::WindowOver => Code::WindowOver;
        "GivesUp", Code::GivesUp => Code::GivesUp;
        "OfferOut", Code::OfferOut => Code::OfferOut;
        "NodeRefused", Code::NodeRefused => Code::NodeRefused;
        "NoPlanner", Code::NoPlanner => Code::NoPlanner;
        "PlannersFull", Code::PlannersFull => Code::PlannersFull;
        "PlannersSilent", Code::PlannersSilent => Code::PlannersSilent;
        "BackingOff", Code::BackingOff => Code::BackingOff;
        "Settling", Code::Settling => Code::Settling;
        "Suspended", Code::Suspended => Code::Suspended;
    };
    assert_eq!(samples.len(), Code::ALL.len());
    assert_message_compatible("reason_code", &samples);
}
