//! The state of a Job that is persisted in addition to its objects, and the restoration of Jobs.
//!
//! Counters, start and end of a Job are restored from its status, and a slot with a Pod from that Pod. Only state that
//! no object contains is persisted separately: allocated slot numbers, slots that wait for a retry, and Pods whose
//! outcome is unknown. The controller emits [`Action`]s, and the caller writes the records.

use crate::job::Job;
use crate::slot::{Slot, SlotState};
use crate::{Action, Adoption, JobPhase, JobView, PodView, Settings};
use rand::Rng;
use serde::{Deserialize, Serialize};

/// Persisted state of a slot that cannot be restored from a Pod.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PersistedSlot {
    /// The slot waits for its next attempt.
    #[serde(rename = "Again")]
    Retry {
        /// Time of the next attempt, in seconds since 1970.
        at: f64,
        /// The running Pod at a node that the next Pod adopts.
        #[serde(rename = "adopt")]
        adoption: Option<Adoption>,
        /// Failures in a row.
        #[serde(rename = "troubles")]
        failures: u32,
    },
    /// A Pod may still run; no other one is created until its outcome is known.
    #[serde(rename = "Settling")]
    OutcomeUnknown {
        /// The Pod; its object may have been deleted.
        pod: PodView,
        /// Whether its owner deleted it, so that it is stopped if it is found running.
        #[serde(rename = "unwanted")]
        is_unwanted: bool,
        /// Failures in a row.
        #[serde(rename = "troubles")]
        failures: u32,
    },
}

/// A Job in the last state that an earlier process persisted.
#[derive(Clone, Debug, PartialEq)]
pub struct RestoredJob {
    /// Specification of the Job.
    pub view: JobView,
    /// Number of Pods that succeeded.
    pub succeeded: u32,
    /// Number of runs whose program failed.
    pub failed: u32,
    /// Phase, as read from its status.
    pub phase: JobPhase,
    /// When the Job began or was last resumed, in seconds since 1970.
    pub started: f64,
    /// When the Job reached a final phase, in seconds since 1970.
    pub ended: Option<f64>,
    /// All slot numbers below this one are allocated.
    pub next_slot: u32,
    /// Pods that occupy slots, with the numbers of the slots.
    pub pods: Vec<(u32, PodView)>,
    /// Persisted slots with their numbers. A Pod in `pods` takes precedence.
    pub slots: Vec<(u32, PersistedSlot)>,
    /// Pods that ended without success, oldest first.
    pub unsuccessful_pods: Vec<PodView>,
}

impl Slot {
    /// The state to persist; `None` if the slot can be restored from its Pod, or is created anew by the reconciliation.
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

    /// Restores a slot. Retries that came due while no process was running are spread by a jitter, so that they do not
    /// all begin at once. A retry further ahead than the maximum backoff results from a wrong clock and is treated as
    /// due. Unknown outcomes are queried after at most the usual delay, whatever time the clock shows.
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
            // A Pod that occupies the slot is newer than the persisted state.
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

    /// Uids of the Pods that occupy slots.
    pub(crate) fn pod_uids(&self) -> impl Iterator<Item = &str> {
        self.slots
            .values()
            .filter_map(Slot::pod)
            .map(|pod| pod.uid.as_str())
    }

    /// Appends the actions that persist the differences from the persisted state.
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
            // Transient: the caller responds to the creation before its step ends, which changes the state again.
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

    /// Removes the records of slots that no longer exist.
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

    /// Removes all records of the Job after its deletion.
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
