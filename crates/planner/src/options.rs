//! Command-line options of the planner.

/// Command-line options of the planner.
#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    /// Options that edge and planner have in common
    #[command(flatten)]
    pub shared: tidespur_daemon::SharedOptions,
    /// Link address of an edge; may be given several times, and is not needed in a fleet
    #[arg(long = "edge")]
    pub edges: Vec<String>,
    /// Zone that this planner is in
    #[arg(long, default_value = "")]
    pub zone: String,
    /// Number of this planner, from 0
    #[arg(long, default_value_t = 0)]
    pub ordinal: u32,
    /// Name of this planner in logs; from its number if not given
    #[arg(long)]
    pub name: Option<String>,
}
