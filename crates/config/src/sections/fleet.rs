//! Blocks for membership, coordination and persistence.

use indexmap::IndexMap;
use serde::Deserialize;

/// Block `fleet`: discovery of edges and planners by gossip.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MembershipSection {
    /// Cluster name; messages of other clusters are ignored.
    pub cluster: String,
    /// UDP address for gossip, as `IP:port`; other members must be able to reach it.
    pub listen: String,
    /// Addresses of members to join; one that answers is enough.
    pub join: Vec<String>,
    /// Most members at one time.
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
    /// Default cluster name.
    pub const CLUSTER: &str = "tidespur";
}

/// Addresses at which the voters reach each other, by name, in the order of the settings.
pub type Voters = IndexMap<String, String>;

/// Block `ledger`: the replicated log and its leases.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CoordinationSection {
    /// The edges that are voters: 1, 3 or 5. All processes must have the same list.
    pub voters: Voters,
    /// Time after which a lease expires unless it is renewed, in seconds.
    #[serde(rename = "term")]
    pub lease_term: f64,
    /// Largest relative difference in rate between two clocks, as a fraction.
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

/// Block `durable`: where processes store state that survives a restart.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PersistenceSection {
    /// Parent directory; each process has a subdirectory with its name.
    #[serde(rename = "dir")]
    pub directory: String,
}
