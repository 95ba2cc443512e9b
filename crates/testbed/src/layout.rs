//! What a cluster is made of, and where its nodes stand.

use std::path::PathBuf;

/// What a cluster is made of.
#[derive(Clone, Debug)]
pub struct Layout {
    /// The `tidespur` program.
    pub program: PathBuf,
    /// Nodes.
    pub nodes: usize,
    /// Planners.
    pub planners: usize,
    /// Edges.
    pub edges: usize,
    /// What all chance is drawn from.
    pub seed: u64,
    /// Settings for edges and planners.
    pub config_file: Option<PathBuf>,
    /// Address of the first edge's API.
    pub api_address: String,
    /// Recordings of all sockets go here.
    pub recordings: Option<PathBuf>,
    /// Logs of all processes go here; else to standard error.
    pub log_dir: Option<PathBuf>,
    /// The register is so late.
    pub registry_delay: f64,
    /// Nodes are cold at first.
    pub cold_start: bool,
    /// Zones.
    pub zones: usize,
    /// Edges and planners find each other by the fleet; else planners are told the edges.
    pub fleet: bool,
    /// Edges and planners keep what outlives them beneath this folder.
    pub data_dir: Option<PathBuf>,
}

impl Layout {
    /// A cluster of usual size.
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

/// Where a node stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeLocation {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its rack.
    pub rack: String,
    /// Its kind.
    pub kind: &'static str,
}

pub(crate) fn zone(i: usize) -> String {
    format!("halle-{}", char::from(b'a' + (i % 26) as u8))
}

/// Nodes alternate between zones; each zone has racks of about four; two of five nodes are large.
pub(crate) fn node_location(i: usize, layout: &Layout) -> NodeLocation {
    let zones = layout.zones.max(1);
    let place = i / zones;
    let racks = (layout.nodes / zones / 4).max(2);
    NodeLocation {
        name: format!("node-{i:02}"),
        zone: zone(i % zones),
        rack: format!("rack-{}", place % racks + 1),
        kind: if i % 5 < 3 { "std-24" } else { "gross-48" },
    }
}
