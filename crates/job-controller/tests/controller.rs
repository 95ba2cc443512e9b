//! The Job controller: how many Pods it keeps, when it retries one, and that no Pod of a class that is not idempotent
//! runs twice.

mod common;

use common::{Harness, IDEMPOTENT, NOT_IDEMPOTENT, job};
use tidespur_job_controller::{
    Action, Adoption, Event, JobPhase, JobView, PodOutcome, PodPhase, PodView,
};
use tidespur_planner_protocol::Location;

#[test]
fn rejected_pod_is_retried_with_exponential_backoff() {
    let mut harness = Harness::new(IDEMPOTENT, job(1));
    harness.end_pod(0, PodOutcome::Rejected);
    assert_eq!(harness.created.len(), 1);
    harness.step_at(0.45);
    assert_eq!(harness.created.len(), 1, "at least half the backoff");
    harness.step_at(1.0);
    assert_eq!(harness.created.len(), 2);
    harness.end_pod(1, PodOutcome::Rejected);
    harness.step_at(1.9);
    assert_eq!(
        harness.created.len(),
        2,
        "the second backoff is twice as long"
    );
    harness.step_at(3.0);
    assert_eq!(harness.created.len(), 3);
    assert_eq!(
        harness.status().failed,
        0,
        "a rejection does not count as a failed run"
    );
}

#[test]
fn non_idempotent_pod_that_may_run_is_located_before_another_is_created() {
    for outcome in [PodOutcome::Unknown, PodOutcome::NodeLost] {
        let mut harness = Harness::new(NOT_IDEMPOTENT, job(1));
        harness.end_pod(0, outcome);
        harness.step_at(2.9);
        assert_eq!(harness.location_query_count(), 0);
        harness.step_at(3.0);
        assert_eq!(
            (harness.location_query_count(), harness.created.len()),
            (1, 1)
        );
        harness.report_location(0, Location::Unknown);
        harness.step_at(60.0);
        assert_eq!(
            (harness.location_query_count(), harness.created.len()),
            (2, 1),
            "no second Pod while the outcome is unknown"
        );
        harness.report_location(0, Location::NotFound);
        harness.step_at(61.0);
        assert_eq!(harness.created.len(), 2);
    }
}

#[test]
fn running_non_idempotent_pod_is_adopted() {
    let mut harness = Harness::new(NOT_IDEMPOTENT, job(1));
    harness.end_pod(0, PodOutcome::Unknown);
    harness.step_at(3.0);
    harness.report_location(0, Location::At("n7".into()));
    let adoption = harness.actions.iter().find_map(|a| {
        if let Action::CreatePod {
            adoption: Some(adoption),
            ..
        } = a
        {
            Some(adoption.clone())
        } else {
            None
        }
    });
    assert_eq!(
        adoption,
        Some(Adoption {
            node: "n7".into(),
            name: "p1".into()
        })
    );
    harness.end_pod(1, PodOutcome::Succeeded);
    assert_eq!(harness.status().phase, JobPhase::Complete);
    assert_eq!(harness.created.len(), 2);
}

#[test]
fn deleted_non_idempotent_pod_is_stopped_before_another_is_created() {
    let mut harness = Harness::new(NOT_IDEMPOTENT, job(1));
    let running = PodView {
        phase: PodPhase::Running,
        ..harness.created[0].clone()
    };
    harness.step(vec![
        Event::PodUpdated(running.clone()),
        Event::PodDeleted(running),
    ]);
    harness.step_at(3.0);
    harness.report_location(0, Location::At("n1".into()));
    assert!(
        harness
            .actions
            .contains(&Action::StopPod { uid: "p1".into() })
    );
    assert_eq!(harness.created.len(), 1);
    harness.step_at(10.0);
    harness.report_location(0, Location::NotFound);
    harness.step_at(11.0);
    assert_eq!(harness.created.len(), 2);
}

#[test]
fn idempotent_pod_that_may_run_is_replaced_and_stopped() {
    let mut harness = Harness::new(IDEMPOTENT, job(1));
    harness.end_pod(0, PodOutcome::Unknown);
    assert!(
        harness
            .actions
            .contains(&Action::StopPod { uid: "p1".into() })
    );
    harness.step_at(1.0);
    assert_eq!(harness.created.len(), 2);
}

#[test]
fn only_failed_runs_count_against_the_backoff_limit() {
    let mut harness = Harness::new(IDEMPOTENT, job(1));
    for (i, outcome) in [
        PodOutcome::Evicted,
        PodOutcome::NodeLost,
        PodOutcome::Failed,
        PodOutcome::Failed,
    ]
    .into_iter()
    .enumerate()
    {
        assert_eq!(harness.status().phase, JobPhase::Active);
        harness.end_pod(i, outcome);
        harness.step_at(harness.now + 20.0);
    }
    assert_eq!(
        (harness.status().phase, harness.status().failed),
        (JobPhase::BackoffLimitExceeded, 2)
    );
    assert_eq!(harness.created.len(), 4);
}

#[test]
fn shrinking_job_keeps_running_pods_and_suspension_deletes_all() {
    let mut harness = Harness::new(IDEMPOTENT, job(4));
    let running = PodView {
        phase: PodPhase::Running,
        ..harness.created[0].clone()
    };
    harness.step(vec![Event::PodUpdated(running)]);
    harness.step(vec![Event::JobUpdated(JobView {
        parallelism: 1,
        ..job(4)
    })]);
    let deleted = |harness: &Harness| -> Vec<String> {
        harness
            .actions
            .iter()
            .filter_map(|a| {
                if let Action::DeletePod { name, .. } = a {
                    Some(name.clone())
                } else {
                    None
                }
            })
            .collect()
    };
    assert_eq!(deleted(&harness).len(), 3);
    assert!(
        !deleted(&harness).contains(&"p1".to_owned()),
        "the running Pod stays"
    );
    harness.step(vec![Event::JobUpdated(JobView {
        is_suspended: true,
        ..job(4)
    })]);
    assert_eq!(deleted(&harness).len(), 4);
    assert_eq!(harness.status().phase, JobPhase::Suspended);
    harness.step(vec![Event::JobUpdated(job(4))]);
    assert_eq!(harness.created.len(), 8);
}

#[test]
fn job_ends_at_its_deadline_and_is_deleted_after_its_time_to_live() {
    let mut harness = Harness::new(
        IDEMPOTENT,
        JobView {
            active_deadline: Some(5.0),
            time_to_live: Some(2.0),
            ..job(1)
        },
    );
    assert_eq!(harness.controller.next_wake(), Some(5.0));
    harness.step_at(5.0);
    assert_eq!(harness.status().phase, JobPhase::DeadlineExceeded);
    assert!(
        harness
            .actions
            .iter()
            .any(|a| matches!(a, Action::DeletePod { .. }))
    );
    harness.step_at(7.0);
    assert!(
        harness
            .actions
            .iter()
            .any(|a| matches!(a, Action::DeleteJob { .. }))
    );
}
