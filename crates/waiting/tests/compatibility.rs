//! Reasons why work waits stay what earlier builds send, and what people and scripts read at `/debug/waits` and in
//! metrics.

#[path = "common/fixtures.rs"]
mod fixtures;

use fixtures::{Sample, assert_compatible, assert_encoded};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::{BTreeMap, VecDeque};
use std::fmt::Debug;
use std::sync::Arc;
use tidespur_waiting::{Code, Diagnosis, Held, Limit, Nearest, Record, Source, Span, Word};

fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("a sample has a JSON form")
}

fn assert_json_compatible<T>(file: &str, samples: &[Sample<T>])
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    assert_compatible(file, samples, to_json, |text| serde_json::from_str(text).expect("readable JSON"));
}

fn codes() -> Vec<Sample<Code>> {
    samples_of_each_variant! { Code:
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
        answers: vec![("node-3".into(), "no memory".into())],
        sendable_for: 5.5,
        next_look: 0.125,
    }
}

fn span() -> Span {
    Span {
        code: Code::Cores,
        source: Source::Policy,
        first: 10.5,
        last: 11.5,
        count: 3,
        nodes: 2,
        over: true,
    }
}

fn full_record() -> Record {
    Record {
        namespace: "tenant-1".into(),
        pod: "pod-1".into(),
        service: "tenant-1/job-1".into(),
        class: "batch".into(),
        asks: [1.5, 2.25],
        since: 10.5,
        seen: 12.5,
        codes: vec![Code::Cores, Code::Draining],
        message: "0/300 nodes are available".into(),
        hint: Some("3.5 memory units more free on node-1".into()),
        word: Some(full_word()),
        spans: VecDeque::from([span()]),
    }
}

fn minimal_record() -> Record {
    Record {
        namespace: String::new(),
        pod: String::new(),
        service: String::new(),
        class: String::new(),
        asks: [0.0, 0.0],
        since: 0.0,
        seen: 0.0,
        codes: vec![],
        message: String::new(),
        hint: None,
        word: None,
        spans: VecDeque::new(),
    }
}

#[test]
fn codes_keep_their_json_and_order() {
    let samples = codes();
    let values: Vec<Code> = samples.iter().map(|(_, code)| *code).collect();
    assert_eq!(values, Code::ALL);
    assert_json_compatible("code.json.txt", &samples);
}

#[test]
fn codes_keep_their_metric_label_and_source() {
    let describe = |code: Code| format!("{} {}", code.name(), to_json(&code.source()));
    let encoded: Vec<(&str, String)> =
        codes().into_iter().map(|(name, code)| (name, describe(code))).collect();
    assert_encoded("code_label_and_source.txt", &encoded);
}

#[test]
fn codes_keep_their_text_in_conditions_and_debug_answers() {
    let encoded: Vec<(&str, String)> =
        codes().into_iter().map(|(name, code)| (name, code.words().to_owned())).collect();
    assert_encoded("code_text.txt", &encoded);
}

#[test]
fn sources_keep_their_json() {
    let samples = samples_of_each_variant! { Source:
        "Policy", Source::Policy => Source::Policy;
        "Node", Source::Node => Source::Node;
        "Owner", Source::Owner => Source::Owner;
        "Edge", Source::Edge => Source::Edge;
        "Register", Source::Register => Source::Register;
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
    assert_json_compatible("word.json.txt", &[("full", full_word())]);
}

#[test]
fn records_as_served_keep_their_json() {
    let encoded = [
        ("full", to_json(&full_record())),
        ("minimal", to_json(&minimal_record())),
        ("span", to_json(&span())),
        ("held", to_json(&Held { tasks: 3, cores: 4.5, memory: 6.25, oldest: 10.5 })),
    ];
    assert_encoded("record.json.txt", &encoded);
}
