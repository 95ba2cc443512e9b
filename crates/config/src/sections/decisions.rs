//! Blocks that become settings of the policy: nodes, safety limits, costs.

use serde::Deserialize;

/// Block `nodes`: load reports and admission limits of nodes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NodesSection {
    /// Multiple of its CPU that the Pods accepted by a node may request.
    #[serde(rename = "admit_cores")]
    pub cpu_overcommit: f64,
    /// Multiple of its memory that the Pods accepted by a node may request.
    #[serde(rename = "admit_memory")]
    pub memory_overcommit: f64,
    /// Whether the node list contains unclaimed CPU and memory.
    #[serde(rename = "lists_free")]
    pub lists_unclaimed: bool,
    /// Whether responses of nodes contain a load report.
    #[serde(rename = "reports")]
    pub load_reports: bool,
    /// Whether load reports state the resources that are not in use; otherwise those that are not requested.
    #[serde(rename = "reports_use")]
    pub reports_measured_usage: bool,
    /// Whether planners may poll nodes for their load.
    #[serde(rename = "probes")]
    pub allows_load_polls: bool,
    /// Most attempts per task.
    pub max_attempts: u32,
}

impl Default for NodesSection {
    fn default() -> Self {
        Self {
            cpu_overcommit: 2.5,
            memory_overcommit: 1.2,
            lists_unclaimed: true,
            load_reports: true,
            reports_measured_usage: true,
            allows_load_polls: false,
            max_attempts: 4,
        }
    }
}

/// Block `safety`: limits of the safety rules. Times are in seconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SafetyLimits {
    /// Time after the deadline within which a final answer still counts.
    pub answer_slack: f64,
    /// Longest interval between polls of the node list while its watch is down.
    #[serde(rename = "ask_within")]
    pub max_poll_interval: f64,
    /// Least speed of a node that has just started, as a fraction of its full speed.
    #[serde(rename = "cold_from")]
    pub slow_start_speed: f64,
    /// Longest duration of the slow start of a node.
    #[serde(rename = "cold")]
    pub slow_start_duration: f64,
    /// Offers that a node in slow start can always take within the overload window, from all planners together.
    #[serde(rename = "cold_bears")]
    pub slow_start_offers: f64,
    /// Time after the notification of a drain within which offers to the node must stop.
    pub drain_grace: f64,
    /// Multiple of its present capacity above which work overloads a node in slow start, if it lasts for the overload
    /// window.
    #[serde(rename = "fall_multiple")]
    pub overload_ratio: f64,
    /// How long work has to be above the overload ratio to overload a node in slow start.
    #[serde(rename = "overload_for")]
    pub overload_window: f64,
}

impl Default for SafetyLimits {
    fn default() -> Self {
        Self {
            answer_slack: 0.1,
            max_poll_interval: 10.0,
            slow_start_speed: 0.15,
            slow_start_duration: 18.0,
            slow_start_offers: 8.0,
            drain_grace: 1.0,
            overload_ratio: 2.5,
            overload_window: 1.0,
        }
    }
}

/// Block `prices`: costs that the policy takes into account, in points of the result per unit.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CostModel {
    /// Cost of having all nodes in use, beyond those needed.
    #[serde(rename = "machines")]
    pub idle_machines: f64,
    /// Cost of one rejected offer per task.
    #[serde(rename = "refused")]
    pub rejected_offer: f64,
    /// Cost of one migration per task.
    #[serde(rename = "moves")]
    pub migration: f64,
    /// Cost of an eviction, in migrations.
    #[serde(rename = "eviction_as_moves")]
    pub eviction_in_migrations: f64,
    /// Cost of one load poll per task.
    #[serde(rename = "probe")]
    pub load_poll: f64,
    /// Cost of one full gossip message per task.
    #[serde(rename = "message")]
    pub gossip_message: f64,
}

impl Default for CostModel {
    fn default() -> Self {
        Self {
            idle_machines: 0.0,
            rejected_offer: 0.03,
            migration: 0.08,
            eviction_in_migrations: 2.0,
            load_poll: 0.003,
            gossip_message: 0.01,
        }
    }
}
