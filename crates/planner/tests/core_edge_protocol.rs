//! The two phases of a placement, lost edges, stalls and load shedding.

#[path = "common/core.rs"]
mod core_simulation;

use core_simulation::{
    EDGE, SimulatedPlanner, first_offer, node, offer_count, request, sent_to_edge,
};
use tidespur_planner::core::{Input, OfferAnswer, Output};
use tidespur_planner_protocol::{ToEdge, ToPlanner};
use tidespur_policy::interface::AttemptOutcome;

#[test]
fn open_tasks_of_a_lost_edge_are_given_up_and_placed_ones_run_on() {
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
    let late = OfferAnswer::NotAccepted {
        outcome: AttemptOutcome::TimedOut,
        message: String::new(),
        report: None,
    };
    let outputs = planner.step(vec![Input::OfferAnswered {
        task,
        attempt,
        answer: late,
    }]);
    assert_eq!(first_offer(&outputs), None);
    assert_eq!(planner.core.task_count(), 1, "the one that runs");
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
        planner.until(1.0, |o| matches!(o, Output::Offer(_)).then_some(())),
        None
    );
    // Taken back: a Go that crossed it finds nothing.
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
fn a_stalled_planner_gives_up_open_tasks_before_it_handles_inputs() {
    let mut planner = SimulatedPlanner::new(&[]);
    assert_eq!(
        offer_count(&planner.place("held", "slot-abgleich")),
        0,
        "there is no node yet"
    );
    // Not so long that an edge gives it up: it goes on.
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
        planner.until(3.0, |o| matches!(o, Output::Offer(_)).then_some(())),
        None
    );
}

#[test]
fn an_overloaded_planner_sheds_new_tasks_and_admits_them_again_once_it_has_caught_up() {
    let mut planner = SimulatedPlanner::new(&["n1", "n2"]);
    let refused = |outputs: &[Output]| {
        sent_to_edge(outputs)
            .iter()
            .any(|word| matches!(word, ToEdge::Rejected { .. }))
    };
    let turned_away = |planner: &mut SimulatedPlanner, round: usize| {
        (0..40)
            .filter(|n| refused(&planner.place(&format!("{round}-{n}"), "termin-web")))
            .count()
    };
    assert_eq!(turned_away(&mut planner, 0), 0);
    // Every word waits longer and longer in its queue.
    for n in 0..80 {
        planner.now += 0.1;
        let sent = planner.now - 1.0 - 0.1 * f64::from(n);
        planner.step(vec![Input::LagProbe(sent)]);
    }
    assert!(turned_away(&mut planner, 1) > 20);
    // What it took before is never turned away, however often it is asked for.
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
    assert_eq!(turned_away(&mut planner, 2), 0);
}
