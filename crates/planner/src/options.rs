//! What the program is started with.

use std::path::PathBuf;

/// What the program is started with.
#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    /// Settings (HCL); without it the built-in ones hold
    #[arg(long)]
    pub config: Option<PathBuf>,
    /// Link address of an edge; may be given several times, and is not needed in a fleet
    #[arg(long = "edge")]
    pub edges: Vec<String>,
    /// Address of the register of nodes
    #[arg(long)]
    pub register: String,
    /// Zone that this planner is in
    #[arg(long, default_value = "")]
    pub zone: String,
    /// Number of this planner, from 0
    #[arg(long, default_value_t = 0)]
    pub ordinal: u32,
    /// Name of this planner in logs; from its number if not given
    #[arg(long)]
    pub name: Option<String>,
    /// What its chance is drawn from
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Record what crosses its sockets in this file
    #[arg(long)]
    pub record: Option<PathBuf>,
    /// Keep what outlives the process in a folder of its name beneath this one
    #[arg(long)]
    pub data: Option<PathBuf>,
    /// Dial peers as this file says instead of where they are known to be (for tests)
    #[arg(long, hide = true)]
    pub routes: Option<PathBuf>,
    /// How it joins a fleet
    #[command(flatten)]
    pub fleet: tidespur_membership_net::JoinOptions,
}
