//! The controller of all Jobs and stray Pods of one edge.

use crate::job::{Context, Job};
use crate::{Action, Backoff, Event, PodOutcome, PodPhase, PodView, SlotId};
use rand::SeedableRng;
use std::collections::{BTreeMap, BTreeSet};
use tidespur_planner_protocol::Location;

/// Settings of the controller.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Backoff between attempts.
    pub backoff: Backoff,
    /// Delay before planners are queried for the location of a Pod that may still run, and before a stray Pod is
    /// stopped, in seconds.
    pub outcome_query_delay: f64,
    /// Classes of tasks for which a second run does harm, or is deduplicated in one failure domain only.
    pub non_idempotent_classes: BTreeSet<String>,
    /// Class of Pods that specify none.
    pub default_class: String,
}

/// The controller of all Jobs of one edge.
#[derive(Debug)]
pub struct Controller {
    settings: Settings,
    rng: rand_pcg::Pcg32,
    jobs: BTreeMap<String, Job>,
    /// Job uids by the uids of the Pods that occupy slots.
    job_of_pod: BTreeMap<String, String>,
    /// Uids of stray Pods, which may still run although they were reported as failed or their objects were deleted,
    /// with the times at which they are stopped.
    stray_pods: BTreeMap<String, f64>,
}

