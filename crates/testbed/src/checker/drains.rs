//! Third rule: nothing new goes to a node later than the grace after its planner was told that it drains or is gone.

use super::{Report, Rules, Traffic, Violation};
use serde_json::Value;
use std::collections::BTreeMap;

const RULE: &str = "drains kept";

pub(super) fn judge(traffic: &Traffic, rules: &Rules, report: &mut Report) {
    // For each planner and node: since when it is known to leave.
    let mut leaving: BTreeMap<(String, String), f64> = BTreeMap::new();
    for line in &traffic.lines {
        let mut tell = |node: &Value, gone: bool| {
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
            "told" => tell(&line.value, line.flag("deleted")),
            "list" => line.value["nodes"]
                .as_array()
                .into_iter()
                .flatten()
                .for_each(|node| tell(node, false)),
            "send" => {
                let key = (line.who.clone(), line.text("node").to_owned());
                if let Some(since) = leaving
                    .get(&key)
                    .filter(|since| line.t > **since + rules.drain_grace)
                {
                    let late = line.t - since;
                    let what = format!(
                        "{} sent to {} {late:.2} s after it was told that it leaves",
                        key.0, key.1
                    );
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
