//! Judges the reasons that waiting tasks are given, by what nodes and register say of themselves at that moment. It
//! knows nothing of the planner's view: it counts what stands at each node and what each node admits.
//!
//! A reason may be as old as [`AGE`]. So a node's state binds only if it was the same in all samples of that time:
//! a node that drained throughout must be counted as draining, one that did not at any of them must not be.

use crate::checker::{Line, Traffic};
use serde::Serialize;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// What is told may be this old: a planner's look, its teller's pause, the list's delay, and the way.
pub const AGE: f64 = 2.5;
/// A task without an answer for this long has a reason.
pub const FIRST: f64 = 2.0;
/// The policy leaves this part of what a node admits free, and its views lag: below this part a node has room.
const ROOM: f64 = 0.8;

/// What was found.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ReasonReport {
    /// Records that were judged.
    pub judged: usize,
    /// Tasks that waited without a reason.
    pub missing: Vec<String>,
    /// Reasons that were false.
    pub falsified: Vec<String>,
}

#[derive(Clone, Debug, Default)]
struct Node {
    drains: bool,
    /// Cores and memory units asked for, and the most that it admits.
    asked: [f64; 2],
    admits: [f64; 2],
}

struct Sample {
    t: f64,
    nodes: BTreeMap<String, Node>,
}

fn nodes(line: &Line) -> BTreeMap<String, Node> {
    let pair = |value: &Value| [0, 1].map(|i| value[i].as_f64().unwrap_or(0.0));
    let node = |node: &Value| {
        let told = Node {
            drains: node["drains"] == true,
            asked: pair(&node["asked"]),
            admits: pair(&node["admits"]),
        };
        (node["name"].as_str().unwrap_or("").to_owned(), told)
    };
    line.value["nodes"]
        .as_array()
        .into_iter()
        .flatten()
        .map(node)
        .collect()
}

/// Judges all samples of a recording.
pub fn check_reasons(traffic: &Traffic) -> ReasonReport {
    let mut verdict = ReasonReport::default();
    let mut past: Vec<Sample> = Vec::new();
    for line in traffic.of("why") {
        past.retain(|sample| sample.t > line.t - AGE - 1.5);
        past.push(Sample {
            t: line.t,
            nodes: nodes(line),
        });
        missing(line, &mut verdict);
        // Nothing binds before the samples reach back far enough.
        if past.first().is_some_and(|first| first.t <= line.t - AGE) {
            reasons(line, &past, &mut verdict);
        }
    }
    verdict
}

/// Each task that was found waiting after its records were read, and did so long before, has a reason.
fn missing(line: &Line, verdict: &mut ReasonReport) {
    let records = line.value["records"].as_array();
    let told: BTreeSet<&str> = records
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
            .is_some_and(|since| since < line.t - FIRST)
            && !told.contains(name)
        {
            verdict
                .missing
                .push(format!("{name} waits without a reason at {:.2}", line.t));
        }
    }
}

fn reasons(line: &Line, past: &[Sample], verdict: &mut ReasonReport) {
    let names: BTreeSet<&String> = past.iter().flat_map(|sample| sample.nodes.keys()).collect();
    let seen =
        |name: &String| -> Vec<Option<&Node>> { past.iter().map(|s| s.nodes.get(name)).collect() };
    for record in line.value["records"].as_array().into_iter().flatten() {
        let word = &record["word"];
        // Only what a planner told, and lately, speaks of nodes; an offer that is out speaks of its own.
        let fresh = record["seen"]
            .as_f64()
            .is_some_and(|seen| line.t - seen <= AGE);
        if !word.is_object()
            || !word["out"].is_null()
            || !fresh
            || !word["diagnosis"]["block"].is_null()
        {
            continue;
        }
        verdict.judged += 1;
        let asks = [0, 1].map(|i| record["asks"][i].as_f64().unwrap_or(0.0));
        let full = |node: &Node, part: f64| {
            (0..2).any(|i| node.asked[i] + asks[i] > node.admits[i] * part)
        };
        let (mut drains, mut drained, mut short, mut shorts, mut shut) = (0, 0, 0, 0, 0);
        for name in &names {
            let told = seen(name);
            let all =
                |holds: &dyn Fn(&Node) -> bool| told.iter().all(|node| node.is_some_and(holds));
            let any =
                |holds: &dyn Fn(&Node) -> bool| told.iter().any(|node| node.is_none_or(holds));
            drains += usize::from(all(&|node| node.drains));
            drained += usize::from(any(&|node| node.drains));
            let surely = all(&|node| !node.drains && full(node, 1.0));
            short += usize::from(surely);
            shut += usize::from(surely || all(&|node| node.drains));
            shorts += usize::from(any(&|node| full(node, ROOM)));
        }
        let diagnosis = &word["diagnosis"];
        let count = |code: &str| diagnosis["bars"][code].as_u64().unwrap_or(0) as usize;
        let listed = diagnosis["nodes"].as_u64().unwrap_or(0) as usize;
        let barred: usize = diagnosis["bars"]
            .as_object()
            .into_iter()
            .flatten()
            .map(|(_, n)| n.as_u64().unwrap_or(0) as usize)
            .sum();
        let mut wrong = |what: String| {
            let pod = record["pod"].as_str().unwrap_or("");
            verdict
                .falsified
                .push(format!("{pod} at {:.2}: {what}: {}", line.t, diagnosis));
        };
        if count("Draining") < drains || count("Draining") > drained {
            wrong(format!("{drains} to {drained} nodes drained"));
        }
        if count("Cores") + count("Memory") > shorts {
            wrong(format!("{shorts} nodes can have been short of room"));
        }
        if listed.saturating_sub(barred) + shut > names.len() {
            wrong(format!(
                "{shut} of {} nodes can't have taken it ({short} full)",
                names.len()
            ));
        }
        if barred > listed {
            wrong(format!("{barred} of {listed} nodes are ruled out"));
        }
    }
}
