//! The checker reports a violation of each rule, and none in the recording of a clean run.

use serde_json::{Value, json};
use tidespur_testbed::checker::{Rules, Traffic, check_traffic};

const SETTINGS: &str = r#"
class "web" {
  deadline    = 2
  effect      = "safe"
  spread      = "node"
  spread_most = 2
}
class "run" {
  deadline = 4
  effect   = "unsafe"
}
safety {
  drain_grace  = 1
  overload_for = 1
}
"#;

fn pod(t: f64, uid: &str, class: &str, node: &str, reason: &str) -> Value {
    json!({"t": t, "who": "rig", "what": "pod", "edge": 0, "uid": uid, "class": class, "node": node, "reason": reason,
        "phase": if reason.is_empty() { "Pending" } else { "Failed" }, "gone": false})
}
fn send(t: f64, uid: &str, class: &str, service: &str, node: &str, attempt: u32) -> Value {
    json!({"t": t, "who": "planner-0", "what": "send", "uid": uid, "class": class, "service": service, "node": node,
        "attempt": attempt, "key": uid})
}
fn answer(t: f64, uid: &str, node: &str, attempt: u32, said: &str) -> Value {
    json!({"t": t, "who": "planner-0", "what": "answer", "uid": uid, "node": node, "attempt": attempt, "said": said})
}
fn accepted(t: f64, node: &str, key: &str, class: &str) -> Value {
    json!({"t": t, "who": node, "what": "answer", "key": key, "class": class, "said": "accepted", "way": "Sent"})
}
fn node_state(t: f64, node: &str, unschedulable: bool, up_since: f64) -> Value {
    json!({"t": t, "who": "planner-0", "what": "told", "node": node, "unschedulable": unschedulable,
        "up_since": format!("{up_since:.3}"), "deleted": false})
}
fn up(t: f64, node: &str) -> Value {
    json!({"t": t, "who": node, "what": "up", "zone": "a", "rack": "1"})
}

/// Recording of a run with one task that is placed in time.
fn clean_run() -> Vec<Value> {
    vec![
        up(0.0, "n1"),
        up(0.0, "n2"),
        node_state(0.5, "n1", false, 0.0),
        pod(1.0, "u1", "web", "", ""),
        send(1.1, "u1", "web", "s", "n1", 0),
        accepted(1.15, "n1", "u1", "web"),
        answer(1.2, "u1", "n1", 0, "accepted"),
        json!({"t": 1.21, "who": "planner-0", "what": "tell", "message": {"Placed": {"uid": "u1", "node": "n1"}}}),
        pod(1.3, "u1", "web", "n1", ""),
        json!({"t": 9.0, "who": "rig", "what": "end", "open": 0}),
    ]
}

fn broken_rules(more: Vec<Value>, without: impl Fn(&Value) -> bool) -> Vec<String> {
    let lines = clean_run()
        .into_iter()
        .filter(|line| !without(line))
        .chain(more)
        .collect();
    let report = check_traffic(&Traffic::new(lines), &Rules::parse(SETTINGS).unwrap(), 1);
    report.broken_rules
}

fn none(_: &Value) -> bool {
    false
}

#[test]
fn a_clean_run_has_no_violations() {
    assert_eq!(broken_rules(vec![], none), Vec::<String>::new());
}

#[test]
fn a_request_without_an_outcome_is_reported() {
    let unanswered = |line: &Value| line["what"] == "pod" && line["node"] == "n1";
    assert_eq!(broken_rules(vec![], unanswered), ["no task lost"]);
}

#[test]
fn a_late_outcome_is_reported() {
    assert_eq!(
        broken_rules(
            vec![
                pod(8.0, "u2", "web", "n1", ""),
                pod(1.0, "u2", "web", "", "")
            ],
            none
        ),
        ["no task lost"]
    );
}

#[test]
fn a_second_outcome_is_reported() {
    assert_eq!(
        broken_rules(vec![pod(1.4, "u1", "web", "", "PlacementRefused")], none),
        ["no task lost"]
    );
}

#[test]
fn an_offer_after_the_outcome_is_reported() {
    assert_eq!(
        broken_rules(
            vec![
                send(2.0, "u1", "web", "s", "n2", 1),
                answer(2.1, "u1", "n2", 1, "accepted")
            ],
            none
        ),
        ["no task lost"]
    );
}

