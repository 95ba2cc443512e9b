//! The settings as they stand in the file. Times are seconds, memory is in units of 1 GiB.

use crate::{DurableBlock, Edge, FleetBlock, LedgerBlock, Nodes, Owner, Planner, Prices, Safety};
use indexmap::IndexMap;
use serde::Deserialize;

/// All settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Namespaces that are tenants.
    #[serde(default)]
    pub tenant: IndexMap<String, Tenant>,
    /// Classes, by `priorityClassName`; the first is for Pods that name none.
    pub class: IndexMap<String, Class>,
    /// Kinds of nodes, by the label `node.kubernetes.io/instance-type`.
    pub kind: IndexMap<String, Kind>,
    /// What nodes and their list tell, and what they accept.
    #[serde(default)]
    pub nodes: Nodes,
    /// Figures of the rules.
    #[serde(default)]
    pub safety: Safety,
    /// What costs, for the policy.
    #[serde(default)]
    pub prices: Prices,
    /// The edge.
    #[serde(default)]
    pub edge: Edge,
    /// The planner.
    #[serde(default)]
    pub planner: Planner,
    /// The owner's side.
    #[serde(default)]
    pub owner: Owner,
    /// The fleet's view; off without it.
    #[serde(default)]
    pub fleet: Option<FleetBlock>,
    /// The fleet's memory; off without it.
    #[serde(default)]
    pub ledger: Option<LedgerBlock>,
    /// What outlives the processes; memory only without it.
    #[serde(default)]
    pub durable: Option<DurableBlock>,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its fraction of the service.
    pub share: f64,
    /// New tasks a second within the share.
    pub quota_per_s: f64,
}

/// What repeats of a task do.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// No harm.
    Safe,
    /// They are dropped within a group for a while.
    Keyed,
    /// Harm.
    Unsafe,
}

/// A set of nodes that belong together.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Place {
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
    pub aim: f64,
    /// How long owners wait, where a Pod does not say.
    pub deadline: f64,
    /// What repeats do.
    pub effect: Effect,
    /// `keyed`: where repeats are dropped.
    pub group: Option<Place>,
    /// `keyed`: for how long.
    pub window: Option<f64>,
    /// Worth of one second of full service.
    #[serde(default = "one")]
    pub worth: f64,
    /// Seconds of service that a timely start is worth.
    #[serde(default)]
    pub start_worth: f64,
    /// Share of a node's cores up to which the class is served in full.
    #[serde(default = "one")]
    pub calm: f64,
    /// Service drops to nothing over this much more.
    #[serde(default = "one")]
    pub fade: f64,
    /// The kind of node that it needs.
    pub kind: Option<String>,
    /// Higher goes first.
    #[serde(default)]
    pub priority: u32,
    /// Where `spread_most` counts.
    pub spread: Option<Place>,
    /// The most tasks of one service in one such place, for one planner.
    #[serde(default)]
    pub spread_most: u32,
}

/// A kind of node.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Cores.
    pub cores: f64,
    /// Memory units.
    pub memory: f64,
}
