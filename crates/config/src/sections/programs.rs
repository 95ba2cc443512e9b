//! Blocks for edge, planner and Job controller.

use serde::Deserialize;

/// Block `edge`: limits and timeouts. Times are in seconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EdgeSection {
    /// Most tasks without an outcome; further creates are rejected with 429.
    #[serde(rename = "open_most")]
    pub max_open_tasks: u32,
    /// Most open tasks at one planner; further tasks are queued at the edge.
    #[serde(rename = "planner_most")]
    pub max_tasks_per_planner: u32,
    /// Most connections to the API.
    #[serde(rename = "connections_most")]
    pub max_connections: u32,
    /// Longest request body, in bytes.
    #[serde(rename = "body_most")]
    pub max_body_bytes: u32,
    /// Time within which the head of a request has to arrive.
    pub head_timeout: f64,
    /// Time within which the body of a request has to arrive.
    pub body_timeout: f64,
    /// Most changes in the history of a resource, which watches can start from.
    #[serde(rename = "history")]
    pub max_history: u32,
    /// Most objects of a resource.
    #[serde(rename = "objects_most")]
    pub max_objects: u32,
    /// Interval of the bookmarks in watches that ask for them.
    #[serde(rename = "bookmark_every")]
    pub bookmark_interval: f64,
    /// Time without a message after which a planner is lost.
    #[serde(rename = "planner_patience")]
    pub planner_timeout: f64,
    /// Whether all tasks of a service go to one planner while it is connected.
    #[serde(rename = "one_home")]
    pub single_planner_per_service: bool,
}

impl Default for EdgeSection {
    fn default() -> Self {
        Self {
            max_open_tasks: 5_000,
            max_tasks_per_planner: 500,
            max_connections: 4_096,
            max_body_bytes: 3_145_728,
            head_timeout: 10.0,
            body_timeout: 30.0,
            max_history: 16_384,
            max_objects: 200_000,
            bookmark_interval: 15.0,
            planner_timeout: 2.0,
            single_planner_per_service: false,
        }
    }
}

/// Block `planner`: limits and timeouts. Times are in seconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlannerSection {
    /// Most connections to one node.
    #[serde(rename = "node_connections")]
    pub max_connections_per_node: u32,
    /// Most events that are processed in one step.
    #[serde(rename = "step_most")]
    pub max_events_per_step: u32,
    /// Time without a message after which an edge is lost.
    #[serde(rename = "edge_patience")]
    pub edge_timeout: f64,
    /// Number of planners that share the nodes.
    #[serde(rename = "planners")]
    pub planner_count: u32,
    /// Whether planners tell edges why their tasks are pending.
    #[serde(rename = "reasons")]
    pub publishes_pending_reasons: bool,
}

impl Default for PlannerSection {
    fn default() -> Self {
        Self {
            max_connections_per_node: 16,
            max_events_per_step: 512,
            edge_timeout: 2.0,
            planner_count: 1,
            publishes_pending_reasons: true,
        }
    }
}

/// Block `owner`: retries of the Job controller. Times are in seconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct JobControllerSection {
    /// First backoff after a rejection, failure or eviction; it doubles with each further one. The delay is drawn at
    /// random from half of the backoff to the whole.
    #[serde(rename = "again_first")]
    pub initial_backoff: f64,
    /// Upper limit of the backoff that starts at `initial_backoff`, before the random reduction.
    #[serde(rename = "again_most")]
    pub max_backoff: f64,
    /// Backoff after a migration or a lost node.
    #[serde(rename = "again_lost")]
    pub lost_task_backoff: f64,
    /// Delay after which the planners are queried for the outcome of a task that may have run and is not idempotent.
    #[serde(rename = "settle")]
    pub outcome_query_delay: f64,
}

impl Default for JobControllerSection {
    fn default() -> Self {
        Self {
            initial_backoff: 1.5,
            max_backoff: 60.0,
            lost_task_backoff: 0.2,
            outcome_query_delay: 3.0,
        }
    }
}
