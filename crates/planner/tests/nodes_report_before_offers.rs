//! A node is asked what it holds before anything is offered to it.

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

struct World {
    core: Core,
    now: f64,
}

impl World {
    /// A planner with a list of these nodes, none of them heard, and one task.
    fn new(nodes: &[&str]) -> Self {
        let core = Core::new(parse("built-in", DEFAULT_CONFIG).unwrap(), 0, "", 1).unwrap();
        let mut world = Self { core, now: 100.0 };
        let out = world.step(vec![Input::NodesListed(
            nodes.iter().map(|name| node(name)).collect(),
        )]);
        let watched = out
            .iter()
            .filter(|output| matches!(output, Output::WatchNode { .. }))
            .count();
        assert_eq!(watched, nodes.len(), "each is asked");
        let ask = PlacementRequest {
            uid: "u".into(),
            name: "n".into(),
            tenant: "default".into(),
            class: "slot-abgleich".into(),
            service: "default/s".into(),
            cores: 1.0,
            memory: 1.0,
            ..PlacementRequest::default()
        };
        let go = ToPlanner::Commit {
            uid: "u".into(),
            timeout: 60.0,
        };
        world.step(vec![
            Input::EdgeMessage(EDGE, ToPlanner::Place(ask)),
            Input::EdgeMessage(EDGE, go),
        ]);
        world
    }

    fn step(&mut self, inputs: Vec<Input>) -> Vec<Output> {
        let mut out = Vec::new();
        self.core.step(self.now, inputs, &mut out);
        out
    }

    /// Lets seconds pass, these nodes being heard; what is offered where, and why the task waits.
    fn pass(&mut self, seconds: u32, heard: &[&str]) -> (Vec<String>, Vec<ReasonCode>) {
        let (mut offers, mut reasons) = (Vec::new(), Vec::new());
        for _ in 0..seconds * 10 {
            self.now += 0.1;
            let mut inputs: Vec<Input> = heard
                .iter()
                .map(|node| Input::NodeAlive((*node).to_owned()))
                .collect();
            inputs.push(Input::TimerFired(0));
            for output in self.step(inputs) {
                match output {
                    Output::Offer(Offer { node, .. }) => offers.push(node),
                    Output::SendToEdge(_, ToEdge::PendingReasons(words)) => {
                        reasons.extend(
                            words
                                .into_iter()
                                .flat_map(|word| word.diagnosis.rejections.clone().into_keys()),
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
fn nothing_is_offered_to_a_node_that_has_not_said_what_it_holds() {
    let mut world = World::new(&["a", "b"]);
    let (offers, reasons) = world.pass(5, &[]);
    assert_eq!(offers, [""; 0], "neither has been heard");
    assert!(reasons.contains(&ReasonCode::Unheard), "{reasons:?}");
    // Changes of the list change nothing of that.
    world.step(vec![
        Input::NodeUpdated(node("a")),
        Input::NodeConnectionRefused("a".into()),
    ]);
    world.step(vec![Input::NodesListed(vec![node("a"), node("b")])]);
    assert_eq!(world.pass(2, &[]).0, [""; 0]);
    let out = world.step(vec![Input::PodsListed {
        node: "b".into(),
        pods: vec![],
    }]);
    let offered = out
        .iter()
        .any(|output| matches!(output, Output::Offer(Offer { node, .. }) if node == "b"));
    assert!(
        offered || world.pass(2, &["b"]).0 == ["b"],
        "the one that was heard"
    );
}

#[test]
fn a_node_that_left_the_list_before_it_was_heard_is_offered_nothing() {
    let mut world = World::new(&["a", "b"]);
    world.step(vec![Input::NodesListed(vec![node("b")])]);
    world.step(vec![Input::PodsListed {
        node: "a".into(),
        pods: vec![],
    }]);
    assert_eq!(world.pass(2, &["a"]).0, [""; 0]);
    world.step(vec![Input::NodeUpdated(node("a"))]);
    assert_eq!(world.pass(2, &["a"]).0, ["a"], "it is back on the list");
}

#[test]
fn a_node_once_heard_is_offered_work_also_while_its_watch_is_broken() {
    let mut world = World::new(&["a"]);
    world.step(vec![Input::NodeUpdated(
        json!({"metadata": node("a")["metadata"], "spec": {"unschedulable": true},
        "status": node("a")["status"]}),
    )]);
    world.step(vec![Input::PodsListed {
        node: "a".into(),
        pods: vec![],
    }]);
    assert_eq!(world.pass(1, &["a"]).0, [""; 0], "it drains");
    world.step(vec![Input::NodeWatchLost("a".into())]);
    let out = world.step(vec![Input::NodeUpdated(node("a"))]);
    let offered = out.iter().any(|output| matches!(output, Output::Offer(_)));
    assert!(
        offered || world.pass(2, &[]).0 == ["a"],
        "its troubles are the policy's matter"
    );
}
