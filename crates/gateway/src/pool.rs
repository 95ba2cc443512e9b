//! Connections to machines: which one carries what, what the end of one means, and when a machine is dead.
//!
//! One open set-up a connection while there is room: after a malformed answer a connection is of no use for
//! anything else on it. While a machine holds a task of ours, one connection to it is kept and tested, as a
//! machine that vanished says nothing.

mod capacity;
mod endpoints;
mod lifecycle;
mod maintenance;
mod offers;

use crate::UpstreamId;
use crate::message::RequestId;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use tidespur_policy::interface::{MachineId, Seconds};

/// A connection on which nothing was heard for this long carries no new set-up: a new one is dialled, and if it
/// does not come up that proves that nothing ran. Guards against machines that died or hang unseen, and, as it is
/// never more than half of the time after which machines close idle connections, against a set-up that crosses such
/// a close; costs a handshake.
const FRESH_CONNECTION_TIMEOUT: Seconds = 0.5;
/// What was heard by this long after the loop had stood still may have come long before, and a close behind it may lie
/// unread: such a connection is looked at before it carries a set-up. At other times what is heard has just come, and the
/// machine's idle time is not over; a look at each would cost a tenth of all placements under full load.
const STALL_RECHECK_TIMEOUT: Seconds = 0.05;
/// A machine that holds a task of ours and was silent for this long is tested.
const HEALTH_CHECK_INTERVAL: Seconds = 1.0;
/// A test without an answer for this long: the connection is closed.
const HEALTH_CHECK_TIMEOUT: Seconds = 1.5;
/// A machine silent for this long that can't be dialled either has failed, and what stood there has ended. The
/// platform allows 8 s from the end, which came after the last word: this leaves time for a late tick. Any sooner, and
/// a zone that is cut off for some seconds loses all that runs there, at every scheduler. Harm: owners of what stood on
/// a machine that vanished hear of it so much later.
const MACHINE_FAILURE_TIMEOUT: Seconds = 7.4;
/// Where there is no room for a connection to each machine that holds a task of ours, one without is visited after this
/// silence, and one that was kept for this long gives way to it. Guards against machines that count as failed only
/// because nobody could call; costs a handshake a visit.
const VISIT_INTERVAL: Seconds = 2.0;
const REQUIRED_CONNECTION_MIN_AGE: Seconds = 1.0;
/// So many connections may be half-closed and not ended yet while others take their room.
const MAX_HALF_CLOSED: usize = 8;
/// Pause between dials that fail.
const DIAL_BACKOFF: Seconds = 0.25;
/// An idle connection that is not needed is half-closed after this, or after half of the time after which the
/// machines themselves close it.
const IDLE_TIMEOUT: Seconds = 10.0;
/// A machine has so long to end a connection that was half-closed here. What it wrote before it heard of that, such
/// as the end of a task, is still read; a plain close would lose it.
const HALF_CLOSE_TIMEOUT: Seconds = 2.0;
/// Messages that wait for the next connection to a machine.
const MAX_QUEUED_MESSAGES: usize = 1_000;
/// Machines that the list does not tell of and at which tasks were handed over.
const MAX_UNLISTED_MACHINES: usize = 1_000;

/// What is to be done with connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PoolAction {
    /// Dial; `Opened`, `Refused` or `Ended` answers.
    Dial(UpstreamId, String),
    /// Write these bytes.
    Write(UpstreamId, Vec<u8>),
    /// This set-up could leave now: [`Pool::send_ready_offer`] follows once its client is known to be there still.
    OfferReady(UpstreamId, RequestId),
    /// Read what a machine has said by now; `UpstreamLooked` answers, after that.
    CheckPeer(UpstreamId),
    /// Write this set-up; what did not leave of it is told of this one.
    Offer(UpstreamId, RequestId, Vec<u8>),
    /// Write no more, and go on reading until the machine ends it too; `Ended` answers.
    HalfClose(UpstreamId),
    /// Close, also while it is being dialled. Nothing answers.
    Close(UpstreamId),
}

