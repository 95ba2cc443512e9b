//! Connections to machines: which one carries what, what the end of one means, and when a machine is dead.
//!
//! One open set-up a connection while there is room: after a malformed answer a connection is of no use for
//! anything else on it. While a machine holds a task of ours, one connection to it is kept and tested, as a
//! machine that vanished says nothing.

use crate::UpstreamId;
use crate::message::{Id, Kind, Message, cause, code};
use crate::table::micros;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use tidespur_policy::interface::{MachineId, Seconds};

/// A connection on which nothing was heard for this long carries no new set-up: a new one is dialled, and if it
/// does not come up that proves that nothing ran. Guards against machines that died or hang unseen; costs a
/// handshake.
const FRESH: Seconds = 0.5;
/// A machine that holds a task of ours and was silent for this long is tested.
const TEST_AFTER: Seconds = 1.0;
/// A test without an answer for this long: the connection is given up.
const TEST_FOR: Seconds = 1.5;
/// A machine silent for this long that can't be dialled either is lost, and what stood there has ended. The
/// platform allows 8 s from the end, which came after the last word: this leaves time for a late tick. Any sooner, and
/// a zone that is cut off for some seconds loses all that runs there, at every scheduler. Harm: owners of what stood on
/// a machine that vanished hear of it so much later.
const FAILED_AFTER: Seconds = 7.4;
/// Where there is no room for a connection to each machine that holds a task of ours, one without is visited after this
/// silence, and one that was kept for this long gives way to it. Guards against machines that count as lost only
/// because nobody could call; costs a handshake a visit.
const VISIT: Seconds = 2.0;
const KEPT: Seconds = 1.0;
/// So many connections may be finished and not ended yet while others take their room.
const HALF_CLOSED_MOST: usize = 8;
/// Pause between dials that fail.
const REDIAL: Seconds = 0.25;
/// An idle connection that is not needed is finished after this.
const IDLE: Seconds = 10.0;
/// A machine has so long to end a connection that was finished here. What it wrote before it heard of that, such
/// as the end of a task, is still read; a plain close would lose it.
const HALF_CLOSED_FOR: Seconds = 2.0;
/// Messages that wait for the next connection to a machine.
const QUEUE_MOST: usize = 1_000;

/// What is to be done with connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PoolAction {
    /// Dial; `Opened`, `Refused` or `Ended` answers.
    Dial(UpstreamId, String),
    /// Write these bytes.
    Write(UpstreamId, Vec<u8>),
    /// Write this set-up; if not a byte of it left, that is told of this one.
    Offer(UpstreamId, Id, Vec<u8>),
    /// Write no more, and go on reading until the machine ends it too; `Ended` answers.
    HalfClose(UpstreamId),
    /// Close, also while it is being dialled. Nothing answers.
    Close(UpstreamId),
}

/// What became of set-ups and machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum News {
    /// No byte of this set-up left.
    Unsent(Id),
    /// The connection ended under this set-up: it may have run.
    Broken(Id),
    /// The machine is dead, or was silent too long: what stood there is over.
    Failed(MachineId),
}

/// How a connection ended, or was not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Nobody listens there.
    Refused,
    /// Not a byte left of what was written last, a set-up where one is named; the connection is read to its end.
    Unwritten(Option<Id>),
    /// Otherwise.
    Other,
}

#[derive(Debug)]
struct Upstream {
    machine: MachineId,
    /// Since when it is being dialled; `None`: it is open.
    dialled: Option<Seconds>,
    /// Set-ups without an answer: one, or more where there was no room for another connection.
    offers: Vec<Id>,
    /// Set-ups to be written once it is open: kept one by one, so that what is given up never leaves.
    waiting: Vec<(Id, Vec<u8>)>,
    heard_at: Seconds,
    used_at: Seconds,
    tested_at: Option<Seconds>,
    /// When it came up.
    opened_at: Seconds,
    /// How it stands among the idle ones, if it does.
    rests: Option<(Rest, u64)>,
}

