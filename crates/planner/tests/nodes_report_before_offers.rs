//! A node gets no offers before it has reported its Pods: a planner that has just started does not know what
//! runs there.

use serde_json::{Value, json};
use tidespur_api::task::PlacementRequest;
use tidespur_config::{DEFAULT_CONFIG, parse};
use tidespur_pending::ReasonCode;
use tidespur_planner::core::{Core, Input, Offer, Output};
use tidespur_planner::task_table::EdgeId;
use tidespur_planner_protocol::{ToEdge, ToPlanner};

const EDGE: EdgeId = EdgeId(1);

fn node(name: &str) -> Value {
    json!({"metadata": {"name": name, "labels": {"node.kubernetes.io/instance-type": "std-24"},
        "annotations": {"node.tidespur.dev/address": format!("{name}:1")}},
        "status": {"allocatable": {"cpu": "24", "memory": "48Gi"}}})
}

struct SimulatedPlanner {
    core: Core,
    now: f64,
}

impl SimulatedPlanner {
    /// A planner with one pending task and a list of these nodes, none of which has reported its Pods.
    fn new(nodes: &[&str]) -> Self {
        let core = Core::new(parse("built-in", DEFAULT_CONFIG).unwrap(), 0, "", 1).unwrap();
        let mut planner = Self { core, now: 100.0 };
        let outputs = planner.step(vec![Input::NodesListed(
            nodes.iter().map(|name| node(name)).collect(),
        )]);
        let watched = outputs
            .iter()
            .filter(|output| matches!(output, Output::WatchNode { .. }))
            .count();
        assert_eq!(watched, nodes.len(), "each node is watched");
        let request = PlacementRequest {
            uid: "u".into(),
            name: "n".into(),
            tenant: "default".into(),
            class: "slot-abgleich".into(),
            service: "default/s".into(),
            cores: 1.0,
            memory: 1.0,
            ..PlacementRequest::default()
        };
        let commit = ToPlanner::Commit {
            uid: "u".into(),
            timeout: 60.0,
        };
        planner.step(vec![
            Input::EdgeMessage(EDGE, ToPlanner::Place(request)),
            Input::EdgeMessage(EDGE, commit),
        ]);
        planner
    }

    fn step(&mut self, inputs: Vec<Input>) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.core.step(self.now, inputs, &mut outputs);
        outputs
    }

    /// Advances time while the nodes of `reporting` send bookmarks. Returns the nodes that got offers, and the
    /// published reasons.
    fn advance(&mut self, seconds: u32, reporting: &[&str]) -> (Vec<String>, Vec<ReasonCode>) {
        let (mut offers, mut reasons) = (Vec::new(), Vec::new());
        for _ in 0..seconds * 10 {
            self.now += 0.1;
            let mut inputs: Vec<Input> = reporting
                .iter()
                .map(|node| Input::NodeAlive((*node).to_owned()))
                .collect();
            inputs.push(Input::TimerFired(0));
            for output in self.step(inputs) {
                match output {
                    Output::Offer(Offer { node, .. }) => offers.push(node),
                    Output::SendToEdge(_, ToEdge::PendingReasons(updates)) => {
                        reasons.extend(
                            updates
                                .into_iter()
                                .flat_map(|update| update.diagnosis.rejections.clone().into_keys()),
                        );
                    }
                    _ => {}
                }
            }
        }
        (offers, reasons)
    }
}

#[test]
fn no_task_is_offered_to_a_node_that_has_not_reported_its_pods() {
    let mut planner = SimulatedPlanner::new(&["a", "b"]);
    let (offers, reasons) = planner.advance(5, &[]);
    assert_eq!(offers, [""; 0], "neither has reported");
    assert!(reasons.contains(&ReasonCode::Unheard), "{reasons:?}");
    // Changes of the node list do not count as reports.
    planner.step(vec![
        Input::NodeUpdated(node("a")),
        Input::NodeConnectionRefused("a".into()),
    ]);
    planner.step(vec![Input::NodesListed(vec![node("a"), node("b")])]);
    assert_eq!(planner.advance(2, &[]).0, [""; 0]);
    let outputs = planner.step(vec![Input::PodsListed {
        node: "b".into(),
        pods: vec![],
    }]);
    let offered = outputs
        .iter()
        .any(|output| matches!(output, Output::Offer(Offer { node, .. }) if node == "b"));
    assert!(
        offered || planner.advance(2, &["b"]).0 == ["b"],
        "the node that has reported"
    );
}

#[test]
fn no_task_is_offered_to_a_node_that_left_the_list_before_it_reported() {
    let mut planner = SimulatedPlanner::new(&["a", "b"]);
    planner.step(vec![Input::NodesListed(vec![node("b")])]);
    planner.step(vec![Input::PodsListed {
        node: "a".into(),
        pods: vec![],
    }]);
    assert_eq!(planner.advance(2, &["a"]).0, [""; 0]);
    planner.step(vec![Input::NodeUpdated(node("a"))]);
    assert_eq!(
        planner.advance(2, &["a"]).0,
        ["a"],
        "the node is listed again"
    );
}

#[test]
fn a_node_that_has_reported_is_offered_tasks_also_while_its_watch_is_broken() {
    let mut planner = SimulatedPlanner::new(&["a"]);
    planner.step(vec![Input::NodeUpdated(
        json!({"metadata": node("a")["metadata"], "spec": {"unschedulable": true},
        "status": node("a")["status"]}),
    )]);
    planner.step(vec![Input::PodsListed {
        node: "a".into(),
        pods: vec![],
    }]);
    assert_eq!(
        planner.advance(1, &["a"]).0,
        [""; 0],
        "the node is draining"
    );
    planner.step(vec![Input::NodeWatchLost("a".into())]);
    let outputs = planner.step(vec![Input::NodeUpdated(node("a"))]);
    let offered = outputs
        .iter()
        .any(|output| matches!(output, Output::Offer(_)));
    assert!(
        offered || planner.advance(2, &[]).0 == ["a"],
        "the policy handles failures of a node with a broken watch"
    );
}
