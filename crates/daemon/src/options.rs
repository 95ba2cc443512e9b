//! Command-line options that the edge and the planner share. The doc comments of the fields are the help texts.

use std::path::PathBuf;
use tidespur_membership_net::JoinOptions;

/// Options that the edge and the planner accept in addition to their own.
#[derive(Clone, Debug, clap::Args)]
pub struct SharedOptions {
    /// Settings (HCL); without it the built-in ones hold
    #[arg(long)]
    pub config: Option<PathBuf>,
    /// Address of the register of nodes
    #[arg(long = "register", value_name = "REGISTER")]
    pub registry: String,
    /// Seed of the program's random numbers
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Record what crosses the program's sockets in this file
    #[arg(long)]
    pub record: Option<PathBuf>,
    /// Store what outlives the process in a folder of its name beneath this one
    #[arg(long)]
    pub data: Option<PathBuf>,
    /// Dial peers as this file says instead of where they are known to be (for tests)
    #[arg(long, hide = true)]
    pub routes: Option<PathBuf>,
    /// How the process joins a fleet
    #[command(flatten)]
    pub fleet: JoinOptions,
}
