//! The owner's side of a task, without I/O: a Job wants so many Pods to come to a good end; a Pod that was refused,
//! failed, evicted or lost is asked for again, and where a second run could do harm it is first settled whether the
//! earlier one runs.
//!
//! A Job's work is cut into *slots*: one slot is one Pod's worth of work, and at most one Pod that may run stands
//! for it at any time. All rules about repeats are rules about one slot, in `slot.rs`.

mod job;
mod kept;
mod pause;
mod slot;
mod view;
mod words;

pub use job::{JobStatus, Phase};
pub use kept::{Kept, Past};
pub use pause::Pauses;
pub use slot::{Adopt, SlotId};
pub use view::{JobView, PodEnd, PodPhase, PodView};
pub use words::{Action, Event};

use job::Job;
use rand::SeedableRng;
use std::collections::{BTreeMap, BTreeSet};

/// What the controller goes by.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Pauses before asking again.
    pub pauses: Pauses,
    /// A task that may run is looked for after this long.
    pub settle: f64,
    /// Classes of which a second run does harm, or is dropped in one place only.
    pub guarded: BTreeSet<String>,
    /// The class of Pods that name none.
    pub default_class: String,
}

/// The controller of all Jobs of one edge.
#[derive(Debug)]
pub struct Controller {
    settings: Settings,
    rng: rand_pcg::Pcg32,
    jobs: BTreeMap<String, Job>,
    /// Job of each Pod whose slot is open.
    pods: BTreeMap<String, String>,
    /// Pods without a Job that may run though they were answered as failed, and when what runs of them is stopped.
    strays: BTreeMap<String, f64>,
}

impl Controller {
    /// A controller that knows no Job yet; `seed` is all the chance it has.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let rng = rand_pcg::Pcg32::seed_from_u64(seed);
        Self {
            settings,
            rng,
            jobs: BTreeMap::new(),
            pods: BTreeMap::new(),
            strays: BTreeMap::new(),
        }
    }

    /// Takes in `events`, all of time `now`, and appends what is to be done.
    pub fn step(&mut self, now: f64, events: Vec<Event>, out: &mut Vec<Action>) {
        self.observe_all(now, events, out);
        for job in self.jobs.values_mut() {
            job.act(now, &mut self.pods, out);
        }
        let due = self
            .strays
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(uid, _)| uid.clone());
        let due: Vec<String> = due.collect();
        for uid in due {
            self.strays.remove(&uid);
            out.push(Action::KeepStray {
                uid: uid.clone(),
                stands: false,
            });
            out.push(Action::Reap { uid });
        }
    }

    /// Takes in `events` and does nothing about them yet: for what an earlier process left, before the first step.
    pub fn observe_all(&mut self, now: f64, events: Vec<Event>, out: &mut Vec<Action>) {
        for event in events {
            self.observe(now, event, out);
        }
    }

    /// When to step next though nothing happens.
    pub fn next_wake(&self) -> Option<f64> {
        let jobs = self.jobs.values().filter_map(Job::next_wake);
        jobs.chain(self.strays.values().copied())
            .min_by(f64::total_cmp)
    }

    /// How many Jobs stand.
    pub fn jobs(&self) -> usize {
        self.jobs.len()
    }

    fn observe(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Job(view) => match self.jobs.get_mut(&view.uid) {
                Some(job) => job.changed(view),
                None => drop(self.jobs.insert(view.uid.clone(), Job::new(view, now))),
            },
            Event::Recall(past) => {
                let uid = past.view.uid.clone();
                let job = Job::recalled(*past, now, &self.settings, &mut self.rng);
                self.pods
                    .extend(job.known_pods().map(|pod| (pod.to_owned(), uid.clone())));
                self.jobs.insert(uid, job);
            }
            Event::RecallStray(uid) => drop(self.strays.insert(uid, now + self.settings.settle)),
            Event::JobGone(uid) => {
                if let Some(mut job) = self.jobs.remove(&uid) {
                    job.forget(out);
                    let mut strays = Vec::new();
                    job.gone(&mut self.pods, &mut |uid| strays.push(uid));
                    strays.into_iter().for_each(|uid| self.stray(now, uid, out));
                }
            }
            Event::Created { slot, pod } => match self.jobs.get_mut(&slot.job) {
                Some(job) => {
                    self.pods.insert(pod.uid.clone(), slot.job.clone());
                    job.created(slot.number, &pod);
                    job.pod(
                        now,
                        &pod,
                        &self.settings,
                        &mut self.rng,
                        &mut self.pods,
                        out,
                    );
                }
                None => out.push(Action::DeletePod {
                    namespace: pod.namespace,
                    name: pod.name,
                    uid: pod.uid,
                }),
            },
            Event::NotCreated(slot) => {
                if let Some(job) = self.jobs.get_mut(&slot.job) {
                    job.not_created(now, slot.number, &self.settings, &mut self.rng);
                }
            }
            Event::Pod(pod) => match self
                .pods
                .get(&pod.uid)
                .and_then(|job| self.jobs.get_mut(job))
            {
                Some(job) => job.pod(
                    now,
                    &pod,
                    &self.settings,
                    &mut self.rng,
                    &mut self.pods,
                    out,
                ),
                None => self.foreign(now, &pod, out),
            },
            Event::PodGone(pod) => {
                let job = self
                    .pods
                    .get(&pod.uid)
                    .and_then(|job| self.jobs.get_mut(job));
                if !job.is_some_and(|job| job.pod_gone(now, &pod, &self.settings)) {
                    self.pods.remove(&pod.uid);
                }
            }
            Event::Located { uid, found } => {
                if let Some(job) = self.pods.get(&uid).and_then(|job| self.jobs.get_mut(job)) {
                    job.located(
                        now,
                        &uid,
                        found,
                        &self.settings,
                        &mut self.rng,
                        &mut self.pods,
                        out,
                    );
                }
            }
        }
    }

    /// A Pod without a Job here, or whose slot is over: nobody will ask for it again, so what may run of it after
    /// an unclear answer has no owner and is stopped.
    fn foreign(&mut self, now: f64, pod: &PodView, out: &mut Vec<Action>) {
        if pod.phase == PodPhase::Ended(PodEnd::Unknown) && !self.strays.contains_key(&pod.uid) {
            self.stray(now, pod.uid.clone(), out);
        }
    }

    fn stray(&mut self, now: f64, uid: String, out: &mut Vec<Action>) {
        out.push(Action::KeepStray {
            uid: uid.clone(),
            stands: true,
        });
        self.strays.insert(uid, now + self.settings.settle);
    }
}
