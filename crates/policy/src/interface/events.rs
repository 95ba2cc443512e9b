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
    pub expected_duration: Option<Seconds>,
    /// CPU and memory that it asks for.
    pub request: Resources,
    /// It came back after a refusal, failure, move or loss.
    pub is_resubmission: bool,
}

/// State of a machine in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// Takes tasks.
    Ready,
    /// Finishes its work; nothing new may be sent.
    Draining,
    /// Taken away.
    Gone,
}

/// A line of the machine list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The machine.
    pub machine: MachineId,
    /// Index into [`Settings::machine_types`].
    pub machine_type: usize,
    /// Its cell.
    pub cell: usize,
    /// Its zone.
    pub zone: usize,
    /// Whether it takes tasks.
    pub status: EndpointStatus,
    /// When it last started; `None`: long ago.
    pub started_at: Option<Seconds>,
    /// CPU and memory that no accepted task asks for, a while ago; below 0 where more was accepted.
    pub unclaimed: Resources,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The task has finished.
    Finished,
    /// The machine returned an error; the task may have run.
    Failed,
    /// Turned away, never ran.
    Rejected(FailureCause),
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection, never ran.
    ConnectFailed,
    /// Before confirmation: answer cut short, may have run. After it: evicted, sent away or lost.
    Interrupted(FailureCause),
    /// Given up or moved; may have run unless it was confirmed.
    Cancelled,
    /// Never sent.
    NeverSent,
}

/// The reason that came with an ending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// Not told.
    Unspecified,
    /// No cores left.
    InsufficientCpu,
    /// No memory left.
    InsufficientMemory,
    /// Too many offers wait there.
    QueueFull,
    /// Wrong kind, leaving, too late, or a copy stands.
    NotEligible,
    /// Evicted for memory.
    Evicted,
    /// Pushed out by a higher priority.
    Preempted,
    /// Sent away by a machine that leaves.
    Drained,
}

/// Load of a machine, some time ago; what is not told is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Cores not in use or not asked for, see [`Settings::reports_measured_usage`].
    pub free_cpu: Option<f64>,
    /// Memory, likewise.
    pub free_memory: Option<f64>,
    /// Offers and starts that wait.
    pub queued: Option<f64>,
    /// Fraction of the cores that is busy.
    pub cpu_utilization: Option<f64>,
}

/// News of a running attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptProgress {
    /// The task runs now.
    Started,
    /// Cores that it uses now.
    CpuUsage(f64),
    /// Memory that it uses now.
    MemoryUsage(f64),
    /// Share of full service that it gets.
    ServiceLevel(f64),
    /// Share of its machine's memory that is in use.
    MachineMemoryUtilization(f64),
}

/// What a scheduler is told. Events of one step share its time and stand in the order of arrival.
#[derive(Clone, Debug)]
pub enum Event {
    /// A task to place. Exactly one final answer is owed.
    TaskSubmitted(Task),
    /// A task that already runs on a machine is now this scheduler's. Attempt 0 counts as made.
    TaskAdopted(Task, MachineId),
    /// The task is placed by this attempt: the final answer. An `Outcome` tells its end.
    AttemptConfirmed {
        /// The request.
        task: TaskId,
        /// Which attempt.
        attempt: u32,
    },
    /// News of an attempt that has no outcome yet.
    AttemptProgressed {
        /// The request.
        task: TaskId,
        /// What is told.
        progress: AttemptProgress,
    },
    /// The one end of an attempt.
    AttemptEnded {
        /// The request.
        task: TaskId,
        /// Which attempt.
        attempt: u32,
        /// How it ended.
        outcome: AttemptOutcome,
        /// The request is closed; if not, a final answer may still be owed.
        closed: bool,
        /// Load of the machine, where it came along.
        report: Option<LoadReport>,
    },
    /// The request is over; nothing is owed.
    TaskCancelled(TaskId),
    /// A timer is due.
    TimerFired(u64),
    /// Changes of the machine list.
    EndpointsChanged(Vec<Endpoint>),
    /// The whole machine list; what is absent is gone.
    EndpointsListed(Vec<Endpoint>),
    /// A subscription or a call for the list failed or broke.
    EndpointListFailed,
    /// What a probe brought; `None`: it failed.
    LoadPolled {
        /// The machine.
        machine: MachineId,
        /// Its load.
        report: Option<LoadReport>,
    },
    /// What another scheduler told; may be late, and some are lost.
    GossipReceived(Vec<u8>),
    /// So many schedulers share what cold machines bear, from now on; this one is counted.
    SchedulerCountChanged(usize),
}
