//! A planner core with simulated nodes and one simulated edge.
#![allow(dead_code, reason = "no test file uses all helpers")]

use serde_json::{Value, json};
use tidespur_api::task::PlacementRequest;
use tidespur_config::{Config, DEFAULT_CONFIG, parse};
use tidespur_planner::core::{Core, Input, Offer, Output};
use tidespur_planner::task_table::EdgeId;
use tidespur_planner_protocol::{ToEdge, ToPlanner};
use tidespur_policy::interface::TaskId;

pub const EDGE: EdgeId = EdgeId(1);

pub fn config() -> Config {
    parse("built-in", DEFAULT_CONFIG).unwrap()
}

pub fn node(name: &str) -> Value {
    json!({"metadata": {"name": name,
        "labels": {"node.kubernetes.io/instance-type": "std-24", "topology.kubernetes.io/zone": "halle-a",
            "topology.tidespur.dev/rack": name},
        "annotations": {"node.tidespur.dev/address": format!("{name}:1"), "node.tidespur.dev/free-cores": "24",
            "node.tidespur.dev/free-memory": "48"}},
        "status": {"allocatable": {"cpu": "24", "memory": "48Gi"}}})
}

pub fn pod(uid: &str, name: &str, phase: &str, reason: &str) -> Value {
    json!({"metadata": {"name": name, "namespace": "default", "uid": format!("at-node-{uid}"),
        "annotations": {"placement.tidespur.dev/uid": uid}}, "status": {"phase": phase, "reason": reason}})
}

pub fn request(uid: &str, class: &str) -> PlacementRequest {
    PlacementRequest {
        uid: uid.into(),
        tenant: "default".into(),
        name: format!("pod-{uid}"),
        service: format!("default/{uid}"),
        class: class.into(),
        cores: 1.0,
        memory: 2.0,
        timeout: Some(2.0),
        ..PlacementRequest::default()
    }
}

pub struct SimulatedPlanner {
    pub core: Core,
    pub now: f64,
}

impl SimulatedPlanner {
    /// A planner with these nodes listed, each of which has reported that it holds no Pods.
    pub fn new(nodes: &[&str]) -> Self {
        let mut planner = SimulatedPlanner {
            core: Core::new(config(), 0, "halle-a", 1).unwrap(),
            now: 100.0,
        };
        let outputs = planner.step(vec![Input::Tick]);
        assert!(outputs.contains(&Output::WatchNodeList));
        planner.step(vec![Input::NodesListed(
            nodes.iter().map(|n| node(n)).collect(),
        )]);
        planner.step(
            nodes
                .iter()
                .map(|n| Input::PodsListed {
                    node: (*n).to_owned(),
                    pods: vec![],
                })
                .collect(),
        );
        planner
    }

    pub fn step(&mut self, inputs: Vec<Input>) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.core.step(self.now, inputs, &mut outputs);
        outputs
    }

    pub fn place(&mut self, uid: &str, class: &str) -> Vec<Output> {
        let mut outputs = self.step(vec![Input::EdgeMessage(
            EDGE,
            ToPlanner::Place(request(uid, class)),
        )]);
        if outputs.contains(&Output::SendToEdge(
            EDGE,
            ToEdge::Acknowledged { uid: uid.into() },
        )) {
            let timeout = request(uid, class).timeout.unwrap();
            outputs = self.step(vec![Input::EdgeMessage(
                EDGE,
                ToPlanner::Commit {
                    uid: uid.into(),
                    timeout,
                },
            )]);
        }
        outputs
    }

    /// Advances time in small steps, with a timer in each, until `find` returns a value for an output. Gives up after
    /// `seconds`.
    pub fn wait_for<T>(&mut self, seconds: f64, find: impl Fn(&Output) -> Option<T>) -> Option<T> {
        let end = self.now + seconds;
        while self.now < end {
            self.now += 0.05;
            if let Some(found) = self.step(vec![Input::TimerFired(0)]).iter().find_map(&find) {
                return Some(found);
            }
        }
        None
    }
}

pub fn first_offer(outputs: &[Output]) -> Option<(TaskId, u32, String)> {
    outputs.iter().find_map(as_offer)
}

pub fn as_offer(output: &Output) -> Option<(TaskId, u32, String)> {
    match output {
        Output::Offer(Offer {
            task,
            attempt,
            node,
            ..
        }) => Some((*task, *attempt, node.clone())),
        _ => None,
    }
}

pub fn sent_to_edge(outputs: &[Output]) -> Vec<ToEdge> {
    outputs
        .iter()
        .filter_map(|o| {
            if let Output::SendToEdge(_, message) = o {
                Some(message.clone())
            } else {
                None
            }
        })
        .collect()
}

pub fn offer_count(outputs: &[Output]) -> usize {
    outputs
        .iter()
        .filter(|o| matches!(o, Output::Offer(_)))
        .count()
}

pub fn published_reasons(outputs: &[Output]) -> Vec<tidespur_pending::ReasonUpdate> {
    let updates = outputs.iter().filter_map(|o| match o {
        Output::SendToEdge(EDGE, ToEdge::PendingReasons(updates)) => Some(updates.clone()),
        _ => None,
    });
    updates.flatten().collect()
}
