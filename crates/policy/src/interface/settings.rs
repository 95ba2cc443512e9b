//! What a scheduler is started with.

use super::{Resources, Seconds};

/// The machines that a deduplication domain or a spread rule speaks of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd)]
pub enum FailureDomain {
    /// All machines together.
    All,
    /// One zone.
    Zone,
    /// One cell: a handful of machines that belong together.
    Cell,
    /// A single machine.
    Machine,
}

/// What a second run of a task does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetrySafety {
    /// No harm: the task may be repeated at will.
    Idempotent,
    /// No harm while an idempotency key protects it: machines of one domain drop repeats for a while after the first
    /// attempt that may have run.
    IdempotencyKeyed {
        /// The domain in which repeats are dropped.
        domain: FailureDomain,
        /// For how long they are dropped, in seconds.
        window: Seconds,
    },
    /// Harm: the task is not sent again unless all earlier attempts are known not to have run.
    NonIdempotent,
}

/// A class of tasks.
#[derive(Clone, Debug)]
pub struct Class {
    /// A first start within this many seconds earns its full worth.
    pub latency_objective: Seconds,
    /// How long owners wait for a placement, in seconds.
    pub deadline: Seconds,
    /// What a second run does.
    pub retry_safety: RetrySafety,
    /// The worth of one second of full service.
    pub priority_weight: f64,
    /// The seconds of full service that a timely start is worth.
    pub start_weight: Seconds,
    /// The fraction of the machine's cores in use up to which the class gets full service.
    pub full_service_utilization: f64,
    /// Service falls to nothing over this much more.
    pub degradation_range: f64,
    /// The machine type that the class needs, if any: index into [`Settings::machine_types`].
    pub machine_type: Option<usize>,
    /// Tasks of a higher priority go first.
    pub priority: u32,
    /// The domain in which `max_per_spread_domain` counts; `None` where tasks need not be spread.
    pub spread_domain: Option<FailureDomain>,
    /// The most tasks of one service in one such domain.
    pub max_per_spread_domain: u32,
}

/// A tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Its fraction of the service.
    pub quota_fraction: f64,
    /// New tasks per second within its quota, over all schedulers.
    pub quota_per_second: f64,
}

/// A type of machine.
#[derive(Clone, Debug)]
pub struct MachineType {
    /// The CPU and memory of a machine.
    pub capacity: Resources,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportSource {
    /// There are none.
    None,
    /// Outcomes and polls.
    OutcomesAndPolls,
    /// Polls alone.
    PollsOnly,
}

/// The figures of the five rules.
#[derive(Clone, Debug)]
pub struct SafetyLimits {
    /// A final answer counts until this many seconds after the deadline.
    pub answer_slack: Seconds,
    /// Without a subscription the endpoint list must be polled at least this often, in seconds.
    pub max_poll_interval: Seconds,
    /// A machine in slow start starts tasks at this fraction of its pace, or above.
    pub slow_start_speed: f64,
    /// Slow start is over no later than this many seconds after the machine came up.
    pub slow_start_duration: Seconds,
    /// The offers within `overload_window`, of all schedulers together, that a machine in slow start can always take.
    pub slow_start_offers: f64,
    /// Offers to a draining machine must stop within this many seconds after the notification.
    pub drain_grace: Seconds,
    /// More than this multiple of its present capacity, for `overload_window`, overloads a machine in slow start.
    pub overload_ratio: f64,
    /// The window of `overload_ratio` and `slow_start_offers`, in seconds.
    pub overload_window: Seconds,
}

/// What the result is charged for, in points.
#[derive(Clone, Debug, Default)]
pub struct CostModel {
    /// All machines in use beyond those needed.
    pub idle_machines: f64,
    /// One rejected offer for each task.
    pub rejected_offer: f64,
    /// One migration for each task.
    pub migration: f64,
    /// The number of migrations that one eviction counts as.
    pub eviction_in_migrations: f64,
    /// One load poll for each task.
    pub load_poll: f64,
    /// One full gossip message for each task.
    pub gossip_message: f64,
}

/// What a scheduler is started with.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The number of this scheduler, from 0.
    pub ordinal: usize,
    /// The number of schedulers that share the machines.
    pub scheduler_count: usize,
    /// The zone that this scheduler is in.
    pub zone: usize,
    /// The classes; tasks name theirs by index.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The types of machines.
    pub machine_types: Vec<MachineType>,
    /// Machines accept tasks until these request this multiple of their CPU, or of their memory.
    pub overcommit: Resources,
    /// The tasks of a service come to one scheduler while that is up (else to any).
    pub single_scheduler_per_service: bool,
    /// `AttemptConfirmed` arrives when the task runs (else when it is accepted).
    pub confirm_when_running: bool,
    /// The endpoint list must be subscribed to (else changes arrive unasked).
    pub requires_subscription: bool,
    /// Endpoints carry their unclaimed resources.
    pub lists_unclaimed: bool,
    /// Where load reports come from.
    pub load_reports: LoadReportSource,
    /// Load reports tell the resources that are not in use (else those that are not requested).
    pub reports_measured_usage: bool,
    /// Load polls are permitted.
    pub allows_load_polls: bool,
    /// Gossip between schedulers is permitted.
    pub allows_gossip: bool,
    /// The most attempts of one request.
    pub max_attempts: u32,
    /// The longest advice not to retry that is followed, in seconds; 0 if none is.
    pub max_retry_after: Seconds,
    /// The worth of a task beyond its tenant's quota, as a fraction.
    pub over_quota_weight: f64,
    /// The figures of the five rules.
    pub safety_limits: SafetyLimits,
    /// What is charged.
    pub costs: CostModel,
}
