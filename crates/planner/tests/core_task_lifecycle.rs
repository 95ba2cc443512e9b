//! The life cycle of tasks from placement to end. Each task gets exactly one answer.

#[path = "common/core.rs"]
mod core_simulation;

use core_simulation::{EDGE, SimulatedPlanner, as_offer, first_offer, pod, sent_to_edge};
use tidespur_planner::core::{Input, OfferAnswer, Output};
use tidespur_planner_protocol::{TerminationReason, ToEdge, ToPlanner};
use tidespur_policy::interface::{AttemptOutcome, FailureCause};

#[test]
fn a_task_is_placed_runs_and_ends() {
    let mut planner = SimulatedPlanner::new(&["n1", "n2"]);
    let (task, attempt, at) = first_offer(&planner.place("u", "termin-web")).unwrap();
    let outputs = planner.step(vec![Input::OfferAnswered {
        task,
        attempt,
        answer: OfferAnswer::Accepted(None),
    }]);
    assert_eq!(
        sent_to_edge(&outputs),
        [ToEdge::Placed {
            uid: "u".into(),
            node: at.clone()
        }]
    );
    let outputs = planner.step(vec![Input::PodUpdated {
        node: at.clone(),
        pod: pod("u", "pod-u", "Running", ""),
    }]);
    assert_eq!(
        sent_to_edge(&outputs),
        [ToEdge::Started { uid: "u".into() }]
    );
    let outputs = planner.step(vec![Input::PodUpdated {
        node: at.clone(),
        pod: pod("u", "pod-u", "Succeeded", ""),
    }]);
    assert_eq!(
        sent_to_edge(&outputs),
        [ToEdge::Ended {
            uid: "u".into(),
            reason: TerminationReason::Succeeded
        }]
    );
    assert_eq!(planner.core.task_count(), 0);
}

#[test]
fn a_lost_answer_is_replaced_by_the_watch_on_the_node_and_its_timeout_is_ignored() {
    let mut planner = SimulatedPlanner::new(&["n1"]);
    let (task, attempt, at) = first_offer(&planner.place("u", "slot-abgleich")).unwrap();
    let outputs = planner.step(vec![Input::PodUpdated {
        node: at.clone(),
        pod: pod("u", "pod-u", "Pending", ""),
    }]);
    assert_eq!(
        sent_to_edge(&outputs),
        [ToEdge::Placed {
            uid: "u".into(),
            node: at
        }]
    );
    let timeout = OfferAnswer::NotAccepted {
        outcome: AttemptOutcome::TimedOut,
        message: "no answer in time".into(),
        report: None,
    };
    assert_eq!(
        sent_to_edge(&planner.step(vec![Input::OfferAnswered {
            task,
            attempt,
            answer: timeout
        }])),
        []
    );
}

#[test]
fn a_non_idempotent_task_that_may_have_run_fails_and_is_not_retried() {
    let mut planner = SimulatedPlanner::new(&["n1", "n2"]);
    let (task, attempt, _) = first_offer(&planner.place("u", "slot-abgleich")).unwrap();
    let interrupted = OfferAnswer::NotAccepted {
        outcome: AttemptOutcome::Interrupted(FailureCause::Unspecified),
        message: "reset".into(),
        report: None,
    };
    let outputs = planner.step(vec![Input::OfferAnswered {
        task,
        attempt,
        answer: interrupted,
    }]);
    assert_eq!(first_offer(&outputs), None);
    let later = planner.wait_for(3.0, |o| match o {
        Output::SendToEdge(_, message) => Some(message.clone()),
        Output::Offer(_) => panic!("the task was offered again"),
        _ => None,
    });
    let message = sent_to_edge(&outputs).pop().or(later);
    assert!(matches!(message, Some(ToEdge::Failed { uid, .. }) if uid == "u"));
}

#[test]
fn a_second_copy_of_an_idempotent_task_is_deleted_when_it_is_reported() {
    let mut planner = SimulatedPlanner::new(&["n1", "n2", "n3"]);
    let (task, attempt, first) = first_offer(&planner.place("u", "termin-web")).unwrap();
    let timeout = OfferAnswer::NotAccepted {
        outcome: AttemptOutcome::TimedOut,
        message: "no answer in time".into(),
        report: None,
    };
    let outputs = planner.step(vec![Input::OfferAnswered {
        task,
        attempt,
        answer: timeout,
    }]);
    let (_, attempt, second) = first_offer(&outputs)
        .or_else(|| planner.wait_for(1.0, as_offer))
        .unwrap();
    if first != second {
        planner.step(vec![Input::OfferAnswered {
            task,
            attempt,
            answer: OfferAnswer::Accepted(None),
        }]);
        let outputs = planner.step(vec![Input::PodUpdated {
            node: first.clone(),
            pod: pod("u", "pod-u", "Pending", ""),
        }]);
        let is_deletion = |o: &Output| matches!(o, Output::DeletePod { address, .. } if *address == format!("{first}:1"));
        assert!(outputs.iter().any(is_deletion), "{outputs:?}");
    }
}

#[test]
fn a_task_cancelled_while_its_offer_is_in_flight_is_deleted_when_accepted() {
    let mut planner = SimulatedPlanner::new(&["n1"]);
    let (task, attempt, _) = first_offer(&planner.place("u", "termin-web")).unwrap();
    planner.step(vec![Input::EdgeMessage(
        EDGE,
        ToPlanner::Cancel { uid: "u".into() },
    )]);
    let outputs = planner.step(vec![Input::OfferAnswered {
        task,
        attempt,
        answer: OfferAnswer::Accepted(None),
    }]);
    assert!(
        outputs
            .iter()
            .any(|o| matches!(o, Output::DeletePod { .. })),
        "{outputs:?}"
    );
    assert_eq!(
        sent_to_edge(&outputs),
        [],
        "the edge gets no messages about a cancelled task"
    );
}

#[test]
fn a_task_of_an_unknown_class_is_rejected_with_the_class_name() {
    let mut planner = SimulatedPlanner::new(&["n1"]);
    let messages = sent_to_edge(&planner.place("u", "odd"));
    assert!(
        matches!(&messages[..], [ToEdge::Rejected { reason, .. }] if reason.contains("\"odd\"")),
        "{messages:?}"
    );
}
