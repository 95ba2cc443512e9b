//! The owner: how many Pods stand, when one is asked for again, and that nothing guarded starts twice.

use std::collections::BTreeSet;
use tidespur_job_controller::*;
use tidespur_planner_protocol::Location;

struct World {
    controller: Controller,
    now: f64,
    next: u32,
    /// What was asked for.
    made: Vec<PodView>,
    actions: Vec<Action>,
}

fn job(pods: u32) -> JobView {
    JobView {
        uid: "j".into(),
        namespace: "default".into(),
        name: "job".into(),
        class: "run".into(),
        parallelism: pods,
        completions: Some(pods),
        backoff_limit: 1,
        active_deadline: None,
        ttl: None,
        suspend: false,
        deleting: false,
    }
}

impl World {
    fn new(guarded: bool, job: JobView) -> Self {
        let guarded: BTreeSet<String> = guarded.then(|| "run".to_owned()).into_iter().collect();
        let pauses = Pauses {
            first: 1.0,
            most: 8.0,
            lost: 0.2,
        };
        let settings = Settings {
            pauses,
            settle: 3.0,
            guarded,
            default_class: "web".into(),
        };
        let mut world = World {
            controller: Controller::new(settings, 3),
            now: 0.0,
            next: 0,
            made: vec![],
            actions: vec![],
        };
        world.step(vec![Event::Job(job)]);
        world
    }

    /// Steps, and makes the Pods that are asked for.
    fn step(&mut self, events: Vec<Event>) {
        let mut out = Vec::new();
        self.controller.step(self.now, events, &mut out);
        let mut back = Vec::new();
        for action in &out {
            if let Action::Create { slot, adopt, .. } = action {
                self.next += 1;
                let name = format!("p{}", self.next);
                let known_as = adopt.as_ref().map_or(name.clone(), |a| a.name.clone());
                let phase = if adopt.is_some() {
                    PodPhase::Placed
                } else {
                    PodPhase::Waiting
                };
                let pod = PodView {
                    uid: name.clone(),
                    namespace: "default".into(),
                    name,
                    known_as,
                    phase,
                };
                self.made.push(pod.clone());
                back.push(Event::Created {
                    slot: slot.clone(),
                    pod,
                });
            }
        }
        self.actions.extend(out);
        if !back.is_empty() {
            self.step(back);
        }
    }

    fn at(&mut self, now: f64) {
        self.now = now;
        self.step(vec![]);
    }

    fn ends(&mut self, pod: usize, end: PodEnd) {
        let view = PodView {
            phase: PodPhase::Ended(end),
            ..self.made[pod].clone()
        };
        self.step(vec![Event::Pod(view)]);
    }

    fn found(&mut self, pod: usize, found: Location) {
        self.step(vec![Event::Located {
            uid: self.made[pod].uid.clone(),
            found,
        }]);
    }

    fn status(&self) -> JobStatus {
        let status = |a: &Action| {
            if let Action::Status { status, .. } = a {
                Some(status.clone())
            } else {
                None
            }
        };
        self.actions.iter().rev().find_map(status).unwrap()
    }

    fn asked_where(&self) -> usize {
        self.actions
            .iter()
            .filter(|a| matches!(a, Action::Locate { .. }))
            .count()
    }
}

#[test]
fn a_refused_pod_is_asked_for_again_after_a_growing_pause() {
    let mut world = World::new(false, job(1));
    world.ends(0, PodEnd::Refused);
    assert_eq!(world.made.len(), 1);
    world.at(0.45);
    assert_eq!(world.made.len(), 1, "at least half the pause");
    world.at(1.0);
    assert_eq!(world.made.len(), 2);
    world.ends(1, PodEnd::Refused);
    world.at(1.9);
    assert_eq!(world.made.len(), 2, "the second pause is twice as long");
    world.at(3.0);
    assert_eq!(world.made.len(), 3);
    assert_eq!(world.status().failed, 0, "a refusal is no failed run");
}

