//! What of a Job must outlive the process that leads it, beside the objects themselves, and the way back.
//!
//! Counts, start and end stand in the Job's status; a slot whose Pod stands is read from that Pod. Kept apart is only
//! what no object tells: which numbers were given out, what is asked for again, and what may run and is being settled.

use crate::job::Job;
use crate::slot::{Slot, State};
use crate::{Action, Adopt, JobView, Phase, PodView, Settings};
use rand::Rng;
use serde::{Deserialize, Serialize};

/// A slot without a Pod that tells of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Kept {
    /// It is asked for again.
    Again {
        /// When.
        at: f64,
        /// What runs already and is to be taken over.
        adopt: Option<Adopt>,
        /// Troubles in a row.
        troubles: u32,
    },
    /// This Pod may run; nothing may be sent before that is settled.
    Settling {
        /// The Pod, which may be gone as an object.
        pod: PodView,
        /// Its owner deleted it: what is found is stopped.
        unwanted: bool,
        /// Troubles in a row.
        troubles: u32,
    },
}

/// A Job as an earlier process left it.
#[derive(Clone, Debug, PartialEq)]
pub struct Past {
    /// What its owner wants.
    pub view: JobView,
    /// Good ends.
    pub succeeded: u32,
    /// Failed runs.
    pub failed: u32,
    /// As a whole.
    pub phase: Phase,
    /// When it began.
    pub started: f64,
    /// When it ended.
    pub ended: Option<f64>,
    /// Slot numbers below this were given out.
    pub next_slot: u32,
    /// Pods that stand for slots.
    pub pods: Vec<(u32, PodView)>,
    /// Slots without one.
    pub kept: Vec<(u32, Kept)>,
    /// Pods that ended without a good end, oldest first.
    pub leftovers: Vec<PodView>,
}

impl Slot {
    /// What is to be kept of it; `None` where its Pod, or the want of one, tells all.
    pub(crate) fn kept(&self) -> Option<Kept> {
        let troubles = self.troubles;
        match &self.state {
            State::Idle {
                at,
                returned,
                adopt,
            } if *returned || adopt.is_some() => Some(Kept::Again {
                at: *at,
                adopt: adopt.clone(),
                troubles,
            }),
            State::Settling { pod, unwanted, .. } => Some(Kept::Settling {
                pod: pod.clone(),
                unwanted: *unwanted,
                troubles,
            }),
            State::Idle { .. } | State::Making | State::Active { .. } => None,
        }
    }

    /// Back from what was kept. What was due while nobody led the Job is spread, so that not all ask at once; a time
    /// that lies too far ahead comes of a clock that was wrong. What may run is asked for soon, whatever the clock.
    fn recalled(kept: Kept, now: f64, set: &Settings, rng: &mut impl Rng) -> Self {
        match kept {
            Kept::Again {
                at,
                adopt,
                troubles,
            } => {
                let latest = now + set.pauses.most;
                let at = if at > now && at <= latest {
                    at
                } else {
                    now + set.pauses.draw_lost(rng)
                };
                Self {
                    state: State::Idle {
                        at,
                        returned: true,
                        adopt,
                    },
                    troubles,
                }
            }
            Kept::Settling {
                pod,
                unwanted,
                troubles,
            } => {
                let ask_at = now + set.settle * rng.random_range(0.5..=1.0);
                let state = State::Settling {
                    pod,
                    ask_at,
                    asked: false,
                    unclear: 0,
                    unwanted,
                };
                Self { state, troubles }
            }
        }
    }
}

impl Job {
    pub(crate) fn recalled(past: Past, now: f64, set: &Settings, rng: &mut impl Rng) -> Self {
        let mut job = Self::new(past.view, past.started.min(now));
        (job.succeeded, job.failed) = (past.succeeded, past.failed);
        (job.phase, job.ended) = (past.phase, past.ended.map(|ended| ended.min(now)));
        job.next_slot = past.next_slot;
        let active = |pod| Slot {
            state: State::Active { pod },
            troubles: 0,
        };
        job.slots.extend(
            past.pods
                .into_iter()
                .map(|(number, pod)| (number, active(pod))),
        );
        for (number, kept) in past.kept {
            job.kept.insert(number, kept.clone());
            job.slots
                .entry(number)
                .or_insert_with(|| Slot::recalled(kept, now, set, rng));
        }
        let above = job.slots.keys().next_back().map_or(0, |last| last + 1);
        job.next_slot = job.next_slot.max(above);
        job.kept_next = past.next_slot;
        job.leftovers = past.leftovers.into();
        job
    }

    /// Pods that slots of it know, for those who look them up by uid.
    pub(crate) fn known_pods(&self) -> impl Iterator<Item = &str> {
        self.slots
            .values()
            .filter_map(Slot::pod)
            .map(|pod| pod.uid.as_str())
    }

    /// Tells what has come to differ from what is kept of it.
    pub(crate) fn keep(&mut self, out: &mut Vec<Action>) {
        let job = || self.view.uid.clone();
        if self.kept_next != self.next_slot {
            self.kept_next = self.next_slot;
            out.push(Action::KeepJob {
                job: job(),
                next_slot: Some(self.next_slot),
            });
        }
        let gone: Vec<u32> = self
            .kept
            .keys()
            .filter(|n| !self.slots.contains_key(n))
            .copied()
            .collect();
        for number in gone {
            self.kept.remove(&number);
            out.push(Action::KeepSlot {
                job: job(),
                number,
                kept: None,
            });
        }
        for (&number, slot) in &self.slots {
            // One that is being made is something else before the step is over.
            if slot.state == State::Making {
                continue;
            }
            let kept = slot.kept();
            if self.kept.get(&number) == kept.as_ref() {
                continue;
            }
            match &kept {
                Some(kept) => drop(self.kept.insert(number, kept.clone())),
                None => drop(self.kept.remove(&number)),
            }
            out.push(Action::KeepSlot {
                job: job(),
                number,
                kept,
            });
        }
    }

    /// The Job is gone: nothing is kept of it any more.
    pub(crate) fn forget(&mut self, out: &mut Vec<Action>) {
        for number in std::mem::take(&mut self.kept).into_keys() {
            out.push(Action::KeepSlot {
                job: self.view.uid.clone(),
                number,
                kept: None,
            });
        }
        out.push(Action::KeepJob {
            job: self.view.uid.clone(),
            next_slot: None,
        });
    }
}
