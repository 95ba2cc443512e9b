//! Fourth rule: planners do not overload a node that warms up. It is broken if a node failed of overload and at least
//! two thirds of the offers within the overload window came from planners that knew of its start.

use super::{Report, Rules, Traffic, Violation};

const RULE: &str = "no cold machine pushed over";

pub(super) fn check(traffic: &Traffic, rules: &Rules, report: &mut Report) {
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
                    let reports_start = |v: &serde_json::Value| {
                        let since = v["up_since"].as_str().and_then(|t| t.parse::<f64>().ok());
                        v["node"] == node && since.is_some_and(|since| (since - up).abs() < 1.0)
                    };
                    let listed = || {
                        line.value["nodes"]
                            .as_array()
                            .into_iter()
                            .flatten()
                            .any(&reports_start)
                    };
                    line.who == planner
                        && (line.what == "told" && reports_start(&line.value)
                            || line.what == "list" && listed())
                })
        };
        let recent_offers: Vec<_> = traffic
            .of("offer")
            .filter(|line| {
                line.who == node && line.t > fall.t - rules.overload_for && line.t <= fall.t
            })
            .collect();
        let from_informed = recent_offers
            .iter()
            .filter(|line| informed(line.text("from"), line.t))
            .count();
        if 3 * from_informed >= 2 * recent_offers.len() {
            let description = format!(
                "{node} fell {:.1} s after its start, under {} offers",
                fall.t - up,
                recent_offers.len()
            );
            report.violations.push(Violation {
                rule: RULE,
                at: fall.t,
                what: description,
            });
        }
    }
}
