//! The record of a task for which this scheduler is responsible: its state, its attempts, and the deadline for further
//! offers. Owned by the scheduler, from submission or adoption until the end of the request.

use crate::interface::{
    Class, FailureDomain, MachineId, RetryBlocker, RetrySafety, Seconds, Task, TaskId,
};
use std::collections::BTreeMap;

/// A task that is still pending gets its final answer this many seconds before the deadline, so that it arrives in
/// time.
pub(super) const FINAL_ANSWER_MARGIN: Seconds = 0.03;

/// The class and tenant of a task. Filters treat all tasks with the same class and tenant alike.
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

/// The state of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) enum TaskState {
    /// The task waits for a machine.
    #[default]
    Pending,
    /// An offer is in flight.
    Offered,
    /// A machine has confirmed the task.
    Placed,
    /// No final answer is owed, but the outcome of an attempt is outstanding.
    Finished,
}

/// The first attempt in which the task may have run.
#[derive(Clone, Copy, Debug)]
pub(super) struct PossibleRun {
    pub(super) sent_at: Seconds,
    pub(super) machine: MachineId,
}

/// The records of all tasks.
pub(super) type TaskTable = BTreeMap<TaskId, TaskRecord>;

/// A task and the history of its attempts.
#[derive(Debug, Default)]
pub(super) struct TaskRecord {
    pub(super) task: Task,
    pub(super) state: TaskState,
    /// The number of attempts made.
    pub(super) attempts: u32,
    /// The time of the last attempt; that of the submission before the first attempt.
    pub(super) sent_at: Seconds,
    /// The machine of the last attempt.
    pub(super) machine: MachineId,
    pub(super) possible_run: Option<PossibleRun>,
    /// The first machine that returned an error for the task.
    pub(super) first_error_at: Option<MachineId>,
    /// Whether a second machine returned an error too, so that the task itself is the cause.
    pub(super) is_faulty: bool,
    /// Whether the machine of the last attempt was believed to have the program in its cache.
    pub(super) had_cached_program: bool,
}

impl TaskRecord {
    pub(super) const fn traffic_class(&self) -> TrafficClass {
        TrafficClass::of(&self.task)
    }

    /// The time until which another attempt is permitted; 0 or less if none is.
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

    /// What forbids another attempt on any machine at this time, if anything.
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

    /// Whether the request may end as rejected, since it is safe for the owner to resubmit the task.
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
