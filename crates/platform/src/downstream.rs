//! Connections that came in: which may stay, which are closed, and which one leads to an owner.

use crate::DownstreamId;
use std::collections::BTreeMap;
use std::net::IpAddr;
use tidespur_policy::interface::Seconds;

/// One that has said nothing of use for this long is closed. The platform allows 3 s.
const SILENT_FOR: Seconds = 2.0;
/// So many messages of no use, beyond those that are forgiven each second, and it is closed.
const USELESS_MOST: f64 = 32.0;
const FORGIVEN: f64 = 10.0;
/// A test, or a message that means nothing, counts as this much of one of no use.
const FREE: f64 = 0.1;

#[derive(Debug)]
struct Client {
    from: IpAddr,
    opened_at: Seconds,
    used_at: Seconds,
    /// It has sent a set-up that could be used.
    proved: bool,
    /// A task of its has stood: it is an owner's.
    owner: bool,
    /// Set-ups without an answer, and tasks of its that stand.
    open: usize,
    standing: usize,
    /// Messages of no use that are not forgiven yet, and when that was counted.
    useless: (f64, Seconds),
    /// Releases that it was sent and has not said it heard.
    unheard: u32,
}

/// All connections that came in.
#[derive(Debug)]
pub struct Downstreams {
    clients: BTreeMap<DownstreamId, Client>,
    most: usize,
}

impl Downstreams {
    /// None yet; at most `most` at once.
    pub fn new(most: usize) -> Self {
        Self { clients: BTreeMap::new(), most: most.max(1) }
    }

    /// Connections there are.
    pub fn count(&self) -> usize {
        self.clients.len()
    }

    /// Whether it is still there.
    pub fn has(&self, id: DownstreamId) -> bool {
        self.clients.contains_key(&id)
    }

    /// One comes in. Tells which is closed for it where there is no room: the oldest of those that never sent
    /// anything of use, else the one idle longest, else itself.
    pub fn opened(&mut self, now: Seconds, id: DownstreamId, from: IpAddr) -> Option<DownstreamId> {
        let made = Client {
            from,
            opened_at: now,
            used_at: now,
            proved: false,
            owner: false,
            open: 0,
            standing: 0,
            useless: (0.0, now),
            unheard: 0,
        };
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
    pub fn closed(&mut self, id: DownstreamId) {
        self.clients.remove(&id);
    }

    /// It sent a set-up that can be used.
    pub fn proves(&mut self, now: Seconds, id: DownstreamId) {
        if let Some(client) = self.clients.get_mut(&id) {
            (client.proved, client.used_at) = (true, now);
        }
    }

    /// It sent something of no use; `true`: too often.
    pub fn useless(&mut self, now: Seconds, id: DownstreamId) -> bool {
        self.counts_against(now, id, 1.0)
    }

    /// It sent something that is free; `true`: far too often.
    pub fn free(&mut self, now: Seconds, id: DownstreamId) -> bool {
        self.counts_against(now, id, FREE)
    }

    fn counts_against(&mut self, now: Seconds, id: DownstreamId, much: f64) -> bool {
        self.clients.get_mut(&id).is_some_and(|client| {
            let (useless, at) = client.useless;
            client.useless = ((useless - FORGIVEN * (now - at)).max(0.0) + much, now);
            client.useless.0 > USELESS_MOST
        })
    }

    /// It is sent a release, and may say that it heard it.
    pub fn released(&mut self, id: DownstreamId) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.unheard = client.unheard.saturating_add(1);
        }
    }

    /// It says that it heard a release; `true`: none was sent, and that too often.
    pub fn heard(&mut self, now: Seconds, id: DownstreamId) -> bool {
        match self.clients.get_mut(&id).filter(|client| client.unheard > 0) {
            Some(client) => {
                client.unheard -= 1;
                false
            }
            None => self.useless(now, id),
        }
    }

    /// Its set-ups without an answer.
    pub fn open(&self, id: DownstreamId) -> usize {
        self.clients.get(&id).map_or(0, |client| client.open)
    }

    /// A set-up was opened (`true`) or is over.
    pub fn count_open(&mut self, now: Seconds, id: DownstreamId, more: bool) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.open = if more { client.open + 1 } else { client.open.saturating_sub(1) };
            client.used_at = now;
        }
    }

    /// A task of its stands (`true`) or is over.
    pub fn count_standing(&mut self, id: DownstreamId, more: bool) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.standing = if more { client.standing + 1 } else { client.standing.saturating_sub(1) };
            client.owner |= more;
        }
    }

    /// A connection that leads to the owner that came by `id` from `from`: that one, else one from the same
    /// address, else any other of an owner. A connection of which no task ever stood is not taken: whoever
    /// asks for what can't be had may come from the same address.
    pub fn way(&self, id: Option<DownstreamId>, from: Option<IpAddr>) -> Option<DownstreamId> {
        if let Some(id) = id.filter(|id| self.clients.contains_key(id)) {
            return Some(id);
        }
        let owners = || self.clients.iter().filter(|(_, client)| client.owner);
        let near = owners().filter(|(_, client)| Some(client.from) == from);
        let newest =
            |a: &(&DownstreamId, &Client), b: &(&DownstreamId, &Client)| a.1.used_at.total_cmp(&b.1.used_at);
        near.max_by(newest).or_else(|| owners().max_by(newest)).map(|(&id, _)| id)
    }

    /// Where a connection came from.
    pub fn from(&self, id: DownstreamId) -> Option<IpAddr> {
        self.clients.get(&id).map(|client| client.from)
    }

    /// Those that have said nothing of use for too long; they are no more.
    pub fn silent(&mut self, now: Seconds) -> Vec<DownstreamId> {
        let silent =
            |client: &Client| !client.proved && client.open == 0 && now - client.opened_at > SILENT_FOR;
        let over: Vec<DownstreamId> =
            self.clients.iter().filter(|(_, client)| silent(client)).map(|(&id, _)| id).collect();
        for id in &over {
            self.clients.remove(id);
        }
        over
    }
}
