//! What of a Job is persisted beside its objects, and how a Job is restored from it.
//!
//! Counters, start and end are part of the Job's status, and a slot with a Pod is restored from that Pod. Persisted apart
//! is only what no object holds: which slot numbers were allocated, which slots wait for a retry, and which Pods may run
//! though their outcome is unknown. The caller stores it, as [`Action`]s tell.

use crate::job::Job;
use crate::slot::{Slot, SlotState};
use crate::{Action, Adoption, JobPhase, JobView, PodView, Settings};
use rand::Rng;
use serde::{Deserialize, Serialize};

/// The persisted state of a slot without a Pod that tells it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PersistedSlot {
    /// The slot waits for its next attempt.
    #[serde(rename = "Again")]
    Retry {
        /// When, in seconds since 1970.
        at: f64,
        /// What runs already and is to be taken over.
        #[serde(rename = "adopt")]
        adoption: Option<Adoption>,
        /// Failures in a row.
        #[serde(rename = "troubles")]
        failures: u32,
    },
    /// This Pod may run; no other may be created until that is known.
    #[serde(rename = "Settling")]
    OutcomeUnknown {
        /// The Pod, whose object may have been deleted.
        pod: PodView,
        /// Its owner deleted it: what is found of it is stopped.
        #[serde(rename = "unwanted")]
        is_unwanted: bool,
        /// Failures in a row.
        #[serde(rename = "troubles")]
        failures: u32,
    },
}

/// A Job as an earlier process left it.
#[derive(Clone, Debug, PartialEq)]
pub struct RestoredJob {
    /// Its specification.
    pub view: JobView,
    /// Pods that succeeded.
    pub succeeded: u32,
    /// Runs that failed.
    pub failed: u32,
    /// Its phase.
    pub phase: JobPhase,
    /// When it began, in seconds since 1970.
    pub started: f64,
    /// When it ended, in seconds since 1970.
    pub ended: Option<f64>,
    /// Slot numbers below this were allocated.
    pub next_slot: u32,
    /// Pods that occupy slots, by the slot's number.
    pub pods: Vec<(u32, PodView)>,
    /// Slots without such a Pod, by their number.
    pub slots: Vec<(u32, PersistedSlot)>,
    /// Pods that ended without success, oldest first.
    pub unsuccessful_pods: Vec<PodView>,
}

impl Slot {
    /// What is to be persisted of the slot; `None` where its Pod, or the Job's wish for one, tells all.
    pub(crate) fn to_persisted(&self) -> Option<PersistedSlot> {
        let failures = self.failures;
        match &self.state {
            SlotState::Idle {
                at,
                is_retry,
                adoption,
            } if *is_retry || adoption.is_some() => Some(PersistedSlot::Retry {
                at: *at,
                adoption: adoption.clone(),
                failures,
            }),
            SlotState::OutcomeUnknown {
                pod, is_unwanted, ..
            } => Some(PersistedSlot::OutcomeUnknown {
                pod: pod.clone(),
                is_unwanted: *is_unwanted,
                failures,
            }),
            SlotState::Idle { .. } | SlotState::Creating | SlotState::Active { .. } => None,
        }
    }

    /// Restores a slot. Retries that fell due while no process was running are spread, so that not all begin at once. A
    /// retry that lies further ahead than the longest backoff stems from a clock that was wrong, and is treated as due.
    /// Unknown outcomes are queried soon, whatever the clock says.
    fn from_persisted(
        persisted: PersistedSlot,
        now: f64,
        settings: &Settings,
        rng: &mut impl Rng,
    ) -> Self {
        match persisted {
            PersistedSlot::Retry {
                at,
                adoption,
                failures,
            } => {
                let latest = now + settings.backoff.max;
                let at = if at > now && at <= latest {
                    at
                } else {
                    now + settings.backoff.after_node_loss(rng)
                };
                let state = SlotState::Idle {
                    at,
                    is_retry: true,
                    adoption,
                };
                Self { state, failures }
            }
            PersistedSlot::OutcomeUnknown {
                pod,
                is_unwanted,
                failures,
            } => {
                let query_at = now + settings.outcome_query_delay * rng.random_range(0.5..=1.0);
                let state = SlotState::outcome_unknown(pod, query_at, is_unwanted);
                Self { state, failures }
            }
        }
    }
}

