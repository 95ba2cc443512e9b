//! Registry of client connections: which are open, which to close, and which one reaches an owner.
//!
//! Owned by the gateway, which writes and closes; `accounting` counts the requests and malformed messages of each
//! connection, `routing` chooses the one that reaches an owner.

mod accounting;
mod routing;

use crate::DownstreamId;
use std::collections::BTreeMap;
use std::net::IpAddr;
use tidespur_policy::interface::Seconds;

/// A connection on which no valid set-up arrived within this time is closed. The platform allows 3 s.
const SILENT_CLIENT_TIMEOUT: Seconds = 2.0;

/// Why a connection is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// There are more connections than the limit.
    OverCapacity,
    /// No valid set-up arrived in time.
    Silent,
    /// The process is shutting down.
    Shutdown,
}

/// The penalty of a client for malformed and unexpected messages. It decreases with time.
#[derive(Debug)]
struct Penalty {
    value: f64,
    computed_at: Seconds,
}

#[derive(Debug)]
struct Downstream {
    address: IpAddr,
    opened_at: Seconds,
    last_used_at: Seconds,
    /// Whether it has sent a valid set-up.
    has_valid_set_up: bool,
    /// Whether a task of this client was ever placed.
    is_owner: bool,
    /// Requests of this client without an answer.
    pending: usize,
    /// Placed tasks of this client.
    placed: usize,
    penalty: Penalty,
    /// Releases sent to the client that it has not acknowledged.
    unacknowledged_releases: u32,
    /// Releases sent to the client that no release of its own has crossed.
    uncrossed_releases: u32,
    /// Whether the client closed the connection; messages sent before that may still follow.
    peer_closed: bool,
    /// Why it will be closed if a check shows that it is idle; `None` if it stays open.
    close_reason: Option<CloseReason>,
}

/// All client connections, by id.
#[derive(Debug)]
pub struct Downstreams {
    downstreams: BTreeMap<DownstreamId, Downstream>,
    max_connections: usize,
}

impl Downstreams {
    /// Creates a registry without connections. `max_connections` is raised to 1 if it is 0.
    pub fn new(max_connections: usize) -> Self {
        Self {
            downstreams: BTreeMap::new(),
            max_connections: max_connections.max(1),
        }
    }

    /// Number of connections, including those that are to be closed.
    pub fn count(&self) -> usize {
        self.downstreams.len()
    }

    /// Whether another connection may be accepted: at most one more than the limit is open.
    pub fn may_accept(&self) -> bool {
        self.downstreams.len() <= self.max_connections
    }

    /// Whether the connection was added and not removed.
    pub fn contains(&self, id: DownstreamId) -> bool {
        self.downstreams.contains_key(&id)
    }

    /// Adds a connection that was accepted.
    pub fn opened(&mut self, now: Seconds, id: DownstreamId, address: IpAddr) {
        let downstream = Downstream {
            address,
            opened_at: now,
            last_used_at: now,
            has_valid_set_up: false,
            is_owner: false,
            pending: 0,
            placed: 0,
            penalty: Penalty {
                value: 0.0,
                computed_at: now,
            },
            unacknowledged_releases: 0,
            uncrossed_releases: 0,
            peer_closed: false,
            close_reason: None,
        };
        self.downstreams.insert(id, downstream);
    }

    /// If there are more connections than the limit, marks one to be closed if a check shows that it is idle, and
    /// returns it. Prefers connections without a valid set-up, then those without placed tasks; among equals, the one
    /// that has been idle longest. If all were used just now, takes the newest.
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
            .filter(|(_, client)| may_close(client) && client.last_used_at < now);
        let longest_idle = idle.min_by(|a, b| {
            rank(a.1)
                .cmp(&rank(b.1))
                .then(a.1.last_used_at.total_cmp(&b.1.last_used_at))
        });
        let newest = self
            .downstreams
            .iter()
            .rev()
            .find(|(_, client)| may_close(client));
        let id = longest_idle.or(newest).map(|(&id, _)| id)?;
        self.begin_close(id, CloseReason::OverCapacity);
        Some(id)
    }

    /// Marks a connection to be closed once a check shows that it is idle.
    pub fn begin_close(&mut self, id: DownstreamId, reason: CloseReason) {
        if let Some(client) = self.downstreams.get_mut(&id) {
            client.close_reason = Some(reason);
        }
    }

    /// Why a connection is to be closed; `None` if it is to stay open.
    pub fn close_reason(&self, id: DownstreamId) -> Option<CloseReason> {
        self.downstreams
            .get(&id)
            .and_then(|client| client.close_reason)
    }

    /// Clears the mark to close a connection, as its client has sent something.
    pub fn keep_open(&mut self, now: Seconds, id: DownstreamId) {
        if let Some(client) = self.downstreams.get_mut(&id) {
            client.close_reason = None;
            client.last_used_at = now;
        }
    }

    /// Records that the client closed its connection; messages sent before that may still follow.
    pub fn peer_closed(&mut self, id: DownstreamId) {
        if let Some(client) = self.downstreams.get_mut(&id) {
            client.peer_closed = true;
        }
    }

    /// Whether messages can still be sent to the client: neither side has closed the connection.
    pub fn is_reachable(&self, id: DownstreamId) -> bool {
        self.downstreams
            .get(&id)
            .is_some_and(|client| !client.peer_closed)
    }

    /// Ids of all connections, in the order in which they were opened.
    pub fn ids(&self) -> Vec<DownstreamId> {
        self.downstreams.keys().copied().collect()
    }

    /// Removes a connection that was closed by either side.
    pub fn remove(&mut self, id: DownstreamId) {
        self.downstreams.remove(&id);
    }

    /// Records that a valid set-up arrived.
    pub fn record_valid_set_up(&mut self, now: Seconds, id: DownstreamId) {
        if let Some(client) = self.downstreams.get_mut(&id) {
            client.has_valid_set_up = true;
            client.last_used_at = now;
        }
    }

    /// IP address of a client; `None` once its connection is removed.
    pub fn address(&self, id: DownstreamId) -> Option<IpAddr> {
        self.downstreams.get(&id).map(|client| client.address)
    }

    /// Marks the connections without a valid set-up in time to be closed, and returns them. Those with a pending
    /// request stay.
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
