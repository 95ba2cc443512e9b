//! First rule: each request gets exactly one outcome (placed, refused or failed) while its owner waits, and no offer is
//! sent for it afterwards.

use super::{Report, Rules, Traffic, Violation};
use std::collections::BTreeMap;

const RULE: &str = "no task lost";

#[derive(Default)]
struct Request {
    first_seen: f64,
    edge: i64,
    give_up: f64,
    outcomes: Vec<(&'static str, f64)>,
    deleted: bool,
}

pub(super) fn check(traffic: &Traffic, rules: &Rules, report: &mut Report) {
    let mut requests: BTreeMap<String, Request> = BTreeMap::new();
    let mut killed: Vec<(i64, f64)> = Vec::new();
    let last = traffic.lines.last().map_or(0.0, |line| line.t);
    for line in &traffic.lines {
        match line.what.as_str() {
            "killed" if line.value.get("edge").is_some() => {
                killed.push((line.number("edge") as i64, line.t))
            }
            "pod" if line.who == "rig" => {
                let deadline = rules
                    .classes
                    .get(line.text("class"))
                    .map_or(0.0, |class| class.deadline);
                let request = requests
                    .entry(line.text("uid").to_owned())
                    .or_insert_with(|| Request {
                        first_seen: line.t,
                        edge: line.number("edge") as i64,
                        give_up: line.text("give_up").parse().unwrap_or(deadline),
                        ..Request::default()
                    });
                let outcome = match (line.text("node"), line.text("reason")) {
                    (_, "PlacementRefused") => Some("refused"),
                    (_, "PlacementUnknown") => Some("failed"),
                    ("", _) => None,
                    _ => Some("placed"),
                };
                if let Some(outcome) = outcome
                    && request
                        .outcomes
                        .last()
                        .is_none_or(|(last, _)| *last != outcome)
                {
                    request.outcomes.push((outcome, line.t));
                }
                request.deleted |= line.flag("gone");
            }
            _ => {}
        }
    }
    let mut violation = |at: f64, description: String| {
        report.violations.push(Violation {
            rule: RULE,
            at,
            what: description,
        })
    };
    report.submitted = requests.len();
    for (uid, request) in &requests {
        let edge_killed = killed.iter().any(|(edge, at)| {
            *edge == request.edge
                && *at >= request.first_seen
                && *at <= request.first_seen + request.give_up
        });
        let latest_outcome = request.first_seen + request.give_up + rules.slack;
        match request.outcomes.as_slice() {
            [] if request.deleted => report.withdrawn += 1,
            [] if edge_killed => report.lost_with_edge += 1,
            // The recording ended before the deadline of the request.
            [] if last < latest_outcome => report.withdrawn += 1,
            [] => {
                report.unanswered += 1;
                violation(latest_outcome, format!("{uid} had no answer"));
            }
            [(outcome, at)] => {
                match *outcome {
                    "placed" => report.placed += 1,
                    "refused" => report.refused += 1,
                    _ => report.failed += 1,
                }
                if *at > latest_outcome && !edge_killed {
                    report.unanswered += 1;
                    violation(
                        *at,
                        format!("{uid} was {outcome} {:.2} s too late", at - latest_outcome),
                    );
                }
            }
            [(first, _), (second, at), ..] => {
                report.duplicated += 1;
                violation(*at, format!("{uid} was {first} and then {second}"));
            }
        }
    }
    check_sends_after_outcome(traffic, report);
}

/// Checks that no offer is sent for a request after its outcome was reported.
fn check_sends_after_outcome(traffic: &Traffic, report: &mut Report) {
    let mut ended: BTreeMap<(String, String), f64> = BTreeMap::new();
    for line in &traffic.lines {
        match line.what.as_str() {
            "tell" => {
                for kind in ["Placed", "Refused", "Failed"] {
                    if let Some(uid) = line.value["message"][kind]["uid"].as_str() {
                        ended
                            .entry((line.who.clone(), uid.to_owned()))
                            .or_insert(line.t);
                    }
                }
            }
            "send" => {
                let key = (line.who.clone(), line.text("uid").to_owned());
                // Offers and messages are recorded by different tasks of one program, at most this many seconds apart.
                if ended.get(&key).is_some_and(|at| *at + 0.05 < line.t) {
                    let description = format!("{} sent {} after its answer", key.0, key.1);
                    report.violations.push(Violation {
                        rule: RULE,
                        at: line.t,
                        what: description,
                    });
                }
            }
            _ => {}
        }
    }
}
