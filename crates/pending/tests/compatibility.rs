//! Guards the encoding of reasons, updates and records: other builds exchange them, and users and scripts read them at
//! `/debug/waits` and in metrics.

#[path = "common/fixtures.rs"]
mod fixtures;

use fixtures::{Sample, assert_compatible, assert_encoded};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::{BTreeMap, VecDeque};
use std::fmt::Debug;
use std::sync::Arc;
use tidespur_pending::{
    Diagnosis, NearestNode, PendingRecord, PendingTotals, ReasonCode, ReasonSource, ReasonSpan,
    ReasonUpdate, SpreadLimit,
};

fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("a sample has a JSON form")
}

fn assert_json_compatible<T>(file: &str, samples: &[Sample<T>])
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    assert_compatible(file, samples, to_json, |text| {
        serde_json::from_str(text).expect("readable JSON")
    });
}

fn codes() -> Vec<Sample<ReasonCode>> {
    samples_of_each_variant! { ReasonCode:
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
        node_answers: vec![("node-3".into(), "no memory".into())],
        sendable_for: 5.5,
        next_attempt_in: 0.125,
    }
}

fn span() -> ReasonSpan {
    ReasonSpan {
        code: ReasonCode::Cores,
        source: ReasonSource::Policy,
        first_seen: 10.5,
        last_seen: 11.5,
        count: 3,
        nodes: 2,
        is_over: true,
    }
}

fn full_record() -> PendingRecord {
    PendingRecord {
        namespace: "tenant-1".into(),
        pod: "pod-1".into(),
        service: "tenant-1/job-1".into(),
        class: "batch".into(),
        requested: tidespur_units::Resources::new(1.5, 2.25),
        since: 10.5,
        updated_at: 12.5,
        codes: vec![ReasonCode::Cores, ReasonCode::Draining],
        message: "0/300 nodes are available".into(),
        hint: Some("3.5 memory units more free on node-1".into()),
        last_update: Some(full_update()),
        spans: VecDeque::from([span()]),
    }
}

fn minimal_record() -> PendingRecord {
    PendingRecord {
        namespace: String::new(),
        pod: String::new(),
        service: String::new(),
        class: String::new(),
        requested: tidespur_units::Resources::new(0.0, 0.0),
        since: 0.0,
        updated_at: 0.0,
        codes: vec![],
        message: String::new(),
        hint: None,
        last_update: None,
        spans: VecDeque::new(),
    }
}

#[test]
fn codes_keep_their_json_and_order() {
    let samples = codes();
    let values: Vec<ReasonCode> = samples.iter().map(|(_, code)| *code).collect();
    assert_eq!(values, ReasonCode::ALL);
    assert_json_compatible("code.json.txt", &samples);
}

#[test]
fn codes_keep_their_metric_label_and_source() {
    let describe = |code: ReasonCode| format!("{} {}", code.name(), to_json(&code.source()));
    let encoded: Vec<(&str, String)> = codes()
        .into_iter()
        .map(|(name, code)| (name, describe(code)))
        .collect();
    assert_encoded("code_label_and_source.txt", &encoded);
}

#[test]
fn codes_keep_their_description_in_conditions_and_debug_responses() {
    let encoded: Vec<(&str, String)> = codes()
        .into_iter()
        .map(|(name, code)| (name, code.description().to_owned()))
        .collect();
    assert_encoded("code_text.txt", &encoded);
}

#[test]
fn sources_keep_their_json() {
    let samples = samples_of_each_variant! { ReasonSource:
        "Policy", ReasonSource::Policy => ReasonSource::Policy;
        "Node", ReasonSource::Node => ReasonSource::Node;
        "Owner", ReasonSource::Owner => ReasonSource::Owner;
        "Edge", ReasonSource::Edge => ReasonSource::Edge;
        "Register", ReasonSource::Register => ReasonSource::Register;
    };
    assert_json_compatible("source.json.txt", &samples);
}

#[test]
fn diagnoses_keep_their_json() {
    let samples = [("full", full_diagnosis()), ("minimal", minimal_diagnosis())];
    assert_json_compatible("diagnosis.json.txt", &samples);
}

#[test]
fn reason_updates_keep_their_json() {
    assert_json_compatible("word.json.txt", &[("full", full_update())]);
}

#[test]
fn served_records_keep_their_json() {
    let encoded = [
        ("full", to_json(&full_record())),
        ("minimal", to_json(&minimal_record())),
        ("span", to_json(&span())),
        (
            "held",
            to_json(&PendingTotals {
                tasks: 3,
                cores: 4.5,
                memory: 6.25,
                oldest: 10.5,
            }),
        ),
    ];
    assert_encoded("record.json.txt", &encoded);
}
