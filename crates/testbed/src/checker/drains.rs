//! Third rule: a planner sends no offer to a node once the grace period has passed since it learned that the node
//! drains or is gone.

use super::{Report, Rules, Traffic, Violation};
use serde_json::Value;
use std::collections::BTreeMap;

const RULE: &str = "drains kept";

pub(super) fn check(traffic: &Traffic, rules: &Rules, report: &mut Report) {
    // By planner and node: when the planner learned that the node drains or is gone.
    let mut leaving: BTreeMap<(String, String), f64> = BTreeMap::new();
    for line in &traffic.lines {
        let mut observe = |node: &Value, gone: bool| {
            let key = (
                line.who.clone(),
                node["node"].as_str().unwrap_or("").to_owned(),
            );
            if gone || node["unschedulable"] == true {
                leaving.entry(key).or_insert(line.t);
            } else {
                leaving.remove(&key);
            }
        };
        match line.what.as_str() {
            "told" => observe(&line.value, line.flag("deleted")),
            "list" => line.value["nodes"]
                .as_array()
                .into_iter()
                .flatten()
                .for_each(|node| observe(node, false)),
            "send" => {
                let key = (line.who.clone(), line.text("node").to_owned());
                if let Some(since) = leaving
                    .get(&key)
                    .filter(|since| line.t > **since + rules.drain_grace)
                {
                    let late = line.t - since;
                    let description = format!(
                        "{} sent to {} {late:.2} s after it was told that it leaves",
                        key.0, key.1
                    );
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
