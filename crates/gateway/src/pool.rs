//! The pool of connections to machines: which one carries an offer, what the end of one means, and when a machine has
//! failed.
//!
//! Owned by the gateway, which carries out its actions and handles its events. A connection carries one pending offer
//! while capacity allows it, as nothing more can be read on it after a malformed answer. While a machine holds a placed
//! task, one connection to it is kept open and health-checked, as a machine that vanished sends nothing.

mod action;
mod capacity;
mod endpoints;
mod lifecycle;
mod maintenance;
mod offers;

pub use action::{PoolAction, PoolEvent};

use crate::UpstreamId;
use crate::message::RequestId;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use tidespur_policy::interface::{MachineId, Seconds};

/// A connection on which nothing was received for this long carries no new offer: another is dialled, and if that fails
/// nothing can have run. Guards against machines that died or hang unnoticed, and against an offer that crosses the
/// machine's close of an idle connection, as it is at most half of that idle time. Costs a handshake.
const FRESH_CONNECTION_TIMEOUT: Seconds = 0.5;
/// A connection whose last message was read within this time after a stall of the event loop is checked before it
/// carries an offer: the message may be old, and a close behind it unread. At other times a message that is read has
/// just arrived; a check of every connection would cost a tenth of all placements under full load.
const STALL_RECHECK_TIMEOUT: Seconds = 0.05;
/// A machine that holds a placed task and was silent for this long gets a health check.
const HEALTH_CHECK_INTERVAL: Seconds = 1.0;
/// A connection whose health check is not answered within this time is closed.
const HEALTH_CHECK_TIMEOUT: Seconds = 1.5;
/// A machine that was silent for this long and can't be dialled has failed, and so have the tasks placed on it. The
/// platform allows 8 s from the failure, which came after the last message: this leaves time for a late tick. If it were
/// shorter, a zone that is cut off for some seconds would lose all its tasks at every scheduler; its cost is that owners
/// learn of a vanished machine so much later.
const MACHINE_FAILURE_TIMEOUT: Seconds = 7.4;
/// At capacity, a machine that holds a placed task and has no connection is dialled after this silence. Guards against
/// machines that count as failed only because none could be dialled; costs a handshake each time.
const VISIT_INTERVAL: Seconds = 2.0;
/// A required connection that has been open for this long may give way to such a dial.
const REQUIRED_CONNECTION_MIN_AGE: Seconds = 1.0;
/// Half-closed connections that capacity is reserved for.
const MAX_HALF_CLOSED: usize = 8;
/// Pause after a failed dial before the next one to the same machine.
const DIAL_BACKOFF: Seconds = 0.25;
/// An idle connection that is not required is half-closed after this time, or after half of the time after which
/// machines close it themselves, if that is shorter.
const IDLE_TIMEOUT: Seconds = 10.0;
/// A half-closed connection that its machine does not end within this time is closed. What the machine wrote until then,
/// such as the end of a task, is still read; an immediate close would lose it.
const HALF_CLOSE_TIMEOUT: Seconds = 2.0;
/// Messages that wait for the next connection to one machine; beyond that the oldest is dropped.
const MAX_QUEUED_MESSAGES: usize = 1_000;
/// Machines that are not listed, but that adopted tasks name.
const MAX_UNLISTED_MACHINES: usize = 1_000;

/// Why an offer is cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelReason {
    /// Its answer did not come in time.
    TimedOut,
    /// Its owner has cancelled the request, or it must not be sent any more.
    Unwanted,
}

/// Timeouts of connections, from the settings.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionTimeouts {
    /// A dial that takes longer has failed, in seconds.
    pub connect: Seconds,
    /// Machines close a connection that is idle for this long, in seconds.
    pub idle: Seconds,
}

impl ConnectionTimeouts {
    fn fresh_limit(&self) -> Seconds {
        FRESH_CONNECTION_TIMEOUT.min(self.idle / 2.0)
    }

    fn idle_limit(&self) -> Seconds {
        IDLE_TIMEOUT.min(self.idle / 2.0)
    }
}

/// How a connection ended, or why it was not opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The dial was refused.
    Refused,
    /// No byte was sent of the last write, an offer where one is named; the connection is read to its end.
    WriteFailed(Option<RequestId>),
    /// Otherwise.
    Other,
}

