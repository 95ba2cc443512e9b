//! `explain` has no side effects, and explains only pending tasks.

mod common;

use common::{CheckedScheduler, class, endpoint, idempotent_settings, settings, submitted};
use tidespur_policy::interface::{
    Action, Class, Event, FailureDomain, RetryBlocker, RetrySafety, TaskId,
};

/// The actions of a run, with or without calls of `explain` between the steps.
fn run(calls_explain: bool) -> Vec<Action> {
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
        if calls_explain {
            for id in 0..=last {
                drop(checked.scheduler.explain(now, TaskId(id)));
            }
        }
    }
    actions
}

#[test]
fn explain_has_no_side_effects() {
    assert_eq!(run(true), run(false));
}

#[test]
fn only_pending_tasks_are_explained() {
    let mut settings = settings(vec![class(RetrySafety::NonIdempotent)]);
    settings.max_attempts = 1;
    let mut checked = CheckedScheduler::new(settings, 1);
    checked.step(0.0, vec![Event::EndpointsListed(vec![endpoint(0)])]);
    checked.step(0.1, vec![submitted(1, 6.0)]);
    let explain = |id| checked.scheduler.explain(0.1, TaskId(id));
    assert_eq!(
        explain(1),
        None,
        "the task is not pending, as an offer is in flight"
    );
    assert_eq!(explain(9), None, "unknown task");
}

#[test]
fn the_blocker_is_what_prevents_any_attempt() {
    let mut checked = CheckedScheduler::new(idempotent_settings(), 1);
    checked.step(0.0, vec![submitted(1, 6.0)]);
    let diagnosis = checked.scheduler.explain(0.01, TaskId(1)).unwrap();
    // Without listed machines the task is pending, but no machine was examined.
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