#[test]
fn an_unsafe_task_sent_again_after_a_timeout_is_reported() {
    let again = vec![
        send(2.0, "u9", "run", "t", "n1", 0),
        answer(3.0, "u9", "n1", 0, "no answer in time"),
        send(3.1, "u9", "run", "t", "n2", 1),
        answer(3.2, "u9", "n2", 1, "accepted"),
    ];
    assert_eq!(broken_rules(again.clone(), none), ["no double effect"]);
    let mut proven_not_run = again;
    proven_not_run[1] = answer(3.0, "u9", "n1", 0, "no connection: refused");
    assert_eq!(broken_rules(proven_not_run, none), Vec::<String>::new());
}

#[test]
fn two_open_attempts_are_reported() {
    let both = vec![
        send(2.0, "u9", "web", "t", "n1", 0),
        send(2.1, "u9", "web", "t", "n2", 1),
    ];
    assert_eq!(broken_rules(both, none), ["no double effect"]);
}

#[test]
fn an_unsafe_task_on_two_nodes_is_reported_unless_one_was_killed() {
    let both = vec![
        accepted(2.0, "n1", "k", "run"),
        accepted(3.0, "n2", "k", "run"),
    ];
    assert_eq!(broken_rules(both.clone(), none), ["no double effect"]);
    let mut killed = both;
    killed.push(json!({"t": 2.5, "who": "rig", "what": "killed", "node": "n1"}));
    assert_eq!(broken_rules(killed, none), Vec::<String>::new());
}

#[test]
fn an_offer_to_a_draining_node_is_reported_only_after_the_grace_period() {
    let late = vec![
        node_state(2.0, "n2", true, 0.0),
        send(3.5, "u9", "web", "t", "n2", 0),
        answer(3.6, "u9", "n2", 0, "accepted"),
    ];
    assert_eq!(broken_rules(late.clone(), none), ["drains kept"]);
    let mut in_time = late;
    in_time[1] = send(2.9, "u9", "web", "t", "n2", 0);
    assert_eq!(broken_rules(in_time, none), Vec::<String>::new());
}

#[test]
fn overload_of_a_cold_node_by_informed_planners_is_reported() {
    let overload = |informed: bool| {
        let mut lines = vec![
            up(4.0, "n2"),
            json!({"t": 4.9, "who": "n2", "what": "fell"}),
        ];
        if informed {
            lines.push(node_state(4.2, "n2", false, 4.0));
        }
        lines.extend((0..9).map(
            |i| json!({"t": 4.5 + 0.01 * f64::from(i), "who": "n2", "what": "offer", "from": "planner-0"}),
        ));
        lines
    };
    assert_eq!(
        broken_rules(overload(true), none),
        ["no cold machine pushed over"]
    );
    assert_eq!(broken_rules(overload(false), none), Vec::<String>::new());
}

#[test]
fn a_task_beyond_the_spread_limit_is_reported() {
    let copy = |i: u32| {
        let uid = format!("c{i}");
        let t = 2.0 + f64::from(i);
        vec![
            send(t, &uid, "web", "many", "n1", 0),
            answer(t + 0.1, &uid, "n1", 0, "accepted"),
        ]
    };
    assert_eq!(
        broken_rules([copy(0), copy(1)].concat(), none),
        Vec::<String>::new()
    );
    assert_eq!(
        broken_rules([copy(0), copy(1), copy(2)].concat(), none),
        ["spread kept"]
    );
}

#[test]
fn scenario_files_parse_and_errors_name_the_block() {
    for entry in std::fs::read_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios")).unwrap()
    {
        let path = entry.unwrap().path();
        let text = std::fs::read_to_string(&path).unwrap();
        tidespur_testbed::scenario::Scenario::parse(&text)
            .unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    }
    let bad = "seconds = 5\nwork \"w\" {\n class = \"web\"\n jobs = 1\n pods = [2, 1]\n shapes = [[1, 1]]\n life = 1\n}\n";
    assert!(
        tidespur_testbed::scenario::Scenario::parse(bad)
            .unwrap_err()
            .contains("work w")
    );
}
