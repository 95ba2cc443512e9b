//! Blocks that the policy is started with: nodes, safety limits, costs.

use serde::Deserialize;

/// Block `nodes`: what nodes and their list report, and what nodes accept.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NodesSection {
    /// Nodes accept Pods until these request this multiple of the CPU.
    #[serde(rename = "admit_cores")]
    pub cpu_overcommit: f64,
    /// Nodes accept Pods until these request this multiple of the memory.
    #[serde(rename = "admit_memory")]
    pub memory_overcommit: f64,
    /// The node list carries unclaimed CPU and memory.
    #[serde(rename = "lists_free")]
    pub lists_unclaimed: bool,
    /// Answers of nodes carry their load.
    #[serde(rename = "reports")]
    pub load_reports: bool,
    /// Load reports say what is not in use; otherwise what is not requested.
    #[serde(rename = "reports_use")]
    pub reports_measured_usage: bool,
    /// Planners may poll nodes for their load.
    #[serde(rename = "probes")]
    pub allows_load_polls: bool,
    /// Attempts that one task may have.
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

/// Block `safety`: bounds of the safety rules. Times are seconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SafetyLimits {
    /// A final answer counts until this long after the deadline.
    pub answer_slack: f64,
    /// The node list is polled at least this often while its watch is down.
    #[serde(rename = "ask_within")]
    pub max_poll_interval: f64,
    /// A node that has just started runs Pods at this fraction of its speed, or above.
    #[serde(rename = "cold_from")]
    pub slow_start_speed: f64,
    /// Its slow start is over after this time at the latest.
    #[serde(rename = "cold")]
    pub slow_start_duration: f64,
    /// Offers within the overload window, of all planners together, that a node in slow start always bears.
    #[serde(rename = "cold_bears")]
    pub slow_start_offers: f64,
    /// Offers to a draining node stop within this time of the notification.
    pub drain_grace: f64,
    /// More work than this multiple of the present capacity ...
    #[serde(rename = "fall_multiple")]
    pub overload_ratio: f64,
    /// ... for this long overloads a node in slow start.
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

/// Block `prices`: what the policy is charged for, in points of the result per unit.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CostModel {
    /// All nodes in use beyond those needed.
    #[serde(rename = "machines")]
    pub idle_machines: f64,
    /// One rejected offer for each task.
    #[serde(rename = "refused")]
    pub rejected_offer: f64,
    /// One migration for each task.
    #[serde(rename = "moves")]
    pub migration: f64,
    /// Migrations that one eviction counts as.
    #[serde(rename = "eviction_as_moves")]
    pub eviction_in_migrations: f64,
    /// One load poll for each task.
    #[serde(rename = "probe")]
    pub load_poll: f64,
    /// One full gossip message for each task.
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
