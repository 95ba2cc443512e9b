//! The configuration of a scheduler.

use super::{Resources, Seconds};

/// The scope of request deduplication or of a spread limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd)]
pub enum FailureDomain {
    /// All machines together.
    All,
    /// The machines whose endpoints name the same zone.
    Zone,
    /// One cell: a small group of related machines.
    Cell,
    /// A single machine.
    Machine,
}

/// Whether an attempt that may have run can be repeated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetrySafety {
    /// The task may be repeated any number of times.
    Idempotent,
    /// The task may be repeated while its idempotency key is remembered: the machines of one domain drop duplicates
    /// for some time after the first attempt that may have run.
    IdempotencyKeyed {
        /// The domain in which duplicates are dropped.
        domain: FailureDomain,
        /// How long they are dropped, in seconds.
        window: Seconds,
    },
    /// The task is not sent again unless all earlier attempts are known not to have run.
    NonIdempotent,
}

/// A class of tasks: their objectives, weights and constraints.
#[derive(Clone, Debug)]
pub struct Class {
    /// A task that first starts within this many seconds earns the full `start_weight`.
    pub latency_objective: Seconds,
    /// How long an owner waits for a placement, in seconds.
    pub deadline: Seconds,
    /// Whether an attempt that may have run can be repeated.
    pub retry_safety: RetrySafety,
    /// The value of one second of full service, relative to other classes.
    pub priority_weight: f64,
    /// The value of a timely start, in seconds of full service.
    pub start_weight: Seconds,
    /// The CPU utilization of a machine up to which the class gets full service, as a fraction.
    pub full_service_utilization: f64,
    /// The further utilization over which service falls linearly to zero.
    pub degradation_range: f64,
    /// The machine type that the class requires, if any: index into [`Settings::machine_types`].
    pub machine_type: Option<usize>,
    /// Tasks of higher priority take precedence over those of lower priority.
    pub priority: u32,
    /// The domain to which `max_per_spread_domain` applies; `None` if tasks need not be spread.
    pub spread_domain: Option<FailureDomain>,
    /// The maximum number of tasks of one service in one such domain.
    pub max_per_spread_domain: u32,
}

/// The quota of a tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// The fraction of the service that the tenant is entitled to.
    pub quota_fraction: f64,
    /// The number of new tasks per second within its quota, over all schedulers.
    pub quota_per_second: f64,
}

/// The properties that all machines of one type share.
#[derive(Clone, Debug)]
pub struct MachineType {
    /// The CPU and memory of a machine.
    pub capacity: Resources,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportSource {
    /// There are no load reports.
    None,
    /// Reports come with outcomes and with polls.
    OutcomesAndPolls,
    /// Reports come with polls only.
    PollsOnly,
}

/// The limits that the five safety rules enforce.
#[derive(Clone, Debug)]
pub struct SafetyLimits {
    /// A final answer is in time until this many seconds after the deadline.
    pub answer_slack: Seconds,
    /// The longest interval between polls of the endpoint list without a subscription, in seconds.
    pub max_poll_interval: Seconds,
    /// A machine in slow start starts tasks at this fraction of its normal rate, or faster.
    pub slow_start_speed: f64,
    /// Slow start ends at most this many seconds after the machine started.
    pub slow_start_duration: Seconds,
    /// The number of offers within `overload_window`, from all schedulers together, that never overloads a machine in
    /// slow start.
    pub slow_start_offers: f64,
    /// Offers to a draining machine must stop within this many seconds of the notification.
    pub drain_grace: Seconds,
    /// A machine in slow start is overloaded when it gets more than this multiple of its current capacity for
    /// `overload_window`.
    pub overload_ratio: f64,
    /// The window over which `overload_ratio` and `slow_start_offers` are measured, in seconds.
    pub overload_window: Seconds,
}

/// Prices of scheduling activity and of idle machines, in points of the score.
#[derive(Clone, Debug, Default)]
pub struct CostModel {
    /// The price of keeping all machines in use that are not needed.
    pub idle_machines: f64,
    /// The price of one rejected offer per task.
    pub rejected_offer: f64,
    /// The price of one migration per task.
    pub migration: f64,
    /// The price of one eviction, in migrations.
    pub eviction_in_migrations: f64,
    /// The price of one load poll per task.
    pub load_poll: f64,
    /// The price of one gossip message of maximum length per task.
    pub gossip_message: f64,
}

/// The configuration of a scheduler.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The number of this scheduler, from 0.
    pub ordinal: usize,
    /// The number of schedulers that share the machines.
    pub scheduler_count: usize,
    /// The zone that this scheduler is in.
    pub zone: usize,
    /// The classes of tasks. Tasks refer to them by index.
    pub classes: Vec<Class>,
    /// The tenants. Tasks refer to them by index. May be empty.
    pub tenants: Vec<Tenant>,
    /// The types of machines. Endpoints and classes refer to them by index.
    pub machine_types: Vec<MachineType>,
    /// Machines admit tasks up to this multiple of their CPU and memory.
    pub overcommit: Resources,
    /// Whether all tasks of a service go to one scheduler while it is up. If not, any scheduler may get them.
    pub single_scheduler_per_service: bool,
    /// Whether `AttemptConfirmed` means that the task runs. If not, it means that the machine has accepted the task.
    pub confirm_when_running: bool,
    /// Whether updates of the endpoint list require a subscription. If not, they arrive without one.
    pub requires_subscription: bool,
    /// Whether entries of the endpoint list carry [`Endpoint::unclaimed`](super::Endpoint::unclaimed).
    pub lists_unclaimed: bool,
    /// Where load reports come from.
    pub load_reports: LoadReportSource,
    /// Whether load reports give the resources that are not in use. If not, they give those that are not requested.
    pub reports_measured_usage: bool,
    /// Whether load polls are permitted.
    pub allows_load_polls: bool,
    /// Whether gossip between schedulers is permitted.
    pub allows_gossip: bool,
    /// The maximum number of attempts of one request.
    pub max_attempts: u32,
    /// The longest [`Action::Reject::retry_after`](super::Action::Reject::retry_after) that owners honor, in seconds; 0
    /// if they ignore it.
    pub max_retry_after: Seconds,
    /// The value of a task beyond its tenant's quota, as a fraction of its value within the quota.
    pub over_quota_weight: f64,
    /// The limits that the five safety rules enforce.
    pub safety_limits: SafetyLimits,
    /// Prices of scheduling activity and of idle machines.
    pub costs: CostModel,
}
