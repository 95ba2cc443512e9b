//! The output of a scheduler: actions for its caller, and diagnoses of pending tasks.

use super::{FailureDomain, MachineId, Seconds, TaskId};

/// An action for the caller to carry out. Actions of one step are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Offer the task to a machine. Attempts of a task are numbered from 0 in the order of their offers.
    Offer {
        /// The task to offer.
        task: TaskId,
        /// The machine that receives the offer.
        machine: MachineId,
        /// How long to wait for the confirmation, in seconds.
        timeout: Seconds,
    },
    /// Final answer: the task was not placed, and it is safe to resubmit it.
    Reject {
        /// The task that was not placed.
        task: TaskId,
        /// How long the owner should wait before resubmitting, in seconds; 0 gives no advice.
        retry_after: Seconds,
    },
    /// Final answer: the task failed and may have run.
    Fail(TaskId),
    /// Stop a placed task, for its owner to resubmit.
    Migrate(TaskId),
    /// Subscribe to the endpoint list.
    SubscribeEndpoints,
    /// Deliver a [`TimerFired`](super::Event::TimerFired) event after a delay.
    SetTimer {
        /// The delay, in seconds.
        after: Seconds,
        /// Returned in the event.
        token: u64,
    },
    /// Request a load report from a machine.
    PollLoad(MachineId),
    /// Send this message of at most 256 bytes to all other schedulers.
    Gossip(Vec<u8>),
    /// Write a line to the operators' log.
    Log(String),
}

/// Why a task must not be sent to one machine. Amounts are those at the time of the query. If several reasons apply,
/// the first in declaration order is reported.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub enum FilterReason {
    /// The machine is missing from the endpoint list, or listed as gone.
    NotListed,
    /// The machine is draining.
    Draining,
    /// The class requires another machine type.
    MachineTypeMismatch,
    /// An earlier attempt may have run, and the machine is outside the domain that drops duplicates of it.
    OutsideDeduplicationDomain,
    /// The machine started recently, and the slow-start budget is exhausted.
    SlowStart,
    /// This failure domain of the machine already holds the maximum number of tasks of the service.
    SpreadLimit(FailureDomain),
    /// A circuit breaker is open until this time, or is half open while an offer is unconfirmed.
    CircuitOpen(Seconds),
    /// This scheduler already has the maximum number of unconfirmed offers at the machine.
    TooManyOffersInFlight,
    /// The machine lacks this many cores.
    InsufficientCpu(f64),
    /// The machine lacks this much memory.
    InsufficientMemory(f64),
}

/// Why a task must not be sent to any machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryBlocker {
    /// The maximum number of attempts has been made.
    AttemptsExhausted,
    /// An earlier attempt may have run, and the task is not idempotent.
    MayHaveRun,
    /// An earlier attempt may have run, and the window in which duplicates of it are dropped has elapsed.
    DeduplicationWindowElapsed,
    /// The deadline has passed, or is too close for another attempt.
    DeadlineExceeded,
}

/// Why a task is pending.
#[derive(Clone, Debug, PartialEq)]
pub struct PendingDiagnosis {
    /// The machines that can't take the task, each with the reason, in order of their ids.
    pub rejections: Vec<(MachineId, FilterReason)>,
    /// The number of machines that were examined, those that can take the task included.
    pub machine_count: usize,
    /// What prevents the task from being sent to any machine; `None` if it may be sent.
    pub blocker: Option<RetryBlocker>,
    /// The time until which the task may be sent; 0 or less if no further attempt is permitted.
    pub send_deadline: Seconds,
    /// When placement is tried next.
    pub next_attempt_at: Seconds,
    /// The number of attempts made.
    pub attempts: u32,
}
