//! Inputs and outputs of the gateway, and the limits that it works in.

use crate::discovery::WatchEvent;
use crate::message::{Message, RequestId};
use crate::pool::PoolAction;
use crate::{DownstreamId, UpstreamId};
use std::net::IpAddr;
use tidespur_policy::interface::Seconds;

/// Limits on the gateway's connections.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections of clients at once.
    pub downstreams: usize,
    /// Connections to machines at once.
    pub upstreams: usize,
    /// Connections of clients that are closed here and not yet by their peers.
    pub closing: usize,
}

impl Limits {
    /// Divides a limit on descriptors: up to 24 for the program itself, the discovery stream and connections that are
    /// closing; a third for owners, who open no more by the platform's rule, and an eighth for other clients; the rest
    /// for machines, so that as many as possible have a connection of their own.
    pub fn for_descriptors(descriptors: usize) -> Self {
        let own = 24.min(descriptors / 4);
        let downstreams = descriptors / 3 + descriptors / 8;
        Self {
            upstreams: (descriptors - own).saturating_sub(downstreams).max(2),
            downstreams: downstreams.max(1),
            closing: own / 4,
        }
    }
}

/// What a check of a client's connection found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerCheck {
    /// Nothing is unread, and all that was read has been handled.
    Idle,
    /// The same, except for an incomplete message.
    PartialMessage,
    /// Nothing is unread; messages that were read wait to be handled.
    Queued,
    /// More is unread than one check reads.
    MoreUnread,
}

/// What has happened, for the gateway to handle.
#[derive(Clone, Debug)]
pub enum Input {
    /// A client connected.
    DownstreamOpened(DownstreamId, IpAddr),
    /// The client sent a message.
    DownstreamMessage(DownstreamId, Message),
    /// The client sent bytes that are no message.
    DownstreamMalformed(DownstreamId),
    /// The client closed, half-closed or reset its connection, or accepts no more bytes. Messages that it sent before
    /// may still follow, and then [`Input::DownstreamClosed`].
    DownstreamPeerClosed(DownstreamId),
    /// The client's connection has ended, and all its messages were delivered.
    DownstreamClosed(DownstreamId),
    /// Answers [`Output::CheckDownstream`], after inputs that end requests of the client.
    DownstreamChecked(DownstreamId, PeerCheck),
    /// A connection to a machine is open.
    UpstreamOpened(UpstreamId),
    /// A dial was refused: nothing listens at the address.
    UpstreamConnectRefused(UpstreamId),
    /// A dial failed for another reason.
    UpstreamConnectFailed(UpstreamId),
    /// The machine sent a message.
    UpstreamMessage(UpstreamId, Message),
    /// The machine sent bytes that are no message.
    UpstreamMalformed(UpstreamId),
    /// Answers [`PoolAction::CheckPeer`], after the messages that were read from the machine.
    UpstreamChecked(UpstreamId),
    /// A connection to a machine ended.
    UpstreamEnded(UpstreamId),
    /// The same, and no byte was sent of what was to be written last: this offer, or another message.
    UpstreamWriteFailed(UpstreamId, Option<RequestId>),
    /// The machine accepts no bytes now, and none of this offer was sent: its bytes are returned.
    UpstreamBlocked(UpstreamId, RequestId, Vec<u8>),
    /// The machine accepts no bytes now, and only a part of this offer was sent.
    UpstreamPartiallyWritten(UpstreamId, RequestId),
    /// All bytes that waited for the machine were sent.
    UpstreamDrained(UpstreamId),
    /// The discovery stream delivered a watch event.
    EndpointsDelivered(WatchEvent),
    /// The process was asked to shut down.
    Shutdown,
    /// Answers [`Output::StopListening`], after all connections that were opened before.
    ListeningStopped,
    /// The event loop handles something this many seconds after it was due.
    LagMeasured(Seconds),
    /// No event: timers that are due by now fire.
    Tick,
}

/// What is to be done; outputs of one step are carried out in their order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Write to a client.
    WriteDownstream(DownstreamId, Vec<u8>),
    /// Write what waits for a client, then half-close; read until the client closes too, for a bounded time.
    CloseDownstream(DownstreamId),
    /// Read what a client has sent by now; [`Input::DownstreamChecked`] answers.
    CheckDownstream(DownstreamId),
    /// An action on a connection to a machine.
    Upstream(PoolAction),
    /// Write a line to the log.
    Log(String),
    /// Accept the connections that wait, and then no more; [`Input::ListeningStopped`] answers.
    StopListening,
    /// Shutdown is complete: exit once all bytes were sent, and within this many seconds.
    Exit(Seconds),
}
