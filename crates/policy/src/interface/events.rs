//! What a scheduler is told.

use super::*;

/// A task as its owner describes it.
#[derive(Clone, Debug, Default)]
pub struct Task {
    /// The request.
    pub id: TaskId,
    /// Index into [`Settings::classes`].
    pub class: usize,
    /// Index into [`Settings::tenants`].
    pub tenant: usize,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// When the owner gives up on this request; may be infinite.
    pub deadline: Seconds,
    /// How long it is expected to run, roughly.
    pub life: Option<Seconds>,
    /// Cores asked.
    pub cores: f64,
    /// Memory asked.
    pub memory: f64,
    /// It came back after a refusal, failure, move or loss.
    pub returned: bool,
}

/// State of a machine in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Takes tasks.
    Ready,
    /// Finishes its work; nothing new may be sent.
    Draining,
    /// Taken away.
    Gone,
}

/// A line of the machine list.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The machine.
    pub machine: MachineId,
    /// Index into [`Settings::kinds`].
    pub kind: usize,
    /// Its cell.
    pub cell: usize,
    /// Its zone.
    pub zone: usize,
    /// Whether it takes tasks.
    pub standing: Standing,
    /// When it last started; `None`: long ago.
    pub up_since: Option<Seconds>,
    /// Cores that no accepted task asks for, a while ago; below 0 where more was accepted.
    pub free_cores: f64,
    /// Likewise memory.
    pub free_memory: f64,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The task has finished.
    Finished,
    /// The machine returned an error; the task may have run.
    Failed,
    /// Turned away, never ran.
    Full(Why),
    /// No answer in time; it may have run.
    Late,
    /// No connection, never ran.
    NoConnection,
    /// Before confirmation: answer cut short, may have run. After it: evicted, sent away or lost.
    Broken(Why),
    /// Given up or moved; may have run unless it was confirmed.
    Cancelled,
    /// Never sent.
    Void,
}

/// The reason that came with an ending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// Not told.
    Unknown,
    /// No cores left.
    Cores,
    /// No memory left.
    Memory,
    /// Too many offers wait there.
    Queue,
    /// Wrong kind, leaving, too late, or a copy stands.
    NotHere,
    /// Evicted for memory.
    Evicted,
    /// Pushed out by a higher priority.
    PushedOut,
    /// Sent away by a machine that leaves.
    SentAway,
}

/// Load of a machine, some time ago; what is not told is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Cores not in use or not asked for, see [`Settings::reports_use`].
    pub free_cores: Option<f64>,
    /// Memory, likewise.
    pub free_memory: Option<f64>,
    /// Offers and starts that wait.
    pub waiting: Option<f64>,
    /// Fraction of the cores that is busy.
    pub busy: Option<f64>,
}

/// News of a running attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// The task runs now.
    Runs,
    /// Cores that it uses now.
    UsesCores(f64),
    /// Memory that it uses now.
    UsesMemory(f64),
    /// Share of full service that it gets.
    Served(f64),
    /// Share of its machine's memory that is in use.
    MachineMemory(f64),
}

/// What a scheduler is told. Events of one step share its time and stand in the order of arrival.
#[derive(Clone, Debug)]
pub enum Event {
    /// A task to place. Exactly one final answer is owed.
    Submit(Task),
    /// A task that already runs on a machine is now this scheduler's. Attempt 0 counts as made.
    InPlace(Task, MachineId),
    /// The task is placed by this attempt: the final answer. An `Outcome` tells its end.
    Confirmed {
        /// The request.
        task: TaskId,
        /// Which attempt.
        attempt: u32,
    },
    /// News of an attempt that has no outcome yet.
    Note {
        /// The request.
        task: TaskId,
        /// What is told.
        note: Note,
    },
    /// The one end of an attempt.
    Outcome {
        /// The request.
        task: TaskId,
        /// Which attempt.
        attempt: u32,
        /// How it ended.
        ending: Ending,
        /// The request is closed; if not, a final answer may still be owed.
        closed: bool,
        /// Load of the machine, where it came along.
        report: Option<Report>,
    },
    /// The request is over; nothing is owed.
    Dropped(TaskId),
    /// A timer is due.
    Timer(u64),
    /// Changes of the machine list.
    ListChanges(Vec<Entry>),
    /// The whole machine list; what is absent is gone.
    ListWhole(Vec<Entry>),
    /// A subscription or a call for the list failed or broke.
    ListFailed,
    /// What a probe brought; `None`: it failed.
    Probed {
        /// The machine.
        machine: MachineId,
        /// Its load.
        report: Option<Report>,
    },
    /// What another scheduler told; may be late, and some are lost.
    Heard(Vec<u8>),
    /// So many schedulers share what cold machines bear, from now on; this one is counted.
    Sharers(usize),
}
