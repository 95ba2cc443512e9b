//! What keeps the program from starting on the platform.

use std::net::SocketAddr;
use std::path::PathBuf;

/// Why the scheduler does not start, or does not read its configuration again; each tells what an operator can do.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The system takes no handlers for signals.
    #[error("signals can't be handled: {0}; look at the limit on descriptors")]
    Signals(std::io::Error),
    /// The variable that names the configuration is not set.
    #[error(
        "RELAY_CONFIG is not set; start it as `run` in deploy/balancer.toml says, on the platform"
    )]
    ConfigNotSet,
    /// The configuration is not there.
    #[error("{0:?}: {1}; look at the path and at who may read it")]
    ConfigUnreadable(PathBuf, std::io::Error),
    /// It is not of the platform's form.
    #[error(
        "the configuration can't be read: {0}; write it anew, whole, and send SIGHUP or start again"
    )]
    ConfigMalformed(#[from] serde_json::Error),
    /// A field of the settings object has a value that can't be used.
    #[error("{0}; correct that field of the settings")]
    SiteSettings(#[from] tidespur_site_settings::SiteSettingsError),
    /// The scheduling policy rejects a setting.
    #[error("{0}; correct that field of the settings")]
    Gateway(#[from] tidespur_gateway::GatewayError),
    /// The address is none.
    #[error("listen: {0:?} is no address; it has to be IP:PORT")]
    InvalidAddress(String),
    /// Nobody can connect there.
    #[error("{0} can't be listened on: {1}; end who holds it, or give another address")]
    Bind(SocketAddr, std::io::Error),
}
