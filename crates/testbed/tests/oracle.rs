//! The oracle of reasons catches a reason that was falsified, and one that is missing.

use serde_json::{Value, json};
use tidespur_testbed::checker::Traffic;
use tidespur_testbed::oracle::{ReasonReport, check_reasons};

/// A day of four nodes: one drains, one is full, two have room but the service's limit holds there.
fn day(change: impl Fn(usize, &mut Value)) -> ReasonReport {
    let node = |name: &str, drains: bool, memory: f64| json!({"name": name, "drains": drains, "asked": [1.0, memory], "admits": [60.0, 57.6]});
    let lines = (0..12).map(|i| {
        let t = 100.0 + i as f64 * 0.5;
        let mut line = json!({"t": t, "who": "rig", "what": "why",
            "nodes": [node("a", true, 0.0), node("b", false, 57.0), node("c", false, 8.0), node("d", false, 8.0)],
            "waiting": [{"name": "p", "since": 99.0}],
            "records": [{"pod": "p", "seen": t - 0.2, "asks": [1.0, 2.0], "codes": ["Spread", "Draining", "Memory"],
                "word": {"out": null, "diagnosis": {"nodes": 4, "block": null,
                    "bars": {"Spread": 2, "Draining": 1, "Memory": 1}}}}]});
        change(i, &mut line);
        line
    });
    check_reasons(&Traffic::new(lines.collect()))
}

#[test]
fn the_truth_passes() {
    let verdict = day(|_, _| {});
    assert!(
        verdict.judged >= 5 && verdict.falsified.is_empty() && verdict.missing.is_empty(),
        "{verdict:?}"
    );
}

#[test]
fn falsified_reasons_are_caught() {
    let bars = |bars: Value| {
        day(move |i, line| {
            if i == 10 {
                line["records"][0]["word"]["diagnosis"]["bars"] = bars.clone();
            }
        })
    };
    let cases = [
        (
            "a drain that is none",
            json!({"Spread": 1, "Draining": 2, "Memory": 1}),
        ),
        ("a drain left out", json!({"Spread": 3, "Memory": 1})),
        (
            "full nodes that have room",
            json!({"Memory": 3, "Draining": 1}),
        ),
        ("nodes called open that are shut", json!({"Draining": 1})),
        (
            "more nodes than there are",
            json!({"Spread": 9, "Draining": 1, "Memory": 1}),
        ),
    ];
    for (what, case) in cases {
        let verdict = bars(case);
        assert!(!verdict.falsified.is_empty(), "{what} passed: {verdict:?}");
    }
}

#[test]
fn a_task_without_a_reason_is_caught_and_a_change_within_the_age_is_not() {
    let verdict = day(|i, line| {
        if i == 6 {
            line["records"] = json!([]);
        }
    });
    assert_eq!(verdict.missing.len(), 1, "{verdict:?}");
    // The drain ends between two samples; for a moment the old word still stands.
    let verdict = day(|i, line| {
        if i >= 8 {
            line["nodes"][0]["drains"] = false.into();
        }
        if i >= 10 {
            line["records"][0]["word"]["diagnosis"]["bars"] = json!({"Spread": 3, "Memory": 1});
        }
    });
    assert!(verdict.falsified.is_empty(), "{verdict:?}");
}
