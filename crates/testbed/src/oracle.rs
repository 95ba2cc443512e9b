//! Checks the reasons that pending tasks report against the state of the nodes and the registry at that time. It does
//! not use the view of the planner: it sums up the requests of the tasks on each node and compares them with the limits.
//!
//! A reason may be up to [`MAX_REASON_AGE`] old. So the state of a node counts only if it was the same in all samples
//! of that time: a node that drained in all of them must be counted as draining, one that drained in none must not be.

use crate::checker::{Line, Traffic};
use serde::Serialize;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum age of a reported reason in seconds: interval of the planner's diagnosis, interval of its reports, delay of
/// the node list, and transport.
pub const MAX_REASON_AGE: f64 = 2.5;
/// Seconds after which a pending task must have a reason.
pub const FIRST_REASON_WITHIN: f64 = 2.0;
/// Below this share of its limits a node has room. It is less than 1 because the policy leaves a reserve and its view
/// of the node lags behind.
const ROOM_SHARE: f64 = 0.8;

/// Result of the check. Field names are keys of the printed JSON.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ReasonReport {
    /// Number of records that were checked.
    pub judged: usize,
    /// One line for each task that waited without a reason.
    pub missing: Vec<String>,
    /// One line for each false reason.
    pub falsified: Vec<String>,
}

#[derive(Clone, Debug, Default)]
struct Node {
    drains: bool,
    /// Cores and memory units that its tasks request.
    requested: [f64; 2],
    /// Cores and memory units up to which it admits tasks.
    limits: [f64; 2],
}

struct Sample {
    t: f64,
    nodes: BTreeMap<String, Node>,
}

fn nodes(line: &Line) -> BTreeMap<String, Node> {
    let pair = |value: &Value| [0, 1].map(|i| value[i].as_f64().unwrap_or(0.0));
    let node = |node: &Value| {
        let state = Node {
            drains: node["drains"] == true,
            requested: pair(&node["asked"]),
            limits: pair(&node["admits"]),
        };
        (node["name"].as_str().unwrap_or("").to_owned(), state)
    };
    line.value["nodes"]
        .as_array()
        .into_iter()
        .flatten()
        .map(node)
        .collect()
}

/// Checks all samples of a recording.
pub fn check_reasons(traffic: &Traffic) -> ReasonReport {
    let mut result = ReasonReport::default();
    let mut past: Vec<Sample> = Vec::new();
    for line in traffic.of("why") {
        past.retain(|sample| sample.t > line.t - MAX_REASON_AGE - 1.5);
        past.push(Sample {
            t: line.t,
            nodes: nodes(line),
        });
        check_missing(line, &mut result);
        // Reasons are checked once the samples cover the whole age that a reason may have.
        if past
            .first()
            .is_some_and(|first| first.t <= line.t - MAX_REASON_AGE)
        {
            check_diagnoses(line, &past, &mut result);
        }
    }
    result
}

/// Checks that each task that has been waiting for [`FIRST_REASON_WITHIN`] has a reason.
fn check_missing(line: &Line, result: &mut ReasonReport) {
    let records = line.value["records"].as_array();
    let with_reason: BTreeSet<&str> = records
        .into_iter()
        .flatten()
        .filter(|record| {
            record["codes"]
                .as_array()
                .is_some_and(|codes| !codes.is_empty())
        })
        .filter_map(|record| record["pod"].as_str())
        .collect();
    for pod in line.value["waiting"].as_array().into_iter().flatten() {
        let name = pod["name"].as_str().unwrap_or("");
        if pod["since"]
            .as_f64()
            .is_some_and(|since| since < line.t - FIRST_REASON_WITHIN)
            && !with_reason.contains(name)
        {
            result
                .missing
                .push(format!("{name} waits without a reason at {:.2}", line.t));
        }
    }
}

fn check_diagnoses(line: &Line, past: &[Sample], result: &mut ReasonReport) {
    let names: BTreeSet<&String> = past.iter().flat_map(|sample| sample.nodes.keys()).collect();
    let seen =
        |name: &String| -> Vec<Option<&Node>> { past.iter().map(|s| s.nodes.get(name)).collect() };
    for record in line.value["records"].as_array().into_iter().flatten() {
        let report = &record["word"];
        // Only recent reports of planners describe the nodes; a record with an unanswered offer describes that offer.
        let fresh = record["seen"]
            .as_f64()
            .is_some_and(|seen| line.t - seen <= MAX_REASON_AGE);
        if !report.is_object()
            || !report["out"].is_null()
            || !fresh
            || !report["diagnosis"]["block"].is_null()
        {
            continue;
        }
        result.judged += 1;
        let request = [0, 1].map(|i| record["asks"][i].as_f64().unwrap_or(0.0));
        let full = |node: &Node, share: f64| {
            (0..2).any(|i| node.requested[i] + request[i] > node.limits[i] * share)
        };
        // Lower and upper bounds of the number of nodes that drain, are full, or can take no task.
        let (mut min_draining, mut max_draining) = (0, 0);
        let (mut min_full, mut max_full, mut min_unavailable) = (0, 0, 0);
        for name in &names {
            let states = seen(name);
            let certainly =
                |holds: &dyn Fn(&Node) -> bool| states.iter().all(|node| node.is_some_and(holds));
            let possibly =
                |holds: &dyn Fn(&Node) -> bool| states.iter().any(|node| node.is_none_or(holds));
            min_draining += usize::from(certainly(&|node| node.drains));
            max_draining += usize::from(possibly(&|node| node.drains));
            let always_full = certainly(&|node| !node.drains && full(node, 1.0));
            min_full += usize::from(always_full);
            min_unavailable += usize::from(always_full || certainly(&|node| node.drains));
            max_full += usize::from(possibly(&|node| full(node, ROOM_SHARE)));
        }
        let diagnosis = &report["diagnosis"];
        let count = |code: &str| diagnosis["bars"][code].as_u64().unwrap_or(0) as usize;
        let listed = diagnosis["nodes"].as_u64().unwrap_or(0) as usize;
        let excluded: usize = diagnosis["bars"]
            .as_object()
            .into_iter()
            .flatten()
            .map(|(_, n)| n.as_u64().unwrap_or(0) as usize)
            .sum();
        let mut report_false = |what: String| {
            let pod = record["pod"].as_str().unwrap_or("");
            result
                .falsified
                .push(format!("{pod} at {:.2}: {what}: {}", line.t, diagnosis));
        };
        if count("Draining") < min_draining || count("Draining") > max_draining {
            report_false(format!("{min_draining} to {max_draining} nodes drained"));
        }
        if count("Cores") + count("Memory") > max_full {
            report_false(format!("{max_full} nodes can have been short of room"));
        }
        if listed.saturating_sub(excluded) + min_unavailable > names.len() {
            report_false(format!(
                "{min_unavailable} of {} nodes can't have taken it ({min_full} full)",
                names.len()
            ));
        }
        if excluded > listed {
            report_false(format!("{excluded} of {listed} nodes are ruled out"));
        }
    }
}
