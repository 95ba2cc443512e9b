//! The configuration file that the operators' platform writes for a scheduler.

use crate::StartError;
use serde::Deserialize;
use std::path::PathBuf;
use tidespur_gateway::discovery::{self, WatchEvent, WireEvent};
use tidespur_site_settings::{SettingsObject, Site};

/// The file as the platform writes it. Unknown keys are ignored.
#[derive(Deserialize)]
struct ConfigFile {
    #[serde(default)]
    name: String,
    listen: String,
    #[serde(default)]
    seed: String,
    limits: ProcessLimits,
    #[serde(rename = "board")]
    discovery_address: String,
    #[serde(rename = "known")]
    discovery_snapshot: DiscoverySnapshot,
    settings: SettingsObject,
}

#[derive(Deserialize)]
struct ProcessLimits {
    #[serde(rename = "sockets")]
    max_descriptors: usize,
    #[serde(default = "default_memory_mb")]
    memory_mb: f64,
}

/// Limit on the memory of the process where the file has none, in MB: the lowest that the platform gives.
const fn default_memory_mb() -> f64 {
    32.0
}

const BYTES_PER_MB: f64 = 1e6;

#[derive(Deserialize)]
struct DiscoverySnapshot {
    #[serde(default, rename = "notices")]
    events: Vec<WireEvent>,
}

/// A parsed configuration.
#[derive(Debug)]
pub struct Config {
    /// Name of this scheduler, which its log lines carry; empty where the file has none.
    pub name: String,
    /// The address that clients connect to, `IP:PORT`. It is parsed at the start only.
    pub listen: String,
    /// Seed of the policy's random number generator.
    pub seed: u64,
    /// Maximum number of file descriptors of the process.
    pub max_descriptors: usize,
    /// Maximum memory of the process, in bytes.
    pub max_memory_bytes: usize,
    /// Address of the discovery stream, `IP:PORT`.
    pub discovery_address: String,
    /// Events that the discovery stream had sent when the file was written.
    pub watch_events: Vec<WatchEvent>,
    /// Settings of the policy and the gateway.
    pub site: Site,
}

/// The path of the configuration file, from the environment variable `RELAY_CONFIG`.
///
/// # Errors
/// Fails if the variable is not set.
pub fn path() -> Result<PathBuf, StartError> {
    std::env::var_os("RELAY_CONFIG")
        .map(PathBuf::from)
        .ok_or(StartError::ConfigNotSet)
}

/// Parses the text of a configuration file. A seed that is not a hexadecimal number is hashed.
///
/// # Errors
/// Fails if the text can't be parsed, or if a setting can't be used.
pub fn parse(text: &str) -> Result<Config, StartError> {
    let file: ConfigFile = serde_json::from_str(text)?;
    let site = file.settings.into_site()?;
    let memory_mb = file.limits.memory_mb;
    if memory_mb <= 0.0 {
        return Err(StartError::InvalidMemoryLimit(memory_mb));
    }
    let watch_events = file
        .discovery_snapshot
        .events
        .into_iter()
        .map(|event| discovery::convert_event(&site, event))
        .collect();
    let seed = u64::from_str_radix(&file.seed, 16)
        .unwrap_or_else(|_| tidespur_site_settings::convert::stable_hash(&file.seed));
    Ok(Config {
        name: file.name,
        listen: file.listen,
        seed,
        max_descriptors: file.limits.max_descriptors,
        max_memory_bytes: (memory_mb * BYTES_PER_MB) as usize,
        discovery_address: file.discovery_address,
        watch_events,
        site,
    })
}

/// Loads the configuration file that `RELAY_CONFIG` names.
///
/// # Errors
/// Fails if the file can't be read or parsed, or if a setting can't be used.
pub fn load() -> Result<Config, StartError> {
    let path = path()?;
    let text = std::fs::read_to_string(&path).map_err(|e| StartError::ConfigUnreadable(path, e))?;
    parse(&text)
}
