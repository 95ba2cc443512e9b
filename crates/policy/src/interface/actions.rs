//! What a scheduler wants done, and why tasks are pending.

use super::{FailureDomain, MachineId, Seconds, TaskId};

/// What a scheduler wants done. Actions of a step are carried out in their order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Offer the task to a machine. Attempts of a task are counted from 0 in the order of their offers.
    Offer {
        /// The request.
        task: TaskId,
        /// The machine that the offer goes to.
        machine: MachineId,
        /// The time to wait for the confirmation, in seconds.
        timeout: Seconds,
    },
    /// Final answer: the task was not placed, and submitting it again does no harm.
    Reject {
        /// The request.
        task: TaskId,
        /// Advice not to submit it again for this many seconds; 0 if none.
        retry_after: Seconds,
    },
    /// Final answer: the task failed, and may have run.
    Fail(TaskId),
    /// Stop a placed task; its owner submits it again.
    Migrate(TaskId),
    /// Subscribe to the endpoint list.
    SubscribeEndpoints,
    /// Deliver a [`TimerFired`](super::Event::TimerFired) event.
    SetTimer {
        /// The time until then, in seconds.
        after: Seconds,
        /// Returned with the event.
        token: u64,
    },
    /// Ask a machine for its load.
    PollLoad(MachineId),
    /// Send these bytes, 256 at most, to all other schedulers.
    Gossip(Vec<u8>),
    /// Write a line to the operators' log.
    Log(String),
}

/// Why a task must not be sent to one machine. Amounts are those at the time of the question. Where several reasons
/// apply, the first in this order is given.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub enum FilterReason {
    /// The endpoint list does not show the machine, or shows it as gone.
    NotListed,
    /// The machine is draining.
    Draining,
    /// The class needs another machine type.
    MachineTypeMismatch,
    /// An earlier attempt may have run, and the machine is outside the domain that drops repeats of it.
    OutsideDeduplicationDomain,
    /// The machine has come up a short time ago, and the slow-start budget is spent.
    SlowStart,
    /// As many tasks of the service as are permitted are in this domain of the machine.
    SpreadLimit(FailureDomain),
    /// A circuit breaker is open until this time, or half open while an offer is unconfirmed.
    CircuitOpen(Seconds),
    /// As many offers of this scheduler as are permitted wait at the machine for an answer.
    TooManyOffersInFlight,
    /// This many cores are missing.
    InsufficientCpu(f64),
    /// This much memory is missing.
    InsufficientMemory(f64),
}

/// Why a task must not be sent to any machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryBlocker {
    /// All its attempts are used up.
    AttemptsExhausted,
    /// An earlier attempt may have run, and the task is not idempotent.
    MayHaveRun,
    /// An earlier attempt may have run, and the time in which repeats of it are dropped is over.
    DeduplicationWindowElapsed,
    /// Its deadline has come.
    DeadlineExceeded,
}

/// Why a task is pending.
#[derive(Clone, Debug, PartialEq)]
pub struct PendingDiagnosis {
    /// The machines that would not take the task, in order of their ids, each with its reason.
    pub rejections: Vec<(MachineId, FilterReason)>,
    /// The number of machines that were examined.
    pub machine_count: usize,
    /// What keeps the task from all machines.
    pub blocker: Option<RetryBlocker>,
    /// The time until which the task may be sent.
    pub send_deadline: Seconds,
    /// The time of the next retry.
    pub next_attempt_at: Seconds,
    /// Attempts made.
    pub attempts: u32,
}
