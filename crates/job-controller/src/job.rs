//! State of one Job: slots, counters and phase. The controller calls it for each event of the Job or its Pods.

use crate::persistence::PersistedSlot;
use crate::slot::{Slot, SlotOutcome, SlotState};
use crate::{Action, JobView, PodOutcome, PodPhase, PodView, Settings};
use std::collections::{BTreeMap, VecDeque};
use tidespur_planner_protocol::Location;

mod reconcile;
mod status;

pub use status::{JobPhase, JobStatus};

/// Parts of the controller that event handlers of a Job use.
pub(crate) struct Context<'a> {
    pub(crate) now: f64,
    pub(crate) settings: &'a Settings,
    pub(crate) rng: &'a mut rand_pcg::Pcg32,
    /// Job uids by the uids of the Pods that occupy slots.
    pub(crate) job_of_pod: &'a mut BTreeMap<String, String>,
    pub(crate) actions: &'a mut Vec<Action>,
}

#[derive(Debug)]
pub(crate) struct Job {
    /// The specification when the Job was added or last updated.
    pub(crate) view: JobView,
    /// Open slots by number.
    pub(crate) slots: BTreeMap<u32, Slot>,
    pub(crate) next_slot: u32,
    pub(crate) succeeded: u32,
    pub(crate) failed: u32,
    pub(crate) phase: JobPhase,
    /// When the Job began or was last resumed, in seconds since 1970.
    started: f64,
    /// When the Job reached a final phase, in seconds since 1970.
    pub(crate) ended: Option<f64>,
    published_status: Option<JobStatus>,
    /// Pods that ended without success, oldest first. The objects of all but the last few are deleted.
    pub(crate) unsuccessful_pods: VecDeque<PodView>,
    is_deletion_requested: bool,
    /// Persisted state of the slots, by number.
    pub(crate) persisted_slots: BTreeMap<u32, PersistedSlot>,
    /// Persisted value of `next_slot`.
    pub(crate) persisted_next_slot: u32,
}

impl Job {
    pub(crate) fn new(view: JobView, now: f64) -> Self {
        Self {
            view,
            slots: BTreeMap::new(),
            next_slot: 0,
            succeeded: 0,
            failed: 0,
            phase: JobPhase::Active,
            started: now,
            ended: None,
            published_status: None,
            unsuccessful_pods: VecDeque::new(),
            is_deletion_requested: false,
            persisted_slots: BTreeMap::new(),
            persisted_next_slot: 0,
        }
    }

    pub(crate) fn on_updated(&mut self, view: JobView) {
        self.view = view;
    }

    fn is_idempotent(&self, settings: &Settings) -> bool {
        let class = if self.view.class.is_empty() {
            &settings.default_class
        } else {
            &self.view.class
        };
        !settings.non_idempotent_classes.contains(class)
    }

    fn slot_of_pod(&self, uid: &str) -> Option<u32> {
        self.slots
            .iter()
            .find(|(_, slot)| slot.pod().is_some_and(|pod| pod.uid == uid))
            .map(|(number, _)| *number)
    }

    pub(crate) fn on_pod_created(&mut self, number: u32, pod: &PodView) {
        if let Some(slot) = self.slots.get_mut(&number) {
            slot.state = SlotState::Active { pod: pod.clone() };
        }
    }

    pub(crate) fn on_pod_creation_failed(&mut self, number: u32, context: &mut Context<'_>) {
        let Some(slot) = self.slots.get_mut(&number) else {
            return;
        };
        let backoff = &context.settings.backoff;
        let at = context.now + backoff.after_failures(slot.failures, context.rng);
        slot.failures += 1;
        slot.state = SlotState::Idle {
            at,
            is_retry: slot.failures > 1,
            adoption: None,
        };
    }

