//! The input of a scheduler: events, and the data they carry.

use super::{MachineId, Resources, Seconds, ServiceId, TaskId};

/// A task as its owner describes it.
#[derive(Clone, Debug, Default)]
pub struct Task {
    /// Identifies this request to place the task.
    pub id: TaskId,
    /// Index into [`Settings::classes`](super::Settings::classes).
    pub class: usize,
    /// Index into [`Settings::tenants`](super::Settings::tenants).
    pub tenant: usize,
    /// The service that the task belongs to.
    pub service: ServiceId,
    /// When the owner gives up on this request; may be infinite.
    pub deadline: Seconds,
    /// An estimate of the run time, in seconds; `None` if the owner gave none.
    pub expected_duration: Option<Seconds>,
    /// The CPU and memory that the task requests.
    pub request: Resources,
    /// Whether the owner resubmits the task after a rejection, failure, migration or loss.
    pub is_resubmission: bool,
}

/// The state of a machine in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// The machine accepts tasks.
    Ready,
    /// The machine finishes its tasks and must not get new ones.
    Draining,
    /// The machine was removed.
    Gone,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The machine that the entry describes.
    pub machine: MachineId,
    /// Index into [`Settings::machine_types`](super::Settings::machine_types).
    pub machine_type: usize,
    /// The number of its cell.
    pub cell: usize,
    /// The number of its zone.
    pub zone: usize,
    /// Whether it accepts tasks.
    pub status: EndpointStatus,
    /// When it last started; `None` if that was long ago.
    pub started_at: Option<Seconds>,
    /// CPU and memory that were not requested by accepted tasks, as of a short time ago. Negative if the machine is
    /// overcommitted.
    pub unclaimed: Resources,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The task finished.
    Finished,
    /// The machine returned an error; the task may have run.
    Failed,
    /// The machine rejected the offer; the task never ran.
    Rejected(FailureCause),
    /// No response arrived in time; the task may have run.
    TimedOut,
    /// No connection could be established; the task never ran.
    ConnectFailed,
    /// Before the confirmation: the response was cut off, and the task may have run. After it: the task was evicted,
    /// drained or lost.
    Interrupted(FailureCause),
    /// The task was cancelled or migrated; it may have run unless it was confirmed.
    Cancelled,
    /// The offer was never sent.
    NeverSent,
}

/// The cause that a machine reports with an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// No cause was reported.
    Unspecified,
    /// Not enough cores are left.
    InsufficientCpu,
    /// Not enough memory is left.
    InsufficientMemory,
    /// The queue of offers at the machine is full.
    QueueFull,
    /// The machine has another type or is draining, the offer arrived too late, or the machine already has the task.
    NotEligible,
    /// The task was evicted to free memory.
    Evicted,
    /// The task was preempted by one of higher priority.
    Preempted,
    /// The machine is draining and stopped the task.
    Drained,
}

/// The load of a machine as of a short time ago; `None` for what the machine does not report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Cores that are not in use or not requested, depending on
    /// [`Settings::reports_measured_usage`](super::Settings::reports_measured_usage).
    pub free_cpu: Option<f64>,
    /// Memory that is not in use or not requested, as for `free_cpu`.
    pub free_memory: Option<f64>,
    /// The number of queued offers and task starts.
    pub queued: Option<f64>,
    /// The fraction of the cores that are busy.
    pub cpu_utilization: Option<f64>,
}

/// The progress of a running attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptProgress {
    /// The task is now running.
    Started,
    /// The number of cores that the task uses now.
    CpuUsage(f64),
    /// The memory that the task uses now.
    MemoryUsage(f64),
    /// The fraction of full service that the task gets.
    ServiceLevel(f64),
    /// The fraction of its machine's memory that is in use.
    MachineMemoryUtilization(f64),
}

/// An event that a scheduler is notified of. Events of one step share its time and are in order of arrival.
#[derive(Clone, Debug)]
pub enum Event {
    /// A task is to be placed. The scheduler owes it exactly one final answer.
    TaskSubmitted(Task),
    /// This scheduler takes over a task that already runs on a machine. The run counts as attempt 0.
    TaskAdopted(Task, MachineId),
    /// The latest attempt of this task is at another machine than the one it was offered to: at the one that has its
    /// address now.
    TaskMoved {
        /// The task that was offered or placed.
        task: TaskId,
        /// The machine that has the task.
        machine: MachineId,
    },
    /// A machine has accepted the task, which is its final answer. An `AttemptEnded` event follows at the end of the
    /// attempt.
    AttemptConfirmed {
        /// The task that was accepted.
        task: TaskId,
        /// The number of the attempt, from 0.
        attempt: u32,
    },
    /// Progress of an attempt that has no outcome yet.
    AttemptProgressed {
        /// The task of the attempt.
        task: TaskId,
        /// What has changed.
        progress: AttemptProgress,
    },
    /// An attempt has ended. Sent exactly once for each attempt.
    AttemptEnded {
        /// The task of the attempt.
        task: TaskId,
        /// The number of the attempt, from 0.
        attempt: u32,
        /// How the attempt ended.
        outcome: AttemptOutcome,
        /// Whether the request is closed. If not, a final answer may still be owed.
        closed: bool,
        /// The load of the machine, if it came with the outcome.
        report: Option<LoadReport>,
    },
    /// The request was cancelled; no final answer is owed.
    TaskCancelled(TaskId),
    /// The timer with this token has fired.
    TimerFired(u64),
    /// These entries of the endpoint list have changed.
    EndpointsChanged(Vec<Endpoint>),
    /// The complete endpoint list. Machines that are missing from it are gone.
    EndpointsListed(Vec<Endpoint>),
    /// The subscription to the endpoint list, or a request for it, failed.
    EndpointListFailed,
    /// A load poll completed.
    LoadPolled {
        /// The machine that was polled.
        machine: MachineId,
        /// Its load; `None` if the poll failed.
        report: Option<LoadReport>,
    },
    /// A gossip message from another scheduler. Messages may be delayed or lost.
    GossipReceived(Vec<u8>),
    /// The number of schedulers that share the slow-start budget, this one included, has changed.
    SchedulerCountChanged(usize),
}
