//! Connections of clients: reads, checks, writes and closes them.

use super::EventLoop;
use crate::connection::Connection;
use crate::socket::{READ_BUFFER_BYTES, WriteOutcome};
use std::rc::Rc;
use tidespur_gateway::{DownstreamId, Input, PeerCheck};
use tidespur_net::clock;

/// A message must be complete this long after its first byte, in seconds. Guards against clients that send an
/// incomplete message and keep the connection open: the platform requires that they are closed within 3 s after they
/// connect. It also closes clients that need longer than this to send one message.
const PARTIAL_MESSAGE_TIMEOUT: f64 = 2.5;
/// The first message, once its first byte was read, must be complete this long after the connection was opened, in
/// seconds.
const FIRST_MESSAGE_TIMEOUT: f64 = 2.6;
/// Maximum number of bytes that one check reads.
const MAX_CHECK_BYTES: usize = 4 * READ_BUFFER_BYTES;
/// A check stops reading from a client that has this many requests in the queue.
const MAX_QUEUED_REQUESTS: usize = 256;
/// A half-closed connection is read for at most this long if its peer does not close it, in seconds.
const LINGER_TIMEOUT: f64 = 1.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadOutcome {
    /// So many bytes were read.
    Bytes(usize),
    /// There is nothing to read now.
    Empty,
    /// The end of the stream or an error was read.
    Ended,
}

impl EventLoop {
    /// Reads a client's messages until its connection ends, or an incomplete message times out.
    pub(super) async fn serve_client(
        self: Rc<Self>,
        client: DownstreamId,
        connection: Rc<Connection>,
    ) {
        while !connection.ended.get() {
            let first_message_deadline = if connection.has_sent_message.get() {
                f64::INFINITY
            } else {
                connection.opened_at + FIRST_MESSAGE_TIMEOUT
            };
            let deadline = connection
                .partial_since
                .get()
                .map(|since| (since + PARTIAL_MESSAGE_TIMEOUT).min(first_message_deadline));
            let timeout = deadline.map_or(f64::INFINITY, |deadline| deadline - clock::now());
            let ready = clock::timeout(timeout, connection.socket.readable()).await;
            if connection.ended.get() {
                return;
            }
            if ready.is_none() {
                tracing::debug!(
                    scheduler = self.name,
                    ?client,
                    "incomplete message timed out"
                );
                connection.ended.set(true);
                self.enqueue(Input::DownstreamMalformed(client));
                return;
            }
            if let ReadOutcome::Bytes(_) = self.read_client(client, &connection) {
                // Nothing more is read until these inputs were handled, so that a flood of requests stays in the
                // client's own socket buffer. Only a check reads further.
                while !self
                    .queue
                    .borrow()
                    .is_drained(client, connection.last_input.get())
                {
                    futures_lite::future::yield_now().await;
                }
            }
        }
    }

    /// Reads once, and adds the complete messages to the queue.
    fn read_client(&self, client: DownstreamId, connection: &Connection) -> ReadOutcome {
        let read = match connection.socket.try_read(&self.read_buffer) {
            Ok(None) => return ReadOutcome::Empty,
            Ok(Some(0)) | Err(_) => {
                connection.ended.set(true);
                self.enqueue(Input::DownstreamPeerClosed(client));
                self.enqueue(Input::DownstreamClosed(client));
                return ReadOutcome::Ended;
            }
            Ok(Some(read)) => read,
        };
        let mut decoder = connection.decoder.borrow_mut();
        let to_input = |message| Input::DownstreamMessage(client, message);
        let malformed = Input::DownstreamMalformed(client);
        let inputs = self.decode(&mut decoder, read, to_input, malformed);
        let partial_since = if !decoder.has_partial_message() {
            None
        } else if inputs.is_empty() {
            connection
                .partial_since
                .get()
                .or_else(|| Some(clock::now()))
        } else {
            Some(clock::now())
        };
        connection.partial_since.set(partial_since);
        connection
            .has_sent_message
            .set(connection.has_sent_message.get() || !inputs.is_empty());
        for input in inputs {
            connection
                .ended
                .set(matches!(input, Input::DownstreamMalformed(_)));
            connection.last_input.set(self.enqueue(input));
        }
        ReadOutcome::Bytes(read)
    }

    /// Reads what a client has sent so far, within [`MAX_CHECK_BYTES`] and [`MAX_QUEUED_REQUESTS`].
    pub(super) fn check_client(&self, client: DownstreamId) -> PeerCheck {
        let connection = self.downstreams.borrow().get(&client).cloned();
        let mut read = 0;
        while let Some(connection) = connection
            .as_ref()
            .filter(|connection| !connection.ended.get())
        {
            let queue = self.queue.borrow();
            let may_read = read < MAX_CHECK_BYTES
                && queue.waiting_requests(client) < MAX_QUEUED_REQUESTS
                && queue.admits(client, READ_BUFFER_BYTES);
            drop(queue);
            if !may_read {
                return PeerCheck::MoreUnread;
            }
            match self.read_client(client, connection) {
                ReadOutcome::Bytes(n) => read += n,
                ReadOutcome::Empty | ReadOutcome::Ended => break,
            }
        }
        let has_partial_message =
            connection.is_some_and(|connection| connection.partial_since.get().is_some());
        match self.queue.borrow().waiting_requests(client) {
            0 if has_partial_message => PeerCheck::PartialMessage,
            0 => PeerCheck::Idle,
            _ => PeerCheck::Queued,
        }
    }

    /// Writes to a client; returns an input if the client can't be reached any more.
    pub(super) fn write_client(&self, client: DownstreamId, bytes: &[u8]) -> Option<Input> {
        let connection = self.downstreams.borrow().get(&client).cloned()?;
        let (outcome, must_drain) = connection.socket.write(bytes);
        if must_drain {
            let socket = connection.socket.clone();
            self.spawn(async move { drop(socket.drain().await) });
        }
        if outcome == WriteOutcome::Accepted || connection.ended.get() {
            return None;
        }
        // Bytes that the client sent before are still read, up to the end of the stream.
        connection.socket.close();
        Some(Input::DownstreamPeerClosed(client))
    }

    /// Removes a connection that has ended; returns false if it was removed before.
    pub(super) fn remove_client(&self, client: DownstreamId) -> bool {
        self.downstreams.borrow_mut().remove(&client).is_some()
    }

    /// Half-closes a connection, and reads it until its client closes it too: closing a socket with unread bytes resets
    /// the connection, and the client may lose what was sent to it. Closes the oldest one at once if too many are
    /// half-closed.
    pub(super) fn close_client(self: &Rc<Self>, client: DownstreamId) {
        let Some(connection) = self.downstreams.borrow_mut().remove(&client) else {
            return;
        };
        connection.ended.set(true);
        let socket = connection.socket.clone();
        socket.half_close();
        let mut closing = self.closing.borrow_mut();
        closing.push_back(socket.clone());
        if closing.len() > self.max_closing
            && let Some(oldest) = closing.pop_front()
        {
            oldest.close();
        }
        let this = self.clone();
        self.spawn(async move {
            clock::timeout(LINGER_TIMEOUT, socket.discard(&this.read_buffer)).await;
            socket.close();
            this.closing
                .borrow_mut()
                .retain(|other| !Rc::ptr_eq(other, &socket));
        });
    }
}
