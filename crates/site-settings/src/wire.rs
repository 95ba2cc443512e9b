//! Sections of the settings object as the operators write them. Times are in seconds.

use serde::Deserialize;

/// An entry of `services`: a class of tasks.
#[derive(Deserialize)]
pub(crate) struct ClassInfo {
    #[serde(default)]
    pub(crate) name: String,
    #[serde(rename = "aimS")]
    pub(crate) latency_objective: f64,
    #[serde(rename = "deadlineS")]
    pub(crate) deadline: f64,
    /// `safe`, `keyed` or `unsafe`.
    #[serde(rename = "effect")]
    pub(crate) retry_safety: String,
    /// Name of the failure domain within which a key is recognised; used for `keyed` only.
    #[serde(default, rename = "group")]
    pub(crate) deduplication_domain: String,
    /// How long a key is remembered; used for `keyed` only.
    #[serde(default, rename = "windowS")]
    pub(crate) deduplication_window: f64,
    #[serde(rename = "credit")]
    pub(crate) priority_weight: f64,
}

/// An entry of `realms`: a tenant.
#[derive(Deserialize)]
pub(crate) struct TenantInfo {
    #[serde(default)]
    pub(crate) name: String,
    #[serde(default, rename = "quotaPerS")]
    pub(crate) quota_per_second: f64,
    #[serde(rename = "share")]
    pub(crate) quota_fraction: f64,
}

/// The section `familyInfo`. Each list has an entry by class or by machine type.
#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct FamilyInfo {
    #[serde(rename = "acceptsMemory")]
    pub(crate) memory_overcommit: f64,
    /// `running` if machines confirm an attempt once it runs, not as soon as they accept it.
    #[serde(rename = "ack")]
    pub(crate) confirmation: String,
    #[serde(rename = "admitCores")]
    pub(crate) cpu_overcommit: f64,
    /// By class: name of a failure domain, or `none`.
    #[serde(rename = "apartBy")]
    pub(crate) spread_domains: Vec<String>,
    /// By class: CPU utilization of a machine up to which the class gets full service, as a fraction.
    #[serde(rename = "classCalm")]
    pub(crate) full_service_utilizations: Vec<f64>,
    #[serde(rename = "coldBears")]
    pub(crate) slow_start_offers: f64,
    #[serde(rename = "evictionAsMoves")]
    pub(crate) eviction_in_migrations: f64,
    /// By class: index of the machine type, negative for any.
    #[serde(rename = "kindByClass")]
    pub(crate) required_machine_types: Vec<i64>,
    /// By machine type: CPU capacity of a machine, in cores.
    #[serde(rename = "kindCores")]
    pub(crate) cpu_capacities: Vec<f64>,
    #[serde(rename = "listsFree")]
    pub(crate) lists_unclaimed: bool,
    /// By class: further utilization over which service falls linearly to zero, as a fraction.
    #[serde(rename = "lostAfter")]
    pub(crate) degradation_ranges: Vec<f64>,
    /// `used` if load reports hold measured usage.
    #[serde(rename = "measuredBy")]
    pub(crate) usage_source: String,
    /// By machine type: memory capacity of a machine.
    #[serde(rename = "memOfKind")]
    pub(crate) memory_capacities: Vec<f64>,
    #[serde(rename = "oneHome")]
    pub(crate) single_scheduler_per_service: bool,
    /// By class: a task of higher priority takes precedence over one of lower priority.
    #[serde(rename = "priorityByClass")]
    pub(crate) priorities: Vec<u32>,
    #[serde(rename = "refusedPrice")]
    pub(crate) rejected_offer_cost: f64,
    /// By class: value of a timely start, in seconds of full service.
    #[serde(rename = "startSeconds")]
    pub(crate) start_weights: Vec<f64>,
    /// By class: maximum number of tasks of one service in one domain of `spread_domains`.
    #[serde(rename = "togetherMax")]
    pub(crate) max_per_spread_domain: Vec<u32>,
}

/// The section `limits`.
#[derive(Deserialize)]
pub(crate) struct Limits {
    #[serde(rename = "maxAttempts")]
    pub(crate) max_attempts: u32,
    #[serde(default, rename = "maxRetryAfterS")]
    pub(crate) max_retry_after: f64,
    #[serde(default, rename = "peers")]
    pub(crate) allows_gossip: bool,
    #[serde(default, rename = "probes")]
    pub(crate) allows_load_polls: bool,
    /// Whether clients follow the time before a retry that a rejection advises.
    #[serde(default, rename = "retryAfter")]
    pub(crate) allows_retry_after: bool,
    #[serde(default, rename = "connectTimeoutS")]
    pub(crate) connect_timeout: Option<f64>,
    #[serde(default, rename = "connIdleS")]
    pub(crate) idle_connection_timeout: Option<f64>,
}

/// The section `report`.
#[derive(Deserialize)]
pub(crate) struct ReportInfo {
    /// `answers`, `probe`, or anything else for no load reports.
    #[serde(default, rename = "via")]
    pub(crate) source: String,
}

/// The section `safety`.
#[derive(Deserialize)]
pub(crate) struct SafetyInfo {
    #[serde(rename = "answerSlackS")]
    pub(crate) answer_slack: f64,
    #[serde(default, rename = "askWithinS")]
    pub(crate) max_poll_interval: f64,
    #[serde(rename = "coldFrom")]
    pub(crate) slow_start_speed: f64,
    #[serde(rename = "coldS")]
    pub(crate) slow_start_duration: f64,
    #[serde(rename = "drainGraceS")]
    pub(crate) drain_grace: f64,
    #[serde(rename = "fallMultiple")]
    pub(crate) overload_ratio: f64,
    #[serde(rename = "overloadForS")]
    pub(crate) overload_window: f64,
}

/// The section `tariffs`.
#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct CostInfo {
    #[serde(rename = "fleet")]
    pub(crate) idle_machines: f64,
    #[serde(rename = "moves")]
    pub(crate) migration: f64,
    #[serde(rename = "peer")]
    pub(crate) gossip_message: f64,
    #[serde(rename = "probe")]
    pub(crate) load_poll: f64,
}
