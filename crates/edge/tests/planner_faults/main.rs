//! Tasks of planners that are lost, hang or have no capacity.

#[path = "../common/dispatcher.rs"]
mod common;
mod locate;

use common::{acknowledged, new_dispatcher, placed, received, request, step, submitted};
use tidespur_edge::dispatcher::{Action, Dispatcher, Event};
use tidespur_planner_protocol::{TerminationReason, ToEdge, ToPlanner};

/// Acknowledges these tasks, and checks that the planner gets the commit for each.
fn acknowledge(dispatcher: &mut Dispatcher, now: f64, planner: u64, uids: &[&str]) {
    let events = uids
        .iter()
        .map(|uid| received(planner, acknowledged(uid)))
        .collect();
    let actions = step(dispatcher, now, events);
    let is_commit =
        |action: &&Action| matches!(sent(action, planner), Some(ToPlanner::Commit { .. }));
    let commits = actions.iter().filter(is_commit);
    assert_eq!(commits.count(), uids.len(), "{actions:?}");
}

/// The message that an action sends to this planner; `None` for any other action.
fn sent(action: &Action, to: u64) -> Option<&ToPlanner> {
    match action {
        Action::SendToPlanner { planner, message } if *planner == to => Some(message),
        _ => None,
    }
}

fn cancel(planner: u64, uid: &str) -> Action {
    Action::SendToPlanner {
        planner,
        message: ToPlanner::Cancel { uid: uid.into() },
    }
}

fn is_rejected(actions: &[Action], task: &str) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::MarkRejected { uid, .. } if uid == task))
}

fn is_failed(actions: &[Action], task: &str) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::MarkFailed { uid, .. } if uid == task))
}

#[test]
fn assigned_tasks_of_a_lost_planner_fail_and_placed_ones_are_handed_over() {
    let mut dispatcher = new_dispatcher();
    let events = vec![
        Event::PlannerConnected(1),
        submitted("a", 5.0),
        submitted("b", 5.0),
    ];
    step(&mut dispatcher, 0.0, events);
    acknowledge(&mut dispatcher, 0.05, 1, &["a", "b"]);
    let events = vec![received(1, placed("a")), Event::PlannerConnected(2)];
    step(&mut dispatcher, 0.1, events);

    let actions = step(&mut dispatcher, 0.2, vec![Event::PlannerLost(1)]);

    assert!(is_failed(&actions, "b"), "{actions:?}");
    assert!(actions.iter().any(|action| matches!(sent(action, 2),
        Some(ToPlanner::Adopt { request, node }) if request.uid == "a" && node == "n1")));
    let (uid, reason) = ("a".to_owned(), TerminationReason::Succeeded);
    let ended = received(
        2,
        ToEdge::Ended {
            uid: uid.clone(),
            reason,
        },
    );
    let actions = step(&mut dispatcher, 1.0, vec![ended]);
    assert_eq!(actions, [Action::MarkEnded { uid, reason }]);
}

#[test]
fn placed_tasks_are_handed_over_to_the_next_planner_that_connects_when_there_is_none() {
    let mut dispatcher = new_dispatcher();
    let events = vec![Event::PlannerConnected(1), submitted("a", 5.0)];
    step(&mut dispatcher, 0.0, events);
    acknowledge(&mut dispatcher, 0.05, 1, &["a"]);
    step(&mut dispatcher, 0.1, vec![received(1, placed("a"))]);

    assert_eq!(step(&mut dispatcher, 0.2, vec![Event::PlannerLost(1)]), []);
    let actions = step(&mut dispatcher, 9.0, vec![Event::PlannerConnected(2)]);

    assert_eq!(actions.len(), 1, "{actions:?}");
    assert!(
        matches!(sent(&actions[0], 2), Some(ToPlanner::Adopt { .. })),
        "{actions:?}"
    );
}

