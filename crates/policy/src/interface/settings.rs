//! What a scheduler is started with.

use super::*;

/// The machines that a group or a spread rule speaks of.
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

/// What a second run of a task would do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetrySafety {
    /// Nothing: repeat at will.
    Idempotent,
    /// Machines of one group drop repeats for a while after the first send that may have run.
    IdempotencyKeyed {
        /// Where repeats are dropped.
        domain: FailureDomain,
        /// For how long.
        window: Seconds,
    },
    /// Harm: never send again unless every earlier attempt is known not to have run.
    NonIdempotent,
}

/// A class of tasks.
#[derive(Clone, Debug)]
pub struct Class {
    /// A first start within this time earns its full worth.
    pub latency_objective: Seconds,
    /// How long owners wait for a placement.
    pub deadline: Seconds,
    /// What repeats do.
    pub retry_safety: RetrySafety,
    /// Worth of one second of full service.
    pub priority_weight: f64,
    /// Seconds of service that a timely start is worth.
    pub start_weight: Seconds,
    /// Share of the machine's cores up to which the class is served in full.
    pub full_service_utilization: f64,
    /// Service drops to nothing over this much more.
    pub degradation_range: f64,
    /// The kind of machine it needs, if any.
    pub machine_type: Option<usize>,
    /// Higher goes first.
    pub priority: u32,
    /// Where `spread_most` counts; `None` where tasks may crowd.
    pub spread_domain: Option<FailureDomain>,
    /// The most tasks of one service in one such place.
    pub max_per_spread_domain: u32,
}

/// A tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Its fraction of the service.
    pub quota_fraction: f64,
    /// New tasks a second, over all schedulers, within the share.
    pub quota_per_second: f64,
}

/// A kind of machine.
#[derive(Clone, Debug)]
pub struct MachineType {
    /// CPU and memory of a machine.
    pub capacity: Resources,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportSource {
    /// Nowhere.
    None,
    /// With outcomes and probes.
    WithAnswers,
    /// With probes alone.
    PollsOnly,
}

/// Figures of the rules.
#[derive(Clone, Debug)]
pub struct SafetyLimits {
    /// A final answer counts until this long after the deadline.
    pub answer_slack: Seconds,
    /// Without a subscription the list must be asked for at least this often.
    pub max_poll_interval: Seconds,
    /// A machine that has just come up starts tasks at this fraction of its pace, or above.
    pub slow_start_speed: f64,
    /// It is warm no later than this.
    pub slow_start_duration: Seconds,
    /// Offers within `overload_for`, from all schedulers together, that a cold machine always bears.
    pub slow_start_offers: f64,
    /// Sends to a leaving machine must stop within this of being told.
    pub drain_grace: Seconds,
    /// More than this multiple of present capacity ...
    pub overload_ratio: f64,
    /// ... for this long pushes a cold machine over.
    pub overload_window: Seconds,
}

/// What the result is charged for.
#[derive(Clone, Debug, Default)]
pub struct CostModel {
    /// All machines in use beyond those needed.
    pub idle_machines: f64,
    /// One refused offer for each task.
    pub rejected_offer: f64,
    /// One move for each task.
    pub migration: f64,
    /// Moves that one eviction counts as.
    pub eviction_in_migrations: f64,
    /// One probe for each task.
    pub load_poll: f64,
    /// One full message for each task.
    pub gossip_message: f64,
}

/// What a scheduler is told before it starts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of this scheduler, from 0.
    pub ordinal: usize,
    /// How many schedulers share the machines.
    pub scheduler_count: usize,
    /// The zone that this scheduler is in.
    pub zone: usize,
    /// The classes; tasks name theirs by index.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The kinds of machines.
    pub machine_types: Vec<MachineType>,
    /// Machines accept tasks until these ask for this multiple of their CPU, or of their memory.
    pub overcommit: Resources,
    /// The tasks of a service come to one scheduler while that is up (else to any).
    pub single_scheduler_per_service: bool,
    /// `Confirmed` arrives when the task runs (else when it is accepted).
    pub confirm_when_running: bool,
    /// The list of machines must be subscribed to (else changes arrive unasked).
    pub requires_subscription: bool,
    /// List entries carry unclaimed cores and memory.
    pub lists_unclaimed: bool,
    /// Where reports come from.
    pub load_reports: LoadReportSource,
    /// Reports tell cores and memory not in use (else not asked for).
    pub reports_measured_usage: bool,
    /// Probes are permitted.
    pub allows_load_polls: bool,
    /// Schedulers may tell each other things.
    pub allows_gossip: bool,
    /// Attempts that one request may have.
    pub max_attempts: u32,
    /// The longest advice to stay away that is followed, 0 if none is.
    pub max_retry_after: Seconds,
    /// Worth of a task beyond its tenant's share, as a fraction.
    pub over_quota_weight: f64,
    /// Figures of the rules.
    pub safety_limits: SafetyLimits,
    /// What costs.
    pub costs: CostModel,
}

impl Settings {
    /// Tells the first field that can't be worked with.
    pub fn check(&self) -> Result<(), SettingsError> {
        let fail = |field, problem: &str| {
            Err(SettingsError {
                field,
                problem: problem.to_owned(),
            })
        };
        let bad = |x: f64| x.is_nan() || x < 0.0;
        if self.classes.is_empty() {
            return fail("classes", "at least one is needed");
        }
        if self.machine_types.is_empty()
            || self
                .machine_types
                .iter()
                .any(|k| !(k.capacity.cpu > 0.0 && k.capacity.memory > 0.0))
        {
            return fail(
                "kinds",
                "at least one is needed, each with cores and memory above 0",
            );
        }
        if self.scheduler_count == 0 || self.ordinal >= self.scheduler_count {
            return fail("schedulers", "must be above the ordinal of this one");
        }
        for c in &self.classes {
            if [
                c.latency_objective,
                c.deadline,
                c.priority_weight,
                c.start_weight,
                c.full_service_utilization,
                c.degradation_range,
            ]
            .into_iter()
            .any(bad)
            {
                return fail("classes", "a negative time, worth or share");
            }
            if c.machine_type
                .is_some_and(|k| k >= self.machine_types.len())
            {
                return fail("classes", "a kind that is not among the kinds");
            }
            if matches!(c.retry_safety, RetrySafety::IdempotencyKeyed { window, .. } if bad(window))
            {
                return fail("classes", "a negative window");
            }
        }
        let s = &self.safety_limits;
        let times = [
            s.answer_slack,
            s.max_poll_interval,
            s.slow_start_duration,
            s.drain_grace,
            s.overload_window,
            s.slow_start_offers,
        ];
        if times
            .into_iter()
            .chain([s.slow_start_speed, s.overload_ratio])
            .any(bad)
        {
            return fail("safety", "a negative figure");
        }
        if bad(self.overcommit.cpu) || bad(self.overcommit.memory) {
            return fail("admit_cores", "a negative figure");
        }
        Ok(())
    }
}

/// A setting that can't be worked with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The field of [`Settings`].
    pub field: &'static str,
    /// What is wrong with it.
    pub problem: String,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "settings: {}: {}", self.field, self.problem)
    }
}

impl std::error::Error for SettingsError {}