/// What an idle connection is there for, in the order in which they give way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rest {
    /// Nothing: by its last use.
    Spare,
    /// The one sound connection to a machine that holds a task of ours: by when it came up.
    Kept,
}

impl Upstream {
    fn idle(&self) -> bool {
        self.dialled.is_none() && self.offers.is_empty()
    }

    /// Open, and nothing stands against it.
    fn sound(&self) -> bool {
        self.dialled.is_none() && self.tested_at.is_none()
    }
}

#[derive(Debug, Default)]
struct Peer {
    address: String,
    gone: bool,
    /// Connections to it that are not finished.
    upstreams: BTreeSet<UpstreamId>,
    /// Tasks of ours that stand there.
    holds: usize,
    heard_at: Seconds,
    /// Dials that failed in a row, those that were refused, and when the next may go.
    fails: u32,
    refused: u32,
    redial_at: Seconds,
    queue: VecDeque<Vec<u8>>,
}

/// All connections to machines.
#[derive(Debug)]
pub struct Pool {
    peers: BTreeMap<MachineId, Peer>,
    upstreams: BTreeMap<UpstreamId, Upstream>,
    /// Idle connections in the order in which they give way: found without a walk over all.
    idle: BTreeSet<(Rest, u64, UpstreamId)>,
    /// Connections that were looked at so far.
    looked: Cell<u64>,
    /// Finished, and not ended by the machine yet: whose, and since when.
    half_closed: BTreeMap<UpstreamId, (MachineId, Seconds)>,
    next: u64,
    /// Connections that may be there at once.
    most: usize,
    connect_within: Seconds,
}

impl Pool {
    /// No connections yet; at most `most` at once, each made within `connect_within`.
    pub fn new(most: usize, connect_within: Seconds) -> Self {
        let (peers, upstreams, half_closed) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        let (idle, most) = (BTreeSet::new(), most.max(2));
        Self { peers, upstreams, idle, looked: Cell::new(0), half_closed, next: 0, most, connect_within }
    }

    /// The machine at the other end.
    pub fn machine(&self, line: UpstreamId) -> Option<MachineId> {
        let half_closed = self.half_closed.get(&line).map(|(machine, _)| *machine);
        self.upstreams.get(&line).map(|line| line.machine).or(half_closed)
    }

    /// Connections there are.
    pub fn count(&self) -> usize {
        self.upstreams.len() + self.half_closed.len()
    }

    /// Takes a connection out.
    fn remove(&mut self, id: UpstreamId) -> Option<Upstream> {
        let line = self.upstreams.remove(&id)?;
        line.rests.map(|(rest, at)| self.idle.remove(&(rest, at, id)));
        if let Some(peer) = self.peers.get_mut(&line.machine) {
            peer.upstreams.remove(&id);
        }
        self.reckon(line.machine);
        Some(line)
    }

    /// Finds out anew how the connections to a machine rest. Follows whatever may have changed that.
    fn reckon(&mut self, machine: MachineId) {
        let Some(peer) = self.peers.get(&machine) else { return };
        let sound =
            |upstreams: &BTreeMap<UpstreamId, Upstream>, id| upstreams.get(id).is_some_and(Upstream::sound);
        let all = peer.upstreams.iter().filter(|id| sound(&self.upstreams, id)).count();
        for &id in &peer.upstreams {
            let Some(line) = self.upstreams.get_mut(&id) else { continue };
            let needed = peer.holds > 0 && all - usize::from(line.sound()) == 0;
            let rests = match needed {
                _ if !line.idle() => None,
                false => Some((Rest::Spare, micros(line.used_at))),
                true => Some((Rest::Kept, micros(line.opened_at))),
            };
            if rests != line.rests {
                line.rests.map(|(rest, at)| self.idle.remove(&(rest, at, id)));
                self.idle.extend(rests.map(|(rest, at)| (rest, at, id)));
                line.rests = rests;
            }
        }
    }