impl Job {
    pub(crate) fn restore(
        restored: RestoredJob,
        now: f64,
        settings: &Settings,
        rng: &mut impl Rng,
    ) -> Self {
        let mut job = Self::new(restored.view, restored.started.min(now));
        job.succeeded = restored.succeeded;
        job.failed = restored.failed;
        job.phase = restored.phase;
        job.ended = restored.ended.map(|ended| ended.min(now));
        for (number, pod) in restored.pods {
            let state = SlotState::Active { pod };
            job.slots.insert(number, Slot { state, failures: 0 });
        }
        for (number, persisted) in restored.slots {
            job.persisted_slots.insert(number, persisted.clone());
            // A Pod that occupies the slot is newer than what was persisted without one.
            job.slots
                .entry(number)
                .or_insert_with(|| Slot::from_persisted(persisted, now, settings, rng));
        }
        let above_all = job.slots.keys().next_back().map_or(0, |last| last + 1);
        job.next_slot = restored.next_slot.max(above_all);
        job.persisted_next_slot = restored.next_slot;
        job.unsuccessful_pods = restored.unsuccessful_pods.into();
        job
    }

    /// Uids of the Pods that occupy its slots.
    pub(crate) fn pod_uids(&self) -> impl Iterator<Item = &str> {
        self.slots
            .values()
            .filter_map(Slot::pod)
            .map(|pod| pod.uid.as_str())
    }

    /// Asks to persist what differs from what is persisted.
    pub(crate) fn persist_changes(&mut self, actions: &mut Vec<Action>) {
        if self.persisted_next_slot != self.next_slot {
            self.persisted_next_slot = self.next_slot;
            actions.push(Action::PersistJob {
                job: self.view.uid.clone(),
                next_slot: Some(self.next_slot),
            });
        }
        self.remove_persisted_slots(actions);
        for (&number, slot) in &self.slots {
            // The creation of its Pod is answered before the step is over, which changes its state.
            if slot.state == SlotState::Creating {
                continue;
            }
            let persisted = slot.to_persisted();
            if self.persisted_slots.get(&number) == persisted.as_ref() {
                continue;
            }
            match &persisted {
                Some(slot) => drop(self.persisted_slots.insert(number, slot.clone())),
                None => drop(self.persisted_slots.remove(&number)),
            }
            actions.push(Action::PersistSlot {
                job: self.view.uid.clone(),
                number,
                slot: persisted,
            });
        }
    }

    /// Asks to remove what is persisted of slots that the Job does not have any more.
    fn remove_persisted_slots(&mut self, actions: &mut Vec<Action>) {
        let removed: Vec<u32> = self
            .persisted_slots
            .keys()
            .filter(|number| !self.slots.contains_key(number))
            .copied()
            .collect();
        for number in removed {
            self.persisted_slots.remove(&number);
            actions.push(Action::PersistSlot {
                job: self.view.uid.clone(),
                number,
                slot: None,
            });
        }
    }

    /// The Job was deleted: asks to remove all that is persisted of it.
    pub(crate) fn remove_persisted(&mut self, actions: &mut Vec<Action>) {
        for number in std::mem::take(&mut self.persisted_slots).into_keys() {
            actions.push(Action::PersistSlot {
                job: self.view.uid.clone(),
                number,
                slot: None,
            });
        }
        actions.push(Action::PersistJob {
            job: self.view.uid.clone(),
            next_slot: None,
        });
    }
}
