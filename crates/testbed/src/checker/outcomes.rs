//! First rule: each request gets exactly one of placed, refused, failed, while its owner waits; nothing is sent for
//! it afterwards.

use super::{Report, Rules, Traffic, Violation};
use std::collections::BTreeMap;

const RULE: &str = "no task lost";

#[derive(Default)]
struct Seen {
    at: f64,
    edge: i64,
    give_up: f64,
    outcomes: Vec<(&'static str, f64)>,
    gone: bool,
}

pub(super) fn judge(traffic: &Traffic, rules: &Rules, report: &mut Report) {
    let mut all: BTreeMap<String, Seen> = BTreeMap::new();
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
                let seen = all
                    .entry(line.text("uid").to_owned())
                    .or_insert_with(|| Seen {
                        at: line.t,
                        edge: line.number("edge") as i64,
                        give_up: line.text("give_up").parse().unwrap_or(deadline),
                        ..Seen::default()
                    });
                let outcome = match (line.text("node"), line.text("reason")) {
                    (_, "PlacementRefused") => Some("refused"),
                    (_, "PlacementUnknown") => Some("failed"),
                    ("", _) => None,
                    _ => Some("placed"),
                };
                if let Some(outcome) = outcome
                    && seen
                        .outcomes
                        .last()
                        .is_none_or(|(last, _)| *last != outcome)
                {
                    seen.outcomes.push((outcome, line.t));
                }
                seen.gone |= line.flag("gone");
            }
            _ => {}
        }
    }
    let mut lost = |at: f64, what: String| {
        report.violations.push(Violation {
            rule: RULE,
            at,
            what,
        })
    };
    report.submitted = all.len();
    for (uid, seen) in &all {
        let died = killed.iter().any(|(edge, at)| {
            *edge == seen.edge && *at >= seen.at && *at <= seen.at + seen.give_up
        });
        let due = seen.at + seen.give_up + rules.slack;
        match seen.outcomes.as_slice() {
            [] if seen.gone => report.withdrawn += 1,
            [] if died => report.lost_with_edge += 1,
            // The recording ended while its owner still waited.
            [] if last < due => report.withdrawn += 1,
            [] => {
                report.unanswered += 1;
                lost(due, format!("{uid} had no answer"));
            }
            [(outcome, at)] => {
                match *outcome {
                    "placed" => report.placed += 1,
                    "refused" => report.refused += 1,
                    _ => report.failed += 1,
                }
                if *at > due && !died {
                    report.unanswered += 1;
                    lost(
                        *at,
                        format!("{uid} was {outcome} {:.2} s too late", at - due),
                    );
                }
            }
            [(first, _), (second, at), ..] => {
                report.duplicated += 1;
                lost(*at, format!("{uid} was {first} and then {second}"));
            }
        }
    }
    after_the_end(traffic, report);
}

/// Nothing is sent for a request after its answer.
fn after_the_end(traffic: &Traffic, report: &mut Report) {
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
                // Sends and messages are written by different tasks of one program, a moment apart at most.
                if ended.get(&key).is_some_and(|at| *at + 0.05 < line.t) {
                    let what = format!("{} sent {} after its answer", key.0, key.1);
                    report.violations.push(Violation {
                        rule: RULE,
                        at: line.t,
                        what,
                    });
                }
            }
            _ => {}
        }
    }
}
