//! The configuration that the platform gives a scheduler.

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

/// A configuration that was parsed.
#[derive(Debug)]
pub struct Config {
    /// Name of this scheduler.
    pub name: String,
    /// The address that clients connect to, `IP:PORT`.
    pub listen: String,
    /// Seed of the policy's random numbers.
    pub seed: u64,
    /// Bound on descriptors.
    pub max_descriptors: usize,
    /// Address of the discovery stream.
    pub discovery_address: String,
    /// The stream's events up to now.
    pub watch_events: Vec<WatchEvent>,
    /// Settings of the policy and the gateway.
    pub site: Site,
}

/// The path of the configuration, from the variable `RELAY_CONFIG`.
///
/// # Errors
/// Fails if the variable is not set.
pub fn path() -> Result<PathBuf, StartError> {
    std::env::var_os("RELAY_CONFIG")
        .map(PathBuf::from)
        .ok_or(StartError::ConfigNotSet)
}

/// Parses a configuration.
///
/// # Errors
/// Fails if it can't be read or parsed, or if a setting can't be used.
pub fn parse(text: &str) -> Result<Config, StartError> {
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
        max_descriptors: wire.limits.sockets,
        discovery_address: wire.board,
        watch_events: known,
        site,
    })
}

/// Reads the configuration that the platform names.
///
/// # Errors
/// Fails if it can't be read or parsed, or if a setting can't be used.
pub fn load() -> Result<Config, StartError> {
    let path = path()?;
    let text = std::fs::read_to_string(&path).map_err(|e| StartError::ConfigUnreadable(path, e))?;
    parse(&text)
}
