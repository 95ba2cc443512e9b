//! A Job controller whose Pods are created at once.

use std::collections::BTreeSet;
use tidespur_job_controller::{
    Action, Backoff, Controller, Event, JobStatus, JobView, PodOutcome, PodPhase, PodView, Settings,
};
use tidespur_planner_protocol::Location;

/// Whether a second run of the Job's class is harmless.
pub const IDEMPOTENT: bool = true;
pub const NOT_IDEMPOTENT: bool = false;

pub struct World {
    pub controller: Controller,
    pub now: f64,
    pod_count: u32,
    /// Pods that were created.
    pub created: Vec<PodView>,
    pub actions: Vec<Action>,
}

pub fn job(pods: u32) -> JobView {
    JobView {
        uid: "j".into(),
        namespace: "default".into(),
        name: "job".into(),
        class: "run".into(),
        parallelism: pods,
        completions: Some(pods),
        backoff_limit: 1,
        active_deadline: None,
        time_to_live: None,
        is_suspended: false,
        is_being_deleted: false,
    }
}

impl World {
    pub fn new(is_idempotent: bool, job: JobView) -> Self {
        let non_idempotent_classes: BTreeSet<String> = (!is_idempotent)
            .then(|| "run".to_owned())
            .into_iter()
            .collect();
        let backoff = Backoff {
            initial: 1.0,
            max: 8.0,
            node_lost: 0.2,
        };
        let settings = Settings {
            backoff,
            outcome_query_delay: 3.0,
            non_idempotent_classes,
            default_class: "web".into(),
        };
        let mut world = World {
            controller: Controller::new(settings, 3),
            now: 0.0,
            pod_count: 0,
            created: vec![],
            actions: vec![],
        };
        world.step(vec![Event::JobUpdated(job)]);
        world
    }

    /// Steps, and creates the Pods that the controller asks for.
    pub fn step(&mut self, events: Vec<Event>) {
        let mut actions = Vec::new();
        self.controller.step(self.now, events, &mut actions);
        let mut answers = Vec::new();
        for action in &actions {
            if let Action::CreatePod { slot, adoption, .. } = action {
                self.pod_count += 1;
                let name = format!("p{}", self.pod_count);
                let name_at_node = adoption.as_ref().map_or(name.clone(), |a| a.name.clone());
                let phase = if adoption.is_some() {
                    PodPhase::Placed
                } else {
                    PodPhase::Pending
                };
                let pod = PodView {
                    uid: name.clone(),
                    namespace: "default".into(),
                    name,
                    name_at_node,
                    phase,
                };
                self.created.push(pod.clone());
                answers.push(Event::PodCreated {
                    slot: slot.clone(),
                    pod,
                });
            }
        }
        self.actions.extend(actions);
        if !answers.is_empty() {
            self.step(answers);
        }
    }

    pub fn at(&mut self, now: f64) {
        self.now = now;
        self.step(vec![]);
    }

    pub fn end(&mut self, pod: usize, end: PodOutcome) {
        let view = PodView {
            phase: PodPhase::Ended(end),
            ..self.created[pod].clone()
        };
        self.step(vec![Event::PodUpdated(view)]);
    }

    pub fn locate(&mut self, pod: usize, location: Location) {
        self.step(vec![Event::PodLocated {
            uid: self.created[pod].uid.clone(),
            location,
        }]);
    }

    pub fn status(&self) -> JobStatus {
        let status = |a: &Action| {
            if let Action::UpdateJobStatus { status, .. } = a {
                Some(status.clone())
            } else {
                None
            }
        };
        self.actions.iter().rev().find_map(status).unwrap()
    }

    pub fn locate_queries(&self) -> usize {
        self.actions
            .iter()
            .filter(|a| matches!(a, Action::LocatePod { .. }))
            .count()
    }
}
