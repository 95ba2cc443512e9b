//! The protocol with edges: commit of tasks, lost edges, stalls of the planner and load shedding.

#[path = "common/core.rs"]
mod core_simulation;

use core_simulation::{
    EDGE, SimulatedPlanner, first_offer, node, offer_count, request, sent_to_edge,
};
use tidespur_planner::core::{Input, OfferAnswer, Output};
use tidespur_planner_protocol::{ToEdge, ToPlanner};
use tidespur_policy::interface::AttemptOutcome;

#[test]
fn open_tasks_of_a_lost_edge_are_abandoned_and_placed_ones_continue_to_run() {
    let mut planner = SimulatedPlanner::new(&["n1"]);
    let (task, attempt, _) = first_offer(&planner.place("a", "termin-web")).unwrap();
    planner.step(vec![Input::OfferAnswered {
        task,
        attempt,
        answer: OfferAnswer::Accepted(None),
    }]);
    let (task, attempt, _) = first_offer(&planner.place("b", "termin-web")).unwrap();
    let outputs = planner.step(vec![Input::EdgeDisconnected(EDGE)]);
    assert!(
        !outputs
            .iter()
            .any(|o| matches!(o, Output::DeletePod { .. }))
    );
    let timeout = OfferAnswer::NotAccepted {
        outcome: AttemptOutcome::TimedOut,
        message: String::new(),
        report: None,
    };
    let outputs = planner.step(vec![Input::OfferAnswered {
        task,
        attempt,
        answer: timeout,
    }]);
    assert_eq!(first_offer(&outputs), None);
    assert_eq!(planner.core.task_count(), 1, "the placed task is kept");
}

#[test]
fn nothing_is_offered_before_the_edge_commits() {
    let mut planner = SimulatedPlanner::new(&["a", "b"]);
    let outputs = planner.step(vec![Input::EdgeMessage(
        EDGE,
        ToPlanner::Place(request("t", "termin-web")),
    )]);
    assert_eq!(
        outputs,
        [Output::SendToEdge(
            EDGE,
            ToEdge::Acknowledged { uid: "t".into() }
        )]
    );
    assert_eq!(
        planner.wait_for(1.0, |o| matches!(o, Output::Offer(_)).then_some(())),
        None
    );
    // A commit that arrives after the cancellation has no effect.
    planner.step(vec![Input::EdgeMessage(
        EDGE,
        ToPlanner::Cancel { uid: "t".into() },
    )]);
    let outputs = planner.step(vec![Input::EdgeMessage(
        EDGE,
        ToPlanner::Commit {
            uid: "t".into(),
            timeout: 2.0,
        },
    )]);
    assert_eq!(offer_count(&outputs), 0, "{outputs:?}");
    assert_eq!(offer_count(&planner.place("u", "termin-web")), 1);
}

#[test]
fn a_stalled_planner_abandons_open_tasks_before_it_handles_inputs() {
    let mut planner = SimulatedPlanner::new(&[]);
    assert_eq!(
        offer_count(&planner.place("pending", "slot-abgleich")),
        0,
        "there is no node yet"
    );
    // A stall shorter than the edge's planner timeout has no effect.
    planner.now += 1.0;
    assert!(
        !planner
            .step(vec![Input::Tick])
            .contains(&Output::DisconnectEdges)
    );
    planner.now += 1.6;
    let node = Input::NodesListed(vec![node("a")]);
    let late = Input::EdgeMessage(EDGE, ToPlanner::Place(request("late", "slot-abgleich")));
    let outputs = planner.step(vec![
        node,
        late,
        Input::PodsListed {
            node: "a".into(),
            pods: vec![],
        },
    ]);
    assert!(
        outputs.contains(&Output::DisconnectEdges) && offer_count(&outputs) == 0,
        "{outputs:?}"
    );
    assert_eq!(
        planner.wait_for(3.0, |o| matches!(o, Output::Offer(_)).then_some(())),
        None
    );
}

#[test]
fn an_overloaded_planner_sheds_new_tasks_and_admits_them_again_once_it_has_caught_up() {
    let mut planner = SimulatedPlanner::new(&["n1", "n2"]);
    let is_rejected = |outputs: &[Output]| {
        sent_to_edge(outputs)
            .iter()
            .any(|message| matches!(message, ToEdge::Rejected { .. }))
    };
    let rejected_count = |planner: &mut SimulatedPlanner, round: usize| {
        (0..40)
            .filter(|n| is_rejected(&planner.place(&format!("{round}-{n}"), "termin-web")))
            .count()
    };
    assert_eq!(rejected_count(&mut planner, 0), 0);
    // The queueing delay of inputs grows with each probe.
    for n in 0..80 {
        planner.now += 0.1;
        let queued_at = planner.now - 1.0 - 0.1 * f64::from(n);
        planner.step(vec![Input::LagProbe(queued_at)]);
    }
    assert!(rejected_count(&mut planner, 1) > 20);
    // A task that is already known is acknowledged however often it is sent.
    for _ in 0..40 {
        let again = planner.step(vec![Input::EdgeMessage(
            EDGE,
            ToPlanner::Place(request("0-0", "termin-web")),
        )]);
        assert_eq!(
            sent_to_edge(&again),
            [ToEdge::Acknowledged { uid: "0-0".into() }]
        );
    }
    for _ in 0..120 {
        planner.now += 0.1;
        planner.step(vec![Input::LagProbe(planner.now)]);
    }
    assert_eq!(rejected_count(&mut planner, 2), 0);
}