#[derive(Debug)]
struct Upstream {
    machine: MachineId,
    /// Since when it is being dialled; `None` once it is open.
    dialling_since: Option<Seconds>,
    /// Offers without an answer: one, or more where there was no capacity for another connection.
    pending_offers: Vec<RequestId>,
    /// Offers that are not sent yet: until the connection is open and accepts bytes, and their clients are known to be
    /// connected still. Held one by one, so that a cancelled one is never sent.
    unsent_offers: Vec<(RequestId, Vec<u8>)>,
    /// The machine accepts no bytes now.
    blocked: bool,
    /// The offer of which only a part was sent.
    partially_written: Option<RequestId>,
    heard_at: Seconds,
    used_at: Seconds,
    health_check_sent_at: Option<Seconds>,
    /// When the connection was opened.
    opened_at: Seconds,
    /// Its entry in the pool's index of idle connections, if it is idle.
    idle_entry: Option<(IdleClass, u64)>,
}

/// What an idle connection is held for, in the order in which they give way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum IdleClass {
    /// Reuse; ordered by its last use.
    Spare,
    /// The only healthy connection to a machine that holds a placed task; ordered by when it was opened.
    Required,
}

impl Upstream {
    fn is_idle(&self) -> bool {
        self.dialling_since.is_none() && self.pending_offers.is_empty()
    }

    /// Whether it is open and no health check waits for its answer.
    fn is_healthy(&self) -> bool {
        self.dialling_since.is_none() && self.health_check_sent_at.is_none()
    }
}

#[derive(Debug, Default)]
struct Peer {
    address: String,
    is_gone: bool,
    /// Connections to it that are not half-closed.
    upstreams: BTreeSet<UpstreamId>,
    /// Tasks placed on it.
    placed_tasks: usize,
    heard_at: Seconds,
    /// Failed dials in a row, refused ones among them, and when the next may begin.
    consecutive_failures: u32,
    consecutive_refusals: u32,
    next_dial_at: Seconds,
    queued_messages: VecDeque<Vec<u8>>,
}

/// All connections to machines.
#[derive(Debug)]
pub struct Pool {
    peers: BTreeMap<MachineId, Peer>,
    upstreams: BTreeMap<UpstreamId, Upstream>,
    /// Index of the idle connections in the order in which they give way.
    idle: BTreeSet<(IdleClass, u64, UpstreamId)>,
    connections_examined: Cell<u64>,
    /// Connections half-closed here and not ended by their machines yet, with the machine and since when.
    half_closed: BTreeMap<UpstreamId, (MachineId, Seconds)>,
    next: u64,
    /// When the event loop last went on after a stall: messages read then may have arrived long before.
    stalled_at: Seconds,
    /// Bound on connections at once, half-closed ones included.
    max_connections: usize,
    timeouts: ConnectionTimeouts,
}

impl Pool {
    /// Creates a pool without connections that opens at most `max_connections` at once, and at least two.
    pub fn new(max_connections: usize, timeouts: ConnectionTimeouts) -> Self {
        Self {
            peers: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            idle: BTreeSet::new(),
            connections_examined: Cell::new(0),
            half_closed: BTreeMap::new(),
            next: 0,
            stalled_at: f64::NEG_INFINITY,
            max_connections: max_connections.max(2),
            timeouts,
        }
    }

    /// The event loop stalled until now.
    pub fn loop_stalled(&mut self, now: Seconds) {
        self.stalled_at = now;
    }

    /// The machine that a connection leads to; `None` once the connection is closed.
    pub fn machine(&self, upstream: UpstreamId) -> Option<MachineId> {
        let half_closed = self.half_closed.get(&upstream).map(|(machine, _)| *machine);
        self.upstreams
            .get(&upstream)
            .map(|upstream| upstream.machine)
            .or(half_closed)
    }

    /// Connections, also those that are half-closed or being dialled.
    pub fn count(&self) -> usize {
        self.upstreams.len() + self.half_closed.len()
    }

    /// The connections to a machine that are open or being dialled; counts each that is examined.
    fn upstreams_to(&self, machine: MachineId) -> impl Iterator<Item = (UpstreamId, &Upstream)> {
        let upstreams = self
            .peers
            .get(&machine)
            .into_iter()
            .flat_map(|peer| &peer.upstreams);
        upstreams.filter_map(|&id| {
            self.connections_examined
                .set(self.connections_examined.get() + 1);
            Some((id, self.upstreams.get(&id)?))
        })
    }

    /// Connections examined so far.
    pub fn connections_examined(&self) -> u64 {
        self.connections_examined.get()
    }
}