#[test]
fn tasks_of_a_hanging_planner_fail_and_its_late_placement_is_cancelled() {
    let mut dispatcher = new_dispatcher();
    let events = vec![Event::PlannerConnected(1), submitted("a", 1.0)];
    step(&mut dispatcher, 0.0, events);
    acknowledge(&mut dispatcher, 0.05, 1, &["a"]);
    assert_eq!(dispatcher.next_wake(), Some(1.05));

    let actions = step(&mut dispatcher, 1.05, vec![]);

    assert_eq!(actions.len(), 2, "{actions:?}");
    assert!(
        matches!(sent(&actions[0], 1), Some(ToPlanner::Cancel { .. })),
        "{actions:?}"
    );
    assert!(
        matches!(&actions[1], Action::MarkFailed { .. }),
        "{actions:?}"
    );
    let actions = step(&mut dispatcher, 1.2, vec![received(1, placed("a"))]);
    assert_eq!(actions, [cancel(1, "a")]);
}

#[test]
fn tasks_queue_without_capacity_and_are_rejected_at_their_deadline() {
    let mut dispatcher = new_dispatcher();
    let tasks = (0..5).map(|i| submitted(&format!("t{i}"), 2.0));
    let events = tasks.chain([Event::PlannerConnected(1)]).collect();
    let actions = step(&mut dispatcher, 0.0, events);
    assert_eq!(actions.len(), 3, "the planner holds three: {actions:?}");
    acknowledge(&mut dispatcher, 0.2, 1, &["t0", "t1", "t2"]);

    let actions = step(&mut dispatcher, 0.5, vec![received(1, placed("t0"))]);

    assert!(matches!(sent(&actions[1], 1),
        Some(ToPlanner::Place(request)) if request.uid == "t3" && request.timeout == Some(1.5)));
    acknowledge(&mut dispatcher, 0.6, 1, &["t3"]);
    let actions = step(&mut dispatcher, 2.0, vec![]);
    assert!(
        actions.len() == 1 && is_rejected(&actions, "t4"),
        "{actions:?}"
    );
}

#[test]
fn unacknowledged_tasks_of_a_hanging_planner_go_to_another_and_the_others_fail_or_are_rejected() {
    let mut dispatcher = new_dispatcher();
    let idempotent = Event::TaskSubmitted {
        request: request("idempotent"),
        deadline: 6.0,
        is_idempotent: true,
    };
    let events = vec![
        Event::PlannerConnected(1),
        idempotent,
        submitted("other", 6.0),
    ];
    step(&mut dispatcher, 0.0, events);
    acknowledge(&mut dispatcher, 0.1, 1, &["idempotent", "other"]);

    // The planner hangs from here on: it does not read what is sent to it.
    step(&mut dispatcher, 0.2, vec![submitted("late", 6.0)]);
    let actions = step(&mut dispatcher, 0.7, vec![]);
    assert_eq!(
        actions,
        [cancel(1, "late")],
        "no other planner is connected"
    );
    let actions = step(&mut dispatcher, 0.8, vec![Event::PlannerConnected(2)]);
    assert_eq!(actions.len(), 1, "{actions:?}");
    assert!(
        matches!(sent(&actions[0], 2),
        Some(ToPlanner::Place(request)) if request.uid == "late"),
        "{actions:?}"
    );

    // It continues: its acknowledgement of a withdrawn task gets no commit.
    let actions = step(
        &mut dispatcher,
        0.9,
        vec![received(1, acknowledged("late"))],
    );
    assert_eq!(actions, [cancel(1, "late")]);

    let actions = step(&mut dispatcher, 1.0, vec![Event::PlannerLost(1)]);
    assert!(is_rejected(&actions, "idempotent"), "{actions:?}");
    assert!(is_failed(&actions, "other"), "{actions:?}");
    assert!(
        actions.contains(&cancel(2, "idempotent")),
        "any running instance of it must be stopped: {actions:?}"
    );
}

#[test]
fn unacknowledged_tasks_are_rejected_and_do_not_fail_when_all_planners_hang() {
    let mut dispatcher = new_dispatcher();
    let tasks = (0..3).map(|i| submitted(&format!("t{i}"), 2.0));
    let events = tasks.chain([Event::PlannerConnected(1)]).collect();
    step(&mut dispatcher, 0.0, events);
    step(&mut dispatcher, 0.6, vec![]);
    step(&mut dispatcher, 1.9, vec![Event::PlannerLost(1)]);

    let actions = step(&mut dispatcher, 2.0, vec![]);

    let is_rejection = |action: &&Action| matches!(action, Action::MarkRejected { .. });
    assert_eq!(
        actions.iter().filter(is_rejection).count(),
        3,
        "{actions:?}"
    );
}
