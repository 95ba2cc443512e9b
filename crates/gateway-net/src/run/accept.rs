//! Accepts the connections of clients.

use super::EventLoop;
use crate::connection::Connection;
use async_io::Async;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use tidespur_gateway::input_queue::StepNumber;
use tidespur_gateway::{DownstreamId, Input};
use tidespur_net::clock;

/// Pause after a failed accept, in seconds. Without it the loop would spin while file descriptors are exhausted.
const ACCEPT_BACKOFF: f64 = 0.02;
/// Interval at which an accept waits for the gateway to have capacity, in seconds.
const CAPACITY_POLL_INTERVAL: f64 = 0.005;

impl EventLoop {
    /// Accepts connections until the gateway stops listening.
    pub(super) async fn accept_clients(self: Rc<Self>) {
        loop {
            // Beyond its limit the gateway would use the descriptors that it needs for machines.
            while !self.gateway.borrow().may_accept() {
                clock::sleep(CAPACITY_POLL_INTERVAL).await;
            }
            let Some(listener) = self.listener.borrow().clone() else {
                return;
            };
            match listener.accept().await {
                Ok((stream, from)) => {
                    let step = self.accept_client(stream, from);
                    // The queue is handled between two accepts, so that a flood of new connections does not delay the
                    // open ones.
                    while !self.queue.borrow().are_completions_taken(step) {
                        futures_lite::future::yield_now().await;
                    }
                }
                Err(error) => {
                    tracing::warn!(scheduler = self.name, %error, "accept failed");
                    clock::sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    /// Accepts the connections in the listener's backlog and closes the listener.
    pub(super) fn stop_listening(self: &Rc<Self>) {
        let Some(listener) = self.listener.borrow_mut().take() else {
            return;
        };
        while let Ok((stream, from)) = listener.get_ref().accept() {
            match Async::new(stream) {
                Ok(stream) => drop(self.accept_client(stream, from)),
                Err(error) => tracing::warn!(scheduler = self.name, %error, "accept failed"),
            }
        }
        // Cancels the task that accepts connections, which also holds the listener.
        self.accept_task.borrow_mut().take();
    }

    fn accept_client(self: &Rc<Self>, stream: Async<TcpStream>, from: SocketAddr) -> StepNumber {
        let client = DownstreamId(self.next_client_id.replace(self.next_client_id.get() + 1));
        let connection = Connection::new(stream, self.client_unsent.clone());
        self.downstreams
            .borrow_mut()
            .insert(client, connection.clone());
        let step = self.enqueue(Input::DownstreamOpened(client, from.ip()));
        self.spawn(self.clone().serve_client(client, connection));
        step
    }
}
