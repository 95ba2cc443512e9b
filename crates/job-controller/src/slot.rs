//! State machine of one slot: the work of one Pod, for which at most one Pod may run at any time.

use crate::{PodOutcome, PodPhase, PodView, Settings};
use rand::Rng;
use serde::{Deserialize, Serialize};
use tidespur_planner_protocol::{Location, TerminationReason};

/// Identifies a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotId {
    /// Uid of the Job.
    pub job: String,
    /// Number of the slot, unique within the Job.
    pub number: u32,
}

/// A Pod that already runs at a node and is adopted by a new Pod object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Adoption {
    /// Name of the node that runs it.
    pub node: String,
    /// Name of the Pod at that node.
    pub name: String,
}

/// State of a slot. All times are in seconds since 1970.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum SlotState {
    /// A Pod is created at time `at`.
    Idle {
        at: f64,
        is_retry: bool,
        adoption: Option<Adoption>,
    },
    /// The creation of a Pod was requested.
    Creating,
    /// The Pod is pending, placed or running.
    Active { pod: PodView },
    /// The Pod may still run although it was deleted or reported as unknown or lost. No other one is created until this
    /// is resolved.
    OutcomeUnknown {
        pod: PodView,
        query_at: f64,
        is_query_sent: bool,
        /// Number of queries without a definite answer.
        unknown_answers: u32,
        /// Whether the Pod was deleted, so that it is stopped if it is found running.
        is_unwanted: bool,
    },
}

impl SlotState {
    pub(crate) fn retry_at(at: f64) -> Self {
        Self::Idle {
            at,
            is_retry: true,
            adoption: None,
        }
    }

    pub(crate) fn outcome_unknown(pod: PodView, query_at: f64, is_unwanted: bool) -> Self {
        Self::OutcomeUnknown {
            pod,
            query_at,
            is_query_sent: false,
            unknown_answers: 0,
            is_unwanted,
        }
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Slot {
    pub(crate) state: SlotState,
    /// Number of consecutive failures; reset when a Pod runs.
    pub(crate) failures: u32,
}

/// Consequence of a Pod's end for its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SlotOutcome {
    /// The work of the slot is done.
    Done,
    /// The program failed, which counts against the backoff limit; the slot is retried.
    RunFailed,
    /// The slot is retried.
    Retry,
    /// It is unknown whether the Pod still runs.
    Unresolved,
}

/// Maximum delay between two queries about a Pod whose outcome stays unknown.
const MAX_OUTCOME_QUERY_DELAY_SECONDS: f64 = 30.0;
/// Minimum increment of that delay after each answer that is not definite.
const MIN_OUTCOME_QUERY_DELAY_STEP_SECONDS: f64 = 0.1;

impl Slot {
    pub(crate) fn new(now: f64) -> Self {
        Self {
            state: SlotState::Idle {
                at: now,
                is_retry: false,
                adoption: None,
            },
            failures: 0,
        }
    }

    /// The Pod that occupies the slot.
    pub(crate) fn pod(&self) -> Option<&PodView> {
        match &self.state {
            SlotState::Active { pod } | SlotState::OutcomeUnknown { pod, .. } => Some(pod),
            SlotState::Idle { .. } | SlotState::Creating => None,
        }
    }

    /// Handles the end of the slot's Pod. If the class is not idempotent, a Pod with an unknown outcome is located
    /// before a retry. So is a Pod whose node was lost, since a node that is only partitioned keeps running it.
    pub(crate) fn on_pod_ended(
        &mut self,
        now: f64,
        pod: &PodView,
        end: PodOutcome,
        is_idempotent: bool,
        settings: &Settings,
        rng: &mut impl Rng,
    ) -> SlotOutcome {
        let backoff = match end {
            PodOutcome::Succeeded => return SlotOutcome::Done,
            PodOutcome::Unknown | PodOutcome::NodeLost if !is_idempotent => {
                let query_at = now + settings.outcome_query_delay;
                self.state = SlotState::outcome_unknown(pod.clone(), query_at, false);
                return SlotOutcome::Unresolved;
            }
            PodOutcome::NodeLost | PodOutcome::Migrated => settings.backoff.after_node_loss(rng),
            PodOutcome::Failed
            | PodOutcome::Rejected
            | PodOutcome::Unknown
            | PodOutcome::Evicted => settings.backoff.after_failures(self.failures, rng),
        };
        self.retry_at(now + backoff);
        if end == PodOutcome::Failed {
            SlotOutcome::RunFailed
        } else {
            SlotOutcome::Retry
        }
    }

    /// Handles the planners' answer on the location of the slot's Pod. Only a definite answer resolves the slot, so a
    /// Pod of a class that is not idempotent is not replaced while a node that may run it is unreachable. A node that
    /// is permanently partitioned but still listed blocks the slot until it is removed from the node list.
    pub(crate) fn on_located(
        &mut self,
        now: f64,
        location: Location,
        settings: &Settings,
        rng: &mut impl Rng,
    ) -> SlotOutcome {
        let SlotState::OutcomeUnknown {
            pod,
            query_at,
            is_query_sent,
            unknown_answers,
            ..
        } = &mut self.state
        else {
            return SlotOutcome::Unresolved;
        };
        match location {
            Location::At(node) => {
                let name = pod.name_at_node.clone();
                self.state = SlotState::Idle {
                    at: now,
                    is_retry: true,
                    adoption: Some(Adoption { node, name }),
                };
                SlotOutcome::Retry
            }
            Location::Ended(TerminationReason::Succeeded) => SlotOutcome::Done,
            Location::Ended(TerminationReason::Failed) => {
                self.retry_at(now + settings.backoff.after_failures(self.failures, rng));
                SlotOutcome::RunFailed
            }
            Location::Ended(_) | Location::NotFound => {
                self.retry_at(now + settings.backoff.after_node_loss(rng));
                SlotOutcome::Retry
            }
            Location::Unknown => {
                *is_query_sent = false;
                *unknown_answers += 1;
                let step = settings
                    .outcome_query_delay
                    .max(MIN_OUTCOME_QUERY_DELAY_STEP_SECONDS);
                let delay =
                    (step * f64::from(*unknown_answers)).min(MAX_OUTCOME_QUERY_DELAY_SECONDS);
                *query_at = now + delay * rng.random_range(0.5..=1.0);
                SlotOutcome::Unresolved
            }
        }
    }

    /// Counts a failure and schedules the next attempt.
    fn retry_at(&mut self, at: f64) {
        self.failures += 1;
        self.state = SlotState::retry_at(at);
    }

    /// Rank of the slot when a Job shrinks: slots with the least progress have the lowest rank and are removed first.
    /// `None` if the slot must not be removed, since its Pod is being created, located or adopted.
    pub(crate) fn removal_rank(&self) -> Option<u32> {
        match &self.state {
            SlotState::Idle { adoption: None, .. } => Some(0),
            SlotState::Active { pod } if pod.phase == PodPhase::Pending => Some(1),
            SlotState::Active { pod } if pod.phase == PodPhase::Placed => Some(2),
            SlotState::Active { .. } => Some(3),
            SlotState::Idle { .. } | SlotState::Creating | SlotState::OutcomeUnknown { .. } => None,
        }
    }
}
