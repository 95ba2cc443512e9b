//! One Job: its slots, its counts, its end.

use crate::Kept;
use crate::slot::{Slot, State, Verdict};
use crate::{Action, JobView, PodEnd, PodPhase, PodView, Settings};
use rand::Rng;
use std::collections::{BTreeMap, VecDeque};
use tidespur_planner_protocol::Location;

mod shape;

/// How a Job stands as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// At work, or waiting.
    Open,
    /// Suspended.
    Suspended,
    /// All is done.
    Complete,
    /// More runs failed than allowed.
    BackoffLimitExceeded,
    /// Its time is over.
    DeadlineExceeded,
}

/// A Job's status.
#[derive(Clone, Debug, PartialEq)]
pub struct JobStatus {
    /// Pods that wait or run.
    pub active: u32,
    /// Pods that run.
    pub ready: u32,
    /// Good ends.
    pub succeeded: u32,
    /// Failed runs.
    pub failed: u32,
    /// Pods that will be asked for again after a pause.
    pub backing_off: u32,
    /// Pods that may run though they were answered as unknown: it is being found out.
    pub settling: u32,
    /// As a whole.
    pub phase: Phase,
    /// When it began.
    pub started: f64,
    /// When it ended.
    pub ended: Option<f64>,
}

#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) view: JobView,
    pub(crate) slots: BTreeMap<u32, Slot>,
    pub(crate) next_slot: u32,
    pub(crate) succeeded: u32,
    pub(crate) failed: u32,
    pub(crate) phase: Phase,
    started: f64,
    pub(crate) ended: Option<f64>,
    told: Option<JobStatus>,
    /// Pods that ended without a run, oldest first; only the last few are kept as objects.
    pub(crate) leftovers: VecDeque<PodView>,
    deleted: bool,
    /// What is kept of slots, and the number below which slots were given out there.
    pub(crate) kept: BTreeMap<u32, Kept>,
    pub(crate) kept_next: u32,
}

/// Pods that ended without a good end are kept as objects, so many of a Job.
const LEFTOVERS_MOST: usize = 10;

impl Job {
    pub(crate) fn new(view: JobView, now: f64) -> Self {
        Self {
            view,
            slots: BTreeMap::new(),
            next_slot: 0,
            succeeded: 0,
            failed: 0,
            phase: Phase::Open,
            started: now,
            ended: None,
            told: None,
            leftovers: VecDeque::new(),
            deleted: false,
            kept: BTreeMap::new(),
            kept_next: 0,
        }
    }

    pub(crate) fn changed(&mut self, view: JobView) {
        self.view = view;
    }

    fn guarded(&self, set: &Settings) -> bool {
        let class = if self.view.class.is_empty() {
            &set.default_class
        } else {
            &self.view.class
        };
        set.guarded.contains(class)
    }

    fn slot_of(&self, uid: &str) -> Option<u32> {
        let of = |slot: &Slot| slot.pod().is_some_and(|pod| pod.uid == uid);
        self.slots
            .iter()
            .find(|(_, slot)| of(slot))
            .map(|(number, _)| *number)
    }

    pub(crate) fn created(&mut self, number: u32, pod: &PodView) {
        if let Some(slot) = self.slots.get_mut(&number) {
            slot.state = State::Active { pod: pod.clone() };
        }
    }

    pub(crate) fn not_created(
        &mut self,
        now: f64,
        number: u32,
        set: &Settings,
        rng: &mut impl Rng,
    ) {
        if let Some(slot) = self.slots.get_mut(&number) {
            let at = now + set.pauses.draw(slot.troubles, rng);
            slot.troubles += 1;
            slot.state = State::Idle {
                at,
                returned: slot.troubles > 1,
                adopt: None,
            };
        }
    }

