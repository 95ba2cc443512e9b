//! Connections of clients: accepted, read, looked at, closed.

use super::*;

/// Pause of the listener where descriptors are used up.
const SHORT: f64 = 0.02;
/// A message must be whole this long after its first byte, and the first one this long after the connection was made.
/// Guards against clients that send a part and stay: the platform's page allows 3 s from the connection on until
/// they are closed. Harm: whoever needs longer for one message is closed too.
const HALF_FOR: f64 = 2.5;
const FIRST_WITHIN: f64 = 2.6;
/// A look reads so many bytes at most, and none where so many requests wait already.
const LOOK_MOST: usize = 4 * TURN;
const WAITING_MOST: usize = 256;
/// One that was closed here is read for so long at most, until its peer closes it too.
const LINGER: f64 = 1.0;

/// An address that is still taken is asked for again after this, so many times: the one who had it may be ending.
const REBIND: std::time::Duration = std::time::Duration::from_millis(50);
const REBINDS: u32 = 100;

/// What a read brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Took {
    Bytes(usize),
    Nothing,
    End,
}

pub(super) fn bind(address: SocketAddr) -> Result<Async<TcpListener>, StartError> {
    let mut tries = 0;
    loop {
        match Async::<TcpListener>::bind(address) {
            Err(e) if e.kind() == std::io::ErrorKind::AddrInUse && tries < REBINDS => {
                if tries == 0 {
                    tracing::warn!(%address, "waits for its address, which is taken");
                }
                tries += 1;
                std::thread::sleep(REBIND);
            }
            made => return made.map_err(|e| StartError::Bind(address, e)),
        }
    }
}

impl Run {
    pub(super) async fn listen(self: Rc<Self>) {
        loop {
            let Some(listener) = self.listener.borrow().clone() else {
                return;
            };
            match listener.accept().await {
                Ok((stream, from)) => {
                    let sequence = self.accepted(stream, from);
                    // A flood of connections is accepted at once, one after the other: those closed for it, and
                    // all others, must have their turn in between.
                    while !self.queue.borrow().is_step_past(sequence) {
                        futures_lite::future::yield_now().await;
                    }
                }
                Err(problem) => {
                    tracing::warn!(scheduler = self.name, %problem, "accept");
                    clock::sleep(SHORT).await;
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
                Ok(stream) => drop(self.accepted(stream, from)),
                Err(problem) => tracing::warn!(scheduler = self.name, %problem, "accept"),
            }
        }
        // The task that listens holds it too.
        self.listening.borrow_mut().take();
    }

    fn accepted(self: &Rc<Self>, stream: Async<TcpStream>, from: SocketAddr) -> Sequence {
        let client = DownstreamId(self.next_client.replace(self.next_client.get() + 1));
        let connection = Connection::new(stream);
        self.downstreams
            .borrow_mut()
            .insert(client, connection.clone());
        let sequence = self.put(Input::DownstreamOpened(client, from.ip()));
        self.spawn(self.clone().serve(client, connection));
        sequence
    }

    async fn serve(self: Rc<Self>, client: DownstreamId, connection: Rc<Connection>) {
        while !connection.ended.get() {
            let first = if connection.whole.get() {
                f64::INFINITY
            } else {
                connection.opened_at + FIRST_WITHIN
            };
            let half = connection
                .half_since
                .get()
                .map(|since| (since + HALF_FOR).min(first));
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
                self.put(Input::DownstreamMalformed(client));
                return;
            }
            if let Took::Bytes(_) = self.take_bytes(client, &connection) {
                // Until what it said was taken, no more is read: a flood waits in its own socket. A look reads on.
                while !self
                    .queue
                    .borrow()
                    .is_drained(client, connection.said.get())
                {
                    futures_lite::future::yield_now().await;
                }
            }
        }
    }

    /// Reads once, and puts what is whole into the queue.
    fn take_bytes(&self, client: DownstreamId, connection: &Connection) -> Took {
        let read = match connection.socket.read_now(&self.buffer) {
            Ok(None) => return Took::Nothing,
            Ok(Some(0)) | Err(_) => {
                connection.ended.set(true);
                self.put(Input::DownstreamPeerClosed(client));
                self.put(Input::DownstreamClosed(client));
                return Took::End;
            }
            Ok(Some(read)) => read,
        };
        let mut decoder = connection.decoder.borrow_mut();
        let said = |message| Input::DownstreamMessage(client, message);
        let inputs = self.decode(&mut decoder, read, said, Input::DownstreamMalformed(client));
        let half = match (decoder.has_partial_message(), inputs.is_empty()) {
            (false, _) => None,
            (true, true) => connection.half_since.get().or_else(|| Some(clock::now())),
            (true, false) => Some(clock::now()),
        };
        connection.half_since.set(half);
        connection
            .whole
            .set(connection.whole.get() || !inputs.is_empty());
        for input in inputs {
            connection
                .ended
                .set(matches!(input, Input::DownstreamMalformed(_)));
            connection.said.set(self.put(input));
        }
        Took::Bytes(read)
    }

    /// Reads what a client has said by now.
    pub(super) fn look(&self, client: DownstreamId) -> PeerCheck {
        let connection = self.downstreams.borrow().get(&client).cloned();
        let mut read = 0;
        while let Some(connection) = connection
            .as_ref()
            .filter(|connection| !connection.ended.get())
        {
            if read >= LOOK_MOST || self.queue.borrow().waiting_requests(client) >= WAITING_MOST {
                return PeerCheck::MoreUnread;
            }
            match self.take_bytes(client, connection) {
                Took::Bytes(n) => read += n,
                Took::Nothing | Took::End => break,
            }
        }
        let half = connection.is_some_and(|connection| connection.half_since.get().is_some());
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
        if wrote == Wrote::Taken || connection.ended.get() {
            return None;
        }
        // What it said before is still read, to its end.
        connection.socket.close();
        Some(Input::DownstreamPeerClosed(client))
    }

    /// Its end has been told.
    pub(super) fn client_over(&self, client: DownstreamId) -> bool {
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
        if closing.len() > self.closing_most
            && let Some(first) = closing.pop_front()
        {
            first.close();
        }
        let this = self.clone();
        self.spawn(async move {
            clock::timeout(LINGER, socket.discard(&this.buffer)).await;
            socket.close();
            this.closing
                .borrow_mut()
                .retain(|other| !Rc::ptr_eq(other, &socket));
        });
    }
}