    pub(crate) fn on_pod_updated(&mut self, pod: &PodView, context: &mut Context<'_>) {
        let is_idempotent = self.is_idempotent(context.settings);
        let Some(number) = self.slot_of_pod(&pod.uid) else {
            return;
        };
        let Some(slot) = self.slots.get_mut(&number) else {
            return;
        };
        if !matches!(slot.state, SlotState::Active { .. }) {
            return;
        }
        match pod.phase {
            PodPhase::Ended(end) => {
                let outcome = slot.on_pod_ended(
                    context.now,
                    pod,
                    end,
                    is_idempotent,
                    context.settings,
                    context.rng,
                );
                if end == PodOutcome::Unknown && is_idempotent {
                    // A second run is harmless, but the earlier one would occupy capacity for nothing.
                    let uid = pod.uid.clone();
                    context.actions.push(Action::StopPod { uid });
                }
                if end != PodOutcome::Succeeded {
                    self.unsuccessful_pods.push_back(pod.clone());
                }
                self.apply_outcome(number, outcome, &pod.uid, context);
            }
            PodPhase::Running => {
                slot.failures = 0;
                slot.state = SlotState::Active { pod: pod.clone() };
            }
            PodPhase::Pending | PodPhase::Placed => {
                slot.state = SlotState::Active { pod: pod.clone() };
            }
        }
    }

    pub(crate) fn on_pod_located(
        &mut self,
        uid: &str,
        location: Location,
        context: &mut Context<'_>,
    ) {
        let Some(number) = self.slot_of_pod(uid) else {
            return;
        };
        let Some(slot) = self.slots.get_mut(&number) else {
            return;
        };
        let is_unwanted = matches!(
            slot.state,
            SlotState::OutcomeUnknown {
                is_unwanted: true,
                ..
            }
        );
        let has_ended = self.ended.is_some();
        let (now, settings) = (context.now, context.settings);
        if (has_ended || is_unwanted) && matches!(location, Location::At(_)) {
            let uid_to_stop = uid.to_owned();
            context.actions.push(Action::StopPod { uid: uid_to_stop });
            if has_ended {
                self.apply_outcome(number, SlotOutcome::Done, uid, context);
            } else {
                // The slot stays unresolved, and the Pod is queried again, until no node runs it any more.
                slot.on_located(now, Location::Unknown, settings, context.rng);
            }
            return;
        }
        let outcome = slot.on_located(now, location, settings, context.rng);
        self.apply_outcome(number, outcome, uid, context);
    }

    fn apply_outcome(
        &mut self,
        number: u32,
        outcome: SlotOutcome,
        pod_uid: &str,
        context: &mut Context<'_>,
    ) {
        match outcome {
            SlotOutcome::Unresolved => return,
            SlotOutcome::Done => {
                self.slots.remove(&number);
                if self.ended.is_none() {
                    self.succeeded += 1;
                }
            }
            SlotOutcome::RunFailed => self.failed += 1,
            SlotOutcome::Retry => {}
        }
        context.job_of_pod.remove(pod_uid);
    }

    /// Handles the deletion of a Pod by a client, which stops it at its node. If the class is not idempotent, the slot
    /// gets a new Pod only once no node runs the old one any more. Returns whether the Pod still occupies its slot.
    pub(crate) fn on_pod_deleted(&mut self, now: f64, pod: &PodView, settings: &Settings) -> bool {
        let is_idempotent = self.is_idempotent(settings);
        let Some(number) = self.slot_of_pod(&pod.uid) else {
            return false;
        };
        let Some(slot) = self.slots.get_mut(&number) else {
            return false;
        };
        match &slot.state {
            SlotState::OutcomeUnknown { .. } => true,
            SlotState::Active { pod }
                if !is_idempotent && !matches!(pod.phase, PodPhase::Ended(_)) =>
            {
                let query_at = now + settings.outcome_query_delay;
                slot.state = SlotState::outcome_unknown(pod.clone(), query_at, true);
                true
            }
            _ => {
                slot.state = SlotState::retry_at(now);
                false
            }
        }
    }

    /// Handles the deletion of the Job and its Pods. Returns the uids of Pods that may still run although their objects
    /// are deleted.
    pub(crate) fn on_deleted(self, job_of_pod: &mut BTreeMap<String, String>) -> Vec<String> {
        let mut strays = Vec::new();
        for slot in self.slots.into_values() {
            if let Some(pod) = slot.pod() {
                job_of_pod.remove(&pod.uid);
            }
            if let SlotState::OutcomeUnknown { pod, .. } = slot.state {
                strays.push(pod.uid);
            }
        }
        strays
    }
}
