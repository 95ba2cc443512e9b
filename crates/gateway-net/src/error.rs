//! Errors at the start of the gateway and when its configuration is loaded again.

use std::net::SocketAddr;
use std::path::PathBuf;

/// Why the gateway can't start, or can't load its configuration again. Each message tells the operator what to do.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The signal handlers can't be installed, for example for lack of file descriptors.
    #[error("cannot install the signal handlers: {0}; check the limit on file descriptors")]
    Signals(std::io::Error),
    /// The environment variable `RELAY_CONFIG` is not set.
    #[error(
        "RELAY_CONFIG is not set; start the program on the platform, with the `run` command of deploy/balancer.toml"
    )]
    ConfigNotSet,
    /// The configuration file does not exist or can't be read.
    #[error("cannot read {0:?}: {1}; check the path and the permissions of the file")]
    ConfigUnreadable(PathBuf, std::io::Error),
    /// The configuration is not valid JSON, or a key is missing or has a value of another type.
    #[error(
        "cannot parse the configuration: {0}; write the complete file again, then send SIGHUP or restart"
    )]
    ConfigMalformed(#[from] serde_json::Error),
    /// The limit on memory is not a positive number.
    #[error("limits.memory_mb: {0} is not a positive number of megabytes; correct it and restart")]
    InvalidMemoryLimit(f64),
    /// A field of the settings object has a value that can't be used.
    #[error("{0}; correct this field of the settings object")]
    SiteSettings(#[from] tidespur_site_settings::SiteSettingsError),
    /// The scheduling policy rejects a setting.
    #[error("{0}; correct this field of the settings object")]
    Gateway(#[from] tidespur_gateway::GatewayError),
    /// The listen address is not of the form `IP:PORT`.
    #[error("listen: {0:?} is not an address; expected IP:PORT")]
    InvalidAddress(String),
    /// The listen address can't be bound, for example because another process still uses it.
    #[error(
        "cannot listen on {0}: {1}; stop the process that uses the address, or configure another one"
    )]
    Bind(SocketAddr, std::io::Error),
}
