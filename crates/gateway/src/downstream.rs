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

/// Why a connection is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closing {
    /// There are more than may be.
    Surplus,
    /// It has said nothing of use for too long.
    Silent,
    /// The program ends.
    End,
}

#[derive(Debug)]
struct Downstream {
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
    /// Nobody listens there any more; what it said before may still come.
    gone: bool,
    /// It is closed for this once it is sure that it says nothing.
    closing: Option<Closing>,
}

/// All connections that came in.
#[derive(Debug)]
pub struct Downstreams {
    downstreams: BTreeMap<DownstreamId, Downstream>,
    most: usize,
}

impl Downstreams {
    /// None yet; at most `most` at once.
    pub fn new(most: usize) -> Self {
        Self {
            downstreams: BTreeMap::new(),
            most: most.max(1),
        }
    }

    /// Connections there are.
    pub fn count(&self) -> usize {
        self.downstreams.len()
    }

    /// Whether it is still there.
    pub fn has(&self, id: DownstreamId) -> bool {
        self.downstreams.contains_key(&id)
    }

    /// One comes in.
    pub fn opened(&mut self, now: Seconds, id: DownstreamId, from: IpAddr) {
        let made = Downstream {
            from,
            opened_at: now,
            used_at: now,
            proved: false,
            owner: false,
            open: 0,
            standing: 0,
            useless: (0.0, now),
            unheard: 0,
            gone: false,
            closing: None,
        };
        self.downstreams.insert(id, made);
    }

    /// Where there are more than may be, the one to be closed if it says nothing: the oldest of those that never sent
    /// anything of use, else the one idle longest, else the youngest.
    pub fn surplus(&mut self, now: Seconds) -> Option<DownstreamId> {
        if self
            .downstreams
            .values()
            .filter(|client| client.closing.is_none())
            .count()
            <= self.most
        {
            return None;
        }
        let rank = |client: &Downstream| (client.proved, client.standing > 0);
        let may =
            |client: &&Downstream| client.open == 0 && client.closing.is_none() && !client.gone;
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
        self.closes(id, Closing::Surplus);
        Some(id)
    }

    /// It is to be closed if it says nothing.
    pub fn closes(&mut self, id: DownstreamId, why: Closing) {
        if let Some(client) = self.downstreams.get_mut(&id) {
            client.closing = Some(why);
        }
    }

    /// Why it is to be closed, if it is.
    pub fn closing(&self, id: DownstreamId) -> Option<Closing> {
        self.downstreams.get(&id).and_then(|client| client.closing)
    }

    /// It says something: it is not closed now.
    pub fn stays(&mut self, now: Seconds, id: DownstreamId) {
        if let Some(client) = self.downstreams.get_mut(&id) {
            (client.closing, client.used_at) = (None, now);
        }
    }

    /// Nobody listens there any more; what it said before may still come.
    pub fn gone(&mut self, id: DownstreamId) {
        if let Some(client) = self.downstreams.get_mut(&id) {
            client.gone = true;
        }
    }

    /// Whether somebody listens there.
    pub fn is_there(&self, id: DownstreamId) -> bool {
        self.downstreams.get(&id).is_some_and(|client| !client.gone)
    }

    /// All there are.
    pub fn all(&self) -> Vec<DownstreamId> {
        self.downstreams.keys().copied().collect()
    }

    /// It is gone.
    pub fn closed(&mut self, id: DownstreamId) {
        self.downstreams.remove(&id);
    }

    /// It sent a set-up that can be used.
    pub fn proves(&mut self, now: Seconds, id: DownstreamId) {
        if let Some(client) = self.downstreams.get_mut(&id) {
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
        self.downstreams.get_mut(&id).is_some_and(|client| {
            let (useless, at) = client.useless;
            client.useless = ((useless - FORGIVEN * (now - at)).max(0.0) + much, now);
            client.useless.0 > USELESS_MOST
        })
    }

    /// It is sent a release, and may say that it heard it.
    pub fn released(&mut self, id: DownstreamId) {
        if let Some(client) = self.downstreams.get_mut(&id) {
            client.unheard = client.unheard.saturating_add(1);
        }
    }

    /// It says that it heard a release; `true`: none was sent, and that too often.
    pub fn heard(&mut self, now: Seconds, id: DownstreamId) -> bool {
        match self
            .downstreams
            .get_mut(&id)
            .filter(|client| client.unheard > 0)
        {
            Some(client) => {
                client.unheard -= 1;
                false
            }
            None => self.useless(now, id),
        }
    }

    /// Its set-ups without an answer.
    pub fn open(&self, id: DownstreamId) -> usize {
        self.downstreams.get(&id).map_or(0, |client| client.open)
    }

    /// A set-up was opened (`true`) or is over.
    pub fn count_open(&mut self, now: Seconds, id: DownstreamId, more: bool) {
        if let Some(client) = self.downstreams.get_mut(&id) {
            client.open = if more {
                client.open + 1
            } else {
                client.open.saturating_sub(1)
            };
            client.used_at = now;
        }
    }

    /// A task of its stands (`true`) or is over.
    pub fn count_standing(&mut self, id: DownstreamId, more: bool) {
        if let Some(client) = self.downstreams.get_mut(&id) {
            client.standing = if more {
                client.standing + 1
            } else {
                client.standing.saturating_sub(1)
            };
            client.owner |= more;
        }
    }

    /// A connection that leads to the owner that came by `id` from `from`: that one, else one from the same
    /// address, else any other of an owner. A connection of which no task ever stood is not taken: whoever
    /// asks for what can't be had may come from the same address.
    pub fn way(&self, id: Option<DownstreamId>, from: Option<IpAddr>) -> Option<DownstreamId> {
        if let Some(id) = id.filter(|id| self.is_there(*id)) {
            return Some(id);
        }
        let owners = || {
            self.downstreams
                .iter()
                .filter(|(_, client)| client.owner && !client.gone)
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
    pub fn silent(&mut self, now: Seconds) -> Vec<DownstreamId> {
        let silent = |client: &Downstream| {
            !client.proved
                && client.closing.is_none()
                && client.open == 0
                && now - client.opened_at > SILENT_FOR
        };
        let over: Vec<DownstreamId> = self
            .downstreams
            .iter()
            .filter(|(_, client)| silent(client))
            .map(|(&id, _)| id)
            .collect();
        for id in &over {
            self.closes(*id, Closing::Silent);
        }
        over
    }
}
