//! Connections to machines: dialled, written, read, closed.

use super::*;

/// A look reads so often at most. A machine says little at a time; one that floods ends as any that can't be used.
const LOOK_READS: usize = 4;

/// A connection to a machine.
pub(super) enum Upstream {
    /// Being dialled by this task: dropped with it, so that a dial given up holds no descriptor.
    Dialled(Task<()>),
    Open(Rc<Connection>),
}

impl Run {
    /// Carries out what is to be done with a connection to a machine.
    pub(super) fn on_upstream(self: &Rc<Self>, action: PoolAction) -> Option<Input> {
        match action {
            PoolAction::Dial(upstream, address) => {
                let dial = self.executor.spawn(self.clone().dial(upstream, address));
                self.upstreams
                    .borrow_mut()
                    .insert(upstream, Upstream::Dialled(dial));
                None
            }
            PoolAction::Write(upstream, bytes) => {
                // One that has ended unseen by the gateway takes nothing either.
                let Some(socket) = self.open(upstream) else {
                    return Some(Input::UpstreamWriteFailed(upstream, None));
                };
                let wrote = socket.write(&bytes);
                self.wrote(upstream, None, socket, wrote)
            }
            PoolAction::Offer(upstream, id, bytes) => {
                let Some(socket) = self.open(upstream) else {
                    return Some(Input::UpstreamWriteFailed(upstream, Some(id)));
                };
                let wrote = socket.offer(&bytes);
                if wrote.0 == Wrote::Full {
                    let _ = self.wrote(upstream, Some(id), socket, wrote);
                    return Some(Input::UpstreamBlocked(upstream, id, bytes));
                }
                self.wrote(upstream, Some(id), socket, wrote)
            }
            PoolAction::HalfClose(upstream) => {
                self.open(upstream)?.half_close();
                None
            }
            PoolAction::Close(upstream) => {
                self.upstream_over(upstream);
                None
            }
            // The gateway keeps these to itself.
            PoolAction::OfferReady(..) | PoolAction::CheckPeer(_) => None,
        }
    }

    /// How a write of the set-up `offer`, or of something else, went; sees to what the machine does not take at once.
    fn wrote(
        self: &Rc<Self>,
        upstream: UpstreamId,
        offer: Option<RequestId>,
        socket: Rc<Socket>,
        (wrote, drain): (Wrote, bool),
    ) -> Option<Input> {
        if drain {
            let this = self.clone();
            self.spawn(async move {
                if socket.drain().await.is_ok() {
                    this.put(Input::UpstreamDrained(upstream));
                }
            });
        }
        match (wrote, offer) {
            (Wrote::Part, Some(id)) => Some(Input::UpstreamPartiallyWritten(upstream, id)),
            (Wrote::Taken | Wrote::Full | Wrote::Part, _) => None,
            // The machine may have written something before it ended the connection: it is read on.
            (Wrote::Nothing, offer) => Some(Input::UpstreamWriteFailed(upstream, offer)),
            (Wrote::Broken, _) => self
                .upstream_over(upstream)
                .then_some(Input::UpstreamEnded(upstream)),
        }
    }

    /// The connection to a machine, where it is open.
    fn open(&self, upstream: UpstreamId) -> Option<Rc<Socket>> {
        match self.upstreams.borrow().get(&upstream) {
            Some(Upstream::Open(connection)) => Some(connection.socket.clone()),
            Some(Upstream::Dialled(_)) | None => None,
        }
    }

    pub(super) fn upstream_over(&self, upstream: UpstreamId) -> bool {
        match self.upstreams.borrow_mut().remove(&upstream) {
            Some(Upstream::Open(connection)) => connection.socket.close(),
            // The dial ends here, and its descriptor is free again.
            Some(Upstream::Dialled(dial)) => drop(dial),
            None => return false,
        }
        true
    }

    /// Whether all that was written to machines has left.
    pub(super) fn upstreams_flushed(&self) -> bool {
        self.upstreams
            .borrow()
            .values()
            .all(|upstream| match upstream {
                Upstream::Open(connection) => connection.socket.is_flushed(),
                Upstream::Dialled(_) => true,
            })
    }

    async fn dial(self: Rc<Self>, upstream: UpstreamId, address: String) {
        let made = match address.parse::<SocketAddr>() {
            Ok(address) => Async::<TcpStream>::connect(address).await,
            Err(e) => Err(std::io::Error::new(std::io::ErrorKind::InvalidInput, e)),
        };
        // From here on it is this task that reads the connection: it is no more ended with the dial.
        match self.upstreams.borrow_mut().remove(&upstream) {
            Some(Upstream::Dialled(dial)) => dial.detach(),
            _ => return,
        }
        let connection = match made {
            Ok(stream) => Connection::new(stream),
            Err(problem) => {
                let refused = problem.kind() == std::io::ErrorKind::ConnectionRefused;
                self.put(if refused {
                    Input::UpstreamConnectRefused(upstream)
                } else {
                    Input::UpstreamConnectFailed(upstream)
                });
                return;
            }
        };
        self.upstreams
            .borrow_mut()
            .insert(upstream, Upstream::Open(connection.clone()));
        self.put(Input::UpstreamOpened(upstream));
        self.hear(upstream, connection).await;
    }

    async fn hear(self: &Rc<Self>, upstream: UpstreamId, connection: Rc<Connection>) {
        while !connection.ended.get() {
            // An error shows in the read.
            let _ = connection.socket.readable().await;
            if connection.ended.get() || !self.upstreams.borrow().contains_key(&upstream) {
                return;
            }
            self.hear_now(upstream, &connection);
            // All that is owed goes into the next step, which comes before this is polled again.
            futures_lite::future::yield_now().await;
        }
    }

    /// Reads once what a machine has said, and puts it into the queue; `false`: there was nothing.
    fn hear_now(&self, upstream: UpstreamId, connection: &Connection) -> bool {
        let read = match connection.socket.read_now(&self.buffer) {
            Ok(None) => return false,
            Ok(Some(0)) | Err(_) => {
                connection.ended.set(true);
                self.put(Input::UpstreamEnded(upstream));
                return true;
            }
            Ok(Some(read)) => read,
        };
        let said = |message| Input::UpstreamMessage(upstream, message);
        let mut decoder = connection.decoder.borrow_mut();
        for input in self.decode(&mut decoder, read, said, Input::UpstreamMalformed(upstream)) {
            connection
                .ended
                .set(matches!(input, Input::UpstreamMalformed(_)));
            self.put(input);
        }
        true
    }

    /// Reads what a machine has said by now, as far as [`LOOK_READS`] go.
    pub(super) fn look_upstream(&self, upstream: UpstreamId) {
        let connection = match self.upstreams.borrow().get(&upstream) {
            Some(Upstream::Open(connection)) => connection.clone(),
            Some(Upstream::Dialled(_)) | None => return,
        };
        for _ in 0..LOOK_READS {
            if connection.ended.get() || !self.hear_now(upstream, &connection) {
                return;
            }
        }
    }
}
