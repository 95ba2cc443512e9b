//! What a scheduler wants done, and why work waits.

use super::*;

/// What a scheduler wants done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Offer the task to a machine. Attempts of a task count from 0 in order of sends.
    Offer {
        /// The request.
        task: TaskId,
        /// Where to.
        machine: MachineId,
        /// Wait this long for the confirmation.
        timeout: Seconds,
    },
    /// Final answer: not placed, asking again does no harm.
    Reject {
        /// The request.
        task: TaskId,
        /// Advice to stay away this long; 0: none.
        retry_after: Seconds,
    },
    /// Final answer: failed, no claim whether it ran.
    Fail(TaskId),
    /// Stop a placed task; its owner asks again.
    Migrate(TaskId),
    /// Subscribe to the machine list.
    SubscribeEndpoints,
    /// Ask for a `Timer` event.
    SetTimer {
        /// How long from now.
        after: Seconds,
        /// Comes back with the event.
        token: u64,
    },
    /// Ask a machine for its load.
    PollLoad(MachineId),
    /// Tell all other schedulers these bytes, 256 at most.
    Gossip(Vec<u8>),
    /// A line for the operators.
    Log(String),
}

/// What keeps a task from one machine. Amounts are those of the moment of the question. Of several the first
/// in this order is told.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub enum FilterReason {
    /// The list does not show it, or shows it as gone.
    NotListed,
    /// It drains.
    Draining,
    /// It is not of the kind that the class needs.
    MachineTypeMismatch,
    /// An earlier attempt may have run, and repeats are dropped elsewhere.
    OutsideDeduplicationDomain,
    /// It has just come up and bears no more offers now.
    SlowStart,
    /// As many tasks of the service as may be are in that place.
    SpreadLimit(FailureDomain),
    /// Set aside after troubles until this time; then one task at a time is let through.
    CircuitOpen(Seconds),
    /// As many offers of ours as may be wait there for an answer.
    TooManyOffersInFlight,
    /// So many cores too few.
    InsufficientCpu(f64),
    /// So much memory too little.
    InsufficientMemory(f64),
}

/// What keeps a task from all machines alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryBlocker {
    /// All its attempts are used up.
    AttemptsExhausted,
    /// An earlier attempt may have run, and a second start does harm.
    MayHaveRun,
    /// An earlier attempt may have run, and the time in which repeats are dropped is over.
    DeduplicationWindowElapsed,
    /// Its owner gives up now.
    DeadlineExceeded,
}

/// Why a task waits.
#[derive(Clone, Debug, PartialEq)]
pub struct PendingDiagnosis {
    /// What keeps it from each machine, in order of their ids; machines without an entry would take it.
    pub rejections: Vec<(MachineId, FilterReason)>,
    /// Machines that were looked at.
    pub machine_count: usize,
    /// What keeps it from all.
    pub blocker: Option<RetryBlocker>,
    /// Until when it can be sent.
    pub send_deadline: Seconds,
    /// When it is looked at next.
    pub next_attempt_at: Seconds,
    /// Attempts made.
    pub attempts: u32,
}
