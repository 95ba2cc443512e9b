//! What a scheduler wants done, and why work waits.

use super::*;

/// What a scheduler wants done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Offer the task to a machine. Attempts of a task count from 0 in order of sends.
    Send {
        /// The request.
        task: TaskId,
        /// Where to.
        machine: MachineId,
        /// Wait this long for the confirmation.
        wait: Seconds,
    },
    /// Final answer: not placed, asking again does no harm.
    Refuse {
        /// The request.
        task: TaskId,
        /// Advice to stay away this long; 0: none.
        retry_in: Seconds,
    },
    /// Final answer: failed, no claim whether it ran.
    Fail(TaskId),
    /// Stop a placed task; its owner asks again.
    Move(TaskId),
    /// Subscribe to the machine list.
    Subscribe,
    /// Ask for a `Timer` event.
    Timer {
        /// How long from now.
        after: Seconds,
        /// Comes back with the event.
        token: u64,
    },
    /// Ask a machine for its load.
    Probe(MachineId),
    /// Tell all other schedulers these bytes, 256 at most.
    Tell(Vec<u8>),
    /// A line for the operators.
    Log(String),
}

/// What keeps a task from one machine. Amounts are those of the moment of the question. Of several the first
/// in this order is told.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub enum Bar {
    /// The list does not show it, or shows it as gone.
    Unlisted,
    /// It drains.
    Draining,
    /// It is not of the kind that the class needs.
    Kind,
    /// An earlier attempt may have run, and repeats are dropped elsewhere.
    Group,
    /// It has just come up and bears no more offers now.
    Cold,
    /// As many tasks of the service as may be are in that place.
    Spread(Place),
    /// Set aside after troubles until this time; then one task at a time is let through.
    Aside(Seconds),
    /// As many offers of ours as may be wait there for an answer.
    Line,
    /// So many cores too few.
    Cores(f64),
    /// So much memory too little.
    Memory(f64),
}

/// What keeps a task from all machines alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Block {
    /// All its attempts are used up.
    Attempts,
    /// An earlier attempt may have run, and a second start does harm.
    MayHaveRun,
    /// An earlier attempt may have run, and the time in which repeats are dropped is over.
    Window,
    /// Its owner gives up now.
    Late,
}

/// Why a task waits.
#[derive(Clone, Debug, PartialEq)]
pub struct Waiting {
    /// What keeps it from each machine, in order of their ids; machines without an entry would take it.
    pub bars: Vec<(MachineId, Bar)>,
    /// Machines that were looked at.
    pub machines: usize,
    /// What keeps it from all.
    pub block: Option<Block>,
    /// Until when it can be sent.
    pub until: Seconds,
    /// When it is looked at next.
    pub next_look: Seconds,
    /// Attempts made.
    pub attempts: u32,
}
