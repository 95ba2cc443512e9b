//! What comes to a gateway, what it wants done, and what it may use.

use crate::discovery::Delivery;
use crate::message::{Id, Message};
use crate::pool::PoolAction;
use crate::{DownstreamId, UpstreamId};
use std::net::IpAddr;
use tidespur_policy::interface::Seconds;

/// What the gateway may use.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections of clients at once.
    pub clients: usize,
    /// Connections to machines at once.
    pub lines: usize,
}

impl Limits {
    /// Shares out a limit on descriptors: some for the program itself and the notice board; a third for owners, who
    /// hold no more by the platform's rule, and an eighth for others who come in; the rest for machines, so that as
    /// many as can be have a connection of their own.
    pub fn of(sockets: usize) -> Self {
        let own = 24.min(sockets / 4);
        let clients = sockets / 3 + sockets / 8;
        Self { lines: (sockets - own).saturating_sub(clients).max(2), clients: clients.max(1) }
    }
}

/// What came.
#[derive(Clone, Debug)]
pub enum Input {
    /// A client connected.
    DownstreamOpened(DownstreamId, IpAddr),
    /// It sent a message.
    DownstreamSaid(DownstreamId, Message),
    /// It sent what can't be read.
    DownstreamMalformed(DownstreamId),
    /// Its connection ended.
    DownstreamClosed(DownstreamId),
    /// A connection to a machine is made.
    UpstreamOpened(UpstreamId),
    /// Nobody listens there.
    UpstreamRefused(UpstreamId),
    /// It could not be made, for another reason.
    UpstreamFailed(UpstreamId),
    /// The machine sent a message.
    UpstreamSaid(UpstreamId, Message),
    /// It sent what can't be read.
    UpstreamMalformed(UpstreamId),
    /// The connection ended.
    UpstreamEnded(UpstreamId),
    /// The same, and no byte left of what was to be written last: this set-up, or something else.
    UpstreamUnwritten(UpstreamId, Option<Id>),
    /// The notice board told something.
    Delivered(Delivery),
    /// The program is to end.
    Leave,
    /// Something that was due so many seconds ago is taken in only now: the loop is behind.
    Lag(Seconds),
    /// Time goes on.
    Tick,
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Write to a client.
    Downstream(DownstreamId, Vec<u8>),
    /// Close a client's connection, after what was written.
    CloseDownstream(DownstreamId),
    /// Something about a connection to a machine.
    Upstream(PoolAction),
    /// A line of the log.
    Log(String),
    /// Nothing is owed any more: end.
    End,
}
