//! Second rule: no effect happens twice. Checked on the offers that planners sent and on the tasks that nodes held.

use super::{Report, Rules, Traffic, Violation};
use std::collections::BTreeMap;

const RULE: &str = "no double effect";

/// Whether the text of an answer proves that the attempt never ran.
fn proves_not_run(answer: &str) -> bool {
    let refused = ["forbidden", "too many offers", "already exists"];
    answer.starts_with("no connection") || refused.iter().any(|text| answer.contains(text))
}

pub(super) fn check(traffic: &Traffic, rules: &Rules, report: &mut Report) {
    check_attempts(traffic, rules, report);
    check_holders(traffic, rules, report);
}

/// Per request: at most one attempt is open at a time, and a request of an unsafe class is not sent again once an
/// attempt may have run.
fn check_attempts(traffic: &Traffic, rules: &Rules, report: &mut Report) {
    #[derive(Default)]
    struct Request {
        attempt_open: bool,
        may_have_run: bool,
    }
    let mut requests: BTreeMap<String, Request> = BTreeMap::new();
    for line in &traffic.lines {
        let uid = line.text("uid");
        match line.what.as_str() {
            "send" => {
                let request = requests.entry(uid.to_owned()).or_default();
                let is_unsafe = rules
                    .classes
                    .get(line.text("class"))
                    .is_some_and(|class| class.effect == "unsafe");
                let mut violation = |description: String| {
                    report.violations.push(Violation {
                        rule: RULE,
                        at: line.t,
                        what: description,
                    })
                };
                if request.attempt_open {
                    violation(format!("two attempts of {uid} are out"));
                }
                if is_unsafe && request.may_have_run {
                    violation(format!("{uid} may have run and was sent again"));
                }
                request.attempt_open = true;
            }
            "answer" if line.value.get("attempt").is_some() => {
                let request = requests.entry(uid.to_owned()).or_default();
                request.attempt_open = false;
                request.may_have_run |= !proves_not_run(line.text("said"));
            }
            _ => {}
        }
    }
}

/// Per idempotency key of an unsafe class: no two nodes hold the task at the same time.
fn check_holders(traffic: &Traffic, rules: &Rules, report: &mut Report) {
    // By idempotency key: the nodes that hold the task, and since when.
    let mut holders_by_key: BTreeMap<String, BTreeMap<String, f64>> = BTreeMap::new();
    for line in &traffic.lines {
        match line.what.as_str() {
            "answer" if line.text("said") == "accepted" && line.value.get("way").is_some() => {
                let is_unsafe = rules
                    .classes
                    .get(line.text("class"))
                    .is_some_and(|class| class.effect == "unsafe");
                let holders = holders_by_key
                    .entry(line.text("key").to_owned())
                    .or_default();
                if is_unsafe
                    && let Some((node, at)) = holders.iter().find(|(node, _)| **node != line.who)
                {
                    report.duplicated += 1;
                    let description = format!(
                        "{} runs at {} while {node} holds it since {at:.3}",
                        line.text("key"),
                        line.who
                    );
                    report.violations.push(Violation {
                        rule: RULE,
                        at: line.t,
                        what: description,
                    });
                }
                holders.insert(line.who.clone(), line.t);
            }
            "pod" if line.who != "rig" && ["Succeeded", "Failed"].contains(&line.text("phase")) => {
                if let Some(holders) = holders_by_key.get_mut(line.text("key")) {
                    holders.remove(&line.who);
                }
            }
            // A node that is killed or restarted loses all its tasks.
            "killed" | "up" => {
                let node = if line.what == "up" {
                    line.who.as_str()
                } else {
                    line.text("node")
                };
                for holders in holders_by_key.values_mut() {
                    holders.remove(node);
                }
            }
            _ => {}
        }
    }
}
