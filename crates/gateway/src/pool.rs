//! Pool of connections to machines: chooses the connection for an offer, interprets the end of a connection, and
//! detects failed machines.
//!
//! Owned by the gateway, which carries out its actions and handles its events. A connection carries one pending offer
//! while capacity allows it, as nothing can be read on it after a malformed answer. While a machine holds a placed
//! task, one connection to it is kept open and health-checked, as a machine that vanished sends nothing.

mod action;
mod address_reuse;
mod capacity;
mod endpoints;
mod lifecycle;
mod maintenance;
mod offers;
mod peer;
mod release_table;
mod releases;

pub use action::{PoolAction, PoolEvent};

use peer::{HalfClosed, IdleClass, Peer, Upstream};
use release_table::PendingReleases;

use crate::UpstreamId;
use crate::message::RequestId;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use tidespur_policy::interface::{MachineId, Seconds};

/// A connection on which nothing was received for this long carries no new offer. Another one is dialled; if that
/// fails, the task certainly did not run. Guards against machines that died or hang unnoticed, and against an offer
/// that crosses a machine's close of an idle connection, as the limit is at most half of the machine's idle timeout.
/// Costs a handshake.
const FRESH_CONNECTION_TIMEOUT: Seconds = 0.5;
/// A connection whose last message was read within this time after a stall of the event loop is checked before it
/// carries an offer, as the message may be old and followed by an unread close. At other times a message that is read
/// has just arrived; checking each connection would cost a tenth of the placements under full load.
const STALL_RECHECK_TIMEOUT: Seconds = 0.05;
/// A machine that holds a placed task and sent nothing for this long gets a health check.
const HEALTH_CHECK_INTERVAL: Seconds = 1.0;
/// A connection on which a health check is not answered within this time is used no more, and only read.
const HEALTH_CHECK_TIMEOUT: Seconds = 1.5;
/// A machine that sent nothing for this long and can't be dialled has failed, and the tasks placed on it are lost. The
/// platform allows 8 s from the failure, which is later than the last message; the difference covers a late tick. With
/// a shorter timeout, a zone that is partitioned for some seconds would lose all its tasks at every scheduler. With a
/// longer one, owners learn later of a machine that vanished.
const MACHINE_FAILURE_TIMEOUT: Seconds = 7.4;
/// At capacity, a machine that holds a placed task and has no connection is dialled after this long without a message.
/// Otherwise machines would count as failed only because no connection to them could be opened. Costs a handshake each
/// time.
const VISIT_INTERVAL: Seconds = 2.0;
/// A required connection can be replaced by such a dial once it has been open for this long.
const REQUIRED_CONNECTION_MIN_AGE: Seconds = 1.0;
/// Capacity reserved for half-closed connections.
const MAX_HALF_CLOSED: usize = 8;
/// Delay after a failed dial before maintenance dials the machine again.
const DIAL_BACKOFF: Seconds = 0.25;
/// An idle connection that is not required is half-closed after this time, or after half of the machines' idle timeout
/// if that is shorter.
const IDLE_TIMEOUT: Seconds = 10.0;
/// A half-closed connection that its machine does not close within this time is closed. Until then, what the machine
/// has written, such as the end of a task, is still read; an immediate close would lose it.
const HALF_CLOSE_TIMEOUT: Seconds = 2.0;
/// Machines that adopted tasks name and the endpoint list does not; a task on a further one is not adopted.
const MAX_UNLISTED_MACHINES: usize = 1_000;

/// Why an offer is cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelReason {
    /// The machine did not answer before the deadline.
    TimedOut,
    /// The owner cancelled the request, or the offer must not be sent any more.
    Unwanted,
}

/// Timeouts of connections to machines, from the settings.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionTimeouts {
    /// Timeout of a dial.
    pub connect: Seconds,
    /// Time after which machines close an idle connection.
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
    /// No byte of the last write was sent: of this offer, or of another message. The connection is still read to its
    /// end.
    WriteFailed(Option<RequestId>),
    /// The machine closed the connection, and all that it had sent was read.
    Closed,
    /// The connection was reset or given up, or the dial failed for another reason. What the machine had sent may be
    /// lost.
    Other,
}

/// All connections to machines.
#[derive(Debug)]
pub struct Pool {
    peers: BTreeMap<MachineId, Peer>,
    upstreams: BTreeMap<UpstreamId, Upstream>,
    /// Index of the idle connections, in the order of replacement.
    idle: BTreeSet<(IdleClass, u64, UpstreamId)>,
    connections_examined: Cell<u64>,
    /// Connections half-closed here that their machines have not closed.
    half_closed: BTreeMap<UpstreamId, HalfClosed>,
    releases: PendingReleases,
    last_upstream_id: u64,
    /// When the event loop last resumed after a stall; a message read then may have arrived long before.
    stalled_at: Seconds,
    /// Maximum connections, half-closed ones included.
    max_connections: usize,
    timeouts: ConnectionTimeouts,
}

impl Pool {
    /// Creates a pool without connections. `max_connections` includes half-closed ones, and is raised to 2 if it is
    /// lower.
    pub fn new(max_connections: usize, timeouts: ConnectionTimeouts) -> Self {
        Self {
            peers: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            idle: BTreeSet::new(),
            connections_examined: Cell::new(0),
            half_closed: BTreeMap::new(),
            releases: PendingReleases::default(),
            last_upstream_id: 0,
            stalled_at: f64::NEG_INFINITY,
            max_connections: max_connections.max(2),
            timeouts,
        }
    }

    /// Records that the event loop stalled until now.
    pub fn loop_stalled(&mut self, now: Seconds) {
        self.stalled_at = now;
    }

    /// Machine at the other end of a connection; `None` once the connection is closed.
    pub fn machine(&self, upstream: UpstreamId) -> Option<MachineId> {
        self.endpoint_of(upstream).map(|(machine, _)| machine)
    }

    /// Whether the process at the other end of a connection can be this machine: the connection is the machine's, or
    /// was dialled at the address that the machine has now. While the endpoint list lags behind, the connections to an
    /// address are still those of the machine that had it before.
    pub fn may_lead_to(&self, upstream: UpstreamId, machine: MachineId) -> bool {
        let Some((listed_machine, address)) = self.endpoint_of(upstream) else {
            return false;
        };
        listed_machine == machine
            || self
                .peers
                .get(&machine)
                .is_some_and(|peer| peer.address == address)
    }

    /// When an open connection was dialled; `None` once it is half-closed or closed.
    pub fn dialled_at(&self, upstream: UpstreamId) -> Option<Seconds> {
        self.upstreams
            .get(&upstream)
            .map(|upstream| upstream.dialled_at)
    }

    /// Machine and address at the other end of a connection, half-closed ones included.
    fn endpoint_of(&self, upstream: UpstreamId) -> Option<(MachineId, &str)> {
        let open = self
            .upstreams
            .get(&upstream)
            .map(|upstream| (upstream.machine, upstream.address.as_str()));
        let half_closed = || {
            self.half_closed
                .get(&upstream)
                .map(|half_closed| (half_closed.machine, half_closed.address.as_str()))
        };
        open.or_else(half_closed)
    }

    /// Number of connections, including those that are half-closed or being dialled.
    pub fn count(&self) -> usize {
        self.upstreams.len() + self.half_closed.len()
    }

    /// Connections to a machine that are open or being dialled. Counts each one that is examined.
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

    /// Number of connections examined since the start; a connection counts each time.
    pub fn connections_examined(&self) -> u64 {
        self.connections_examined.get()
    }
}
