//! Size and options of a cluster, and the zones and racks of its nodes.

use std::path::PathBuf;

/// Size and options of a cluster.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Path of the `tidespur` program.
    pub program: PathBuf,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of planners.
    pub planners: usize,
    /// Number of edges.
    pub edges: usize,
    /// Seed of all random choices.
    pub seed: u64,
    /// Configuration file of edges, planners and nodes; `None` uses the defaults.
    pub config_file: Option<PathBuf>,
    /// Address of the API of the first edge; the others take free ports.
    pub api_address: String,
    /// Directory for the recordings of all processes; `None` records nothing.
    pub recordings: Option<PathBuf>,
    /// Directory for the log of each process; `None` logs to standard error.
    pub log_dir: Option<PathBuf>,
    /// Seconds after which the registry publishes a change.
    pub registry_delay: f64,
    /// Starts the nodes cold, so that they warm up first.
    pub cold_start: bool,
    /// Number of zones.
    pub zones: usize,
    /// Edges and planners discover each other through the membership protocol; otherwise planners get the addresses of
    /// the edges as arguments.
    pub fleet: bool,
    /// Directory for the persistent state of edges and planners; `None` keeps no state on disk.
    pub data_dir: Option<PathBuf>,
}

impl Layout {
    /// A layout with one edge, two zones, a registry delay of 0.5 s and no recordings, logs or persistent state.
    pub fn new(program: PathBuf, nodes: usize, planners: usize, seed: u64) -> Self {
        Self {
            program,
            nodes,
            planners,
            edges: 1,
            seed,
            config_file: None,
            api_address: "127.0.0.1:0".into(),
            recordings: None,
            log_dir: None,
            registry_delay: 0.5,
            cold_start: false,
            zones: 2,
            fleet: false,
            data_dir: None,
        }
    }
}

/// Location and machine type of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeLocation {
    /// Name of the node, unique in the cluster.
    pub name: String,
    /// Zone that the node is in.
    pub zone: String,
    /// Rack, unique within its zone.
    pub rack: String,
    /// Machine type of the node: `std-24` or `gross-48`.
    pub kind: &'static str,
}

pub(crate) fn zone(i: usize) -> String {
    format!("halle-{}", char::from(b'a' + (i % 26) as u8))
}

/// Nodes alternate between zones; each zone has racks of about four; two of five nodes are large.
pub(crate) fn node_location(i: usize, layout: &Layout) -> NodeLocation {
    let zones = layout.zones.max(1);
    let index_in_zone = i / zones;
    let racks = (layout.nodes / zones / 4).max(2);
    NodeLocation {
        name: format!("node-{i:02}"),
        zone: zone(i % zones),
        rack: format!("rack-{}", index_in_zone % racks + 1),
        kind: if i % 5 < 3 { "std-24" } else { "gross-48" },
    }
}
