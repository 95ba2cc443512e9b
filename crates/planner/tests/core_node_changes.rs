//! Nodes that die, restart, drain or flap, and what edges are told of their tasks.

#[path = "common/core.rs"]
mod core_simulation;

use core_simulation::{EDGE, SimulatedPlanner, first_offer, node, pod, sent_to_edge};
use serde_json::json;
use tidespur_planner::core::{Input, OfferAnswer, Output};
use tidespur_planner_protocol::{Location, TerminationReason, ToEdge, ToPlanner};

#[test]
fn tasks_of_a_dead_node_are_lost_and_those_of_a_silent_node_are_not() {
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
fn tasks_of_a_connected_node_run_on_when_the_node_list_flaps() {
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
        "silent and unlisted"
    );
}

#[test]
fn nothing_is_offered_to_a_draining_node() {
    let mut planner = SimulatedPlanner::new(&["n1"]);
    let mut drains = node("n1");
    drains["spec"] = json!({"unschedulable": true});
    planner.step(vec![Input::NodeUpdated(drains)]);
    assert_eq!(first_offer(&planner.place("u", "termin-web")), None);
    let messages = planner.until(3.0, |o| {
        matches!(o, Output::SendToEdge(_, ToEdge::Rejected { .. })).then_some(())
    });
    assert!(messages.is_some());
}

#[test]
fn locating_a_task_takes_a_report_of_every_node_after_the_question() {
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
        "both were last heard before"
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
