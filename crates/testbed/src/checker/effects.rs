//! Second rule: no effect happens twice. Judged by what planners sent and by what nodes held.

use super::{Report, Rules, Traffic, Violation};
use std::collections::BTreeMap;

const RULE: &str = "no double effect";

/// Words of an answer that prove that the attempt never ran.
fn never_ran(said: &str) -> bool {
    let refused = ["forbidden", "too many offers", "already exists"];
    said.starts_with("no connection") || refused.iter().any(|words| said.contains(words))
}

pub(super) fn judge(traffic: &Traffic, rules: &Rules, report: &mut Report) {
    sends(traffic, rules, report);
    runs(traffic, rules, report);
}

/// Of one request: no two attempts are out together, and an unsafe one is not sent again once one may have run.
fn sends(traffic: &Traffic, rules: &Rules, report: &mut Report) {
    #[derive(Default)]
    struct Request {
        out: Option<f64>,
        may_run: bool,
    }
    let mut all: BTreeMap<String, Request> = BTreeMap::new();
    for line in &traffic.lines {
        let uid = line.text("uid");
        match line.what.as_str() {
            "send" => {
                let request = all.entry(uid.to_owned()).or_default();
                let guarded = rules
                    .classes
                    .get(line.text("class"))
                    .is_some_and(|class| class.effect == "unsafe");
                let mut broken = |what: String| {
                    report.violations.push(Violation {
                        rule: RULE,
                        at: line.t,
                        what,
                    })
                };
                if request.out.is_some() {
                    broken(format!("two attempts of {uid} are out"));
                }
                if guarded && request.may_run {
                    broken(format!("{uid} may have run and was sent again"));
                }
                request.out = Some(line.t);
            }
            "answer" if line.value.get("attempt").is_some() => {
                let request = all.entry(uid.to_owned()).or_default();
                request.out = None;
                request.may_run |= !never_ran(line.text("said"));
            }
            _ => {}
        }
    }
}

/// Of one piece of work (a key): two nodes hold it at the same time.
fn runs(traffic: &Traffic, rules: &Rules, report: &mut Report) {
    // Who holds a key, and since when.
    let mut held: BTreeMap<String, BTreeMap<String, f64>> = BTreeMap::new();
    for line in &traffic.lines {
        match line.what.as_str() {
            "answer" if line.text("said") == "accepted" && line.value.get("way").is_some() => {
                let guarded = rules
                    .classes
                    .get(line.text("class"))
                    .is_some_and(|class| class.effect == "unsafe");
                let holders = held.entry(line.text("key").to_owned()).or_default();
                if guarded
                    && let Some((node, at)) = holders.iter().find(|(node, _)| **node != line.who)
                {
                    report.duplicated += 1;
                    let what = format!(
                        "{} runs at {} while {node} holds it since {at:.3}",
                        line.text("key"),
                        line.who
                    );
                    report.violations.push(Violation {
                        rule: RULE,
                        at: line.t,
                        what,
                    });
                }
                holders.insert(line.who.clone(), line.t);
            }
            "pod" if line.who != "rig" && ["Succeeded", "Failed"].contains(&line.text("phase")) => {
                if let Some(holders) = held.get_mut(line.text("key")) {
                    holders.remove(&line.who);
                }
            }
            // A node that dies loses all that it held.
            "killed" | "up" => {
                let node = if line.what == "up" {
                    line.who.as_str()
                } else {
                    line.text("node")
                };
                for holders in held.values_mut() {
                    holders.remove(node);
                }
            }
            _ => {}
        }
    }
}
