//! The notice board: server-sent events to numbered changes of the list of machines.

use serde::Deserialize;
use tidespur_policy::interface::{Endpoint, EndpointStatus, MachineId, Resources};
use tidespur_site_settings::{Site, convert};

/// One event may hold so many bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Why what the discovery stream told can't be used. The list stays as it was, and the stream is asked again.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    /// An event that is none.
    #[error(
        "the discovery stream tells what can't be read: {0}; look at the notice board's edition"
    )]
    Malformed(#[from] serde_json::Error),
    /// Bytes that are no text.
    #[error("the discovery stream is no text: {0}; look at who listens at its address")]
    NotUtf8(#[from] std::str::Utf8Error),
    /// An event that does not end.
    #[error("the discovery stream tells an event without end; look at the notice board")]
    TooLong,
}

/// A line of the list, with the address that only sockets need.
#[derive(Clone, Debug)]
pub struct ListedEndpoint {
    /// What the policy is told.
    pub endpoint: Endpoint,
    /// The machine's name on the platform.
    pub name: String,
    /// Where it listens.
    pub address: String,
}

/// One numbered event.
#[derive(Clone, Debug)]
pub struct WatchEvent {
    /// Its number.
    pub revision: u64,
    /// It holds the whole list.
    pub is_complete_list: bool,
    /// What it tells.
    pub endpoints: Vec<ListedEndpoint>,
}

/// An event as it is told.
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

/// The id that the policy knows a machine by: the same at all schedulers.
pub fn machine_id(name: &str) -> MachineId {
    MachineId(convert::stable_hash(name))
}

/// Reads one event's data.
///
/// # Errors
/// Says what can't be read; such an event counts as none.
pub fn parse_event(site: &Site, data: &str) -> Result<WatchEvent, DiscoveryError> {
    Ok(convert_event(site, serde_json::from_str(data)?))
}

/// Puts names to numbers and states to standings.
pub fn convert_event(site: &Site, wire: WireEvent) -> WatchEvent {
    let pool = wire.pool.unwrap_or(WirePool {
        reset: false,
        instances: Vec::new(),
    });
    let index =
        |names: &[String], name: &str| names.iter().position(|n| n == name).unwrap_or(names.len());
    let listed = pool.instances.into_iter().map(|wire| {
        let standing = match wire.lifecycle.as_str() {
            "Ready" => EndpointStatus::Ready,
            "Gone" => EndpointStatus::Gone,
            // A state not known takes nothing new, and that is the safe reading.
            _ => EndpointStatus::Draining,
        };
        let [free_cores, free_memory] = wire.left_over.unwrap_or_default();
        let started = wire.started_at_ms.unwrap_or(0.0) / 1000.0;
        let entry = Endpoint {
            machine: machine_id(&wire.instance_id),
            machine_type: index(&site.machine_types, &wire.machine_type),
            cell: wire.cell,
            zone: index(&site.zones, &wire.zone),
            status: standing,
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

/// Puts server-sent events together from lines. An event without its blank line at the end is none.
#[derive(Debug, Default)]
pub struct EventStreamDecoder {
    data: String,
}

impl EventStreamDecoder {
    /// Takes one line, without its end; gives out the data of an event that it ends.
    ///
    /// # Errors
    /// An event that is too long or no text; the stream is of no further use.
    pub fn line(&mut self, line: &[u8]) -> Result<Option<String>, DiscoveryError> {
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
        // Numbers stand in the data too; comments and other fields mean nothing.
        Ok(None)
    }
}
