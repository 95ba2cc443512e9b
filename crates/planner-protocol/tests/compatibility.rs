//! Messages keep the encodings that earlier builds of the same protocol version send and read: a renamed or reordered
//! variant or field would break connections between builds, or the readers of recordings.

#[path = "common/fixtures.rs"]
mod fixtures;

use fixtures::{Sample, assert_compatible, from_hex, to_hex};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::fmt::Debug;
use std::sync::Arc;
use tidespur_api::task::PlacementRequest;
use tidespur_pending::{Diagnosis, NearestNode, ReasonCode, ReasonUpdate, SpreadLimit};
use tidespur_planner_protocol::{
    Decoder, Location, PROTOCOL_VERSION, TerminationReason, ToEdge, ToPlanner, encode,
};

/// Compares both encodings of each sample: the frame, and the JSON of recordings, which contains the names.
fn assert_message_compatible<T>(name: &str, samples: &[Sample<T>])
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let to_frame = |value: &T| to_hex(&encode(value).expect("the sample fits into a frame"));
    let from_frame = |text: &str| {
        let mut decoder = Decoder::default();
        decoder.feed(&from_hex(text));
        decoder
            .next_message()
            .expect("valid frame")
            .expect("complete frame")
    };
    assert_compatible(&format!("{name}.frames.txt"), samples, to_frame, from_frame);
    let to_json =
        |value: &T| serde_json::to_string(value).expect("the sample can be written as JSON");
    let from_json = |text: &str| serde_json::from_str(text).expect("valid JSON");
    assert_compatible(&format!("{name}.json.txt"), samples, to_json, from_json);
}

fn full_request() -> PlacementRequest {
    PlacementRequest {
        uid: "uid-1".into(),
        tenant: "tenant-1".into(),
        name: "pod-1".into(),
        service: "tenant-1/job-1".into(),
        class: "batch".into(),
        cores: 1.5,
        memory: 2.25,
        expected_duration: Some(30.5),
        timeout: Some(6.75),
        is_resubmission: true,
        idempotency_key: "key-1".into(),
        spec: r#"{"containers":[]}"#.into(),
    }
}

fn minimal_request() -> PlacementRequest {
    PlacementRequest {
        uid: "uid-2".into(),
        tenant: String::new(),
        name: String::new(),
        service: String::new(),
        class: String::new(),
        cores: 0.0,
        memory: 0.0,
        expected_duration: None,
        timeout: None,
        is_resubmission: false,
        idempotency_key: String::new(),
        spec: "".into(),
    }
}

fn full_diagnosis() -> Diagnosis {
    let rejections = BTreeMap::from([(ReasonCode::Cores, 2), (ReasonCode::Draining, 1)]);
    Diagnosis {
        node_count: 300,
        rejections: rejections.clone(),
        zones: BTreeMap::from([("zone-a".to_owned(), rejections)]),
        blocker: Some(ReasonCode::WindowOver),
        nearest: Some(NearestNode {
            node: "node-1".into(),
            zone: "zone-a".into(),
            code: ReasonCode::Memory,
            shortfall: 3.5,
        }),
        spread_limit: Some(SpreadLimit {
            domain: "rack".into(),
            max_tasks: 4,
        }),
    }
}

fn minimal_diagnosis() -> Diagnosis {
    Diagnosis {
        node_count: 0,
        rejections: BTreeMap::new(),
        zones: BTreeMap::new(),
        blocker: None,
        nearest: None,
        spread_limit: None,
    }
}

fn full_update() -> ReasonUpdate {
    ReasonUpdate {
        uid: "uid-1".into(),
        diagnosis: Arc::new(full_diagnosis()),
        offered_to: Some("node-2".into()),
        node_answers: vec![
            ("node-3".into(), "no memory".into()),
            ("node-4".into(), "draining".into()),
        ],
        sendable_for: 5.5,
        next_attempt_in: 0.125,
    }
}

fn minimal_update() -> ReasonUpdate {
    ReasonUpdate {
        uid: "uid-2".into(),
        diagnosis: Arc::new(minimal_diagnosis()),
        offered_to: None,
        node_answers: vec![],
        sendable_for: 0.0,
        next_attempt_in: 0.0,
    }
}

#[test]
fn protocol_version_stays_3() {
    assert_eq!(PROTOCOL_VERSION, 3);
}

#[test]
fn messages_to_planner_keep_their_bytes_and_names() {
    let samples = samples_of_each_variant! { ToPlanner:
        "Welcome", ToPlanner::Welcome { .. } => ToPlanner::Welcome { edge: "edge-1".into() };
        "Place", ToPlanner::Place(_) => ToPlanner::Place(full_request());
        "Go", ToPlanner::Commit { .. } => ToPlanner::Commit { uid: "uid-1".into(), timeout: 6.5 };
        "InPlace", ToPlanner::Adopt { .. } =>
            ToPlanner::Adopt { request: minimal_request(), node: "node-1".into() };
        "Stop", ToPlanner::Cancel { .. } => ToPlanner::Cancel { uid: "uid-1".into() };
        "Locate", ToPlanner::Locate { .. } =>
            ToPlanner::Locate { uid: "uid-1".into(), tenant: "tenant-1".into(), name: "pod-1".into() };
        "Ping", ToPlanner::Heartbeat => ToPlanner::Heartbeat;
        "Sharers", ToPlanner::PlannerCount { .. } =>
            ToPlanner::PlannerCount { lease: "lease-1".into(), token: 1 << 40, planners: 300 };
    };
    assert_message_compatible("to_planner", &samples);
}

