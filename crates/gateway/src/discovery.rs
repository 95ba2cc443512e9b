//! The discovery stream: server-sent events into watch events of the endpoint list.

use serde::Deserialize;
use tidespur_policy::interface::{Endpoint, EndpointStatus, MachineId, Resources};
use tidespur_site_settings::{Site, convert};

/// Bound on the data of one event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Why an event of the discovery stream can't be used. The endpoint list stays as it was, and the stream is read again.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    /// The data of an event is no JSON of the expected form.
    #[error(
        "an event of the discovery stream can't be parsed: {0}; compare the platform's version with this program's"
    )]
    Malformed(#[from] serde_json::Error),
    /// A line is no UTF-8.
    #[error("the discovery stream is no UTF-8: {0}; check which program listens at its address")]
    NotUtf8(#[from] std::str::Utf8Error),
    /// An event is too long.
    #[error(
        "an event of the discovery stream is longer than 1 MiB; check the program that sends it"
    )]
    TooLong,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct ListedEndpoint {
    /// The endpoint as the policy knows it.
    pub endpoint: Endpoint,
    /// The machine's name on the platform.
    pub name: String,
    /// The address that it listens on, `HOST:PORT`.
    pub address: String,
}

/// A watch event of the endpoint list.
#[derive(Clone, Debug)]
pub struct WatchEvent {
    /// Its revision; a later event has a higher one.
    pub revision: u64,
    /// Whether it holds the complete list rather than changes.
    pub is_complete_list: bool,
    /// The endpoints that it lists.
    pub endpoints: Vec<ListedEndpoint>,
}

/// The JSON of an event.
#[derive(Deserialize)]
pub struct WireEvent {
    rev: u64,
    pool: Option<WirePool>,
}

#[derive(Deserialize)]
struct WirePool {
    #[serde(default)]
    reset: bool,
    #[serde(default)]
    instances: Vec<WireEntry>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireEntry {
    instance_id: String,
    #[serde(default)]
    host_port: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    machine_type: String,
    #[serde(default)]
    cell: usize,
    lifecycle: String,
    #[serde(default)]
    started_at_ms: Option<f64>,
    #[serde(default, rename = "left_over")]
    left_over: Option<[f64; 2]>,
}

/// The id by which the policy knows a machine, the same at all schedulers: a stable hash of its name.
pub fn machine_id(name: &str) -> MachineId {
    MachineId(convert::stable_hash(name))
}

/// Parses the data of one event.
///
/// # Errors
/// Fails if the data is malformed; such an event is skipped.
pub fn parse_event(site: &Site, data: &str) -> Result<WatchEvent, DiscoveryError> {
    Ok(convert_event(site, serde_json::from_str(data)?))
}

/// Converts an event: names of types and zones become indexes of the settings, lifecycles become statuses.
pub fn convert_event(site: &Site, wire: WireEvent) -> WatchEvent {
    let pool = wire.pool.unwrap_or(WirePool {
        reset: false,
        instances: Vec::new(),
    });
    let index =
        |names: &[String], name: &str| names.iter().position(|n| n == name).unwrap_or(names.len());
    let listed = pool.instances.into_iter().map(|wire| {
        let status = match wire.lifecycle.as_str() {
            "Ready" => EndpointStatus::Ready,
            "Gone" => EndpointStatus::Gone,
            // An unknown lifecycle counts as draining, so that the machine gets no new tasks.
            _ => EndpointStatus::Draining,
        };
        let [free_cores, free_memory] = wire.left_over.unwrap_or_default();
        let started = wire.started_at_ms.unwrap_or(0.0) / 1000.0;
        let entry = Endpoint {
            machine: machine_id(&wire.instance_id),
            machine_type: index(&site.machine_types, &wire.machine_type),
            cell: wire.cell,
            zone: index(&site.zones, &wire.zone),
            status,
            started_at: (started > 0.0).then_some(started),
            unclaimed: Resources::new(free_cores, free_memory),
        };
        ListedEndpoint {
            endpoint: entry,
            name: wire.instance_id,
            address: wire.host_port,
        }
    });
    WatchEvent {
        revision: wire.rev,
        is_complete_list: pool.reset,
        endpoints: listed.collect(),
    }
}

/// Assembles server-sent events from lines. An event ends with a blank line; one without it is dropped.
#[derive(Debug, Default)]
pub struct EventStreamDecoder {
    data: String,
}

impl EventStreamDecoder {
    /// Adds one line without its line break; returns the data of the event that it ends, if any.
    ///
    /// # Errors
    /// Fails if the line is no UTF-8 or the event is too long; the stream can't be read on.
    pub fn push_line(&mut self, line: &[u8]) -> Result<Option<String>, DiscoveryError> {
        let line = std::str::from_utf8(line)?;
        let line = line.strip_suffix('\r').unwrap_or(line);
        if line.is_empty() {
            let data = std::mem::take(&mut self.data);
            return Ok(Some(data).filter(|data| !data.is_empty()));
        }
        if let Some(data) = line.strip_prefix("data:") {
            if !self.data.is_empty() {
                self.data.push('\n');
            }
            self.data.push_str(data.strip_prefix(' ').unwrap_or(data));
            if self.data.len() > MAX_EVENT_BYTES {
                return Err(DiscoveryError::TooLong);
            }
        }
        // The revision is in the data too; comments and other fields are ignored.
        Ok(None)
    }
}
