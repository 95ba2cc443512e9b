//! Top level of the settings: classes, tenants and node types. Times are seconds, memory is in units of 1 GiB.

use crate::{
    CoordinationSection, CostModel, EdgeSection, JobControllerSection, MembershipSection,
    NodesSection, PersistenceSection, PlannerSection, SafetyLimits,
};
use indexmap::IndexMap;
use serde::Deserialize;

/// All settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Namespaces that are tenants.
    #[serde(default)]
    #[serde(rename = "tenant")]
    pub tenants: IndexMap<String, Tenant>,
    /// Classes, by `priorityClassName`; the first is for Pods that name none.
    #[serde(rename = "class")]
    pub classes: IndexMap<String, Class>,
    /// Node types, by the label `node.kubernetes.io/instance-type`.
    #[serde(rename = "kind")]
    pub node_types: IndexMap<String, NodeType>,
    /// What nodes and their list report, and what nodes accept.
    #[serde(default)]
    pub nodes: NodesSection,
    /// Bounds of the safety rules.
    #[serde(default)]
    #[serde(rename = "safety")]
    pub safety_limits: SafetyLimits,
    /// What the policy is charged for.
    #[serde(default)]
    #[serde(rename = "prices")]
    pub costs: CostModel,
    /// The edge.
    #[serde(default)]
    pub edge: EdgeSection,
    /// The planner.
    #[serde(default)]
    pub planner: PlannerSection,
    /// How Jobs are retried.
    #[serde(default)]
    #[serde(rename = "owner")]
    pub job_controller: JobControllerSection,
    /// Membership of the fleet; off without it.
    #[serde(default)]
    #[serde(rename = "fleet")]
    pub membership: Option<MembershipSection>,
    /// Replicated log and leases; off without it.
    #[serde(default)]
    #[serde(rename = "ledger")]
    pub coordination: Option<CoordinationSection>,
    /// Where state is stored; in memory only without it.
    #[serde(default)]
    #[serde(rename = "durable")]
    pub persistence: Option<PersistenceSection>,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its fraction of all tasks.
    #[serde(rename = "share")]
    pub quota_fraction: f64,
    /// New tasks a second within the quota.
    #[serde(rename = "quota_per_s")]
    pub quota_per_second: f64,
}

/// What a second run of a task does.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum RetrySafety {
    /// No harm: it can be retried at will.
    #[serde(rename = "safe")]
    Idempotent,
    /// Retries are deduplicated by key, within a failure domain and for a while.
    #[serde(rename = "keyed")]
    IdempotencyKeyed,
    /// Harm: it is never retried unless no earlier attempt has run.
    #[serde(rename = "unsafe")]
    NonIdempotent,
}

/// A set of nodes that fail together.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum FailureDomain {
    /// All nodes.
    All,
    /// A zone.
    Zone,
    /// A rack.
    Rack,
    /// A node.
    Node,
}

/// Default of weights and fractions.
fn one() -> f64 {
    1.0
}

/// A class.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// A start within this time earns its full weight.
    #[serde(rename = "aim")]
    pub latency_objective: f64,
    /// How long owners wait, if a Pod does not say.
    pub deadline: f64,
    /// What a second run does.
    #[serde(rename = "effect")]
    pub retry_safety: RetrySafety,
    /// Keyed classes: the failure domain that deduplicates retries.
    #[serde(rename = "group")]
    pub deduplication_domain: Option<FailureDomain>,
    /// Keyed classes: for how long.
    #[serde(rename = "window")]
    pub deduplication_window: Option<f64>,
    /// Weight of one second of full service.
    #[serde(default = "one")]
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Seconds of service that a start within the objective is worth.
    #[serde(default)]
    #[serde(rename = "start_worth")]
    pub start_weight: f64,
    /// Fraction of a node's CPU in use up to which the class is served in full.
    #[serde(default = "one")]
    #[serde(rename = "calm")]
    pub full_service_utilization: f64,
    /// Service degrades to nothing over this much more utilization.
    #[serde(default = "one")]
    #[serde(rename = "fade")]
    pub degradation_range: f64,
    /// The node type that it needs.
    #[serde(rename = "kind")]
    pub node_type: Option<String>,
    /// Higher priorities are placed first.
    #[serde(default)]
    pub priority: u32,
    /// The failure domain of the spread limit.
    #[serde(rename = "spread")]
    pub spread_domain: Option<FailureDomain>,
    /// Tasks of one service in one such domain, for one planner.
    #[serde(default)]
    #[serde(rename = "spread_most")]
    pub max_per_spread_domain: u32,
}

/// A node type.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeType {
    /// CPU, in cores.
    pub cores: f64,
    /// Memory, in memory units.
    pub memory: f64,
}
