//! Fourth rule: a node that came up cold is not pushed over. It is broken where a node fell and at least two thirds
//! of what pressed on it came from planners that had been told of its start.

use super::{Report, Rules, Traffic, Violation};

const RULE: &str = "no cold machine pushed over";

pub(super) fn judge(traffic: &Traffic, rules: &Rules, report: &mut Report) {
    for fall in traffic.of("fell") {
        let node = fall.who.as_str();
        let up = traffic
            .of("up")
            .filter(|line| line.who == node && line.t <= fall.t)
            .last()
            .map_or(0.0, |line| line.t);
        let informed = |planner: &str, at: f64| {
            traffic
                .lines
                .iter()
                .take_while(|line| line.t <= at)
                .any(|line| {
                    let tells = |v: &serde_json::Value| {
                        let since = v["up_since"].as_str().and_then(|t| t.parse::<f64>().ok());
                        v["node"] == node && since.is_some_and(|since| (since - up).abs() < 1.0)
                    };
                    let listed = || {
                        line.value["nodes"]
                            .as_array()
                            .into_iter()
                            .flatten()
                            .any(&tells)
                    };
                    line.who == planner
                        && (line.what == "told" && tells(&line.value)
                            || line.what == "list" && listed())
                })
        };
        let pressing: Vec<_> = traffic
            .of("offer")
            .filter(|line| {
                line.who == node && line.t > fall.t - rules.overload_for && line.t <= fall.t
            })
            .collect();
        let from_informed = pressing
            .iter()
            .filter(|line| informed(line.text("from"), line.t))
            .count();
        if 3 * from_informed >= 2 * pressing.len() {
            let what = format!(
                "{node} fell {:.1} s after its start, under {} offers",
                fall.t - up,
                pressing.len()
            );
            report.violations.push(Violation {
                rule: RULE,
                at: fall.t,
                what,
            });
        }
    }
}
