//! Connections of clients: which may stay open, which are closed, and which one leads to an owner.
//!
//! Owned by the gateway, which decides what follows; `accounting` counts the requests and malformed messages of each.

mod accounting;

use crate::DownstreamId;
use std::collections::BTreeMap;
use std::net::IpAddr;
use tidespur_policy::interface::Seconds;

/// A client that has sent no valid set-up for this long is closed. The platform allows 3 s.
const SILENT_CLIENT_TIMEOUT: Seconds = 2.0;

/// Why a connection is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// There are more connections than allowed.
    OverCapacity,
    /// It has sent no valid set-up for too long.
    Silent,
    /// The process shuts down.
    Shutdown,
}

#[derive(Debug)]
struct Downstream {
    address: IpAddr,
    opened_at: Seconds,
    used_at: Seconds,
    /// Whether it has sent a set-up that could be used.
    has_valid_set_up: bool,
    /// Whether a task of its was ever placed.
    is_owner: bool,
    /// Requests of its without an answer.
    pending: usize,
    /// Tasks of its that are placed.
    placed: usize,
    /// The penalty for malformed and useless messages, and when it was computed.
    penalty: (f64, Seconds),
    /// Releases that it was sent and has not acknowledged.
    unacknowledged_releases: u32,
    /// Whether the client closed the connection; messages sent before that may still follow.
    peer_closed: bool,
    /// Why it is to be closed, once a check has shown that it is idle.
    close_reason: Option<CloseReason>,
}

/// All connections of clients.
#[derive(Debug)]
pub struct Downstreams {
    downstreams: BTreeMap<DownstreamId, Downstream>,
    max_connections: usize,
}

impl Downstreams {
    /// Starts without connections; at most `max_connections` are kept open, and at least one.
    pub fn new(max_connections: usize) -> Self {
        Self {
            downstreams: BTreeMap::new(),
            max_connections: max_connections.max(1),
        }
    }

    /// The number of connections.
    pub fn count(&self) -> usize {
        self.downstreams.len()
    }

    /// Whether the connection is open.
    pub fn contains(&self, id: DownstreamId) -> bool {
        self.downstreams.contains_key(&id)
    }

    /// Adds a connection.
    pub fn opened(&mut self, now: Seconds, id: DownstreamId, address: IpAddr) {
        let made = Downstream {
            address,
            opened_at: now,
            used_at: now,
            has_valid_set_up: false,
            is_owner: false,
            pending: 0,
            placed: 0,
            penalty: (0.0, now),
            unacknowledged_releases: 0,
            peer_closed: false,
            close_reason: None,
        };
        self.downstreams.insert(id, made);
    }

    /// Where there are too many connections, marks the one to close if it is idle: the oldest of those that never sent a
    /// valid set-up, else the one idle longest, else the youngest.
    pub fn mark_surplus(&mut self, now: Seconds) -> Option<DownstreamId> {
        if self
            .downstreams
            .values()
            .filter(|client| client.close_reason.is_none())
            .count()
            <= self.max_connections
        {
            return None;
        }
        let rank = |client: &Downstream| (client.has_valid_set_up, client.placed > 0);
        let may_close = |client: &&Downstream| {
            client.pending == 0 && client.close_reason.is_none() && !client.peer_closed
        };
        let idle = self
            .downstreams
            .iter()
            .filter(|(_, client)| may_close(client) && client.used_at < now);
        let longest_idle = idle.min_by(|a, b| {
            rank(a.1)
                .cmp(&rank(b.1))
                .then(a.1.used_at.total_cmp(&b.1.used_at))
        });
        let youngest = self
            .downstreams
            .iter()
            .rev()
            .find(|(_, client)| may_close(client));
        let id = longest_idle.or(youngest).map(|(&id, _)| id)?;
        self.begin_close(id, CloseReason::OverCapacity);
        Some(id)
    }

    /// Marks a connection to be closed if a check shows that it is idle.
    pub fn begin_close(&mut self, id: DownstreamId, reason: CloseReason) {
        if let Some(client) = self.downstreams.get_mut(&id) {
            client.close_reason = Some(reason);
        }
    }

    /// Why a connection is to be closed, if it is.
    pub fn close_reason(&self, id: DownstreamId) -> Option<CloseReason> {
        self.downstreams
            .get(&id)
            .and_then(|client| client.close_reason)
    }

    /// Keeps a connection open that was to be closed, as its client has sent something.
    pub fn keep_open(&mut self, now: Seconds, id: DownstreamId) {
        if let Some(client) = self.downstreams.get_mut(&id) {
            client.close_reason = None;
            client.used_at = now;
        }
    }

    /// Records that the client closed its connection; messages sent before that may still follow.
    pub fn peer_closed(&mut self, id: DownstreamId) {
        if let Some(client) = self.downstreams.get_mut(&id) {
            client.peer_closed = true;
        }
    }

    /// Whether the connection is open and its client has not closed it.
    pub fn is_reachable(&self, id: DownstreamId) -> bool {
        self.downstreams
            .get(&id)
            .is_some_and(|client| !client.peer_closed)
    }

    /// The ids of all connections.
    pub fn ids(&self) -> Vec<DownstreamId> {
        self.downstreams.keys().copied().collect()
    }

    /// Removes a connection.
    pub fn remove(&mut self, id: DownstreamId) {
        self.downstreams.remove(&id);
    }

    /// Records a set-up that could be used.
    pub fn record_valid_set_up(&mut self, now: Seconds, id: DownstreamId) {
        if let Some(client) = self.downstreams.get_mut(&id) {
            client.has_valid_set_up = true;
            client.used_at = now;
        }
    }

    /// A connection to the owner that was connected as `id` from `address`: that one, else the one used last
    /// from the same address, else the one used last of any owner. Connections of clients without a placed task don't
    /// count, as a client that is no owner may have the same address.
    pub fn route_to_owner(
        &self,
        id: Option<DownstreamId>,
        address: Option<IpAddr>,
    ) -> Option<DownstreamId> {
        if let Some(id) = id.filter(|id| self.is_reachable(*id)) {
            return Some(id);
        }
        let owners = || {
            self.downstreams
                .iter()
                .filter(|(_, client)| client.is_owner && !client.peer_closed)
        };
        let same_address = owners().filter(|(_, client)| Some(client.address) == address);
        let newest = |a: &(&DownstreamId, &Downstream), b: &(&DownstreamId, &Downstream)| {
            a.1.used_at.total_cmp(&b.1.used_at)
        };
        same_address
            .max_by(newest)
            .or_else(|| owners().max_by(newest))
            .map(|(&id, _)| id)
    }

    /// The address of a client.
    pub fn address(&self, id: DownstreamId) -> Option<IpAddr> {
        self.downstreams.get(&id).map(|client| client.address)
    }

    /// Marks the clients that have sent no valid set-up for too long, and returns them.
    pub fn mark_silent(&mut self, now: Seconds) -> Vec<DownstreamId> {
        let is_silent = |client: &Downstream| {
            !client.has_valid_set_up
                && client.close_reason.is_none()
                && client.pending == 0
                && now - client.opened_at > SILENT_CLIENT_TIMEOUT
        };
        let silent: Vec<DownstreamId> = self
            .downstreams
            .iter()
            .filter(|(_, client)| is_silent(client))
            .map(|(&id, _)| id)
            .collect();
        for id in &silent {
            self.begin_close(*id, CloseReason::Silent);
        }
        silent
    }
}
