//! Blocks of what processes share and store: membership, coordination, persistence.

use indexmap::IndexMap;
use serde::Deserialize;

/// Block `fleet`: how edges and planners find each other.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MembershipSection {
    /// Members of other clusters are ignored.
    pub cluster: String,
    /// Address for gossip datagrams.
    pub listen: String,
    /// Addresses of other members; one that answers is enough.
    pub join: Vec<String>,
    /// Members at one time.
    #[serde(rename = "members_most")]
    pub max_members: u32,
}

impl Default for MembershipSection {
    fn default() -> Self {
        Self {
            cluster: MembershipSection::CLUSTER.into(),
            listen: "127.0.0.1:0".into(),
            join: vec![],
            max_members: 1_024,
        }
    }
}

impl MembershipSection {
    /// The cluster's name where the settings give none.
    pub const CLUSTER: &str = "tidespur";
}

/// Voters by name, with the addresses at which they reach each other, in the order of the settings.
pub type Voters = IndexMap<String, String>;

/// Block `ledger`: the replicated log of the fleet and its leases.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CoordinationSection {
    /// Edges that vote, by name: 1, 3 or 5, the same at all, with the addresses at which they reach each other.
    pub voters: Voters,
    /// How long a lease lasts without being renewed, in seconds.
    #[serde(rename = "term")]
    pub lease_term: f64,
    /// How far two clocks may drift apart, as a fraction.
    #[serde(rename = "drift")]
    pub max_clock_drift: f64,
}

impl Default for CoordinationSection {
    fn default() -> Self {
        Self {
            voters: Voters::new(),
            lease_term: 6.0,
            max_clock_drift: 0.01,
        }
    }
}

/// Block `durable`: where processes store what outlives them.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PersistenceSection {
    /// Each process has a folder of its name beneath this one.
    #[serde(rename = "dir")]
    pub directory: String,
}