    /// The connections to a machine that are not finished, those that are being dialled too.
    fn to(&self, machine: MachineId) -> impl Iterator<Item = (UpstreamId, &Upstream)> {
        let lines = self.peers.get(&machine).into_iter().flat_map(|peer| &peer.upstreams);
        lines.filter_map(|&id| {
            self.looked.set(self.looked.get() + 1);
            Some((id, self.upstreams.get(&id)?))
        })
    }

    /// Connections that were looked at so far, to find one.
    pub fn looked(&self) -> u64 {
        self.looked.get()
    }

    /// Ends a connection that is not needed any more, without losing what is on its way here.
    fn half_close(&mut self, now: Seconds, id: UpstreamId, out: &mut Vec<PoolAction>) {
        let Some(line) = self.remove(id) else { return };
        if line.dialled.is_some() {
            return out.push(PoolAction::Close(id));
        }
        self.half_closed.insert(id, (line.machine, now));
        out.push(PoolAction::HalfClose(id));
    }

    /// Machines that are known.
    pub fn peers(&self) -> usize {
        self.peers.len()
    }

    /// Whether a machine is listed, or something of it is still here.
    pub fn knows(&self, machine: MachineId) -> bool {
        self.peers.contains_key(&machine)
    }

    /// The list tells of a machine. Once all that is told at a time was told, [`Pool::taken_over`] follows.
    pub fn listed(&mut self, now: Seconds, machine: MachineId, address: &str, gone: bool) {
        let peer = self.peers.entry(machine).or_insert_with(|| Peer { heard_at: now, ..Peer::default() });
        // One that was forgotten gets no address back: another may listen there.
        let forgotten = gone && peer.address.is_empty();
        if !address.is_empty() && !forgotten {
            peer.address = address.to_owned();
        }
        peer.gone = gone;
    }

    /// A machine that has gone and at whose address another listens now is no more.
    pub fn taken_over(&mut self, news: &mut Vec<News>) {
        let (gone, here): (Vec<_>, Vec<_>) = self.peers.iter().partition(|(_, peer)| peer.gone);
        let here: BTreeSet<&str> = here.into_iter().map(|(_, peer)| peer.address.as_str()).collect();
        let over = gone.into_iter().filter(|(_, peer)| !peer.address.is_empty());
        let over: Vec<MachineId> =
            over.filter(|(_, peer)| here.contains(peer.address.as_str())).map(|(&id, _)| id).collect();
        for id in over {
            if let Some(peer) = self.peers.get_mut(&id) {
                peer.address.clear();
                if peer.holds > 0 {
                    news.push(News::Failed(id));
                }
            }
        }
    }

    /// The whole list was told: who is not in it has gone.
    pub fn only(&mut self, listed: &BTreeSet<MachineId>) {
        for (machine, peer) in &mut self.peers {
            peer.gone |= !listed.contains(machine);
        }
    }

    /// Tasks of ours that stand at a machine came or went.
    pub fn hold(&mut self, now: Seconds, machine: MachineId, more: bool) {
        let Some(peer) = self.peers.get_mut(&machine) else { return };
        if more {
            if peer.holds == 0 {
                (peer.heard_at, peer.fails, peer.refused) = (now, 0, 0);
            }
            peer.holds += 1;
        } else {
            peer.holds = peer.holds.saturating_sub(1);
        }
        if peer.holds <= 1 {
            self.reckon(machine);
        }
    }

    /// Whether a connection has to give way before another can be dialled.
    fn short(&self) -> bool {
        self.upstreams.len() + HALF_CLOSED_MOST.min(self.most / 4) >= self.most
    }

    /// Makes room for one more connection; one that is kept gives way if it came up by `kept`.
    fn make_room(&mut self, now: Seconds, kept: Seconds, out: &mut Vec<PoolAction>) -> bool {
        if self.short() {
            let gives =
                |&&(rest, at, _): &&(Rest, u64, UpstreamId)| rest == Rest::Spare || at <= micros(kept);
            let Some(&(.., id)) = self.idle.first().filter(gives) else { return self.count() < self.most };
            self.half_close(now, id, out);
        }
        while self.count() >= self.most {
            // The one that was finished first: an end on its way there has had most time.
            let first = self.half_closed.iter().min_by(|a, b| a.1.1.total_cmp(&b.1.1)).map(|(&id, _)| id);
            let Some(id) = first else { return false };
            self.half_closed.remove(&id);
            out.push(PoolAction::Close(id));
        }
        true
    }

