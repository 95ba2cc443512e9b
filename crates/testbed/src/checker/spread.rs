//! Fifth rule: whenever a planner sends an offer, it has no more tasks of the service in one spread domain than the
//! class allows.

use super::{Report, Rules, Traffic, Violation};
use std::collections::BTreeMap;

const RULE: &str = "spread kept";

struct HeldTask {
    service: String,
    node: String,
    /// The planner has reported the placement to its edge, or took the task over already placed.
    placed: bool,
}

pub(super) fn check(traffic: &Traffic, rules: &Rules, report: &mut Report) {
    // Zone and rack of each node, as recorded by the node at its start.
    let mut locations: BTreeMap<&str, (&str, &str)> = BTreeMap::new();
    for line in traffic.of("up") {
        locations.insert(&line.who, (line.text("zone"), line.text("rack")));
    }
    let domain = |spread: &str, node: &str| {
        let (zone, rack) = locations.get(node).copied().unwrap_or(("", ""));
        match spread {
            "node" => node.to_owned(),
            "rack" => format!("{zone}/{rack}"),
            _ => zone.to_owned(),
        }
    };
    // By planner and request uid: the placed tasks and open attempts.
    let mut held_tasks: BTreeMap<(String, String), HeldTask> = BTreeMap::new();
    for line in &traffic.lines {
        let key = (line.who.clone(), line.text("uid").to_owned());
        match line.what.as_str() {
            "send" => {
                let (service, node) = (
                    line.text("service").to_owned(),
                    line.text("node").to_owned(),
                );
                held_tasks.insert(
                    key,
                    HeldTask {
                        service: service.clone(),
                        node: node.clone(),
                        placed: false,
                    },
                );
                let Some(class) = rules
                    .classes
                    .get(line.text("class"))
                    .filter(|class| !class.spread.is_empty())
                else {
                    continue;
                };
                let target_domain = domain(&class.spread, &node);
                let same = |h: &HeldTask| {
                    h.service == service && domain(&class.spread, &h.node) == target_domain
                };
                let count = held_tasks
                    .iter()
                    .filter(|((who, _), h)| *who == line.who && same(h))
                    .count();
                if count > class.most {
                    let description = format!(
                        "{} has {count} of {service} in {target_domain}, {} are allowed",
                        line.who, class.most
                    );
                    report.violations.push(Violation {
                        rule: RULE,
                        at: line.t,
                        what: description,
                    });
                }
            }
            "answer" if line.value.get("attempt").is_some() && line.text("said") != "accepted" => {
                held_tasks.retain(|k, h| *k != key || h.placed);
            }
            "tell" => {
                if let Some(uid) = line.value["message"]["Placed"]["uid"].as_str()
                    && let Some(h) = held_tasks.get_mut(&(line.who.clone(), uid.to_owned()))
                {
                    h.placed = true;
                }
                if let Some(uid) = line.value["message"]["Ended"]["uid"].as_str() {
                    held_tasks.remove(&(line.who.clone(), uid.to_owned()));
                }
            }
            "heard" => {
                let message = &line.value["message"];
                if let Some(uid) = message["Stop"]["uid"].as_str() {
                    held_tasks.remove(&(line.who.clone(), uid.to_owned()));
                }
                if let Some(uid) = message["InPlace"]["ask"]["uid"].as_str() {
                    let text = |v: &serde_json::Value| v.as_str().unwrap_or("").to_owned();
                    let service = text(&message["InPlace"]["ask"]["service"]);
                    let node = text(&message["InPlace"]["node"]);
                    held_tasks.insert(
                        (line.who.clone(), uid.to_owned()),
                        HeldTask {
                            service,
                            node,
                            placed: true,
                        },
                    );
                }
            }
            // A restarted planner holds no tasks.
            "started" => held_tasks.retain(|(who, _), _| *who != line.who),
            _ => {}
        }
    }
}
