//! Command-line options of joining a fleet.

use std::net::SocketAddr;

/// How a program joins the fleet, beside the settings' block `fleet`.
#[derive(Clone, Debug, Default, clap::Args)]
pub struct JoinOptions {
    /// Join a fleet at this address of another member; may be given several times
    #[arg(long = "fleet-join")]
    pub fleet_join: Vec<SocketAddr>,
    /// Address for the fleet's datagrams; the fleet is off without this, `--fleet-join` and a block `fleet`
    #[arg(long)]
    pub fleet_listen: Option<SocketAddr>,
}

impl JoinOptions {
    /// Whether no option is given.
    pub(crate) fn is_empty(&self) -> bool {
        self.fleet_listen.is_none() && self.fleet_join.is_empty()
    }
}
