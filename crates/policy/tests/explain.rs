//! `explain` changes nothing, and tells of pending tasks alone.

mod common;

use common::{CheckedScheduler, class, endpoint, idempotent_settings, settings, submitted};
use tidespur_policy::interface::{
    Action, Class, Event, FailureDomain, RetryBlocker, RetrySafety, TaskId,
};

/// The actions of a run with or without questions in between.
fn actions_when(explains: bool) -> Vec<Action> {
    let spread = Class {
        spread_domain: Some(FailureDomain::Cell),
        max_per_spread_domain: 1,
        ..class(RetrySafety::Idempotent)
    };
    let mut checked = CheckedScheduler::new(settings(vec![spread]), 3);
    let mut actions = Vec::new();
    let endpoints = (0..6).map(endpoint).collect();
    checked.step(0.0, vec![Event::EndpointsListed(endpoints)]);
    for last in 0..80u64 {
        let now = 0.1 + last as f64 * 0.05;
        let events = vec![submitted(last, now + 6.0), Event::TimerFired(0)];
        actions.extend(checked.step(now, events));
        if explains {
            for id in 0..=last {
                drop(checked.scheduler.explain(now, TaskId(id)));
            }
        }
    }
    actions
}

#[test]
fn explaining_changes_nothing() {
    assert_eq!(actions_when(true), actions_when(false));
}

#[test]
fn only_pending_tasks_are_explained() {
    let mut settings = settings(vec![class(RetrySafety::NonIdempotent)]);
    settings.max_attempts = 1;
    let mut checked = CheckedScheduler::new(settings, 1);
    checked.step(0.0, vec![Event::EndpointsListed(vec![endpoint(0)])]);
    checked.step(0.1, vec![submitted(1, 6.0)]);
    let explain = |id| checked.scheduler.explain(0.1, TaskId(id));
    assert_eq!(explain(1), None, "an offer is in flight: it is not pending");
    assert_eq!(explain(9), None, "the task is unknown");
}

#[test]
fn a_blocker_names_what_keeps_a_task_from_all_machines() {
    let mut checked = CheckedScheduler::new(idempotent_settings(), 1);
    checked.step(0.0, vec![submitted(1, 6.0)]);
    let diagnosis = checked.scheduler.explain(0.01, TaskId(1)).unwrap();
    // With nothing listed a task is pending, and no machine was examined.
    assert_eq!(
        (
            diagnosis.machine_count,
            diagnosis.rejections.len(),
            diagnosis.blocker
        ),
        (0, 0, None)
    );
    assert!(
        diagnosis.send_deadline > 5.9
            && diagnosis.send_deadline < 6.0
            && diagnosis.next_attempt_at > 0.0
    );
    assert_eq!(
        checked.scheduler.explain(6.0, TaskId(1)).unwrap().blocker,
        Some(RetryBlocker::DeadlineExceeded)
    );
}
