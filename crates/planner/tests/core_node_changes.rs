//! Nodes that fail, restart, drain or flap, and the messages about their tasks to edges.

#[path = "common/core.rs"]
mod core_simulation;

use core_simulation::{EDGE, SimulatedPlanner, first_offer, node, pod, sent_to_edge};
use serde_json::json;
use tidespur_planner::core::{Input, OfferAnswer, Output};
use tidespur_planner_protocol::{Location, TerminationReason, ToEdge, ToPlanner};

#[test]
fn tasks_of_a_node_are_lost_when_it_refuses_connections_and_not_when_it_is_silent() {
    let mut planner = SimulatedPlanner::new(&["n1"]);
    let (task, attempt, at) = first_offer(&planner.place("u", "termin-web")).unwrap();
    planner.step(vec![Input::OfferAnswered {
        task,
        attempt,
        answer: OfferAnswer::Accepted(None),
    }]);
    planner.step(vec![Input::PodUpdated {
        node: at.clone(),
        pod: pod("u", "pod-u", "Running", ""),
    }]);
    assert_eq!(
        sent_to_edge(&planner.step(vec![Input::NodeWatchLost(at.clone())])),
        []
    );
    let outputs = planner.step(vec![Input::NodeConnectionRefused(at)]);
    assert_eq!(
        sent_to_edge(&outputs),
        [ToEdge::Ended {
            uid: "u".into(),
            reason: TerminationReason::NodeLost
        }]
    );
}

#[test]
fn tasks_are_lost_when_their_node_restarts_without_them() {
    let mut planner = SimulatedPlanner::new(&["n1"]);
    let (task, attempt, at) = first_offer(&planner.place("u", "termin-web")).unwrap();
    planner.step(vec![Input::OfferAnswered {
        task,
        attempt,
        answer: OfferAnswer::Accepted(None),
    }]);
    let outputs = planner.step(vec![Input::PodsListed {
        node: at,
        pods: vec![],
    }]);
    assert_eq!(
        sent_to_edge(&outputs),
        [ToEdge::Ended {
            uid: "u".into(),
            reason: TerminationReason::NodeLost
        }]
    );
}

#[test]
fn tasks_of_a_connected_node_continue_to_run_when_the_node_list_flaps() {
    let mut planner = SimulatedPlanner::new(&["n1"]);
    let (task, attempt, at) = first_offer(&planner.place("u", "termin-web")).unwrap();
    planner.step(vec![Input::OfferAnswered {
        task,
        attempt,
        answer: OfferAnswer::Accepted(None),
    }]);
    planner.step(vec![Input::PodUpdated {
        node: at.clone(),
        pod: pod("u", "pod-u", "Running", ""),
    }]);
    assert_eq!(
        sent_to_edge(&planner.step(vec![Input::NodeDeleted(node(&at))])),
        []
    );
    planner.now += 10.0;
    let outputs = planner.step(vec![Input::NodeDeleted(node(&at))]);
    assert_eq!(
        sent_to_edge(&outputs),
        [ToEdge::Ended {
            uid: "u".into(),
            reason: TerminationReason::NodeLost
        }],
        "the node is silent and not listed"
    );
}

#[test]
fn no_task_is_offered_to_a_draining_node() {
    let mut planner = SimulatedPlanner::new(&["n1"]);
    let mut draining = node("n1");
    draining["spec"] = json!({"unschedulable": true});
    planner.step(vec![Input::NodeUpdated(draining)]);
    assert_eq!(first_offer(&planner.place("u", "termin-web")), None);
    let rejection = planner.wait_for(3.0, |o| {
        matches!(o, Output::SendToEdge(_, ToEdge::Rejected { .. })).then_some(())
    });
    assert!(rejection.is_some());
}

#[test]
fn a_task_is_located_only_after_every_node_has_reported_since_the_query() {
    let mut planner = SimulatedPlanner::new(&["n1", "n2"]);
    let locate = |uid: &str| {
        Input::EdgeMessage(
            EDGE,
            ToPlanner::Locate {
                uid: uid.into(),
                tenant: "default".into(),
                name: format!("pod-{uid}"),
            },
        )
    };
    planner.now += 1.0;
    assert_eq!(
        sent_to_edge(&planner.step(vec![locate("u")])),
        [],
        "both nodes reported last before the query"
    );
    planner.now += 0.1;
    assert_eq!(
        sent_to_edge(&planner.step(vec![Input::NodeAlive("n1".into())])),
        []
    );
    let outputs = planner.step(vec![Input::NodeConnectionRefused("n2".into())]);
    assert_eq!(
        sent_to_edge(&outputs),
        [ToEdge::Located {
            uid: "u".into(),
            location: Location::NotFound
        }]
    );
    planner.step(vec![Input::PodUpdated {
        node: "n1".into(),
        pod: pod("v", "pod-v", "Running", ""),
    }]);
    let outputs = planner.step(vec![locate("v")]);
    assert_eq!(
        sent_to_edge(&outputs),
        [ToEdge::Located {
            uid: "v".into(),
            location: Location::At("n1".into())
        }]
    );
    planner.step(vec![Input::NodeWatchLost("n1".into()), locate("w")]);
    planner.now += 1.0;
    assert_eq!(sent_to_edge(&planner.step(vec![Input::Tick])), []);
    planner.now += 1.0;
    assert_eq!(
        sent_to_edge(&planner.step(vec![Input::Tick])),
        [ToEdge::Located {
            uid: "w".into(),
            location: Location::Unknown
        }]
    );
}
