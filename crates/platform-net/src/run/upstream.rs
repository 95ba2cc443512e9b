//! Connections to machines: dialled, written, read, closed.

use super::*;

/// A connection to a machine.
pub(super) enum Upstream {
    /// Being dialled by this task: dropped with it, so that a dial given up holds no descriptor.
    Dialled(Task<()>),
    Open(Rc<Socket>),
}

impl Run {
    /// Carries out what is to be done with a connection to a machine.
    pub(super) fn on_upstream(self: &Rc<Self>, action: PoolAction) -> Option<Input> {
        match action {
            PoolAction::Dial(upstream, address) => {
                let dial = self.executor.spawn(self.clone().dial(upstream, address));
                self.upstreams.borrow_mut().insert(upstream, Upstream::Dialled(dial));
                None
            }
            PoolAction::Write(upstream, bytes) => {
                // One that has ended unseen by the gateway takes nothing either.
                let Some(socket) = self.open(upstream) else {
                    return Some(Input::UpstreamUnwritten(upstream, None));
                };
                let wrote = socket.write(&bytes);
                self.wrote(upstream, None, socket, wrote)
            }
            PoolAction::Offer(upstream, id, bytes) => {
                let Some(socket) = self.open(upstream) else {
                    return Some(Input::UpstreamUnwritten(upstream, Some(id)));
                };
                let wrote = socket.offer(&bytes);
                if wrote.0 == Wrote::Full {
                    let _ = self.wrote(upstream, Some(id), socket, wrote);
                    return Some(Input::UpstreamFull(upstream, id, bytes));
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
            PoolAction::Due(..) => None,
        }
    }

    /// How a write of the set-up `offer`, or of something else, went; sees to what the machine does not take at once.
    fn wrote(
        self: &Rc<Self>,
        upstream: UpstreamId,
        offer: Option<Id>,
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
            (Wrote::Part, Some(id)) => Some(Input::UpstreamPart(upstream, id)),
            (Wrote::Taken | Wrote::Full | Wrote::Part, _) => None,
            // The machine may have written something before it ended the connection: it is read on.
            (Wrote::Nothing, offer) => Some(Input::UpstreamUnwritten(upstream, offer)),
            (Wrote::Broken, _) => self.upstream_over(upstream).then_some(Input::UpstreamEnded(upstream)),
        }
    }

    /// The connection to a machine, where it is open.
    fn open(&self, upstream: UpstreamId) -> Option<Rc<Socket>> {
        match self.upstreams.borrow().get(&upstream) {
            Some(Upstream::Open(socket)) => Some(socket.clone()),
            Some(Upstream::Dialled(_)) | None => None,
        }
    }

    pub(super) fn upstream_over(&self, upstream: UpstreamId) -> bool {
        match self.upstreams.borrow_mut().remove(&upstream) {
            Some(Upstream::Open(socket)) => socket.close(),
            // The dial ends here, and its descriptor is free again.
            Some(Upstream::Dialled(dial)) => drop(dial),
            None => return false,
        }
        true
    }

    /// Whether all that was written to machines has left.
    pub(super) fn upstreams_flushed(&self) -> bool {
        self.upstreams.borrow().values().all(|upstream| match upstream {
            Upstream::Open(socket) => socket.is_flushed(),
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
        let socket = match made {
            Ok(stream) => Rc::new(Socket::new(stream)),
            Err(problem) => {
                let refused = problem.kind() == std::io::ErrorKind::ConnectionRefused;
                self.put(if refused {
                    Input::UpstreamRefused(upstream)
                } else {
                    Input::UpstreamFailed(upstream)
                });
                return;
            }
        };
        self.upstreams.borrow_mut().insert(upstream, Upstream::Open(socket.clone()));
        self.put(Input::UpstreamOpened(upstream));
        self.hear(upstream, socket).await;
    }

    async fn hear(self: &Rc<Self>, upstream: UpstreamId, socket: Rc<Socket>) {
        let mut decoder = Decoder::default();
        loop {
            let read = socket.read(&self.buffer).await.unwrap_or(0);
            if !self.upstreams.borrow().contains_key(&upstream) {
                return;
            }
            if read == 0 {
                break;
            }
            let said = |message| Input::UpstreamSaid(upstream, message);
            for input in self.decode(&mut decoder, read, said, Input::UpstreamMalformed(upstream)) {
                self.put(input);
            }
            // All that is owed goes into the next step, which comes before this is polled again.
            futures_lite::future::yield_now().await;
        }
        self.put(Input::UpstreamEnded(upstream));
    }
}
