//! Inputs, outputs and connection limits of the gateway.

use crate::discovery::WatchEvent;
use crate::message::{Message, RequestId};
use crate::pool::PoolAction;
use crate::{DownstreamId, UpstreamId};
use std::net::IpAddr;
use tidespur_policy::interface::Seconds;

/// Memory of a placed task, here, in the indexes and in the policy, in bytes.
const PLACED_TASK_BYTES: usize = 1024;
/// Placed tasks beyond which none is adopted, however much memory there is.
const MAX_PLACED: usize = 32_768;

/// Limits on the gateway's connections and memory.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum open client connections.
    pub downstreams: usize,
    /// Maximum connections to machines.
    pub upstreams: usize,
    /// Maximum client connections that were closed here and not yet by their peers.
    pub closing: usize,
    /// Limits on memory.
    pub memory: MemoryLimits,
}

/// Limits on the memory that clients can use. What a connection buffers of what it reads, an incomplete message and
/// one read, is bounded by the number of connections.
#[derive(Clone, Copy, Debug)]
pub struct MemoryLimits {
    /// Maximum memory of pending requests, in bytes.
    pub pending_bytes: usize,
    /// Maximum memory of messages that were read ahead of their turn, in bytes.
    pub queued_bytes: usize,
    /// Maximum bytes that are buffered for clients that don't read.
    pub unsent_bytes: usize,
    /// Maximum placed tasks. A task that is handed over beyond that is not adopted.
    pub max_placed: usize,
}

impl MemoryLimits {
    /// Divides a limit on the memory of the process: a quarter each for pending requests and placed tasks, a sixteenth
    /// each for messages read ahead and for unsent bytes. The rest is for the program itself, the machines, and what
    /// connections buffer.
    pub const fn for_process(bytes: usize) -> Self {
        let max_placed = bytes / 4 / PLACED_TASK_BYTES;
        Self {
            pending_bytes: bytes / 4,
            queued_bytes: bytes / 16,
            unsent_bytes: bytes / 16,
            max_placed: if max_placed < MAX_PLACED {
                max_placed
            } else {
                MAX_PLACED
            },
        }
    }
}

impl Limits {
    /// Divides a limit on file descriptors: up to 24 for the program itself, the discovery stream and closing
    /// connections; a third for owners, as the platform's rules allow them no more, and an eighth for other clients;
    /// the rest for machines, so that as many as possible have a connection of their own. The limit on memory is in
    /// bytes, see [`MemoryLimits::for_process`].
    pub fn for_process(descriptors: usize, memory_bytes: usize) -> Self {
        let reserved = 24.min(descriptors / 4);
        let downstreams = descriptors / 3 + descriptors / 8;
        Self {
            upstreams: (descriptors - reserved).saturating_sub(downstreams).max(2),
            downstreams: downstreams.max(1),
            closing: reserved / 4,
            memory: MemoryLimits::for_process(memory_bytes),
        }
    }
}

/// Result of a check of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerCheck {
    /// Nothing is unread, and all that was read was handled.
    Idle,
    /// As [`PeerCheck::Idle`], except for an incomplete message.
    PartialMessage,
    /// Nothing is unread, but messages that were read are queued.
    Queued,
    /// More bytes were unread than one check reads.
    MoreUnread,
}

/// An event that the gateway handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// A client connected.
    DownstreamOpened(DownstreamId, IpAddr),
    /// The client sent a message.
    DownstreamMessage(DownstreamId, Message),
    /// The client sent bytes that are not a message.
    DownstreamMalformed(DownstreamId),
    /// The client closed, half-closed or reset its connection, or accepts no more bytes. Messages that it sent before
    /// may still follow; then follows [`Input::DownstreamClosed`].
    DownstreamPeerClosed(DownstreamId),
    /// The client's connection has ended, and all its messages were delivered.
    DownstreamClosed(DownstreamId),
    /// Answers [`Output::CheckDownstream`], after the inputs that end requests of the client.
    DownstreamChecked(DownstreamId, PeerCheck),
    /// A dial succeeded.
    UpstreamOpened(UpstreamId),
    /// A dial was refused, as no process listens at the address.
    UpstreamConnectRefused(UpstreamId),
    /// A dial failed for another reason.
    UpstreamConnectFailed(UpstreamId),
    /// The machine sent a message.
    UpstreamMessage(UpstreamId, Message),
    /// The machine sent bytes that are not a message.
    UpstreamMalformed(UpstreamId),
    /// Answers [`PoolAction::CheckPeer`], after the messages that were read from the machine.
    UpstreamChecked(UpstreamId),
    /// The machine closed a connection, and all that it had sent on it was read.
    UpstreamEnded(UpstreamId),
    /// A connection to a machine was reset, and what the machine had sent on it may be lost.
    UpstreamReset(UpstreamId),
    /// A connection to a machine ended, and no byte of the last write was sent: of this offer, or of another message.
    UpstreamWriteFailed(UpstreamId, Option<RequestId>),
    /// The machine accepts no bytes at present, and no byte of this offer was sent; its bytes are returned.
    UpstreamBlocked(UpstreamId, RequestId, Vec<u8>),
    /// The machine accepts no bytes at present, and only the first bytes of this offer were sent.
    UpstreamPartiallyWritten(UpstreamId, RequestId),
    /// All bytes that were buffered for the machine were sent.
    UpstreamDrained(UpstreamId),
    /// The discovery stream delivered a watch event.
    EndpointsDelivered(WatchEvent),
    /// The process was asked to shut down.
    Shutdown,
    /// Answers [`Output::StopListening`], after an [`Input::DownstreamOpened`] for each connection accepted before.
    ListeningStopped,
    /// The event loop handled an input this many seconds after it was due.
    LagMeasured(Seconds),
    /// Makes the gateway handle due timers; nothing else has happened.
    Tick,
}

/// An action for the event loop. The outputs of a step have to be carried out in their order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Write an encoded message to a client.
    WriteDownstream(DownstreamId, Vec<u8>),
    /// Write the buffered bytes to a client, half-close, and read until the client closes too, for a bounded time.
    CloseDownstream(DownstreamId),
    /// Read what a client has sent by now. Answered by [`Input::DownstreamChecked`].
    CheckDownstream(DownstreamId),
    /// Carry out an action on a connection to a machine.
    Upstream(PoolAction),
    /// Write a line to the log.
    Log(String),
    /// Accept the connections in the backlog and stop listening. Answered by [`Input::ListeningStopped`].
    StopListening,
    /// Exit once all bytes were sent, and at the latest after this many seconds.
    Exit(Seconds),
}
