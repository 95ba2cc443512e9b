//! Connections of clients: accepted, read, checked, written and closed.

use super::EventLoop;
use crate::connection::Connection;
use crate::socket::{READ_BUFFER_BYTES, WriteOutcome};
use async_io::Async;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use tidespur_gateway::input_queue::StepNumber;
use tidespur_gateway::{DownstreamId, Input, PeerCheck};
use tidespur_net::clock;

/// Pause of the listener after a failed accept, such as for lack of descriptors, in seconds.
const ACCEPT_BACKOFF: f64 = 0.02;
/// A message must be complete this long after its first byte, in seconds. Guards against clients that send a part and
/// stay: the platform allows 3 s from the connection on until they are closed. A client that needs longer for one message
/// is closed too.
const PARTIAL_MESSAGE_TIMEOUT: f64 = 2.5;
/// The first message, once begun, must be complete this long after the connection was opened, in seconds.
const FIRST_MESSAGE_TIMEOUT: f64 = 2.6;
/// Bytes that a check reads at most.
const MAX_CHECK_BYTES: usize = 4 * READ_BUFFER_BYTES;
/// A check reads no more from a client with this many requests in the queue.
const MAX_QUEUED_REQUESTS: usize = 256;
/// A connection that was half-closed here is read for at most this long, until its peer closes it too, in seconds.
const LINGER_TIMEOUT: f64 = 1.0;

/// The result of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadOutcome {
    Bytes(usize),
    Empty,
    Ended,
}

impl EventLoop {
    pub(super) async fn listen(self: Rc<Self>) {
        loop {
            let Some(listener) = self.listener.borrow().clone() else {
                return;
            };
            match listener.accept().await {
                Ok((stream, from)) => {
                    let sequence = self.accept_client(stream, from);
                    // Other connections have their turn after each one that is accepted, also in a flood of them.
                    while !self.queue.borrow().are_completions_taken(sequence) {
                        futures_lite::future::yield_now().await;
                    }
                }
                Err(error) => {
                    tracing::warn!(scheduler = self.name, %error, "accept");
                    clock::sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    /// Accepts the connections that wait, and then no more.
    pub(super) fn stop_listening(self: &Rc<Self>) {
        let Some(listener) = self.listener.borrow_mut().take() else {
            return;
        };
        while let Ok((stream, from)) = listener.get_ref().accept() {
            match Async::new(stream) {
                Ok(stream) => drop(self.accept_client(stream, from)),
                Err(error) => tracing::warn!(scheduler = self.name, %error, "accept"),
            }
        }
        // Cancels the task that listens, which holds the listener too.
        self.listening.borrow_mut().take();
    }

    fn accept_client(self: &Rc<Self>, stream: Async<TcpStream>, from: SocketAddr) -> StepNumber {
        let client = DownstreamId(self.next_client.replace(self.next_client.get() + 1));
        let connection = Connection::new(stream);
        self.downstreams
            .borrow_mut()
            .insert(client, connection.clone());
        let sequence = self.enqueue(Input::DownstreamOpened(client, from.ip()));
        self.spawn(self.clone().serve(client, connection));
        sequence
    }

    async fn serve(self: Rc<Self>, client: DownstreamId, connection: Rc<Connection>) {
        while !connection.ended.get() {
            let first = if connection.has_sent_message.get() {
                f64::INFINITY
            } else {
                connection.opened_at + FIRST_MESSAGE_TIMEOUT
            };
            let half = connection
                .partial_since
                .get()
                .map(|since| (since + PARTIAL_MESSAGE_TIMEOUT).min(first));
            let patience = half.map_or(f64::INFINITY, |until| until - clock::now());
            let ready = clock::timeout(patience, connection.socket.readable()).await;
            if connection.ended.get() {
                return;
            }
            if ready.is_none() {
                tracing::debug!(
                    scheduler = self.name,
                    ?client,
                    "half a message, and no more"
                );
                connection.ended.set(true);
                self.enqueue(Input::DownstreamMalformed(client));
                return;
            }
            if let ReadOutcome::Bytes(_) = self.read_client(client, &connection) {
                // No more is read until these inputs were handled, so that a flood waits in its own socket; only a check
                // reads on.
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
        let read = match connection.socket.try_read(&self.buffer) {
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
        let said = |message| Input::DownstreamMessage(client, message);
        let inputs = self.decode(&mut decoder, read, said, Input::DownstreamMalformed(client));
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

    /// Reads what a client has sent by now, within bounds.
    pub(super) fn check_client(&self, client: DownstreamId) -> PeerCheck {
        let connection = self.downstreams.borrow().get(&client).cloned();
        let mut read = 0;
        while let Some(connection) = connection
            .as_ref()
            .filter(|connection| !connection.ended.get())
        {
            if read >= MAX_CHECK_BYTES
                || self.queue.borrow().waiting_requests(client) >= MAX_QUEUED_REQUESTS
            {
                return PeerCheck::MoreUnread;
            }
            match self.read_client(client, connection) {
                ReadOutcome::Bytes(n) => read += n,
                ReadOutcome::Empty | ReadOutcome::Ended => break,
            }
        }
        let half = connection.is_some_and(|connection| connection.partial_since.get().is_some());
        match self.queue.borrow().waiting_requests(client) {
            0 if half => PeerCheck::PartialMessage,
            0 => PeerCheck::Idle,
            _ => PeerCheck::Queued,
        }
    }

    /// Writes to a client; returns an input if the client can't be reached any more.
    pub(super) fn write_client(&self, client: DownstreamId, bytes: &[u8]) -> Option<Input> {
        let connection = self.downstreams.borrow().get(&client).cloned()?;
        let (wrote, drain) = connection.socket.write(bytes);
        if drain {
            let socket = connection.socket.clone();
            self.spawn(async move { drop(socket.drain().await) });
        }
        if wrote == WriteOutcome::Accepted || connection.ended.get() {
            return None;
        }
        // What the client has sent before is still read, to its end.
        connection.socket.close();
        Some(Input::DownstreamPeerClosed(client))
    }

    /// Forgets a connection that has ended; returns whether it was known.
    pub(super) fn remove_client(&self, client: DownstreamId) -> bool {
        self.downstreams.borrow_mut().remove(&client).is_some()
    }

    /// Half-closes a connection, and reads it until its client closes it too, so that no reset destroys what was sent.
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
            && let Some(first) = closing.pop_front()
        {
            first.close();
        }
        let this = self.clone();
        self.spawn(async move {
            clock::timeout(LINGER_TIMEOUT, socket.discard(&this.buffer)).await;
            socket.close();
            this.closing
                .borrow_mut()
                .retain(|other| !Rc::ptr_eq(other, &socket));
        });
    }
}
