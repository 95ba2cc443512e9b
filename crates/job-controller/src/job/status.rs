//! The published status of a Job.

use super::Job;
use crate::PodPhase;
use crate::slot::SlotState;

/// Phase of a Job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobPhase {
    /// The Job runs Pods or may create them.
    Active,
    /// The Job is suspended and runs no Pods.
    Suspended,
    /// The required number of Pods has succeeded.
    Complete,
    /// More runs failed than the backoff limit allows.
    BackoffLimitExceeded,
    /// The active deadline has passed.
    DeadlineExceeded,
}

/// Status of a Job, from which the status of its object is written.
#[derive(Clone, Debug, PartialEq)]
pub struct JobStatus {
    /// Number of Pods that are pending, placed or running.
    pub active: u32,
    /// Number of running Pods.
    pub ready: u32,
    /// Number of Pods that succeeded.
    pub succeeded: u32,
    /// Number of runs whose program failed.
    pub failed: u32,
    /// Number of slots that back off before the next attempt.
    pub waiting_for_retry: u32,
    /// Number of slots whose Pod has an unknown outcome and may still run.
    pub outcome_unknown: u32,
    /// Phase of the Job.
    pub phase: JobPhase,
    /// When the Job began or was last resumed, in seconds since 1970.
    pub started: f64,
    /// When the Job reached a final phase, in seconds since 1970.
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
