//! The record of a task for which this scheduler is responsible: its state, its attempts, and until when it may
//! be offered. Owned by the scheduler, from submission or adoption until the end of the request.

use crate::interface::{
    Class, FailureDomain, MachineId, RetryBlocker, RetrySafety, Seconds, Task, TaskId,
};
use std::collections::BTreeMap;

/// Final answers that nothing forces earlier are given this long before the deadline, in seconds, so that they
/// arrive in time.
pub(super) const FINAL_ANSWER_MARGIN: Seconds = 0.03;

/// The class and the tenant of a task. What is decided for one task of it holds for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TrafficClass {
    pub(super) class: usize,
    pub(super) tenant: usize,
}

impl TrafficClass {
    pub(super) const fn of(task: &Task) -> Self {
        Self {
            class: task.class,
            tenant: task.tenant,
        }
    }
}

/// Where a task is on its way to a machine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) enum TaskState {
    /// Waits for a machine.
    #[default]
    Pending,
    /// An offer is in flight.
    Offered,
    /// A machine has confirmed it.
    Placed,
    /// No answer is owed any more, and the outcome of an attempt is still to come.
    Finished,
}

/// The first attempt that may have run.
#[derive(Clone, Copy, Debug)]
pub(super) struct PossibleRun {
    pub(super) sent_at: Seconds,
    pub(super) machine: MachineId,
}

/// All records by task.
pub(super) type TaskTable = BTreeMap<TaskId, TaskRecord>;

/// A task and what has become of it so far.
#[derive(Debug, Default)]
pub(super) struct TaskRecord {
    pub(super) task: Task,
    pub(super) state: TaskState,
    /// Attempts made.
    pub(super) attempts: u32,
    /// The time of the last attempt; before the first, of the submission.
    pub(super) sent_at: Seconds,
    /// The machine of the last attempt.
    pub(super) machine: MachineId,
    pub(super) possible_run: Option<PossibleRun>,
    /// The machine that first returned an error.
    pub(super) first_error_at: Option<MachineId>,
    /// A second machine returned an error too: the cause is in the task itself.
    pub(super) is_faulty: bool,
    /// The machine of the last attempt had the program in its cache, as far as was known.
    pub(super) had_cached_program: bool,
}

impl TaskRecord {
    pub(super) const fn traffic_class(&self) -> TrafficClass {
        TrafficClass::of(&self.task)
    }

    /// The time until which one more attempt is permitted, were a machine found.
    pub(super) fn send_deadline(&self, class: &Class, max_attempts: u32) -> Seconds {
        let retry_deadline = self.retry_deadline(class.retry_safety, max_attempts);
        self.task.deadline.min(retry_deadline) - FINAL_ANSWER_MARGIN
    }

    fn retry_deadline(&self, retry_safety: RetrySafety, max_attempts: u32) -> Seconds {
        if self.attempts >= max_attempts {
            return 0.0;
        }
        let Some(run) = self.possible_run else {
            return f64::INFINITY;
        };
        match retry_safety {
            RetrySafety::Idempotent => f64::INFINITY,
            RetrySafety::IdempotencyKeyed { window, .. } => run.sent_at + window,
            RetrySafety::NonIdempotent => 0.0,
        }
    }

    /// What forbids one more attempt on any machine at this time.
    pub(super) fn retry_blocker(
        &self,
        now: Seconds,
        class: &Class,
        max_attempts: u32,
    ) -> Option<RetryBlocker> {
        if now < self.send_deadline(class, max_attempts) {
            return None;
        }
        if self.attempts >= max_attempts {
            return Some(RetryBlocker::AttemptsExhausted);
        }
        match class.retry_safety {
            RetrySafety::NonIdempotent if self.possible_run.is_some() => {
                Some(RetryBlocker::MayHaveRun)
            }
            RetrySafety::IdempotencyKeyed { .. }
                if now < self.task.deadline - FINAL_ANSWER_MARGIN =>
            {
                Some(RetryBlocker::DeduplicationWindowElapsed)
            }
            _ => Some(RetryBlocker::DeadlineExceeded),
        }
    }

    /// Whether it may end as rejected: its owner may ask again and does no harm.
    pub(super) fn can_be_rejected(&self, class: &Class) -> bool {
        if self.possible_run.is_none() {
            return true;
        }
        match class.retry_safety {
            RetrySafety::Idempotent => true,
            RetrySafety::IdempotencyKeyed { domain, .. } => domain == FailureDomain::All,
            RetrySafety::NonIdempotent => false,
        }
    }
}
