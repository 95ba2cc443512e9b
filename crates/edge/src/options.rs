//! What the program is started with.

use std::path::PathBuf;

/// What the program is started with.
#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    /// Settings (HCL); without it the built-in ones hold
    #[arg(long)]
    pub config: Option<PathBuf>,
    /// Address of the API
    #[arg(long, default_value = "127.0.0.1:8001")]
    pub api: String,
    /// Address of the link that planners connect to
    #[arg(long, default_value = "127.0.0.1:8002")]
    pub link: String,
    /// Address of the register of nodes
    #[arg(long)]
    pub register: String,
    /// Name of this edge in logs
    #[arg(long, default_value = "edge-0")]
    pub name: String,
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