    fn dial(
        &mut self,
        now: Seconds,
        kept: Seconds,
        machine: MachineId,
        out: &mut Vec<PoolAction>,
    ) -> Option<UpstreamId> {
        let address = self.peers.get(&machine).map(|peer| peer.address.clone()).filter(|a| !a.is_empty())?;
        if !self.make_room(now, kept, out) {
            return None;
        }
        self.next += 1;
        let line = UpstreamId(self.next);
        out.push(PoolAction::Dial(line, address));
        let made = Upstream {
            machine,
            dialled: Some(now),
            offers: Vec::new(),
            waiting: Vec::new(),
            heard_at: now,
            used_at: now,
            tested_at: None,
            opened_at: now,
            rests: None,
        };
        self.upstreams.insert(line, made);
        self.peers.get_mut(&machine)?.upstreams.insert(line);
        Some(line)
    }

    /// Sends a set-up to a machine; `None`: there is no way to it, and nothing left.
    pub fn offer(
        &mut self,
        now: Seconds,
        machine: MachineId,
        id: Id,
        bytes: Vec<u8>,
        out: &mut Vec<PoolAction>,
    ) -> Option<UpstreamId> {
        let fresh = self.to(machine).filter(|(_, line)| line.idle() && line.sound());
        let fresh = fresh.filter(|(_, line)| now - line.heard_at < FRESH);
        let fresh = fresh.max_by(|a, b| a.1.heard_at.total_cmp(&b.1.heard_at)).map(|(at, _)| at);
        // Where there is no room for another connection, the one with the least on it is shared.
        let shared = |lines: &Self| {
            let shared = lines.to(machine).filter(|(_, line)| line.tested_at.is_none());
            shared.min_by_key(|(_, line)| line.offers.len()).map(|(at, _)| at)
        };
        let at = fresh.or_else(|| self.dial(now, now, machine, out)).or_else(|| shared(self))?;
        let line = self.upstreams.get_mut(&at)?;
        line.offers.push(id);
        line.used_at = now;
        if line.dialled.is_some() {
            line.waiting.push((id, bytes));
        } else {
            out.push(PoolAction::Offer(at, id, bytes));
        }
        self.reckon(machine);
        Some(at)
    }

    /// Tells a machine something about a task that stands there, now or once there is a connection.
    pub fn tell(&mut self, now: Seconds, machine: MachineId, bytes: Vec<u8>, out: &mut Vec<PoolAction>) {
        let sound = self.to(machine).filter(|(_, line)| line.sound());
        let sound = sound.max_by(|a, b| a.1.heard_at.total_cmp(&b.1.heard_at)).map(|(at, _)| at);
        if let Some((at, line)) = sound.and_then(|at| Some((at, self.upstreams.get_mut(&at)?))) {
            line.used_at = now;
            out.push(PoolAction::Write(at, bytes));
            return self.reckon(machine);
        }
        let Some(peer) = self.peers.get_mut(&machine) else { return };
        if peer.queue.len() >= QUEUE_MOST {
            peer.queue.pop_front();
        }
        peer.queue.push_back(bytes);
    }

    /// A set-up has had its answer: its connection is free for another.
    pub fn settled(&mut self, line: UpstreamId, id: Id) {
        if let Some(line) = self.upstreams.get_mut(&line) {
            line.offers.retain(|&offer| offer != id);
            let machine = line.machine;
            self.reckon(machine);
        }
    }

