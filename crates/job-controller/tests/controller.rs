//! The Job controller: how many Pods it keeps, when it retries one, and that no Pod of a class that is not idempotent runs
//! twice.

mod common;

use common::{IDEMPOTENT, NOT_IDEMPOTENT, World, job};
use tidespur_job_controller::{
    Action, Adoption, Event, JobPhase, JobView, PodOutcome, PodPhase, PodView,
};
use tidespur_planner_protocol::Location;

#[test]
fn a_rejected_pod_is_retried_after_a_growing_backoff() {
    let mut world = World::new(IDEMPOTENT, job(1));
    world.end(0, PodOutcome::Rejected);
    assert_eq!(world.created.len(), 1);
    world.at(0.45);
    assert_eq!(world.created.len(), 1, "at least half the backoff");
    world.at(1.0);
    assert_eq!(world.created.len(), 2);
    world.end(1, PodOutcome::Rejected);
    world.at(1.9);
    assert_eq!(
        world.created.len(),
        2,
        "the second backoff is twice as long"
    );
    world.at(3.0);
    assert_eq!(world.created.len(), 3);
    assert_eq!(world.status().failed, 0, "a rejection is no failed run");
}

#[test]
fn a_pod_that_is_not_idempotent_and_may_run_is_located_before_another_is_created() {
    for lost in [PodOutcome::Unknown, PodOutcome::NodeLost] {
        let mut world = World::new(NOT_IDEMPOTENT, job(1));
        world.end(0, lost);
        world.at(2.9);
        assert_eq!(world.locate_queries(), 0);
        world.at(3.0);
        assert_eq!((world.locate_queries(), world.created.len()), (1, 1));
        world.locate(0, Location::Unknown);
        world.at(60.0);
        assert_eq!(
            (world.locate_queries(), world.created.len()),
            (2, 1),
            "an unknown outcome never creates a second one"
        );
        world.locate(0, Location::NotFound);
        world.at(61.0);
        assert_eq!(world.created.len(), 2);
    }
}

#[test]
fn a_pod_that_is_not_idempotent_and_runs_is_adopted() {
    let mut world = World::new(NOT_IDEMPOTENT, job(1));
    world.end(0, PodOutcome::Unknown);
    world.at(3.0);
    world.locate(0, Location::At("n7".into()));
    let adoption = world.actions.iter().find_map(|a| {
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
    world.end(1, PodOutcome::Succeeded);
    assert_eq!(world.status().phase, JobPhase::Complete);
    assert_eq!(world.created.len(), 2);
}

#[test]
fn a_deleted_pod_that_is_not_idempotent_is_stopped_before_another_is_created() {
    let mut world = World::new(NOT_IDEMPOTENT, job(1));
    let running = PodView {
        phase: PodPhase::Running,
        ..world.created[0].clone()
    };
    world.step(vec![
        Event::PodUpdated(running.clone()),
        Event::PodDeleted(running),
    ]);
    world.at(3.0);
    world.locate(0, Location::At("n1".into()));
    assert!(
        world
            .actions
            .contains(&Action::StopPod { uid: "p1".into() })
    );
    assert_eq!(world.created.len(), 1);
    world.at(10.0);
    world.locate(0, Location::NotFound);
    world.at(11.0);
    assert_eq!(world.created.len(), 2);
}

#[test]
fn an_idempotent_pod_that_may_run_is_replaced_and_what_runs_of_it_is_stopped() {
    let mut world = World::new(IDEMPOTENT, job(1));
    world.end(0, PodOutcome::Unknown);
    assert!(
        world
            .actions
            .contains(&Action::StopPod { uid: "p1".into() })
    );
    world.at(1.0);
    assert_eq!(world.created.len(), 2);
}

#[test]
fn failed_runs_count_against_the_limit_and_nothing_else_does() {
    let mut world = World::new(IDEMPOTENT, job(1));
    for (i, end) in [
        PodOutcome::Evicted,
        PodOutcome::NodeLost,
        PodOutcome::Failed,
        PodOutcome::Failed,
    ]
    .into_iter()
    .enumerate()
    {
        assert_eq!(world.status().phase, JobPhase::Active);
        world.end(i, end);
        world.at(world.now + 20.0);
    }
    assert_eq!(
        (world.status().phase, world.status().failed),
        (JobPhase::BackoffLimitExceeded, 2)
    );
    assert_eq!(world.created.len(), 4);
}

#[test]
fn a_job_shrinks_by_pods_that_have_not_begun_and_suspends_all() {
    let mut world = World::new(IDEMPOTENT, job(4));
    let running = PodView {
        phase: PodPhase::Running,
        ..world.created[0].clone()
    };
    world.step(vec![Event::PodUpdated(running)]);
    world.step(vec![Event::JobUpdated(JobView {
        parallelism: 1,
        ..job(4)
    })]);
    let deleted = |world: &World| -> Vec<String> {
        world
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
    assert_eq!(deleted(&world).len(), 3);
    assert!(
        !deleted(&world).contains(&"p1".to_owned()),
        "the one that runs stays"
    );
    world.step(vec![Event::JobUpdated(JobView {
        is_suspended: true,
        ..job(4)
    })]);
    assert_eq!(deleted(&world).len(), 4);
    assert_eq!(world.status().phase, JobPhase::Suspended);
    world.step(vec![Event::JobUpdated(job(4))]);
    assert_eq!(world.created.len(), 8);
}

#[test]
fn a_job_ends_at_its_deadline_and_is_deleted_after_its_time_to_live() {
    let mut world = World::new(
        IDEMPOTENT,
        JobView {
            active_deadline: Some(5.0),
            time_to_live: Some(2.0),
            ..job(1)
        },
    );
    assert_eq!(world.controller.next_wake(), Some(5.0));
    world.at(5.0);
    assert_eq!(world.status().phase, JobPhase::DeadlineExceeded);
    assert!(
        world
            .actions
            .iter()
            .any(|a| matches!(a, Action::DeletePod { .. }))
    );
    world.at(7.0);
    assert!(
        world
            .actions
            .iter()
            .any(|a| matches!(a, Action::DeleteJob { .. }))
    );
}
