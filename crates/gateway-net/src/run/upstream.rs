//! Connections to machines: dials, writes, reads, checks and closes them.

use super::EventLoop;
use crate::connection::Connection;
use crate::socket::{Socket, WriteOutcome};
use crate::unsent::SharedBudget;
use async_io::Async;
use smol::Task;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use tidespur_gateway::message::RequestId;
use tidespur_gateway::pool::PoolAction;
use tidespur_gateway::{Input, UpstreamId};

/// Maximum number of reads in one check. Machines send little at a time.
const MAX_CHECK_READS: usize = 4;

/// A connection to a machine.
pub(super) enum Upstream {
    /// Being dialled by this task. Removing the entry cancels the task, which frees its file descriptor.
    Dialling(Task<()>),
    Open(Rc<Connection>),
}

impl EventLoop {
    /// Executes an action on a connection to a machine; returns the input that results at once, if any.
    pub(super) fn execute_pool_action(self: &Rc<Self>, action: PoolAction) -> Option<Input> {
        match action {
            PoolAction::Dial(upstream, address) => {
                let dial = self.executor.spawn(self.clone().dial(upstream, address));
                self.upstreams
                    .borrow_mut()
                    .insert(upstream, Upstream::Dialling(dial));
                None
            }
            PoolAction::Write(upstream, bytes) => {
                // The connection may have ended, and the gateway has not handled that input yet.
                let Some(socket) = self.open_socket(upstream) else {
                    return Some(Input::UpstreamWriteFailed(upstream, None));
                };
                let result = socket.write(&bytes);
                self.handle_write(upstream, None, socket, result)
            }
            PoolAction::Offer(upstream, id, bytes) => {
                let Some(socket) = self.open_socket(upstream) else {
                    return Some(Input::UpstreamWriteFailed(upstream, Some(id)));
                };
                let result = socket.try_write(&bytes);
                if result.0 == WriteOutcome::Blocked {
                    let _ = self.handle_write(upstream, Some(id), socket, result);
                    return Some(Input::UpstreamBlocked(upstream, id, bytes));
                }
                self.handle_write(upstream, Some(id), socket, result)
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

    /// Handles the outcome of writing the offer `offer`, or another message if `None`, and starts a task that drains
    /// the unsent bytes where one is needed.
    fn handle_write(
        self: &Rc<Self>,
        upstream: UpstreamId,
        offer: Option<RequestId>,
        socket: Rc<Socket>,
        (outcome, must_drain): (WriteOutcome, bool),
    ) -> Option<Input> {
        if must_drain {
            let this = self.clone();
            self.spawn(async move {
                if socket.drain().await.is_ok() {
                    this.enqueue(Input::UpstreamDrained(upstream));
                }
            });
        }
        match (outcome, offer) {
            (WriteOutcome::PartiallyWritten, Some(id)) => {
                Some(Input::UpstreamPartiallyWritten(upstream, id))
            }
            (
                WriteOutcome::Accepted | WriteOutcome::Blocked | WriteOutcome::PartiallyWritten,
                _,
            ) => None,
            // The connection is still read: the machine may have sent messages before it closed it.
            (WriteOutcome::NotWritten, offer) => Some(Input::UpstreamWriteFailed(upstream, offer)),
            (WriteOutcome::Failed, _) => self
                .close_upstream(upstream)
                .then_some(Input::UpstreamReset(upstream)),
        }
    }

    /// The socket of a connection to a machine; `None` while it is dialled and after it has ended.
    fn open_socket(&self, upstream: UpstreamId) -> Option<Rc<Socket>> {
        match self.upstreams.borrow().get(&upstream) {
            Some(Upstream::Open(connection)) => Some(connection.socket.clone()),
            Some(Upstream::Dialling(_)) | None => None,
        }
    }

    /// Closes a connection or cancels its dial; returns false if it has ended before.
    pub(super) fn close_upstream(&self, upstream: UpstreamId) -> bool {
        match self.upstreams.borrow_mut().remove(&upstream) {
            Some(Upstream::Open(connection)) => connection.socket.close(),
            // Cancels the dial and frees its file descriptor.
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

    /// Connects to a machine, and then reads the connection until it ends.
    async fn dial(self: Rc<Self>, upstream: UpstreamId, address: String) {
        let result = match address.parse::<SocketAddr>() {
            Ok(address) => Async::<TcpStream>::connect(address).await,
            Err(e) => Err(std::io::Error::new(std::io::ErrorKind::InvalidInput, e)),
        };
        // From here on the task reads the connection; closing the connection no longer cancels it.
        match self.upstreams.borrow_mut().remove(&upstream) {
            Some(Upstream::Dialling(dial)) => dial.detach(),
            _ => return,
        }
        let connection = match result {
            // What is buffered for a machine is bounded by the offers and messages to it.
            Ok(stream) => Connection::new(stream, SharedBudget::default()),
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
            // An error is returned again by the read.
            let _ = connection.socket.readable().await;
            if connection.ended.get() || !self.upstreams.borrow().contains_key(&upstream) {
                return;
            }
            self.read_upstream_once(upstream, &connection);
            // The next step handles these completions before this task is polled again.
            futures_lite::future::yield_now().await;
        }
    }

    /// Reads once, and adds the complete messages to the queue; returns false if there was nothing to read.
    fn read_upstream_once(&self, upstream: UpstreamId, connection: &Connection) -> bool {
        let read = match connection.socket.try_read(&self.read_buffer) {
            Ok(None) => return false,
            Ok(Some(0)) => {
                connection.ended.set(true);
                self.enqueue(Input::UpstreamEnded(upstream));
                return true;
            }
            Err(_) => {
                connection.ended.set(true);
                self.enqueue(Input::UpstreamReset(upstream));
                return true;
            }
            Ok(Some(read)) => read,
        };
        let to_input = |message| Input::UpstreamMessage(upstream, message);
        let malformed = Input::UpstreamMalformed(upstream);
        let mut decoder = connection.decoder.borrow_mut();
        for input in self.decode(&mut decoder, read, to_input, malformed) {
            connection
                .ended
                .set(matches!(input, Input::UpstreamMalformed(_)));
            self.enqueue(input);
        }
        true
    }

    /// Reads what a machine has sent so far, with at most [`MAX_CHECK_READS`] reads.
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
