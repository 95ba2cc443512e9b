//! Connections that came in: which may stay, which are closed, and which one leads to an owner.

use crate::ClientId;
use std::collections::BTreeMap;
use std::net::IpAddr;
use tidespur_policy::interface::Seconds;

/// One that has said nothing of use for this long is closed. The platform allows 3 s.
const SILENT_FOR: Seconds = 2.0;
/// So many messages of no use in a row, and it is closed.
const USELESS_MOST: u32 = 32;

#[derive(Debug)]
struct Client {
    from: IpAddr,
    opened_at: Seconds,
    used_at: Seconds,
    /// It has sent a set-up that could be used.
    proved: bool,
    /// Set-ups without an answer, and tasks of its that stand.
    open: usize,
    standing: usize,
    useless: u32,
}

/// All connections that came in.
#[derive(Debug)]
pub struct Clients {
    clients: BTreeMap<ClientId, Client>,
    most: usize,
}

impl Clients {
    /// None yet; at most `most` at once.
    pub fn new(most: usize) -> Self {
        Self { clients: BTreeMap::new(), most: most.max(1) }
    }

    /// Connections there are.
    pub fn count(&self) -> usize {
        self.clients.len()
    }

    /// Whether it is still there.
    pub fn has(&self, id: ClientId) -> bool {
        self.clients.contains_key(&id)
    }

    /// One comes in. Tells which is closed for it where there is no room: the oldest of those that never sent
    /// anything of use, else the one idle longest, else itself.
    pub fn opened(&mut self, now: Seconds, id: ClientId, from: IpAddr) -> Option<ClientId> {
        let made =
            Client { from, opened_at: now, used_at: now, proved: false, open: 0, standing: 0, useless: 0 };
        self.clients.insert(id, made);
        if self.clients.len() <= self.most {
            return None;
        }
        let rank = |client: &Client| (client.proved, client.standing > 0);
        let idle = self.clients.iter().filter(|(other, client)| client.open == 0 && **other != id);
        let first = idle.min_by(|a, b| rank(a.1).cmp(&rank(b.1)).then(a.1.used_at.total_cmp(&b.1.used_at)));
        let victim = first.map_or(id, |(&victim, _)| victim);
        self.clients.remove(&victim);
        Some(victim)
    }

    /// It is gone.
    pub fn closed(&mut self, id: ClientId) {
        self.clients.remove(&id);
    }

    /// It sent a set-up that can be used.
    pub fn proves(&mut self, now: Seconds, id: ClientId) {
        if let Some(client) = self.clients.get_mut(&id) {
            (client.proved, client.useless, client.used_at) = (true, 0, now);
        }
    }

    /// It sent something of no use; `true`: too often.
    pub fn useless(&mut self, id: ClientId) -> bool {
        self.clients.get_mut(&id).is_some_and(|client| {
            client.useless += 1;
            client.useless > USELESS_MOST
        })
    }

    /// Its set-ups without an answer.
    pub fn open(&self, id: ClientId) -> usize {
        self.clients.get(&id).map_or(0, |client| client.open)
    }

    /// A set-up was opened (`true`) or is over.
    pub fn count_open(&mut self, now: Seconds, id: ClientId, more: bool) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.open = if more { client.open + 1 } else { client.open.saturating_sub(1) };
            client.used_at = now;
        }
    }

    /// A task of its stands (`true`) or is over.
    pub fn count_standing(&mut self, id: ClientId, more: bool) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.standing = if more { client.standing + 1 } else { client.standing.saturating_sub(1) };
        }
    }

    /// A connection that leads to the owner that came by `id` from `from`: that one, else one from the same
    /// address, else any other that proved to be an owner's.
    pub fn way(&self, id: Option<ClientId>, from: Option<IpAddr>) -> Option<ClientId> {
        if let Some(id) = id.filter(|id| self.clients.contains_key(id)) {
            return Some(id);
        }
        let proved = || self.clients.iter().filter(|(_, client)| client.proved);
        let near = proved().filter(|(_, client)| Some(client.from) == from);
        let newest = |a: &(&ClientId, &Client), b: &(&ClientId, &Client)| a.1.used_at.total_cmp(&b.1.used_at);
        near.max_by(newest).or_else(|| proved().max_by(newest)).map(|(&id, _)| id)
    }

    /// Where a connection came from.
    pub fn from(&self, id: ClientId) -> Option<IpAddr> {
        self.clients.get(&id).map(|client| client.from)
    }

    /// Those that have said nothing of use for too long; they are no more.
    pub fn silent(&mut self, now: Seconds) -> Vec<ClientId> {
        let silent =
            |client: &Client| !client.proved && client.open == 0 && now - client.opened_at > SILENT_FOR;
        let over: Vec<ClientId> =
            self.clients.iter().filter(|(_, client)| silent(client)).map(|(&id, _)| id).collect();
        for id in &over {
            self.clients.remove(id);
        }
        over
    }
}
