//! One Job: its slots, its counts, its end.

use crate::slot::{Slot, State, Verdict};
use crate::{Action, JobView, PodEnd, PodPhase, PodView, Settings, SlotId};
use rand::Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use tidespur_link::Found;

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
    view: JobView,
    slots: BTreeMap<u32, Slot>,
    next_slot: u32,
    succeeded: u32,
    failed: u32,
    phase: Phase,
    started: f64,
    ended: Option<f64>,
    told: Option<JobStatus>,
    /// Pods that ended without a run, oldest first; only the last few are kept as objects.
    leftovers: VecDeque<PodView>,
    deleted: bool,
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
        }
    }

    pub(crate) fn changed(&mut self, view: JobView) {
        self.view = view;
    }

    fn guarded(&self, set: &Settings) -> bool {
        let class = if self.view.class.is_empty() { &set.default_class } else { &self.view.class };
        set.guarded.contains(class)
    }

    fn slot_of(&self, uid: &str) -> Option<u32> {
        let of = |slot: &Slot| slot.pod().is_some_and(|pod| pod.uid == uid);
        self.slots.iter().find(|(_, slot)| of(slot)).map(|(number, _)| *number)
    }

    pub(crate) fn created(&mut self, number: u32, pod: &PodView) {
        if let Some(slot) = self.slots.get_mut(&number) {
            slot.state = State::Active { pod: pod.clone() };
        }
    }

    pub(crate) fn not_created(&mut self, now: f64, number: u32, set: &Settings, rng: &mut impl Rng) {
        if let Some(slot) = self.slots.get_mut(&number) {
            let at = now + set.pauses.draw(slot.troubles, rng);
            slot.troubles += 1;
            slot.state = State::Idle { at, returned: slot.troubles > 1, adopt: None };
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
        let Some(number) = self.slot_of(&pod.uid) else { return };
        let Some(slot) = self.slots.get_mut(&number) else { return };
        if !matches!(slot.state, State::Active { .. }) {
            return;
        }
        match pod.phase {
            PodPhase::Ended(end) => {
                let verdict = slot.ended(now, pod, end, guarded, set, rng);
                if end == PodEnd::Unknown && !guarded {
                    // A second run does no harm, but what nobody waits for must not hold room.
                    out.push(Action::Reap { uid: pod.uid.clone() });
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

    #[allow(clippy::too_many_arguments, reason = "one call site; the pieces are borrowed from one owner")]
    pub(crate) fn located(
        &mut self,
        now: f64,
        uid: &str,
        found: Found,
        set: &Settings,
        rng: &mut impl Rng,
        pods: &mut BTreeMap<String, String>,
        out: &mut Vec<Action>,
    ) {
        let Some(number) = self.slot_of(uid) else { return };
        let Some(slot) = self.slots.get_mut(&number) else { return };
        let unwanted = matches!(slot.state, State::Settling { unwanted: true, .. });
        let over = self.ended.is_some();
        if (over || unwanted) && matches!(found, Found::At(_)) {
            // The Job is over or the Pod was deleted: what still runs is not wanted.
            out.push(Action::Reap { uid: uid.to_owned() });
            if over {
                self.settle(number, Verdict::Done, uid, pods);
            } else {
                slot.found(now, Found::Unclear, set, rng);
            }
            return;
        }
        let verdict = slot.found(now, found, set, rng);
        self.settle(number, verdict, uid, pods);
    }

    fn settle(&mut self, number: u32, verdict: Verdict, uid: &str, pods: &mut BTreeMap<String, String>) {
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
        let Some(number) = self.slot_of(&pod.uid) else { return false };
        let Some(slot) = self.slots.get_mut(&number) else { return false };
        match &slot.state {
            State::Settling { .. } => return true,
            State::Active { pod } if guarded && !matches!(pod.phase, PodPhase::Ended(_)) => {
                let (pod, ask_at) = (pod.clone(), now + set.settle);
                slot.state = State::Settling { pod, ask_at, asked: false, unclear: 0, unwanted: true };
                return true;
            }
            _ => slot.state = State::Idle { at: now, returned: true, adopt: None },
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

    /// How many slots may be open.
    fn wanted(&self) -> usize {
        if self.ended.is_some() || self.view.suspend || self.view.deleting {
            return 0;
        }
        let left = match self.view.completions {
            Some(completions) => completions.saturating_sub(self.succeeded),
            None if self.succeeded > 0 => self.slots.len() as u32,
            None => u32::MAX,
        };
        self.view.parallelism.min(left) as usize
    }

    fn decide_end(&mut self, now: f64) {
        if self.ended.is_some() {
            return;
        }
        let all = match self.view.completions {
            Some(completions) => self.succeeded >= completions,
            None => self.succeeded > 0 && self.slots.is_empty(),
        };
        let late = self.view.active_deadline.is_some_and(|most| now >= self.started + most);
        self.phase = match () {
            () if all => Phase::Complete,
            () if self.failed > self.view.backoff_limit => Phase::BackoffLimitExceeded,
            () if late && !self.view.suspend => Phase::DeadlineExceeded,
            () if self.view.suspend => Phase::Suspended,
            () => Phase::Open,
        };
        if !matches!(self.phase, Phase::Open | Phase::Suspended) {
            self.ended = Some(now);
        }
    }

    pub(crate) fn act(&mut self, now: f64, pods: &mut BTreeMap<String, String>, out: &mut Vec<Action>) {
        if self.phase == Phase::Suspended && !self.view.suspend {
            self.started = now;
        }
        self.decide_end(now);
        self.shrink(pods, out);
        self.grow(now, out);
        self.ask(now, out);
        while self.leftovers.len() > LEFTOVERS_MOST {
            if let Some(pod) = self.leftovers.pop_front()
                && self.slot_of(&pod.uid).is_none()
            {
                out.push(Action::DeletePod { namespace: pod.namespace, name: pod.name, uid: pod.uid });
            }
        }
        let status = self.status();
        let whose = |view: &JobView| (view.uid.clone(), view.namespace.clone(), view.name.clone());
        if self.told.as_ref() != Some(&status) {
            self.told = Some(status.clone());
            let (uid, namespace, name) = whose(&self.view);
            out.push(Action::Status { uid, namespace, name, status });
        }
        let over = self.ended.zip(self.view.ttl).is_some_and(|(ended, ttl)| now >= ended + ttl);
        if over && !self.deleted {
            self.deleted = true;
            let (uid, namespace, name) = whose(&self.view);
            out.push(Action::DeleteJob { namespace, name, uid });
        }
    }

    fn shrink(&mut self, pods: &mut BTreeMap<String, String>, out: &mut Vec<Action>) {
        let beyond = self.slots.len().saturating_sub(self.wanted());
        let rank = |(&number, slot): (&u32, &Slot)| slot.keep_rank().map(|rank| (rank, Reverse(number)));
        let mut order: Vec<(u32, Reverse<u32>)> = self.slots.iter().filter_map(rank).collect();
        order.sort_unstable();
        for (_, Reverse(number)) in order.into_iter().take(beyond) {
            let Some(slot) = self.slots.remove(&number) else { continue };
            if let State::Active { pod } = slot.state {
                pods.remove(&pod.uid);
                out.push(Action::DeletePod { namespace: pod.namespace, name: pod.name, uid: pod.uid });
            }
        }
    }

    fn grow(&mut self, now: f64, out: &mut Vec<Action>) {
        let wanted = self.wanted();
        while self.slots.len() < wanted {
            self.slots.insert(self.next_slot, Slot::new(now));
            self.next_slot += 1;
        }
        for (&number, slot) in &mut self.slots {
            let State::Idle { at, returned, adopt } = &slot.state else { continue };
            // What runs already is taken over even where nothing new may start.
            if *at > now || (wanted == 0 && adopt.is_none()) {
                continue;
            }
            out.push(Action::Create {
                slot: SlotId { job: self.view.uid.clone(), number },
                namespace: self.view.namespace.clone(),
                job: self.view.name.clone(),
                returned: *returned,
                adopt: adopt.clone(),
            });
            slot.state = State::Making;
        }
    }

    fn ask(&mut self, now: f64, out: &mut Vec<Action>) {
        for slot in self.slots.values_mut() {
            let State::Settling { pod, ask_at, asked, .. } = &mut slot.state else { continue };
            if *asked || *ask_at > now {
                continue;
            }
            *asked = true;
            out.push(Action::Locate {
                uid: pod.uid.clone(),
                namespace: pod.namespace.clone(),
                name: pod.known_as.clone(),
            });
        }
    }

    fn status(&self) -> JobStatus {
        let (mut active, mut ready, mut backing_off, mut settling) = (0, 0, 0, 0);
        for slot in self.slots.values() {
            match &slot.state {
                State::Active { pod } => {
                    active += 1;
                    ready += u32::from(pod.phase == PodPhase::Running);
                }
                State::Idle { returned, adopt: None, .. } => backing_off += u32::from(*returned),
                State::Settling { .. } => settling += 1,
                State::Idle { .. } | State::Making => {}
            }
        }
        let (succeeded, failed, phase) = (self.succeeded, self.failed, self.phase);
        let (started, ended) = (self.started, self.ended);
        JobStatus { active, ready, succeeded, failed, backing_off, settling, phase, started, ended }
    }

    pub(crate) fn next_wake(&self) -> Option<f64> {
        let slots = self.slots.values().filter_map(|slot| match &slot.state {
            State::Idle { at, .. } if self.ended.is_none() && !self.view.suspend => Some(*at),
            State::Settling { ask_at, asked: false, .. } => Some(*ask_at),
            _ => None,
        });
        let deadline = self.view.active_deadline.filter(|_| self.ended.is_none() && !self.view.suspend);
        let ttl = self.ended.zip(self.view.ttl).filter(|_| !self.deleted).map(|(ended, ttl)| ended + ttl);
        slots.chain(deadline.map(|most| self.started + most)).chain(ttl).min_by(f64::total_cmp)
    }
}
