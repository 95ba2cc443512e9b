//! What comes to a gateway, what it wants done, and what it may use.

use crate::discovery::WatchEvent;
use crate::message::{Message, RequestId};
use crate::pool::PoolAction;
use crate::{DownstreamId, UpstreamId};
use std::net::IpAddr;
use tidespur_policy::interface::Seconds;

/// What the gateway may use.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections of clients at once.
    pub downstreams: usize,
    /// Connections to machines at once.
    pub upstreams: usize,
    /// Connections of clients that are closed here and not by their peer yet.
    pub closing: usize,
}

impl Limits {
    /// Shares out a limit on descriptors: some for the program itself, the discovery stream and connections that
    /// close; a third for owners, who hold no more by the platform's rule, and an eighth for others who come in; the
    /// rest for machines, so that as many as can be have a connection of their own.
    pub fn of(sockets: usize) -> Self {
        let own = 24.min(sockets / 4);
        let downstreams = sockets / 3 + sockets / 8;
        Self {
            upstreams: (sockets - own).saturating_sub(downstreams).max(2),
            downstreams: downstreams.max(1),
            closing: own / 4,
        }
    }
}

/// What a look at a client's connection found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerCheck {
    /// Nothing is unread, and all that was read has been taken in.
    Idle,
    /// The same, but for a message that is begun and not whole.
    PartialMessage,
    /// Nothing is unread; some of it waits to be taken in.
    Queued,
    /// It says more than was read at once.
    MoreUnread,
}

/// What came.
#[derive(Clone, Debug)]
pub enum Input {
    /// A client connected.
    DownstreamOpened(DownstreamId, IpAddr),
    /// It sent a message.
    DownstreamMessage(DownstreamId, Message),
    /// It sent what can't be read.
    DownstreamMalformed(DownstreamId),
    /// It has closed, half-closed or reset its connection, or takes no more bytes. What it said before may still
    /// come, and then [`Input::DownstreamClosed`].
    DownstreamPeerClosed(DownstreamId),
    /// Its connection ended, and all that it said has come.
    DownstreamClosed(DownstreamId),
    /// Answers [`Output::CheckDownstream`], after what ends its requests.
    DownstreamChecked(DownstreamId, PeerCheck),
    /// A connection to a machine is made.
    UpstreamOpened(UpstreamId),
    /// Nobody listens there.
    UpstreamConnectRefused(UpstreamId),
    /// It could not be made, for another reason.
    UpstreamConnectFailed(UpstreamId),
    /// The machine sent a message.
    UpstreamMessage(UpstreamId, Message),
    /// It sent what can't be read.
    UpstreamMalformed(UpstreamId),
    /// Answers [`PoolAction::CheckPeer`], after what the machine has said.
    UpstreamChecked(UpstreamId),
    /// The connection ended.
    UpstreamEnded(UpstreamId),
    /// The same, and no byte left of what was to be written last: this set-up, or something else.
    UpstreamWriteFailed(UpstreamId, Option<RequestId>),
    /// The machine takes no bytes now, and none of this set-up left: here it is back.
    UpstreamBlocked(UpstreamId, RequestId, Vec<u8>),
    /// The machine takes no bytes now, and only a part of this set-up left.
    UpstreamPartiallyWritten(UpstreamId, RequestId),
    /// All that waited for the machine has left.
    UpstreamDrained(UpstreamId),
    /// The discovery stream delivered an event.
    EndpointsDelivered(WatchEvent),
    /// The program is to end.
    Shutdown,
    /// Answers [`Output::StopListening`], after all that had connected.
    ListeningStopped,
    /// Something that was due so many seconds ago is taken in only now: the loop lags.
    LagMeasured(Seconds),
    /// Time goes on.
    Tick,
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Write to a client.
    WriteDownstream(DownstreamId, Vec<u8>),
    /// Write what waits for a client, then no more; read until it closes too, for a bounded time.
    CloseDownstream(DownstreamId),
    /// Read what a client has said by now; [`Input::DownstreamChecked`] answers.
    CheckDownstream(DownstreamId),
    /// Something about a connection to a machine.
    Upstream(PoolAction),
    /// A line of the log.
    Log(String),
    /// Accept who has connected, and then no more; [`Input::ListeningStopped`] answers.
    StopListening,
    /// Nothing is owed any more: end once what was written has left, within so many seconds.
    Exit(Seconds),
}