/// What became of set-ups and machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolEvent {
    /// No byte of this set-up left.
    ConnectFailed(RequestId),
    /// The same, and that says nothing against the machine: a choice made here, or an idle connection that it closed.
    NeverSent(RequestId),
    /// The connection ended under this set-up: it may have run.
    Interrupted(RequestId),
    /// The machine is dead, or was silent too long: what stood there is over.
    MachineFailed(MachineId),
}

/// Times of connections that the settings tell.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionTimeouts {
    /// One not made within this counts as none.
    pub connect: Seconds,
    /// Machines close one that is idle for this long.
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

/// How a connection ended, or was not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// Nobody listens there.
    Refused,
    /// Not a byte left of what was written last, a set-up where one is named; the connection is read to its end.
    WriteFailed(Option<RequestId>),
    /// Otherwise.
    Other,
}

#[derive(Debug)]
struct Upstream {
    machine: MachineId,
    /// Since when it is being dialled; `None`: it is open.
    dialling_since: Option<Seconds>,
    /// Set-ups without an answer: one, or more where there was no room for another connection.
    pending_offers: Vec<RequestId>,
    /// Set-ups that have not left: until it is open and takes bytes, and it is sure that their clients are still there;
    /// kept one by one, so that what is cancelled never leaves.
    unsent_offers: Vec<(RequestId, Vec<u8>)>,
    /// The machine takes no bytes now; with a set-up of which only a part has left.
    blocked: bool,
    partially_written: Option<RequestId>,
    heard_at: Seconds,
    used_at: Seconds,
    health_check_sent_at: Option<Seconds>,
    /// When it came up.
    opened_at: Seconds,
    /// How it stands among the idle ones, if it does.
    idle_entry: Option<(IdleClass, u64)>,
}

/// What an idle connection is there for, in the order in which they give way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum IdleClass {
    /// Nothing: by its last use.
    Spare,
    /// The one sound connection to a machine that holds a task of ours: by when it came up.
    Required,
}

impl Upstream {
    fn is_idle(&self) -> bool {
        self.dialling_since.is_none() && self.pending_offers.is_empty()
    }

    /// Open, and nothing stands against it.
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
    /// Tasks of ours that stand there.
    placed_tasks: usize,
    heard_at: Seconds,
    /// Dials that failed in a row, those that were refused, and when the next may go.
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
    /// Idle connections in the order in which they give way: found without a walk over all.
    idle: BTreeSet<(IdleClass, u64, UpstreamId)>,
    /// Connections that were looked at so far.
    connections_examined: Cell<u64>,
    /// Half-closed, and not ended by the machine yet: whose, and since when.
    half_closed: BTreeMap<UpstreamId, (MachineId, Seconds)>,
    next: u64,
    /// When the loop last went on after it had stood still: what was heard then may have come long before.
    stalled_at: Seconds,
    /// Connections that may be there at once.
    max_connections: usize,
    timeouts: ConnectionTimeouts,
}

impl Pool {
    /// No connections yet; at most `most` at once.
    pub fn new(max_connections: usize, timeouts: ConnectionTimeouts) -> Self {
        let (peers, upstreams, half_closed) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        let (idle, max_connections, stalled_at) =
            (BTreeSet::new(), max_connections.max(2), f64::NEG_INFINITY);
        Self {
            peers,
            upstreams,
            idle,
            connections_examined: Cell::new(0),
            half_closed,
            next: 0,
            stalled_at,
            max_connections,
            timeouts,
        }
    }

    /// The loop has stood still until now.
    pub fn loop_stalled(&mut self, now: Seconds) {
        self.stalled_at = now;
    }

    /// The machine at the other end.
    pub fn machine(&self, upstream: UpstreamId) -> Option<MachineId> {
        let half_closed = self.half_closed.get(&upstream).map(|(machine, _)| *machine);
        self.upstreams
            .get(&upstream)
            .map(|upstream| upstream.machine)
            .or(half_closed)
    }

    /// Connections there are.
    pub fn count(&self) -> usize {
        self.upstreams.len() + self.half_closed.len()
    }

    /// The connections to a machine that are not half-closed, those that are being dialled too.
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

    /// Connections that were looked at so far, to find one.
    pub fn connections_examined(&self) -> u64 {
        self.connections_examined.get()
    }
}
