//! Command-line options of the edge. The doc comments of the fields are the help texts.

/// Command-line options of the edge.
#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    /// Options that edge and planner have in common
    #[command(flatten)]
    pub shared: tidespur_daemon::SharedOptions,
    /// Address of the API
    #[arg(long, default_value = "127.0.0.1:8001")]
    pub api: String,
    /// Address of the link that planners connect to
    #[arg(long, default_value = "127.0.0.1:8002")]
    pub link: String,
    /// Name of this edge in logs
    #[arg(long, default_value = "edge-0")]
    pub name: String,
}