    pub(crate) fn pod(
        &mut self,
        now: f64,
        pod: &PodView,
        set: &Settings,
        rng: &mut impl Rng,
        pods: &mut BTreeMap<String, String>,
        out: &mut Vec<Action>,
    ) {
        let guarded = self.guarded(set);
        let Some(number) = self.slot_of(&pod.uid) else {
            return;
        };
        let Some(slot) = self.slots.get_mut(&number) else {
            return;
        };
        if !matches!(slot.state, State::Active { .. }) {
            return;
        }
        match pod.phase {
            PodPhase::Ended(end) => {
                let verdict = slot.ended(now, pod, end, guarded, set, rng);
                if end == PodEnd::Unknown && !guarded {
                    // A second run does no harm, but what nobody waits for must not hold room.
                    out.push(Action::Reap {
                        uid: pod.uid.clone(),
                    });
                }
                if end != PodEnd::Succeeded {
                    self.leftovers.push_back(pod.clone());
                }
                self.settle(number, verdict, &pod.uid, pods);
            }
            PodPhase::Running => {
                slot.troubles = 0;
                slot.state = State::Active { pod: pod.clone() };
            }
            _ => slot.state = State::Active { pod: pod.clone() },
        }
    }

    #[allow(
        clippy::too_many_arguments,
        reason = "one call site; the pieces are borrowed from one owner"
    )]
    pub(crate) fn located(
        &mut self,
        now: f64,
        uid: &str,
        found: Location,
        set: &Settings,
        rng: &mut impl Rng,
        pods: &mut BTreeMap<String, String>,
        out: &mut Vec<Action>,
    ) {
        let Some(number) = self.slot_of(uid) else {
            return;
        };
        let Some(slot) = self.slots.get_mut(&number) else {
            return;
        };
        let unwanted = matches!(slot.state, State::Settling { unwanted: true, .. });
        let over = self.ended.is_some();
        if (over || unwanted) && matches!(found, Location::At(_)) {
            // The Job is over or the Pod was deleted: what still runs is not wanted.
            out.push(Action::Reap {
                uid: uid.to_owned(),
            });
            if over {
                self.settle(number, Verdict::Done, uid, pods);
            } else {
                slot.found(now, Location::Unknown, set, rng);
            }
            return;
        }
        let verdict = slot.found(now, found, set, rng);
        self.settle(number, verdict, uid, pods);
    }

    fn settle(
        &mut self,
        number: u32,
        verdict: Verdict,
        uid: &str,
        pods: &mut BTreeMap<String, String>,
    ) {
        match verdict {
            Verdict::Open => return,
            Verdict::Done => {
                self.slots.remove(&number);
                if self.ended.is_none() {
                    self.succeeded += 1;
                }
            }
            Verdict::RunFailed => self.failed += 1,
            Verdict::Again => {}
        }
        pods.remove(uid);
    }

    /// Somebody deleted the Pod. What runs of it is being stopped by that; of a guarded class a new one is made
    /// only once no node holds the old one any more. True where the Pod is still to be heard of.
    pub(crate) fn pod_gone(&mut self, now: f64, pod: &PodView, set: &Settings) -> bool {
        let guarded = self.guarded(set);
        let Some(number) = self.slot_of(&pod.uid) else {
            return false;
        };
        let Some(slot) = self.slots.get_mut(&number) else {
            return false;
        };
        match &slot.state {
            State::Settling { .. } => return true,
            State::Active { pod } if guarded && !matches!(pod.phase, PodPhase::Ended(_)) => {
                let (pod, ask_at) = (pod.clone(), now + set.settle);
                slot.state = State::Settling {
                    pod,
                    ask_at,
                    asked: false,
                    unclear: 0,
                    unwanted: true,
                };
                return true;
            }
            _ => {
                slot.state = State::Idle {
                    at: now,
                    returned: true,
                    adopt: None,
                }
            }
        }
        false
    }

    /// The Job was deleted, its Pods with it. What may run unknown to the store is handed to `stray`.
    pub(crate) fn gone(self, pods: &mut BTreeMap<String, String>, stray: &mut dyn FnMut(String)) {
        for slot in self.slots.into_values() {
            if let Some(pod) = slot.pod() {
                pods.remove(&pod.uid);
            }
            if let State::Settling { pod, .. } = slot.state {
                stray(pod.uid);
            }
        }
    }
}
