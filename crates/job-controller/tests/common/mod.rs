//! Test harness: a Job controller on a simulated clock whose Pods are created within the step that requests them.

use std::collections::BTreeSet;
use tidespur_job_controller::{
    Action, Backoff, Controller, Event, JobStatus, JobView, PodOutcome, PodPhase, PodView, Settings,
};
use tidespur_planner_protocol::Location;

/// Arguments of [`Harness::new`]: whether a second run of the Job's class is harmless.
pub const IDEMPOTENT: bool = true;
pub const NOT_IDEMPOTENT: bool = false;

pub struct Harness {
    pub controller: Controller,
    pub now: f64,
    pod_count: u32,
    /// All created Pods, in order of creation.
    pub created: Vec<PodView>,
    /// All actions so far.
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

impl Harness {
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
        let mut harness = Harness {
            controller: Controller::new(settings, 3),
            now: 0.0,
            pod_count: 0,
            created: vec![],
            actions: vec![],
        };
        harness.step(vec![Event::JobUpdated(job)]);
        harness
    }

    /// Steps the controller, and steps it again with the Pods that it requested until it requests none.
    pub fn step(&mut self, events: Vec<Event>) {
        let mut actions = Vec::new();
        self.controller.step(self.now, events, &mut actions);
        let mut responses = Vec::new();
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
                responses.push(Event::PodCreated {
                    slot: slot.clone(),
                    pod,
                });
            }
        }
        self.actions.extend(actions);
        if !responses.is_empty() {
            self.step(responses);
        }
    }

    /// Advances the clock and steps without events.
    pub fn step_at(&mut self, now: f64) {
        self.now = now;
        self.step(vec![]);
    }

    /// Reports the end of a Pod, given by its index in `created`.
    pub fn end_pod(&mut self, pod: usize, outcome: PodOutcome) {
        let view = PodView {
            phase: PodPhase::Ended(outcome),
            ..self.created[pod].clone()
        };
        self.step(vec![Event::PodUpdated(view)]);
    }

    /// Reports the location of a Pod, given by its index in `created`.
    pub fn report_location(&mut self, pod: usize, location: Location) {
        self.step(vec![Event::PodLocated {
            uid: self.created[pod].uid.clone(),
            location,
        }]);
    }

    /// The Job status that was last published.
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

    /// Number of location queries so far.
    pub fn location_query_count(&self) -> usize {
        self.actions
            .iter()
            .filter(|a| matches!(a, Action::LocatePod { .. }))
            .count()
    }
}
