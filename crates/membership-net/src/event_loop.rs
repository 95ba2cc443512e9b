//! The event loop of a member: receives datagrams and inputs, steps the state machine, sends datagrams and reports
//! events. Owns the socket.

use crate::event_log::EventLog;
use async_channel::{Receiver, Sender};
use parking_lot::Mutex;
use smol::net::UdpSocket;
use std::net::SocketAddr;
use std::sync::Arc;
use tidespur_membership::{Input, MAX_DATAGRAM_BYTES, Membership, Output, Seconds};
use tidespur_net::clock;

/// Maximum number of inputs of one step.
const MAX_INPUTS_PER_STEP: usize = 256;

pub(crate) struct EventLoop {
    pub(crate) member: Arc<Mutex<Membership>>,
    pub(crate) socket: UdpSocket,
    pub(crate) inputs: Receiver<Input>,
    /// Events for the process. They are dropped if the process does not read them: the view has the same information.
    pub(crate) events: Sender<Output>,
    pub(crate) log: EventLog,
}

impl EventLoop {
    /// Runs until the member has ended: it has left the fleet, or was replaced.
    pub(crate) async fn run(mut self) {
        // One byte larger than allowed, so that an oversized datagram is not truncated to a valid size.
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let wake = self.member.lock().next_wake();
            if !wake.is_finite() {
                return;
            }
            let inputs = self.receive(wake - clock::now(), &mut buffer).await;
            let mut outputs = Vec::new();
            self.member.lock().step(clock::now(), inputs, &mut outputs);
            self.log.refill(clock::now());
            for output in outputs {
                self.handle_output(output).await;
            }
        }
    }

    /// Waits for an input or the timeout, then receives all datagrams that have already arrived, so that they are
    /// handled before the timers of the next step.
    async fn receive(&self, timeout: Seconds, buffer: &mut [u8]) -> Vec<Input> {
        let datagram = async {
            // An error concerns a datagram that was sent earlier: some systems report here that its receiver is
            // unreachable.
            let length = self.socket.recv(buffer).await.ok()?;
            Some(Input::DatagramReceived(buffer[..length].to_vec()))
        };
        let input = async { self.inputs.recv().await.ok() };
        let first = clock::timeout(timeout, smol::future::or(datagram, input)).await;
        let mut inputs: Vec<Input> = first.flatten().into_iter().collect();
        while inputs.len() < MAX_INPUTS_PER_STEP {
            let next = smol::future::poll_once(self.socket.recv(buffer)).await;
            let Some(Ok(length)) = next else {
                break;
            };
            inputs.push(Input::DatagramReceived(buffer[..length].to_vec()));
        }
        inputs
    }

    async fn handle_output(&mut self, output: Output) {
        if let Output::SendDatagram(to, bytes) = output {
            self.send(to, &bytes).await;
            return;
        }
        self.log.log(&output);
        // The channel is full if the process does not read it; see the field.
        let _ = self.events.try_send(output);
    }

    async fn send(&self, to: SocketAddr, bytes: &[u8]) {
        // A datagram that can't be sent at once is dropped; the protocol tolerates lost datagrams.
        let _ = smol::future::poll_once(self.socket.send_to(bytes, to)).await;
    }
}
