//! Connections of clients: which may stay open, which are closed, and which one leads to an owner.
//!
//! Owned by the gateway, which decides what follows; `accounting` counts the requests and malformed messages of each.

mod accounting;

use crate::DownstreamId;
use std::collections::BTreeMap;
use std::net::IpAddr;
use tidespur_policy::interface::Seconds;

/// One that has said nothing of use for this long is closed. The platform allows 3 s.
const SILENT_CLIENT_TIMEOUT: Seconds = 2.0;

/// Why a connection is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// There are more than may be.
    OverCapacity,
    /// It has said nothing of use for too long.
    Silent,
    /// The program ends.
    Shutdown,
}

#[derive(Debug)]
struct Downstream {
    from: IpAddr,
    opened_at: Seconds,
    used_at: Seconds,
    /// It has sent a set-up that could be used.
    has_valid_set_up: bool,
    /// A task of its has stood: it is an owner's.
    is_owner: bool,
    /// Set-ups without an answer, and tasks of its that stand.
    pending: usize,
    placed: usize,
    /// Messages of no use that are not forgiven yet, and when that was counted.
    penalty: (f64, Seconds),
    /// Releases that it was sent and has not said it heard.
    unacknowledged_releases: u32,
    /// Nobody listens there any more; what it said before may still come.
    peer_closed: bool,
    /// It is closed for this once it is sure that it says nothing.
    close_reason: Option<CloseReason>,
}

/// All connections that came in.
#[derive(Debug)]
pub struct Downstreams {
    downstreams: BTreeMap<DownstreamId, Downstream>,
    max_connections: usize,
}

impl Downstreams {
    /// None yet; at most `most` at once.
    pub fn new(max_connections: usize) -> Self {
        Self {
            downstreams: BTreeMap::new(),
            max_connections: max_connections.max(1),
        }
    }

    /// Connections there are.
    pub fn count(&self) -> usize {
        self.downstreams.len()
    }

    /// Whether it is still there.
    pub fn contains(&self, id: DownstreamId) -> bool {
        self.downstreams.contains_key(&id)
    }

    /// One comes in.
    pub fn opened(&mut self, now: Seconds, id: DownstreamId, from: IpAddr) {
        let made = Downstream {
            from,
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

    /// Where there are more than may be, the one to be closed if it says nothing: the oldest of those that never sent
    /// anything of use, else the one idle longest, else the youngest.
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
        let may = |client: &&Downstream| {
            client.pending == 0 && client.close_reason.is_none() && !client.peer_closed
        };
        let idle = self
            .downstreams
            .iter()
            .filter(|(_, client)| may(client) && client.used_at < now);
        let first = idle.min_by(|a, b| {
            rank(a.1)
                .cmp(&rank(b.1))
                .then(a.1.used_at.total_cmp(&b.1.used_at))
        });
        let youngest = self
            .downstreams
            .iter()
            .rev()
            .find(|(_, client)| may(client));
        let id = first.or(youngest).map(|(&id, _)| id)?;
        self.begin_close(id, CloseReason::OverCapacity);
        Some(id)
    }

    /// It is to be closed if it says nothing.
    pub fn begin_close(&mut self, id: DownstreamId, why: CloseReason) {
        if let Some(client) = self.downstreams.get_mut(&id) {
            client.close_reason = Some(why);
        }
    }

    /// Why it is to be closed, if it is.
    pub fn close_reason(&self, id: DownstreamId) -> Option<CloseReason> {
        self.downstreams
            .get(&id)
            .and_then(|client| client.close_reason)
    }

    /// It says something: it is not closed now.
    pub fn keep_open(&mut self, now: Seconds, id: DownstreamId) {
        if let Some(client) = self.downstreams.get_mut(&id) {
            (client.close_reason, client.used_at) = (None, now);
        }
    }

    /// Nobody listens there any more; what it said before may still come.
    pub fn peer_closed(&mut self, id: DownstreamId) {
        if let Some(client) = self.downstreams.get_mut(&id) {
            client.peer_closed = true;
        }
    }

    /// Whether somebody listens there.
    pub fn is_reachable(&self, id: DownstreamId) -> bool {
        self.downstreams
            .get(&id)
            .is_some_and(|client| !client.peer_closed)
    }

    /// All there are.
    pub fn ids(&self) -> Vec<DownstreamId> {
        self.downstreams.keys().copied().collect()
    }

    /// It is gone.
    pub fn remove(&mut self, id: DownstreamId) {
        self.downstreams.remove(&id);
    }

    /// It sent a set-up that can be used.
    pub fn record_valid_set_up(&mut self, now: Seconds, id: DownstreamId) {
        if let Some(client) = self.downstreams.get_mut(&id) {
            (client.has_valid_set_up, client.used_at) = (true, now);
        }
    }

    /// A connection that leads to the owner that came by `id` from `from`: that one, else one from the same
    /// address, else any other of an owner. A connection of which no task ever stood is not taken: whoever
    /// asks for what can't be had may come from the same address.
    pub fn route_to_owner(
        &self,
        id: Option<DownstreamId>,
        from: Option<IpAddr>,
    ) -> Option<DownstreamId> {
        if let Some(id) = id.filter(|id| self.is_reachable(*id)) {
            return Some(id);
        }
        let owners = || {
            self.downstreams
                .iter()
                .filter(|(_, client)| client.is_owner && !client.peer_closed)
        };
        let near = owners().filter(|(_, client)| Some(client.from) == from);
        let newest = |a: &(&DownstreamId, &Downstream), b: &(&DownstreamId, &Downstream)| {
            a.1.used_at.total_cmp(&b.1.used_at)
        };
        near.max_by(newest)
            .or_else(|| owners().max_by(newest))
            .map(|(&id, _)| id)
    }

    /// Where a connection came from.
    pub fn from(&self, id: DownstreamId) -> Option<IpAddr> {
        self.downstreams.get(&id).map(|client| client.from)
    }

    /// Those that have said nothing of use for too long: to be closed if that is so.
    pub fn mark_silent(&mut self, now: Seconds) -> Vec<DownstreamId> {
        let silent = |client: &Downstream| {
            !client.has_valid_set_up
                && client.close_reason.is_none()
                && client.pending == 0
                && now - client.opened_at > SILENT_CLIENT_TIMEOUT
        };
        let over: Vec<DownstreamId> = self
            .downstreams
            .iter()
            .filter(|(_, client)| silent(client))
            .map(|(&id, _)| id)
            .collect();
        for id in &over {
            self.begin_close(*id, CloseReason::Silent);
        }
        over
    }
}
