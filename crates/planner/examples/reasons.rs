//! Benchmark of publishing pending reasons: measures the time that a planner takes for the same load with and without
//! it.
//!
//! `cargo run --release -p tidespur-planner --example reasons`

use serde_json::json;
use std::time::{Duration, Instant};
use tidespur_api::task::PlacementRequest;
use tidespur_planner::core::{Core, Input, Output};
use tidespur_planner::task_table::EdgeId;
use tidespur_planner_protocol::{ToEdge, ToPlanner};

const EDGE: EdgeId = EdgeId(1);
const NODES: usize = 200;
/// Simulated duration of one run, in seconds.
const SECONDS: f64 = 5.0;
/// Number of runs of each variant.
const ROUNDS: usize = 3;

/// Wall-clock time and number of published reasons of one run.
struct Measurement {
    duration: Duration,
    reasons: usize,
}

fn node(i: usize) -> serde_json::Value {
    json!({"metadata": {"name": format!("node-{i:03}"),
        "labels": {"node.kubernetes.io/instance-type": "std-24", "topology.kubernetes.io/zone": "halle-a",
            "topology.tidespur.dev/rack": format!("rack-{}", i / 8)},
        "annotations": {"node.tidespur.dev/address": format!("127.0.0.1:{}", 10_000 + i),
            "node.tidespur.dev/free-cores": "24", "node.tidespur.dev/free-memory": "48"}},
        "status": {"allocatable": {"cpu": "24", "memory": "48Gi"}}})
}

/// Runs a planner with `pending` tasks that belong to `services` services.
fn run(publishes_reasons: bool, pending: usize, services: usize) -> Measurement {
    let mut config =
        tidespur_config::parse("built-in", tidespur_config::DEFAULT_CONFIG).expect("built in");
    config.planner.publishes_pending_reasons = publishes_reasons;
    let mut core = Core::new(config, 0, "halle-a", 1).expect("built in");
    let mut now = 1000.0;
    let mut reasons = 0;
    let mut step = |core: &mut Core, now: f64, inputs: Vec<Input>| {
        let mut outputs = Vec::new();
        core.step(now, inputs, &mut outputs);
        for output in outputs {
            if let Output::SendToEdge(_, ToEdge::PendingReasons(updates)) = output {
                reasons += updates.len();
            }
        }
    };
    step(
        &mut core,
        now,
        vec![Input::NodesListed((0..NODES).map(node).collect())],
    );
    let request = |i: usize| PlacementRequest {
        uid: format!("t{i}"),
        tenant: "default".into(),
        name: format!("p{i}"),
        service: format!("default/s{}", i % services),
        class: "termin-web".into(),
        cores: 500.0,
        memory: 1.0,
        ..PlacementRequest::default()
    };
    for i in 0..pending {
        let commit = ToPlanner::Commit {
            uid: format!("t{i}"),
            timeout: 1e6,
        };
        step(
            &mut core,
            now,
            vec![
                Input::EdgeMessage(EDGE, ToPlanner::Place(request(i))),
                Input::EdgeMessage(EDGE, commit),
            ],
        );
    }
    let start = Instant::now();
    while now < 1000.0 + SECONDS {
        now += 0.01;
        step(&mut core, now, vec![Input::TimerFired(0)]);
    }
    Measurement {
        duration: start.elapsed(),
        reasons,
    }
}

fn main() {
    println!(
        "{NODES} nodes; wall-clock time for {SECONDS} s of simulated time, with a step every 10 ms"
    );
    println!("pending services without    with  ratio reasons");
    for (pending, services) in [(50, 5), (500, 20), (5000, 50), (500, 500)] {
        // The variants alternate, and the minimum of each is used, so that a temporary slowdown of the machine does not
        // affect only one of them.
        let mut without = Duration::MAX;
        let mut with = Duration::MAX;
        let mut reasons = 0;
        for _ in 0..ROUNDS {
            without = without.min(run(false, pending, services).duration);
            let measurement = run(true, pending, services);
            with = with.min(measurement.duration);
            reasons = reasons.max(measurement.reasons);
        }
        let ratio = with.as_secs_f64() / without.as_secs_f64();
        let without = without.as_millis();
        let with = with.as_millis();
        println!(
            "{pending:>7} {services:>8} {without:>4} ms {with:>4} ms  {ratio:>5.3} {reasons:>7}"
        );
    }
}
