//! What a scheduler is notified of.

use super::{MachineId, Resources, Seconds, ServiceId, TaskId};

/// A task as its owner describes it.
#[derive(Clone, Debug, Default)]
pub struct Task {
    /// The request.
    pub id: TaskId,
    /// Index into [`Settings::classes`](super::Settings::classes).
    pub class: usize,
    /// Index into [`Settings::tenants`](super::Settings::tenants).
    pub tenant: usize,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// The time at which the owner gives up on this request; may be infinite.
    pub deadline: Seconds,
    /// Roughly how long it is expected to run, in seconds.
    pub expected_duration: Option<Seconds>,
    /// The CPU and memory that it requests.
    pub request: Resources,
    /// It was submitted before, and came back after a rejection, failure, migration or loss.
    pub is_resubmission: bool,
}

/// The state of a machine in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// It takes tasks.
    Ready,
    /// It finishes its tasks and must get no new ones.
    Draining,
    /// It was removed.
    Gone,
}

/// A line of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The machine.
    pub machine: MachineId,
    /// Index into [`Settings::machine_types`](super::Settings::machine_types).
    pub machine_type: usize,
    /// Its cell.
    pub cell: usize,
    /// Its zone.
    pub zone: usize,
    /// Whether it takes tasks.
    pub status: EndpointStatus,
    /// When it last started; `None` if that is long ago.
    pub started_at: Option<Seconds>,
    /// CPU and memory that no accepted task requested a while ago; below 0 where more was accepted.
    pub unclaimed: Resources,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The task has finished.
    Finished,
    /// The machine returned an error; the task may have run.
    Failed,
    /// The machine rejected the task, which never ran.
    Rejected(FailureCause),
    /// No answer came in time; the task may have run.
    TimedOut,
    /// No connection could be made; the task never ran.
    ConnectFailed,
    /// Before the confirmation: the answer was cut short, and the task may have run. After it: the task was evicted,
    /// sent away or lost.
    Interrupted(FailureCause),
    /// The task was cancelled or migrated; it may have run unless it was confirmed.
    Cancelled,
    /// The offer was never sent.
    NeverSent,
}

/// The cause that came with an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// None was given.
    Unspecified,
    /// Too few cores are left.
    InsufficientCpu,
    /// Too little memory is left.
    InsufficientMemory,
    /// Too many offers wait at the machine.
    QueueFull,
    /// The machine has another type or is leaving, the offer came too late, or the task is there already.
    NotEligible,
    /// The task was evicted to free memory.
    Evicted,
    /// A task of higher priority took its place.
    Preempted,
    /// The machine is leaving and sent the task away.
    Drained,
}

/// The load of a machine some time ago; `None` for what the machine does not report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Cores that are not in use, or not requested: see
    /// [`Settings::reports_measured_usage`](super::Settings::reports_measured_usage).
    pub free_cpu: Option<f64>,
    /// Memory, likewise.
    pub free_memory: Option<f64>,
    /// Offers and starts that wait.
    pub queued: Option<f64>,
    /// The fraction of the cores that is busy.
    pub cpu_utilization: Option<f64>,
}

/// The progress of a running attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptProgress {
    /// The task runs now.
    Started,
    /// The cores that it uses now.
    CpuUsage(f64),
    /// The memory that it uses now.
    MemoryUsage(f64),
    /// The fraction of full service that it gets.
    ServiceLevel(f64),
    /// The fraction of its machine's memory that is in use.
    MachineMemoryUtilization(f64),
}

/// What a scheduler is notified of. Events of one step share its time and stand in the order of their arrival.
#[derive(Clone, Debug)]
pub enum Event {
    /// A task is to be placed. Exactly one final answer is owed.
    TaskSubmitted(Task),
    /// This scheduler is now responsible for a task that already runs on a machine. Attempt 0 counts as made.
    TaskAdopted(Task, MachineId),
    /// This attempt has placed the task, which is the final answer. An `AttemptEnded` event tells its end.
    AttemptConfirmed {
        /// The request.
        task: TaskId,
        /// The number of the attempt.
        attempt: u32,
    },
    /// An attempt that has no outcome yet has made progress.
    AttemptProgressed {
        /// The request.
        task: TaskId,
        /// The progress.
        progress: AttemptProgress,
    },
    /// An attempt has ended. Each attempt has one such event.
    AttemptEnded {
        /// The request.
        task: TaskId,
        /// The number of the attempt.
        attempt: u32,
        /// How it ended.
        outcome: AttemptOutcome,
        /// The request is closed; if not, a final answer may still be owed.
        closed: bool,
        /// The load of the machine, where it was reported with the outcome.
        report: Option<LoadReport>,
    },
    /// The request is over; no answer is owed.
    TaskCancelled(TaskId),
    /// The timer with this token has fired.
    TimerFired(u64),
    /// These lines of the endpoint list have changed.
    EndpointsChanged(Vec<Endpoint>),
    /// The complete endpoint list; machines that are absent are gone.
    EndpointsListed(Vec<Endpoint>),
    /// A subscription or a request for the endpoint list failed or broke.
    EndpointListFailed,
    /// A load poll was answered.
    LoadPolled {
        /// The machine.
        machine: MachineId,
        /// Its load; `None` if the poll failed.
        report: Option<LoadReport>,
    },
    /// A gossip message of another scheduler, which may be late. Some are lost.
    GossipReceived(Vec<u8>),
    /// From now on this many schedulers share the slow-start budget, this one included.
    SchedulerCountChanged(usize),
}
