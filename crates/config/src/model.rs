//! The settings as they stand in the file. Times are seconds, memory is in units of 1 GiB.

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
    /// Kinds of nodes, by the label `node.kubernetes.io/instance-type`.
    #[serde(rename = "kind")]
    pub node_types: IndexMap<String, NodeType>,
    /// What nodes and their list tell, and what they accept.
    #[serde(default)]
    pub nodes: NodesSection,
    /// Figures of the rules.
    #[serde(default)]
    #[serde(rename = "safety")]
    pub safety_limits: SafetyLimits,
    /// What costs, for the policy.
    #[serde(default)]
    #[serde(rename = "prices")]
    pub costs: CostModel,
    /// The edge.
    #[serde(default)]
    pub edge: EdgeSection,
    /// The planner.
    #[serde(default)]
    pub planner: PlannerSection,
    /// The owner's side.
    #[serde(default)]
    #[serde(rename = "owner")]
    pub job_controller: JobControllerSection,
    /// The fleet's view; off without it.
    #[serde(default)]
    #[serde(rename = "fleet")]
    pub membership: Option<MembershipSection>,
    /// The fleet's memory; off without it.
    #[serde(default)]
    #[serde(rename = "ledger")]
    pub coordination: Option<CoordinationSection>,
    /// What outlives the processes; memory only without it.
    #[serde(default)]
    #[serde(rename = "durable")]
    pub persistence: Option<PersistenceSection>,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its fraction of the service.
    #[serde(rename = "share")]
    pub quota_fraction: f64,
    /// New tasks a second within the share.
    #[serde(rename = "quota_per_s")]
    pub quota_per_second: f64,
}

/// What repeats of a task do.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum RetrySafety {
    /// No harm.
    #[serde(rename = "safe")]
    Idempotent,
    /// They are dropped within a group for a while.
    #[serde(rename = "keyed")]
    IdempotencyKeyed,
    /// Harm.
    #[serde(rename = "unsafe")]
    NonIdempotent,
}

/// A set of nodes that belong together.
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

fn one() -> f64 {
    1.0
}

/// A class.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// A first start within this time earns its full worth.
    #[serde(rename = "aim")]
    pub latency_objective: f64,
    /// How long owners wait, where a Pod does not say.
    pub deadline: f64,
    /// What repeats do.
    #[serde(rename = "effect")]
    pub retry_safety: RetrySafety,
    /// `keyed`: where repeats are dropped.
    #[serde(rename = "group")]
    pub deduplication_domain: Option<FailureDomain>,
    /// `keyed`: for how long.
    #[serde(rename = "window")]
    pub deduplication_window: Option<f64>,
    /// Worth of one second of full service.
    #[serde(default = "one")]
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Seconds of service that a timely start is worth.
    #[serde(default)]
    #[serde(rename = "start_worth")]
    pub start_weight: f64,
    /// Share of a node's cores up to which the class is served in full.
    #[serde(default = "one")]
    #[serde(rename = "calm")]
    pub full_service_utilization: f64,
    /// Service drops to nothing over this much more.
    #[serde(default = "one")]
    #[serde(rename = "fade")]
    pub degradation_range: f64,
    /// The kind of node that it needs.
    #[serde(rename = "kind")]
    pub node_type: Option<String>,
    /// Higher goes first.
    #[serde(default)]
    pub priority: u32,
    /// Where `spread_most` counts.
    #[serde(rename = "spread")]
    pub spread_domain: Option<FailureDomain>,
    /// The most tasks of one service in one such place, for one planner.
    #[serde(default)]
    #[serde(rename = "spread_most")]
    pub max_per_spread_domain: u32,
}

/// A kind of node.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeType {
    /// Cores.
    pub cores: f64,
    /// Memory units.
    pub memory: f64,
}