#[test]
fn messages_to_edge_keep_their_bytes_and_names() {
    let samples = samples_of_each_variant! { ToEdge:
        "Hello", ToEdge::Hello { .. } => ToEdge::Hello { planner: "planner-1".into(), ordinal: 300 };
        "Taken", ToEdge::Acknowledged { .. } => ToEdge::Acknowledged { uid: "uid-1".into() };
        "Placed", ToEdge::Placed { .. } => ToEdge::Placed { uid: "uid-1".into(), node: "node-1".into() };
        "Refused", ToEdge::Rejected { .. } =>
            ToEdge::Rejected { uid: "uid-1".into(), reason: "no node".into(), retry_after: 2.5 };
        "Failed", ToEdge::Failed { .. } => ToEdge::Failed { uid: "uid-1".into(), reason: "cut".into() };
        "Runs", ToEdge::Started { .. } => ToEdge::Started { uid: "uid-1".into() };
        "Ended", ToEdge::Ended { .. } => ToEdge::Ended { uid: "uid-1".into(), reason: TerminationReason::Evicted };
        "Waits", ToEdge::PendingReasons(_) => ToEdge::PendingReasons(vec![full_update(), minimal_update()]);
        "Located", ToEdge::Located { .. } =>
            ToEdge::Located { uid: "uid-1".into(), location: Location::At("node-1".into()) };
        "Ping", ToEdge::Heartbeat => ToEdge::Heartbeat;
        "Stale", ToEdge::StaleToken { .. } =>
            ToEdge::StaleToken { lease: "lease-1".into(), token: 300, newest: 1 << 40 };
    };
    assert_message_compatible("to_edge", &samples);
}

#[test]
fn termination_reasons_keep_their_bytes_and_names() {
    let samples = samples_of_each_variant! { TerminationReason:
        "Succeeded", TerminationReason::Succeeded => TerminationReason::Succeeded;
        "Failed", TerminationReason::Failed => TerminationReason::Failed;
        "Evicted", TerminationReason::Evicted => TerminationReason::Evicted;
        "PushedOut", TerminationReason::Preempted => TerminationReason::Preempted;
        "SentAway", TerminationReason::Drained => TerminationReason::Drained;
        "Lost", TerminationReason::NodeLost => TerminationReason::NodeLost;
        "Stopped", TerminationReason::Stopped => TerminationReason::Stopped;
    };
    assert_message_compatible("end", &samples);
}

#[test]
fn locations_keep_their_bytes_and_names() {
    let samples = samples_of_each_variant! { Location:
        "At", Location::At(_) => Location::At("node-1".into());
        "Ended", Location::Ended(_) => Location::Ended(TerminationReason::NodeLost);
        "Nowhere", Location::NotFound => Location::NotFound;
        "Unclear", Location::Unknown => Location::Unknown;
    };
    assert_message_compatible("found", &samples);
}

#[test]
fn reason_codes_keep_their_bytes_and_names() {
    let samples = samples_of_each_variant! { ReasonCode:
        "NoList", ReasonCode::NoList => ReasonCode::NoList;
        "Unlisted", ReasonCode::Unlisted => ReasonCode::Unlisted;
        "Unheard", ReasonCode::Unheard => ReasonCode::Unheard;
        "Draining", ReasonCode::Draining => ReasonCode::Draining;
        "WrongKind", ReasonCode::WrongKind => ReasonCode::WrongKind;
        "OutsideGroup", ReasonCode::OutsideGroup => ReasonCode::OutsideGroup;
        "ColdBudget", ReasonCode::ColdBudget => ReasonCode::ColdBudget;
        "Spread", ReasonCode::Spread => ReasonCode::Spread;
        "SetAside", ReasonCode::SetAside => ReasonCode::SetAside;
        "Line", ReasonCode::Line => ReasonCode::Line;
        "Cores", ReasonCode::Cores => ReasonCode::Cores;
        "Memory", ReasonCode::Memory => ReasonCode::Memory;
        "Free", ReasonCode::Free => ReasonCode::Free;
        "AttemptsUsed", ReasonCode::AttemptsUsed => ReasonCode::AttemptsUsed;
        "MayHaveRun", ReasonCode::MayHaveRun => ReasonCode::MayHaveRun;
        "WindowOver", ReasonCode::WindowOver => ReasonCode::WindowOver;
        "GivesUp", ReasonCode::GivesUp => ReasonCode::GivesUp;
        "OfferOut", ReasonCode::OfferOut => ReasonCode::OfferOut;
        "NodeRefused", ReasonCode::NodeRefused => ReasonCode::NodeRefused;
        "NoPlanner", ReasonCode::NoPlanner => ReasonCode::NoPlanner;
        "PlannersFull", ReasonCode::PlannersFull => ReasonCode::PlannersFull;
        "PlannersSilent", ReasonCode::PlannersSilent => ReasonCode::PlannersSilent;
        "BackingOff", ReasonCode::BackingOff => ReasonCode::BackingOff;
        "Settling", ReasonCode::Settling => ReasonCode::Settling;
        "Suspended", ReasonCode::Suspended => ReasonCode::Suspended;
    };
    assert_eq!(samples.len(), ReasonCode::ALL.len());
    assert_message_compatible("reason_code", &samples);
}
