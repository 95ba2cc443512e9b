//! Blocks of the settings that may be left out, with what holds then.

use serde::Deserialize;

macro_rules! section {
    ($(#[$doc:meta])* $name:ident { $($(#[$field_doc:meta])* $field:ident: $type:ty = $default:expr,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize)]
        #[serde(deny_unknown_fields, default)]
        pub struct $name { $($(#[$field_doc])* pub $field: $type,)* }
        impl Default for $name {
            fn default() -> Self {
                Self { $($field: $default,)* }
            }
        }
    };
}

section! {
    /// What nodes and their list tell, and what they accept.
    NodesSection {
        /// Nodes accept until Pods ask for this multiple of their cores.
        #[serde(rename = "admit_cores")]
        cpu_overcommit: f64 = 2.5,
        /// Or this multiple of their memory.
        #[serde(rename = "admit_memory")]
        memory_overcommit: f64 = 1.2,
        /// The list carries unclaimed cores and memory.
        #[serde(rename = "lists_free")]
        lists_unclaimed: bool = true,
        /// Answers carry the load.
        #[serde(rename = "reports")]
        load_reports: bool = true,
        /// Reports tell what is not in use (else what is not asked for).
        #[serde(rename = "reports_use")]
        reports_measured_usage: bool = true,
        /// Nodes let planners probe them.
        #[serde(rename = "probes")]
        allows_load_polls: bool = false,
        /// Attempts that one task may have.
        max_attempts: u32 = 4,
    }
}

section! {
    /// Figures of the rules.
    SafetyLimits {
        /// A final answer counts until this long after the deadline.
        answer_slack: f64 = 0.1,
        /// The list must be asked for at least this often where the watch is down.
        #[serde(rename = "ask_within")]
        max_poll_interval: f64 = 10.0,
        /// A node that has just come up starts Pods at this fraction of its pace, or above.
        #[serde(rename = "cold_from")]
        slow_start_speed: f64 = 0.15,
        /// It is warm no later than this.
        #[serde(rename = "cold")]
        slow_start_duration: f64 = 18.0,
        /// Offers within `overload_for`, from all planners, that a cold node always bears.
        #[serde(rename = "cold_bears")]
        slow_start_offers: f64 = 8.0,
        /// Sends to a leaving node must stop within this of being told.
        drain_grace: f64 = 1.0,
        /// More than this multiple of present capacity ...
        #[serde(rename = "fall_multiple")]
        overload_ratio: f64 = 2.5,
        /// ... for this long pushes a cold node over.
        #[serde(rename = "overload_for")]
        overload_window: f64 = 1.0,
    }
}

section! {
    /// What costs, for the policy; points of the result for each unit.
    CostModel {
        /// All nodes in use beyond those needed.
        #[serde(rename = "machines")]
        idle_machines: f64 = 0.0,
        /// One refused offer for each task.
        #[serde(rename = "refused")]
        rejected_offer: f64 = 0.03,
        /// One move for each task.
        #[serde(rename = "moves")]
        migration: f64 = 0.08,
        /// Moves that one eviction counts as.
        #[serde(rename = "eviction_as_moves")]
        eviction_in_migrations: f64 = 2.0,
        /// One probe for each task.
        #[serde(rename = "probe")]
        load_poll: f64 = 0.003,
        /// One full message for each task.
        #[serde(rename = "message")]
        gossip_message: f64 = 0.01,
    }
}

section! {
    /// The edge.
    EdgeSection {
        /// Tasks without an answer; beyond, creates get 429.
        #[serde(rename = "open_most")]
        max_open_tasks: u32 = 5_000,
        /// Open tasks that one planner may hold; beyond, tasks queue at the edge.
        #[serde(rename = "planner_most")]
        max_tasks_per_planner: u32 = 500,
        /// Connections to the API.
        #[serde(rename = "connections_most")]
        max_connections: u32 = 4_096,
        /// Bytes of one body.
        #[serde(rename = "body_most")]
        max_body_bytes: u32 = 3_145_728,
        /// A request's head must be there within this.
        head_timeout: f64 = 10.0,
        /// A request's body must be there within this.
        body_timeout: f64 = 30.0,
        /// Changes that the history of one resource keeps.
        #[serde(rename = "history")]
        max_history: u32 = 16_384,
        /// Objects of one resource.
        #[serde(rename = "objects_most")]
        max_objects: u32 = 200_000,
        /// A bookmark goes to watches that want them this often.
        #[serde(rename = "bookmark_every")]
        bookmark_interval: f64 = 15.0,
        /// Seconds without a word after which a planner is lost.
        #[serde(rename = "planner_patience")]
        planner_timeout: f64 = 2.0,
        /// Tasks of one service go to one planner while that is up.
        #[serde(rename = "one_home")]
        single_planner_per_service: bool = false,
    }
}

section! {
    /// How edges and planners find each other.
    MembershipSection {
        /// Members of other clusters are not listened to.
        cluster: String = MembershipSection::CLUSTER.into(),
        /// Address for datagrams.
        listen: String = "127.0.0.1:0".into(),
        /// Addresses of other members; one that answers is enough.
        join: Vec<String> = vec![],
        /// Members at a time.
        #[serde(rename = "members_most")]
        max_members: u32 = 1_024,
    }
}

impl MembershipSection {
    /// The cluster's name where the settings give none.
    pub const CLUSTER: &str = "tidespur";
}

section! {
    /// What outlives the processes.
    PersistenceSection {
        /// Each process has a folder of its name beneath this one.
        #[serde(rename = "dir")]
        directory: String = String::new(),
    }
}

/// Voters by name, with the addresses at which they hear each other, in the order of the settings.
pub type Voters = indexmap::IndexMap<String, String>;

section! {
    /// The fleet's memory.
    CoordinationSection {
        /// Edges that vote, by name: 1, 3 or 5, the same at all, with the addresses at which they hear each other.
        voters: Voters = Voters::new(),
        /// How long a lease holds without being renewed.
        #[serde(rename = "term")]
        lease_term: f64 = 6.0,
        /// How far two clocks may run apart, as a share.
        #[serde(rename = "drift")]
        max_clock_drift: f64 = 0.01,
    }
}

section! {
    /// The planner.
    PlannerSection {
        /// Connections to one node.
        #[serde(rename = "node_connections")]
        max_connections_per_node: u32 = 16,
        /// Events taken into one step at most.
        #[serde(rename = "step_most")]
        max_events_per_step: u32 = 512,
        /// Seconds without a word after which an edge is lost.
        #[serde(rename = "edge_patience")]
        edge_timeout: f64 = 2.0,
        /// How many planners share the nodes.
        #[serde(rename = "planners")]
        planner_count: u32 = 1,
        /// Edges are told why their tasks wait.
        #[serde(rename = "reasons")]
        publishes_pending_reasons: bool = true,
    }
}

section! {
    /// The owner's side: how the Job controller asks again.
    JobControllerSection {
        /// First pause after a refusal, failure or eviction; drawn from half to the whole, doubling.
        #[serde(rename = "again_first")]
        initial_backoff: f64 = 1.5,
        /// Longest pause.
        #[serde(rename = "again_most")]
        max_backoff: f64 = 60.0,
        /// Pause after a move or a loss.
        #[serde(rename = "again_lost")]
        lost_task_backoff: f64 = 0.2,
        /// Tasks that may have run and must not twice: asked for after this long.
        #[serde(rename = "settle")]
        outcome_query_delay: f64 = 3.0,
    }
}
