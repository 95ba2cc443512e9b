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
    Nodes {
        /// Nodes accept until Pods ask for this multiple of their cores.
        admit_cores: f64 = 2.5,
        /// Or this multiple of their memory.
        admit_memory: f64 = 1.2,
        /// The list carries unclaimed cores and memory.
        lists_free: bool = true,
        /// Answers carry the load.
        reports: bool = true,
        /// Reports tell what is not in use (else what is not asked for).
        reports_use: bool = true,
        /// Nodes let planners probe them.
        probes: bool = false,
        /// Attempts that one task may have.
        max_attempts: u32 = 4,
    }
}

section! {
    /// Figures of the rules.
    Safety {
        /// A final answer counts until this long after the deadline.
        answer_slack: f64 = 0.1,
        /// The list must be asked for at least this often where the watch is down.
        ask_within: f64 = 10.0,
        /// A node that has just come up starts Pods at this fraction of its pace, or above.
        cold_from: f64 = 0.15,
        /// It is warm no later than this.
        cold: f64 = 18.0,
        /// Offers within `overload_for`, from all planners, that a cold node always bears.
        cold_bears: f64 = 8.0,
        /// Sends to a leaving node must stop within this of being told.
        drain_grace: f64 = 1.0,
        /// More than this multiple of present capacity ...
        fall_multiple: f64 = 2.5,
        /// ... for this long pushes a cold node over.
        overload_for: f64 = 1.0,
    }
}

section! {
    /// What costs, for the policy; points of the result for each unit.
    Prices {
        /// All nodes in use beyond those needed.
        machines: f64 = 0.0,
        /// One refused offer for each task.
        refused: f64 = 0.03,
        /// One move for each task.
        moves: f64 = 0.08,
        /// Moves that one eviction counts as.
        eviction_as_moves: f64 = 2.0,
        /// One probe for each task.
        probe: f64 = 0.003,
        /// One full message for each task.
        message: f64 = 0.01,
    }
}

section! {
    /// The edge.
    Edge {
        /// Tasks without an answer; beyond, creates get 429.
        open_most: u32 = 5_000,
        /// Open tasks that one planner may hold; beyond, tasks queue at the edge.
        planner_most: u32 = 500,
        /// Connections to the API.
        connections_most: u32 = 4_096,
        /// Bytes of one body.
        body_most: u32 = 3_145_728,
        /// A request's head must be there within this.
        head_timeout: f64 = 10.0,
        /// A request's body must be there within this.
        body_timeout: f64 = 30.0,
        /// Changes that the history of one resource keeps.
        history: u32 = 16_384,
        /// Objects of one resource.
        objects_most: u32 = 200_000,
        /// A bookmark goes to watches that want them this often.
        bookmark_every: f64 = 15.0,
        /// Seconds without a word after which a planner is lost.
        planner_patience: f64 = 2.0,
        /// Tasks of one service go to one planner while that is up.
        one_home: bool = false,
    }
}

section! {
    /// How edges and planners find each other.
    FleetBlock {
        /// Members of other clusters are not listened to.
        cluster: String = FleetBlock::CLUSTER.into(),
        /// Address for datagrams.
        listen: String = "127.0.0.1:0".into(),
        /// Addresses of other members; one that answers is enough.
        join: Vec<String> = vec![],
        /// Members at a time.
        members_most: u32 = 1_024,
    }
}

impl FleetBlock {
    /// The cluster's name where the settings give none.
    pub const CLUSTER: &str = "tidespur";
}

section! {
    /// What outlives the processes.
    DurableBlock {
        /// Each process has a folder of its name beneath this one.
        dir: String = String::new(),
    }
}

/// Voters by name, with the addresses at which they hear each other, in the order of the settings.
pub type Voters = indexmap::IndexMap<String, String>;

section! {
    /// The fleet's memory.
    LedgerBlock {
        /// Edges that vote, by name: 1, 3 or 5, the same at all, with the addresses at which they hear each other.
        voters: Voters = Voters::new(),
        /// How long a lease holds without being renewed.
        term: f64 = 6.0,
        /// How far two clocks may run apart, as a share.
        drift: f64 = 0.01,
    }
}

section! {
    /// The planner.
    Planner {
        /// Connections to one node.
        node_connections: u32 = 16,
        /// Events taken into one step at most.
        step_most: u32 = 512,
        /// Seconds without a word after which an edge is lost.
        edge_patience: f64 = 2.0,
        /// How many planners share the nodes.
        planners: u32 = 1,
        /// Edges are told why their tasks wait.
        reasons: bool = true,
    }
}

section! {
    /// The owner's side: how the Job controller asks again.
    Owner {
        /// First pause after a refusal, failure or eviction; drawn from half to the whole, doubling.
        again_first: f64 = 1.5,
        /// Longest pause.
        again_most: f64 = 60.0,
        /// Pause after a move or a loss.
        again_lost: f64 = 0.2,
        /// Tasks that may have run and must not twice: asked for after this long.
        settle: f64 = 3.0,
    }
}
