//! The check of pending reasons reports false and missing reasons, and accepts true ones.

use serde_json::{Value, json};
use tidespur_testbed::checker::Traffic;
use tidespur_testbed::oracle::{ReasonReport, check_reasons};

/// Checks a recording with four nodes, changed by `change`: one drains, one is full, and two have room but reached the
/// spread limit of the service.
fn check_run(change: impl Fn(usize, &mut Value)) -> ReasonReport {
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
fn true_reasons_pass() {
    let report = check_run(|_, _| {});
    assert!(
        report.judged >= 5 && report.falsified.is_empty() && report.missing.is_empty(),
        "{report:?}"
    );
}

#[test]
fn false_reasons_are_reported() {
    let bars = |bars: Value| {
        check_run(move |i, line| {
            if i == 10 {
                line["records"][0]["word"]["diagnosis"]["bars"] = bars.clone();
            }
        })
    };
    let cases = [
        (
            "too many draining nodes",
            json!({"Spread": 1, "Draining": 2, "Memory": 1}),
        ),
        ("no draining node", json!({"Spread": 3, "Memory": 1})),
        (
            "nodes with room reported as full",
            json!({"Memory": 3, "Draining": 1}),
        ),
        (
            "unavailable nodes reported as available",
            json!({"Draining": 1}),
        ),
        (
            "more excluded nodes than exist",
            json!({"Spread": 9, "Draining": 1, "Memory": 1}),
        ),
    ];
    for (what, case) in cases {
        let report = bars(case);
        assert!(
            !report.falsified.is_empty(),
            "{what}: not reported: {report:?}"
        );
    }
}

#[test]
fn a_missing_reason_is_reported_and_a_recent_change_is_tolerated() {
    let report = check_run(|i, line| {
        if i == 6 {
            line["records"] = json!([]);
        }
    });
    assert_eq!(report.missing.len(), 1, "{report:?}");
    // The drain ends between two samples; for a short time the previous reason is still reported.
    let report = check_run(|i, line| {
        if i >= 8 {
            line["nodes"][0]["drains"] = false.into();
        }
        if i >= 10 {
            line["records"][0]["word"]["diagnosis"]["bars"] = json!({"Spread": 3, "Memory": 1});
        }
    });
    assert!(report.falsified.is_empty(), "{report:?}");
}
