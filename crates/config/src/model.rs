//! Top level of the settings: classes, tenants and node types. Times are in seconds, memory in units of 1 GiB.

use crate::{
    CoordinationSection, CostModel, EdgeSection, JobControllerSection, MembershipSection,
    NodesSection, PersistenceSection, PlannerSection, SafetyLimits,
};
use indexmap::IndexMap;
use serde::Deserialize;

/// All settings of a file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Tenants, by namespace; empty if the file has none.
    #[serde(default)]
    #[serde(rename = "tenant")]
    pub tenants: IndexMap<String, Tenant>,
    /// Classes, by `priorityClassName`. The first one applies to Pods without a `priorityClassName`.
    #[serde(rename = "class")]
    pub classes: IndexMap<String, Class>,
    /// Node types, by the label `node.kubernetes.io/instance-type`.
    #[serde(rename = "kind")]
    pub node_types: IndexMap<String, NodeType>,
    /// Load reports and admission limits of nodes.
    #[serde(default)]
    pub nodes: NodesSection,
    /// Limits of the safety rules.
    #[serde(default)]
    #[serde(rename = "safety")]
    pub safety_limits: SafetyLimits,
    /// Costs that the policy weighs against the service of tasks.
    #[serde(default)]
    #[serde(rename = "prices")]
    pub costs: CostModel,
    /// Limits and timeouts of edges.
    #[serde(default)]
    pub edge: EdgeSection,
    /// Limits and timeouts of planners.
    #[serde(default)]
    pub planner: PlannerSection,
    /// Backoff of the Job controller.
    #[serde(default)]
    #[serde(rename = "owner")]
    pub job_controller: JobControllerSection,
    /// Gossip membership of edges and planners; `None` disables it.
    #[serde(default)]
    #[serde(rename = "fleet")]
    pub membership: Option<MembershipSection>,
    /// Replicated log and leases; `None` disables them.
    #[serde(default)]
    #[serde(rename = "ledger")]
    pub coordination: Option<CoordinationSection>,
    /// Where state is stored; `None` keeps it in memory only.
    #[serde(default)]
    #[serde(rename = "durable")]
    pub persistence: Option<PersistenceSection>,
}

/// Quota of a tenant.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Fraction of all tasks that the tenant is entitled to, 0 to 1; the sum over all tenants is 1 at most.
    #[serde(rename = "share")]
    pub quota_fraction: f64,
    /// Rate of new tasks within the quota, per second.
    #[serde(rename = "quota_per_s")]
    pub quota_per_second: f64,
}

/// Whether a second run of a task does harm.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum RetrySafety {
    /// It does no harm: the task may be retried at any time.
    #[serde(rename = "safe")]
    Idempotent,
    /// Retries are deduplicated by idempotency key, within a failure domain and a time window.
    #[serde(rename = "keyed")]
    IdempotencyKeyed,
    /// It does harm: the task is retried only if no earlier attempt has run.
    #[serde(rename = "unsafe")]
    NonIdempotent,
}

/// A set of nodes that fail together.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum FailureDomain {
    /// The whole cluster.
    All,
    /// The nodes of one zone.
    Zone,
    /// The nodes of one rack.
    Rack,
    /// A single node.
    Node,
}

/// Default of weights and fractions, for `serde`.
fn one() -> f64 {
    1.0
}

/// Requirements that tasks of one class have in common.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// A start within this time, in seconds, has its full weight.
    #[serde(rename = "aim")]
    pub latency_objective: f64,
    /// How long owners wait for a placement unless the Pod's annotation says otherwise, in seconds.
    pub deadline: f64,
    /// Whether tasks may be retried after an attempt that may have run.
    #[serde(rename = "effect")]
    pub retry_safety: RetrySafety,
    /// Failure domain that deduplicates retries; set for keyed classes only.
    #[serde(rename = "group")]
    pub deduplication_domain: Option<FailureDomain>,
    /// How long retries are deduplicated, in seconds; set for keyed classes only.
    #[serde(rename = "window")]
    pub deduplication_window: Option<f64>,
    /// Weight of one second of full service.
    #[serde(default = "one")]
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Value of a start within the objective, in seconds of full service.
    #[serde(default)]
    #[serde(rename = "start_worth")]
    pub start_weight: f64,
    /// CPU utilization of a node up to which its tasks get full service, 0 to 1.
    #[serde(default = "one")]
    #[serde(rename = "calm")]
    pub full_service_utilization: f64,
    /// Increase in utilization over which the service then drops to zero.
    #[serde(default = "one")]
    #[serde(rename = "fade")]
    pub degradation_range: f64,
    /// Node type that the tasks require; `None` for any.
    #[serde(rename = "kind")]
    pub node_type: Option<String>,
    /// Tasks of higher priority are placed first.
    #[serde(default)]
    pub priority: u32,
    /// Failure domain of the spread limit; `None` for no limit.
    #[serde(rename = "spread")]
    pub spread_domain: Option<FailureDomain>,
    /// Most tasks of one service in one spread domain; each planner counts its own.
    #[serde(default)]
    #[serde(rename = "spread_most")]
    pub max_per_spread_domain: u32,
}

/// Capacity of nodes of one type.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeType {
    /// CPU, in cores.
    pub cores: f64,
    /// Memory, in memory units.
    pub memory: f64,
}
