//! What telling why work waits costs a planner: the same load with and without it, in one run.
//!
//! `cargo run --release -p tidespur-planner --example reasons`

use serde_json::json;
use std::time::{Duration, Instant};
use tidespur_api::task::PlacementRequest;
use tidespur_planner::core::{Core, Input, Output};
use tidespur_planner_protocol::{ToEdge, ToPlanner};

const NODES: usize = 200;
const SECONDS: f64 = 5.0;

fn node(i: usize) -> serde_json::Value {
    json!({"metadata": {"name": format!("node-{i:03}"),
        "labels": {"node.kubernetes.io/instance-type": "std-24", "topology.kubernetes.io/zone": "halle-a",
            "topology.tidespur.dev/rack": format!("rack-{}", i / 8)},
        "annotations": {"node.tidespur.dev/address": format!("127.0.0.1:{}", 10_000 + i),
            "node.tidespur.dev/free-cores": "24", "node.tidespur.dev/free-memory": "48"}},
        "status": {"allocatable": {"cpu": "24", "memory": "48Gi"}}})
}

/// CPU time of a planner on which `waiting` tasks of `services` services wait and one comes every step.
fn run(reasons: bool, waiting: usize, services: usize) -> (Duration, usize) {
    let mut config =
        tidespur_config::parse("built-in", tidespur_config::DEFAULT_CONFIG).expect("built in");
    config.planner.publishes_pending_reasons = reasons;
    let mut core = Core::new(config, 0, "halle-a", 1).expect("built in");
    let (mut now, mut words) = (1000.0, 0);
    let mut step = |core: &mut Core, now: f64, inputs: Vec<Input>| {
        let mut out = Vec::new();
        core.step(now, inputs, &mut out);
        for one in out {
            if let Output::Edge(_, ToEdge::PendingReasons(told)) = one {
                words += told.len();
            }
        }
    };
    step(
        &mut core,
        now,
        vec![Input::ListWhole((0..NODES).map(node).collect())],
    );
    let ask = |i: usize| PlacementRequest {
        uid: format!("t{i}"),
        tenant: "default".into(),
        name: format!("p{i}"),
        service: format!("default/s{}", i % services),
        class: "termin-web".into(),
        cores: 500.0,
        memory: 1.0,
        ..PlacementRequest::default()
    };
    for i in 0..waiting {
        let go = ToPlanner::Commit {
            uid: format!("t{i}"),
            timeout: 1e6,
        };
        step(
            &mut core,
            now,
            vec![Input::Edge(1, ToPlanner::Place(ask(i))), Input::Edge(1, go)],
        );
    }
    let start = Instant::now();
    while now < 1000.0 + SECONDS {
        now += 0.01;
        step(&mut core, now, vec![Input::Timer(0)]);
    }
    (start.elapsed(), words)
}

fn main() {
    println!("{NODES} nodes; CPU of {SECONDS} s of a planner's time, steps every 10 ms");
    println!("waiting services without    with  ratio  words");
    for (waiting, services) in [(50, 5), (500, 20), (5000, 50), (500, 500)] {
        // Taken in turns, the least of three each, so that a slow moment of the machine strikes neither alone.
        let mut least = [Duration::MAX; 2];
        let mut words = 0;
        for _ in 0..3 {
            for (i, reasons) in [false, true].into_iter().enumerate() {
                let (took, told) = run(reasons, waiting, services);
                least[i] = least[i].min(took);
                words = words.max(told);
            }
        }
        let ratio = least[1].as_secs_f64() / least[0].as_secs_f64();
        let [without, with] = least.map(|d| d.as_millis());
        println!(
            "{waiting:>7} {services:>8} {without:>4} ms {with:>4} ms  {ratio:>5.3} {words:>6}"
        );
    }
}
