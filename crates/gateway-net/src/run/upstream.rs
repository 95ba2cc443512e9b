//! Connections to machines: dialled, written, read, checked and closed.

use super::EventLoop;
use crate::connection::Connection;
use crate::socket::{Socket, WriteOutcome};
use async_io::Async;
use smol::Task;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use tidespur_gateway::message::RequestId;
use tidespur_gateway::pool::PoolAction;
use tidespur_gateway::{Input, UpstreamId};

/// Reads of one check at most: machines send little at a time.
const MAX_CHECK_READS: usize = 4;

/// A connection to a machine.
pub(super) enum Upstream {
    /// Being dialled by this task, which is cancelled with the entry, so that it holds no descriptor.
    Dialling(Task<()>),
    Open(Rc<Connection>),
}

impl EventLoop {
    /// Carries out what is to be done with a connection to a machine.
    pub(super) fn on_upstream(self: &Rc<Self>, action: PoolAction) -> Option<Input> {
        match action {
            PoolAction::Dial(upstream, address) => {
                let dial = self.executor.spawn(self.clone().dial(upstream, address));
                self.upstreams
                    .borrow_mut()
                    .insert(upstream, Upstream::Dialling(dial));
                None
            }
            PoolAction::Write(upstream, bytes) => {
                // The connection may have ended without the gateway's knowledge.
                let Some(socket) = self.open_socket(upstream) else {
                    return Some(Input::UpstreamWriteFailed(upstream, None));
                };
                let wrote = socket.write(&bytes);
                self.handle_write(upstream, None, socket, wrote)
            }
            PoolAction::Offer(upstream, id, bytes) => {
                let Some(socket) = self.open_socket(upstream) else {
                    return Some(Input::UpstreamWriteFailed(upstream, Some(id)));
                };
                let wrote = socket.try_write(&bytes);
                if wrote.0 == WriteOutcome::Blocked {
                    let _ = self.handle_write(upstream, Some(id), socket, wrote);
                    return Some(Input::UpstreamBlocked(upstream, id, bytes));
                }
                self.handle_write(upstream, Some(id), socket, wrote)
            }
            PoolAction::HalfClose(upstream) => {
                self.open_socket(upstream)?.half_close();
                None
            }
            PoolAction::Close(upstream) => {
                self.close_upstream(upstream);
                None
            }
            // The gateway handles these itself.
            PoolAction::OfferReady(..) | PoolAction::CheckPeer(_) => None,
        }
    }

    /// Handles the outcome of writing the offer `offer`, or another message, and starts to drain what is unsent.
    fn handle_write(
        self: &Rc<Self>,
        upstream: UpstreamId,
        offer: Option<RequestId>,
        socket: Rc<Socket>,
        (wrote, drain): (WriteOutcome, bool),
    ) -> Option<Input> {
        if drain {
            let this = self.clone();
            self.spawn(async move {
                if socket.drain().await.is_ok() {
                    this.enqueue(Input::UpstreamDrained(upstream));
                }
            });
        }
        match (wrote, offer) {
            (WriteOutcome::PartiallyWritten, Some(id)) => {
                Some(Input::UpstreamPartiallyWritten(upstream, id))
            }
            (
                WriteOutcome::Accepted | WriteOutcome::Blocked | WriteOutcome::PartiallyWritten,
                _,
            ) => None,
            // The machine may have written something before it ended the connection: it is read on.
            (WriteOutcome::NotWritten, offer) => Some(Input::UpstreamWriteFailed(upstream, offer)),
            (WriteOutcome::Failed, _) => self
                .close_upstream(upstream)
                .then_some(Input::UpstreamEnded(upstream)),
        }
    }

    /// The connection to a machine, where it is open.
    fn open_socket(&self, upstream: UpstreamId) -> Option<Rc<Socket>> {
        match self.upstreams.borrow().get(&upstream) {
            Some(Upstream::Open(connection)) => Some(connection.socket.clone()),
            Some(Upstream::Dialling(_)) | None => None,
        }
    }

    pub(super) fn close_upstream(&self, upstream: UpstreamId) -> bool {
        match self.upstreams.borrow_mut().remove(&upstream) {
            Some(Upstream::Open(connection)) => connection.socket.close(),
            // The dial ends here, and its descriptor is free again.
            Some(Upstream::Dialling(dial)) => drop(dial),
            None => return false,
        }
        true
    }

    /// Whether all bytes to machines were sent.
    pub(super) fn upstreams_flushed(&self) -> bool {
        self.upstreams
            .borrow()
            .values()
            .all(|upstream| match upstream {
                Upstream::Open(connection) => connection.socket.is_flushed(),
                Upstream::Dialling(_) => true,
            })
    }

    async fn dial(self: Rc<Self>, upstream: UpstreamId, address: String) {
        let made = match address.parse::<SocketAddr>() {
            Ok(address) => Async::<TcpStream>::connect(address).await,
            Err(e) => Err(std::io::Error::new(std::io::ErrorKind::InvalidInput, e)),
        };
        // The task reads the connection from here on, and is not cancelled with the dial any more.
        match self.upstreams.borrow_mut().remove(&upstream) {
            Some(Upstream::Dialling(dial)) => dial.detach(),
            _ => return,
        }
        let connection = match made {
            Ok(stream) => Connection::new(stream),
            Err(error) => {
                let refused = error.kind() == std::io::ErrorKind::ConnectionRefused;
                self.enqueue(if refused {
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
        self.enqueue(Input::UpstreamOpened(upstream));
        self.read_upstream(upstream, connection).await;
    }

    async fn read_upstream(self: &Rc<Self>, upstream: UpstreamId, connection: Rc<Connection>) {
        while !connection.ended.get() {
            // The read returns the error.
            let _ = connection.socket.readable().await;
            if connection.ended.get() || !self.upstreams.borrow().contains_key(&upstream) {
                return;
            }
            self.read_upstream_once(upstream, &connection);
            // The next step, with these completions, comes before this task is polled again.
            futures_lite::future::yield_now().await;
        }
    }

    /// Reads once, and adds the complete messages to the queue; returns whether there was something to read.
    fn read_upstream_once(&self, upstream: UpstreamId, connection: &Connection) -> bool {
        let read = match connection.socket.try_read(&self.buffer) {
            Ok(None) => return false,
            Ok(Some(0)) | Err(_) => {
                connection.ended.set(true);
                self.enqueue(Input::UpstreamEnded(upstream));
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
            self.enqueue(input);
        }
        true
    }

    /// Reads what a machine has sent by now, as far as [`MAX_CHECK_READS`] go.
    pub(super) fn check_upstream(&self, upstream: UpstreamId) {
        let connection = match self.upstreams.borrow().get(&upstream) {
            Some(Upstream::Open(connection)) => connection.clone(),
            Some(Upstream::Dialling(_)) | None => return,
        };
        for _ in 0..MAX_CHECK_READS {
            if connection.ended.get() || !self.read_upstream_once(upstream, &connection) {
                return;
            }
        }
    }
}