#[test]
fn a_guarded_pod_that_may_run_is_settled_before_another_is_made() {
    for lost in [PodEnd::Unknown, PodEnd::Lost] {
        let mut world = World::new(true, job(1));
        world.ends(0, lost);
        world.at(2.9);
        assert_eq!(world.asked_where(), 0);
        world.at(3.0);
        assert_eq!((world.asked_where(), world.made.len()), (1, 1));
        world.found(0, Location::Unknown);
        world.at(60.0);
        assert_eq!(
            (world.asked_where(), world.made.len()),
            (2, 1),
            "doubt never makes a second one"
        );
        world.found(0, Location::NotFound);
        world.at(61.0);
        assert_eq!(world.made.len(), 2);
    }
}

#[test]
fn a_guarded_pod_that_runs_is_taken_over() {
    let mut world = World::new(true, job(1));
    world.ends(0, PodEnd::Unknown);
    world.at(3.0);
    world.found(0, Location::At("n7".into()));
    let adopt = world.actions.iter().find_map(|a| {
        if let Action::Create {
            adopt: Some(adopt), ..
        } = a
        {
            Some(adopt.clone())
        } else {
            None
        }
    });
    assert_eq!(
        adopt,
        Some(Adopt {
            node: "n7".into(),
            name: "p1".into()
        })
    );
    world.ends(1, PodEnd::Succeeded);
    assert_eq!(world.status().phase, Phase::Complete);
    assert_eq!(world.made.len(), 2);
}

#[test]
fn a_guarded_pod_that_was_deleted_is_stopped_before_another_is_made() {
    let mut world = World::new(true, job(1));
    let running = PodView {
        phase: PodPhase::Running,
        ..world.made[0].clone()
    };
    world.step(vec![Event::Pod(running.clone()), Event::PodGone(running)]);
    world.at(3.0);
    world.found(0, Location::At("n1".into()));
    assert!(world.actions.contains(&Action::Reap { uid: "p1".into() }));
    assert_eq!(world.made.len(), 1);
    world.at(10.0);
    world.found(0, Location::NotFound);
    world.at(11.0);
    assert_eq!(world.made.len(), 2);
}

#[test]
fn a_safe_pod_that_may_run_is_replaced_and_what_runs_of_it_is_stopped() {
    let mut world = World::new(false, job(1));
    world.ends(0, PodEnd::Unknown);
    assert!(world.actions.contains(&Action::Reap { uid: "p1".into() }));
    world.at(1.0);
    assert_eq!(world.made.len(), 2);
}

#[test]
fn failed_runs_count_against_the_limit_and_nothing_else_does() {
    let mut world = World::new(false, job(1));
    for (i, end) in [
        PodEnd::Evicted,
        PodEnd::Lost,
        PodEnd::Failed,
        PodEnd::Failed,
    ]
    .into_iter()
    .enumerate()
    {
        assert_eq!(world.status().phase, Phase::Open);
        world.ends(i, end);
        world.at(world.now + 20.0);
    }
    assert_eq!(
        (world.status().phase, world.status().failed),
        (Phase::BackoffLimitExceeded, 2)
    );
    assert_eq!(world.made.len(), 4);
}

#[test]
fn a_job_shrinks_by_what_has_not_begun_and_suspends_wholly() {
    let mut world = World::new(false, job(4));
    let running = PodView {
        phase: PodPhase::Running,
        ..world.made[0].clone()
    };
    world.step(vec![Event::Pod(running)]);
    world.step(vec![Event::Job(JobView {
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
        "the one that runs is kept"
    );
    world.step(vec![Event::Job(JobView {
        suspend: true,
        ..job(4)
    })]);
    assert_eq!(deleted(&world).len(), 4);
    assert_eq!(world.status().phase, Phase::Suspended);
    world.step(vec![Event::Job(job(4))]);
    assert_eq!(world.made.len(), 8);
}

#[test]
fn a_job_ends_by_its_deadline_and_is_removed_after_its_time() {
    let mut world = World::new(
        false,
        JobView {
            active_deadline: Some(5.0),
            ttl: Some(2.0),
            ..job(1)
        },
    );
    assert_eq!(world.controller.next_wake(), Some(5.0));
    world.at(5.0);
    assert_eq!(world.status().phase, Phase::DeadlineExceeded);
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
