//! Connections of clients: accepted, read, looked at, closed.

use super::EventLoop;
use crate::StartError;
use crate::socket::{Connection, READ_BUFFER_BYTES, WriteOutcome};
use async_io::Async;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use tidespur_gateway::input_queue::Sequence;
use tidespur_gateway::{DownstreamId, Input, PeerCheck};
use tidespur_net::clock;

/// Pause of the listener where descriptors are used up.
const ACCEPT_BACKOFF: f64 = 0.02;
/// A message must be whole this long after its first byte, and the first one this long after the connection was made.
/// Guards against clients that send a part and stay: the platform's page allows 3 s from the connection on until
/// they are closed. Harm: whoever needs longer for one message is closed too.
const PARTIAL_MESSAGE_TIMEOUT: f64 = 2.5;
const FIRST_MESSAGE_TIMEOUT: f64 = 2.6;
/// A look reads so many bytes at most, and none where so many requests wait already.
const MAX_CHECK_BYTES: usize = 4 * READ_BUFFER_BYTES;
const MAX_QUEUED_REQUESTS: usize = 256;
/// One that was closed here is read for so long at most, until its peer closes it too.
const LINGER_TIMEOUT: f64 = 1.0;

/// An address that is still taken is asked for again after this, so many times: the one who had it may be ending.
const BIND_BACKOFF: std::time::Duration = std::time::Duration::from_millis(50);
const MAX_BIND_RETRIES: u32 = 100;

/// What a read brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadOutcome {
    Bytes(usize),
    Empty,
    Ended,
}

pub(super) fn bind(address: SocketAddr) -> Result<Async<TcpListener>, StartError> {
    let mut tries = 0;
    loop {
        match Async::<TcpListener>::bind(address) {
            Err(e) if e.kind() == std::io::ErrorKind::AddrInUse && tries < MAX_BIND_RETRIES => {
                if tries == 0 {
                    tracing::warn!(%address, "waits for its address, which is taken");
                }
                tries += 1;
                std::thread::sleep(BIND_BACKOFF);
            }
            made => return made.map_err(|e| StartError::Bind(address, e)),
        }
    }
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
                    // A flood of connections is accepted at once, one after the other: those closed for it, and
                    // all others, must have their turn in between.
                    while !self.queue.borrow().is_step_past(sequence) {
                        futures_lite::future::yield_now().await;
                    }
                }
                Err(problem) => {
                    tracing::warn!(scheduler = self.name, %problem, "accept");
                    clock::sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    /// Accepts who has connected by now, and then nobody more.
    pub(super) fn stop_listening(self: &Rc<Self>) {
        let Some(listener) = self.listener.borrow_mut().take() else {
            return;
        };
        while let Ok((stream, from)) = listener.get_ref().accept() {
            match Async::new(stream) {
                Ok(stream) => drop(self.accept_client(stream, from)),
                Err(problem) => tracing::warn!(scheduler = self.name, %problem, "accept"),
            }
        }
        // The task that listens holds it too.
        self.listening.borrow_mut().take();
    }

    fn accept_client(self: &Rc<Self>, stream: Async<TcpStream>, from: SocketAddr) -> Sequence {
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
                // Until what it said was taken, no more is read: a flood waits in its own socket. A look reads on.
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

    /// Reads once, and puts what is whole into the queue.
    fn read_client(&self, client: DownstreamId, connection: &Connection) -> ReadOutcome {
        let read = match connection.socket.read_now(&self.buffer) {
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
        let half = match (decoder.has_partial_message(), inputs.is_empty()) {
            (false, _) => None,
            (true, true) => connection
                .partial_since
                .get()
                .or_else(|| Some(clock::now())),
            (true, false) => Some(clock::now()),
        };
        connection.partial_since.set(half);
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

    /// Reads what a client has said by now.
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

    /// Writes to a client; what it leads to where nothing more reaches it.
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
        // What it said before is still read, to its end.
        connection.socket.close();
        Some(Input::DownstreamPeerClosed(client))
    }

    /// Its end has been told.
    pub(super) fn remove_client(&self, client: DownstreamId) -> bool {
        self.downstreams.borrow_mut().remove(&client).is_some()
    }

    /// Ends a connection without harm to what is on its way to the client.
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
