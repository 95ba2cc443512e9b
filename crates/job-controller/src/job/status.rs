//! The status of a Job, as it is published.

use super::Job;
use crate::PodPhase;
use crate::slot::SlotState;

/// Phase of a Job as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobPhase {
    /// It runs, or has work to run.
    Active,
    /// It is suspended.
    Suspended,
    /// All its completions are reached.
    Complete,
    /// More runs failed than its backoff limit allows.
    BackoffLimitExceeded,
    /// It was active for longer than its deadline allows.
    DeadlineExceeded,
}

/// Status of a Job.
#[derive(Clone, Debug, PartialEq)]
pub struct JobStatus {
    /// Pods that are pending or running.
    pub active: u32,
    /// Pods that are running.
    pub ready: u32,
    /// Pods that succeeded.
    pub succeeded: u32,
    /// Runs that failed.
    pub failed: u32,
    /// Slots that wait for the backoff before the next attempt.
    pub waiting_for_retry: u32,
    /// Slots whose Pod may still run though its outcome is unknown.
    pub outcome_unknown: u32,
    /// Phase as a whole.
    pub phase: JobPhase,
    /// When it began, in seconds since 1970.
    pub started: f64,
    /// When it ended, in seconds since 1970.
    pub ended: Option<f64>,
}

impl Job {
    pub(super) fn status(&self) -> JobStatus {
        let mut status = JobStatus {
            active: 0,
            ready: 0,
            succeeded: self.succeeded,
            failed: self.failed,
            waiting_for_retry: 0,
            outcome_unknown: 0,
            phase: self.phase,
            started: self.started,
            ended: self.ended,
        };
        for slot in self.slots.values() {
            match &slot.state {
                SlotState::Active { pod } => {
                    status.active += 1;
                    status.ready += u32::from(pod.phase == PodPhase::Running);
                }
                SlotState::Idle {
                    is_retry,
                    adoption: None,
                    ..
                } => status.waiting_for_retry += u32::from(*is_retry),
                SlotState::OutcomeUnknown { .. } => status.outcome_unknown += 1,
                SlotState::Idle { .. } | SlotState::Creating => {}
            }
        }
        status
    }
}