    /// Gives a set-up up. With `suspect`, nothing was heard in time: the connection is used no more, and closed
    /// unless others are open on it.
    pub fn cancel(
        &mut self,
        now: Seconds,
        line: UpstreamId,
        id: Id,
        suspect: bool,
        out: &mut Vec<PoolAction>,
    ) {
        let Some(at) = self.upstreams.get_mut(&line) else { return };
        at.offers.retain(|&offer| offer != id);
        at.waiting.retain(|(waiting, _)| *waiting != id);
        if at.dialled.is_none() {
            out.push(PoolAction::Write(line, Message::release(id, cause::NORMAL).bytes()));
        }
        let machine = at.machine;
        if at.offers.is_empty() && (suspect || at.dialled.is_some()) {
            self.half_close(now, line, out);
        }
        self.reckon(machine);
    }

    /// A connection is made.
    pub fn opened(&mut self, now: Seconds, id: UpstreamId, out: &mut Vec<PoolAction>) {
        let Some(line) = self.upstreams.get_mut(&id) else { return out.push(PoolAction::Close(id)) };
        (line.dialled, line.heard_at, line.opened_at) = (None, now, now);
        let waiting = std::mem::take(&mut line.waiting);
        out.extend(waiting.into_iter().map(|(offer, bytes)| PoolAction::Offer(id, offer, bytes)));
        let machine = line.machine;
        if let Some(peer) = self.peers.get_mut(&machine) {
            (peer.fails, peer.refused, peer.heard_at) = (0, 0, now);
            while let Some(bytes) = peer.queue.pop_front() {
                out.push(PoolAction::Write(id, bytes));
            }
        }
        self.reckon(machine);
    }

    /// Something whole was read.
    pub fn heard(&mut self, now: Seconds, id: UpstreamId) {
        let Some(line) = self.upstreams.get_mut(&id) else { return };
        let (machine, tested) = (line.machine, line.tested_at.take());
        line.heard_at = now;
        if let Some(peer) = self.peers.get_mut(&machine) {
            peer.heard_at = now;
        }
        if tested.is_some() {
            self.reckon(machine);
        }
    }

    /// A connection ended, or could not be made.
    pub fn ended(&mut self, now: Seconds, id: UpstreamId, end: End, news: &mut Vec<News>) {
        let unwritten = match end {
            End::Unwritten(offer) => Some(offer),
            End::Refused | End::Other => None,
        };
        if unwritten.is_none() {
            self.half_closed.remove(&id);
        }
        let Some(line) = self.remove(id) else { return };
        let dialling = line.dialled.is_some();
        if unwritten.is_some() {
            // What the machine wrote before it ended the connection may still be there to read.
            self.half_closed.insert(id, (line.machine, now));
        }
        // Only the set-up that could not be written is known not to have left: others on the line had.
        let never_left = |offer: Id| dialling || unwritten == Some(Some(offer));
        let told = |offer: Id| if never_left(offer) { News::Unsent(offer) } else { News::Broken(offer) };
        news.extend(line.offers.into_iter().map(told));
        let heard = |other: &Upstream| other.dialled.is_none() && now - other.heard_at < TEST_AFTER;
        let alive = self.to(line.machine).any(|(_, other)| heard(other));
        let Some(peer) = self.peers.get_mut(&line.machine) else { return };
        if dialling {
            peer.fails += 1;
            peer.refused = if end == End::Refused { peer.refused + 1 } else { 0 };
            peer.redial_at = now + REDIAL;
            // A machine may refuse because it has too many connections: then it is heard on another.
            if peer.refused >= 2 && !alive && peer.holds > 0 {
                news.push(News::Failed(line.machine));
            }
        }
    }

    /// A connection brought what can't be read: it is of no further use.
    pub fn malformed(
        &mut self,
        now: Seconds,
        id: UpstreamId,
        out: &mut Vec<PoolAction>,
        news: &mut Vec<News>,
    ) {
        if self.upstreams.contains_key(&id) || self.half_closed.contains_key(&id) {
            out.push(PoolAction::Close(id));
            self.ended(now, id, End::Other, news);
        }
    }

