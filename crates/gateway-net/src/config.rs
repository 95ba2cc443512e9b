//! What the platform tells a scheduler at its start.

use crate::StartError;
use serde::Deserialize;
use std::path::PathBuf;
use tidespur_gateway::discovery::{self, WatchEvent, WireEvent};
use tidespur_site_settings::{SettingsObject, Site};

#[derive(Deserialize)]
struct Wire {
    #[serde(default)]
    name: String,
    listen: String,
    #[serde(default)]
    seed: String,
    limits: WireLimits,
    board: String,
    known: WireKnown,
    settings: SettingsObject,
}

#[derive(Deserialize)]
struct WireLimits {
    sockets: usize,
}

#[derive(Deserialize)]
struct WireKnown {
    #[serde(default)]
    notices: Vec<WireEvent>,
}

/// The configuration, read.
#[derive(Debug)]
pub struct Config {
    /// Name of this scheduler.
    pub name: String,
    /// Where clients connect.
    pub listen: String,
    /// What chance is drawn from.
    pub seed: u64,
    /// Descriptors there may be.
    pub sockets: usize,
    /// Address of the notice board.
    pub board: String,
    /// Its events up to now.
    pub known: Vec<WatchEvent>,
    /// What the policy and the gateway are told.
    pub site: Site,
}

/// Where the configuration is: `RELAY_CONFIG`.
///
/// # Errors
/// The variable is not set.
pub fn path() -> Result<PathBuf, StartError> {
    std::env::var_os("RELAY_CONFIG")
        .map(PathBuf::from)
        .ok_or(StartError::NoConfig)
}

/// Reads a configuration.
///
/// # Errors
/// Says what can't be read, or worked with.
pub fn read(text: &str) -> Result<Config, StartError> {
    let wire: Wire = serde_json::from_str(text)?;
    let site = wire.settings.into_site()?;
    let known = wire
        .known
        .notices
        .into_iter()
        .map(|notice| discovery::convert_event(&site, notice))
        .collect();
    let seed = u64::from_str_radix(&wire.seed, 16)
        .unwrap_or_else(|_| tidespur_site_settings::convert::stable_hash(&wire.seed));
    Ok(Config {
        name: wire.name,
        listen: wire.listen,
        seed,
        sockets: wire.limits.sockets,
        board: wire.board,
        known,
        site,
    })
}

/// Reads the configuration that the platform names.
///
/// # Errors
/// Says what can't be read, or worked with.
pub fn load() -> Result<Config, StartError> {
    let path = path()?;
    let text = std::fs::read_to_string(&path).map_err(|e| StartError::Unreadable(path, e))?;
    read(&text)
}
