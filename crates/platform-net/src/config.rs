//! What the platform tells a scheduler at its start.

use serde::Deserialize;
use std::path::PathBuf;
use tidespur_platform::discovery::{self, Delivery, WireEvent};
use tidespur_settings::{Info, Site};

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
    settings: Info,
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
    pub known: Vec<Delivery>,
    /// What the policy and the gateway are told.
    pub site: Site,
}

/// Where the configuration is: `RELAY_CONFIG`.
///
/// # Errors
/// The variable is not set.
pub fn path() -> Result<PathBuf, String> {
    std::env::var_os("RELAY_CONFIG").map(PathBuf::from).ok_or_else(|| "RELAY_CONFIG is not set".into())
}

/// Reads a configuration.
///
/// # Errors
/// Says what can't be read, or worked with.
pub fn read(text: &str) -> Result<Config, String> {
    let wire: Wire = serde_json::from_str(text).map_err(|e| format!("the configuration: {e}"))?;
    let site = wire.settings.site()?;
    let known = wire.known.notices.into_iter().map(|notice| discovery::read(&site, notice)).collect();
    let seed =
        u64::from_str_radix(&wire.seed, 16).unwrap_or_else(|_| tidespur_settings::words::hash(&wire.seed));
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
