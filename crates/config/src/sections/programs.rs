//! Blocks of the programs: edge, planner, Job controller.

use serde::Deserialize;

/// Block `edge`. Times are seconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EdgeSection {
    /// Tasks without an answer; beyond that, creates get 429.
    #[serde(rename = "open_most")]
    pub max_open_tasks: u32,
    /// Open tasks that one planner may have; beyond that, tasks queue at the edge.
    #[serde(rename = "planner_most")]
    pub max_tasks_per_planner: u32,
    /// Connections to the API.
    #[serde(rename = "connections_most")]
    pub max_connections: u32,
    /// Bytes of one request body.
    #[serde(rename = "body_most")]
    pub max_body_bytes: u32,
    /// Time within which the head of a request has to arrive.
    pub head_timeout: f64,
    /// Time within which the body of a request has to arrive.
    pub body_timeout: f64,
    /// Changes in the history of one resource.
    #[serde(rename = "history")]
    pub max_history: u32,
    /// Objects of one resource.
    #[serde(rename = "objects_most")]
    pub max_objects: u32,
    /// How often watches that ask for bookmarks get one.
    #[serde(rename = "bookmark_every")]
    pub bookmark_interval: f64,
    /// A planner that sends nothing for this long is lost.
    #[serde(rename = "planner_patience")]
    pub planner_timeout: f64,
    /// Tasks of one service go to one planner while it is connected.
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

/// Block `planner`. Times are seconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlannerSection {
    /// Connections to one node.
    #[serde(rename = "node_connections")]
    pub max_connections_per_node: u32,
    /// Inputs taken into one step.
    #[serde(rename = "step_most")]
    pub max_events_per_step: u32,
    /// An edge that sends nothing for this long is lost.
    #[serde(rename = "edge_patience")]
    pub edge_timeout: f64,
    /// How many planners share the nodes.
    #[serde(rename = "planners")]
    pub planner_count: u32,
    /// Whether edges are sent the reasons why their tasks are pending.
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

/// Block `owner`: how the Job controller retries. Times are seconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct JobControllerSection {
    /// First backoff after a rejection, failure or eviction; drawn from half of it to the whole, then doubling.
    #[serde(rename = "again_first")]
    pub initial_backoff: f64,
    /// Longest backoff.
    #[serde(rename = "again_most")]
    pub max_backoff: f64,
    /// Backoff after a migration or a lost node.
    #[serde(rename = "again_lost")]
    pub lost_task_backoff: f64,
    /// Tasks that may have run and are not idempotent: the planners are asked after this time.
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
