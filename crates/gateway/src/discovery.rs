//! Parser of the discovery stream: server-sent events that carry watch events of the endpoint list.

pub mod reconnect;

use serde::Deserialize;
use tidespur_policy::interface::{Endpoint, EndpointStatus, MachineId, Resources};
use tidespur_site_settings::{Site, convert};

/// Maximum size of the data of one event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Why an event of the discovery stream can't be used. The endpoint list stays unchanged. A malformed event is skipped;
/// after any other error the stream has to be reopened.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    /// The data of an event isn't JSON, or lacks a required field.
    #[error(
        "can't parse an event of the discovery stream: {0}; check that the platform's version is supported"
    )]
    Malformed(#[from] serde_json::Error),
    /// A line isn't UTF-8.
    #[error(
        "the discovery stream isn't UTF-8: {0}; check that its address is that of the platform's discovery service"
    )]
    NotUtf8(#[from] std::str::Utf8Error),
    /// The data of an event is longer than 1 MiB.
    #[error(
        "an event of the discovery stream is longer than 1 MiB; check the service that sends it"
    )]
    TooLong,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct ListedEndpoint {
    /// What the policy needs to know of the machine.
    pub endpoint: Endpoint,
    /// The machine's name on the platform; set-ups of hand-overs use it too.
    pub name: String,
    /// The address that the machine listens on, `HOST:PORT`; empty if the event has none.
    pub address: String,
}

/// A watch event of the endpoint list.
#[derive(Clone, Debug)]
pub struct WatchEvent {
    /// Grows from event to event.
    pub revision: u64,
    /// Whether `endpoints` is the complete list rather than changes to it.
    pub is_complete_list: bool,
    /// All endpoints, or those that have changed.
    pub endpoints: Vec<ListedEndpoint>,
}

/// A watch event in the platform's JSON; [`convert_event`] interprets it.
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

/// The policy's id of a machine: a stable hash of its name, so that all schedulers use the same id.
pub fn machine_id(name: &str) -> MachineId {
    MachineId(convert::stable_hash(name))
}

/// Parses the data of one server-sent event.
///
/// # Errors
/// Fails with [`DiscoveryError::Malformed`]; the event has to be skipped.
pub fn parse_event(site: &Site, data: &str) -> Result<WatchEvent, DiscoveryError> {
    Ok(convert_event(site, serde_json::from_str(data)?))
}

/// Converts an event: names of machine types and zones become indexes into the settings, lifecycles become statuses.
/// An unknown name becomes the index after the last.
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
            // An unknown lifecycle is treated as draining, so that the machine gets no new tasks.
            _ => EndpointStatus::Draining,
        };
        let [free_cores, free_memory] = wire.left_over.unwrap_or_default();
        let started = wire.started_at_ms.unwrap_or(0.0) / 1000.0;
        let endpoint = Endpoint {
            machine: machine_id(&wire.instance_id),
            machine_type: index(&site.machine_types, &wire.machine_type),
            cell: wire.cell,
            zone: index(&site.zones, &wire.zone),
            status,
            started_at: (started > 0.0).then_some(started),
            unclaimed: Resources::new(free_cores, free_memory),
        };
        ListedEndpoint {
            endpoint,
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

/// Assembles server-sent events from lines. A blank line ends an event; an event that the stream cuts off is dropped.
#[derive(Debug, Default)]
pub struct EventStreamDecoder {
    data: String,
}

impl EventStreamDecoder {
    /// Adds a line, without its line feed. Returns the data of the event that the line ends, if it ends one with data.
    ///
    /// # Errors
    /// Fails if the line isn't UTF-8 or the event is too long; the decoder can't be used after that.
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
        // Comments and other fields are ignored; the event's id repeats the revision in the data.
        Ok(None)
    }
}