    /// Time goes on: dials that take too long, tests, silence, idle connections.
    pub fn tick(&mut self, now: Seconds, out: &mut Vec<PoolAction>, news: &mut Vec<News>) {
        let slow =
            self.upstreams.iter().filter(|(_, l)| l.dialled.is_some_and(|at| now - at > self.connect_within));
        let silent = self.upstreams.iter().filter(|(_, l)| l.tested_at.is_some_and(|at| now - at > TEST_FOR));
        let over: Vec<UpstreamId> = slow.chain(silent).map(|(&id, _)| id).collect();
        for id in over {
            self.malformed(now, id, out, news);
        }
        let idle = |line: &Upstream| line.idle() && now - line.used_at > IDLE;
        let idle: Vec<UpstreamId> =
            self.upstreams.iter().filter(|(_, line)| idle(line)).map(|(&id, _)| id).collect();
        for id in idle {
            // One at a time, as of two idle ones to a machine one may be needed.
            if self.upstreams.get(&id).is_some_and(|line| matches!(line.rests, Some((Rest::Spare, _)))) {
                self.half_close(now, id, out);
            }
        }
        let slow = self.half_closed.iter().filter(|(_, (_, at))| now - at > HALF_CLOSED_FOR);
        let slow: Vec<UpstreamId> = slow.map(|(&id, _)| id).collect();
        for id in slow {
            self.half_closed.remove(&id);
            out.push(PoolAction::Close(id));
        }
        let wanted = |peer: &Peer| peer.holds > 0 || !peer.queue.is_empty();
        let wanted = self.peers.iter().filter(|(_, peer)| wanted(peer));
        let mut wanted: Vec<(Seconds, MachineId)> =
            wanted.map(|(&machine, peer)| (peer.heard_at, machine)).collect();
        // Who was heard longest ago comes first: where there is no room for all, the last would never be called.
        wanted.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, machine) in wanted {
            self.keep(now, machine, out, news);
        }
        self.peers.retain(|_, peer| !peer.gone || peer.holds > 0 || !peer.upstreams.is_empty());
    }

    /// Keeps one connection to a machine that holds a task of ours, and finds out whether it lives.
    fn keep(&mut self, now: Seconds, machine: MachineId, out: &mut Vec<PoolAction>, news: &mut Vec<News>) {
        let dialling = self.to(machine).any(|(_, line)| line.dialled.is_some());
        let Some(peer) = self.peers.get(&machine) else { return };
        if peer.holds > 0 && now - peer.heard_at > FAILED_AFTER && peer.fails >= 2 {
            news.push(News::Failed(machine));
            return;
        }
        let (silent_for, redial_at, told) = (now - peer.heard_at, peer.redial_at, peer.queue.is_empty());
        let open = || self.to(machine).filter(|(_, line)| line.dialled.is_none());
        let tested = open().any(|(_, line)| line.tested_at.is_some());
        let newest = open().max_by(|a, b| a.1.heard_at.total_cmp(&b.1.heard_at)).map(|(id, _)| id);
        // Where there is no room for all, those without a connection take turns.
        let waits = self.short() && silent_for < VISIT && told;
        let suspect = newest.is_none() && !waits || silent_for > TEST_AFTER + TEST_FOR;
        let silent = newest.filter(|_| !tested && silent_for > TEST_AFTER);
        if let Some((id, line)) = silent.and_then(|id| Some((id, self.upstreams.get_mut(&id)?))) {
            line.tested_at = Some(now);
            let test = Message::new(Kind::Test, Id(0)).with(code::CAUSE, &[0]);
            out.push(PoolAction::Write(id, test.bytes()));
            self.reckon(machine);
        }
        if suspect
            && !dialling
            && now >= redial_at
            && self.dial(now, now - KEPT, machine, out).is_none()
            && let Some(peer) = self.peers.get_mut(&machine).filter(|peer| peer.address.is_empty())
        {
            // Nobody knows where it could be heard. That there is no room is not its fault, and proves nothing.
            (peer.fails, peer.redial_at) = (peer.fails + 1, now + REDIAL);
        }
    }
}