impl Controller {
    /// A controller without Jobs. `seed` initializes the generator of its jitter.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let rng = rand_pcg::Pcg32::seed_from_u64(seed);
        Self {
            settings,
            rng,
            jobs: BTreeMap::new(),
            job_of_pod: BTreeMap::new(),
            stray_pods: BTreeMap::new(),
        }
    }

    /// Processes `events`, reconciles all Jobs at time `now` (seconds since 1970) and appends the resulting actions.
    pub fn step(&mut self, now: f64, events: Vec<Event>, actions: &mut Vec<Action>) {
        self.observe_all(now, events, actions);
        for job in self.jobs.values_mut() {
            job.reconcile(now, &mut self.job_of_pod, actions);
        }
        self.stop_due_stray_pods(now, actions);
    }

    /// Processes `events` without reconciling. Used before the first step, to restore the state of an earlier process.
    pub fn observe_all(&mut self, now: f64, events: Vec<Event>, actions: &mut Vec<Action>) {
        for event in events {
            self.observe(now, event, actions);
        }
    }

    /// When the next step is due even without events, in seconds since 1970; `None` if no timer is set.
    pub fn next_wake(&self) -> Option<f64> {
        let jobs = self.jobs.values().filter_map(Job::next_wake);
        jobs.chain(self.stray_pods.values().copied())
            .min_by(f64::total_cmp)
    }

    /// Number of Jobs.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    fn observe(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::JobUpdated(view) => match self.jobs.get_mut(&view.uid) {
                Some(job) => job.on_updated(view),
                None => drop(self.jobs.insert(view.uid.clone(), Job::new(view, now))),
            },
            Event::JobRestored(restored) => {
                let uid = restored.view.uid.clone();
                let job = Job::restore(*restored, now, &self.settings, &mut self.rng);
                for pod in job.pod_uids() {
                    self.job_of_pod.insert(pod.to_owned(), uid.clone());
                }
                self.jobs.insert(uid, job);
            }
            Event::StrayPodRestored { uid } => {
                let stop_at = now + self.settings.outcome_query_delay;
                self.stray_pods.insert(uid, stop_at);
            }
            Event::JobDeleted { uid } => self.on_job_deleted(now, &uid, actions),
            Event::PodCreated { slot, pod } => self.on_pod_created(now, &slot, pod, actions),
            Event::PodCreationFailed(slot) => {
                if let Some((job, mut context)) = self.job(now, &slot.job, actions) {
                    job.on_pod_creation_failed(slot.number, &mut context);
                }
            }
            Event::PodUpdated(pod) => self.on_pod_updated(now, &pod, actions),
            Event::PodDeleted(pod) => self.on_pod_deleted(now, &pod),
            Event::PodLocated { uid, location } => {
                self.on_pod_located(now, &uid, location, actions);
            }
        }
    }

    /// The Job with this uid, and the context for its event handlers.
    fn job<'a>(
        &'a mut self,
        now: f64,
        uid: &str,
        actions: &'a mut Vec<Action>,
    ) -> Option<(&'a mut Job, Context<'a>)> {
        let job = self.jobs.get_mut(uid)?;
        let context = Context {
            now,
            settings: &self.settings,
            rng: &mut self.rng,
            job_of_pod: &mut self.job_of_pod,
            actions,
        };
        Some((job, context))
    }

    fn on_job_deleted(&mut self, now: f64, uid: &str, actions: &mut Vec<Action>) {
        let Some(mut job) = self.jobs.remove(uid) else {
            return;
        };
        job.remove_persisted(actions);
        for pod in job.on_deleted(&mut self.job_of_pod) {
            self.add_stray_pod(now, pod, actions);
        }
    }

    fn on_pod_created(&mut self, now: f64, slot: &SlotId, pod: PodView, actions: &mut Vec<Action>) {
        let Some((job, mut context)) = self.job(now, &slot.job, actions) else {
            actions.push(Action::DeletePod {
                namespace: pod.namespace,
                name: pod.name,
                uid: pod.uid,
            });
            return;
        };
        let (pod_uid, job_uid) = (pod.uid.clone(), slot.job.clone());
        context.job_of_pod.insert(pod_uid, job_uid);
        job.on_pod_created(slot.number, &pod);
        job.on_pod_updated(&pod, &mut context);
    }

    fn on_pod_updated(&mut self, now: f64, pod: &PodView, actions: &mut Vec<Action>) {
        let job_uid = self.job_of_pod.get(&pod.uid).cloned().unwrap_or_default();
        match self.job(now, &job_uid, actions) {
            Some((job, mut context)) => job.on_pod_updated(pod, &mut context),
            None => self.on_unowned_pod_updated(now, pod, actions),
        }
    }

    fn on_pod_deleted(&mut self, now: f64, pod: &PodView) {
        let job_uid = self.job_of_pod.get(&pod.uid);
        let job = job_uid.and_then(|uid| self.jobs.get_mut(uid));
        let occupies_slot = job.is_some_and(|job| job.on_pod_deleted(now, pod, &self.settings));
        if !occupies_slot {
            self.job_of_pod.remove(&pod.uid);
        }
    }

    fn on_pod_located(
        &mut self,
        now: f64,
        uid: &str,
        location: Location,
        actions: &mut Vec<Action>,
    ) {
        let Some(job_uid) = self.job_of_pod.get(uid).cloned() else {
            return;
        };
        if let Some((job, mut context)) = self.job(now, &job_uid, actions) {
            job.on_pod_located(uid, location, &mut context);
        }
    }

    /// Handles a change of a Pod that has no Job here or whose slot is done. If its outcome is unknown it may run, and
    /// since no Job will resolve that, it is stopped as a stray Pod.
    fn on_unowned_pod_updated(&mut self, now: f64, pod: &PodView, actions: &mut Vec<Action>) {
        let may_run = pod.phase == PodPhase::Ended(PodOutcome::Unknown);
        if may_run && !self.stray_pods.contains_key(&pod.uid) {
            self.add_stray_pod(now, pod.uid.clone(), actions);
        }
    }

    fn add_stray_pod(&mut self, now: f64, uid: String, actions: &mut Vec<Action>) {
        actions.push(Action::PersistStrayPod { uid: uid.clone() });
        let stop_at = now + self.settings.outcome_query_delay;
        self.stray_pods.insert(uid, stop_at);
    }

    fn stop_due_stray_pods(&mut self, now: f64, actions: &mut Vec<Action>) {
        let due: Vec<String> = self
            .stray_pods
            .iter()
            .filter(|(_, stop_at)| **stop_at <= now)
            .map(|(uid, _)| uid.clone())
            .collect();
        for uid in due {
            self.stray_pods.remove(&uid);
            actions.push(Action::RemoveStrayPod { uid: uid.clone() });
            actions.push(Action::StopPod { uid });
        }
    }
}
