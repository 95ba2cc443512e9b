//! Actions that the pool requests, and events that it reports to the gateway.

use crate::UpstreamId;
use crate::message::RequestId;
use tidespur_policy::interface::MachineId;

/// An action on a connection to a machine. Actions have to be carried out in their order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PoolAction {
    /// Dial this address. Answered by `UpstreamOpened`, `UpstreamConnectRefused` or `UpstreamConnectFailed`.
    Dial(UpstreamId, String),
    /// Write an encoded message that is not an offer.
    Write(UpstreamId, Vec<u8>),
    /// The connection can take this offer. The gateway calls [`Pool::send_ready_offer`](super::Pool::send_ready_offer)
    /// once a check has shown that the offer's client is still connected.
    OfferReady(UpstreamId, RequestId),
    /// Read what the machine has sent by now. Answered by `UpstreamChecked`, after these messages.
    CheckPeer(UpstreamId),
    /// Write this encoded offer. Bytes that can't be sent are reported with its id.
    Offer(UpstreamId, RequestId, Vec<u8>),
    /// Shut down the write side, and read until the machine closes the connection. Answered by `UpstreamEnded`.
    HalfClose(UpstreamId),
    /// Close the connection, or abort its dial. Not answered.
    Close(UpstreamId),
}

/// The end of an offer, or the failure or replacement of a machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PoolEvent {
    /// The dial for this offer failed, so no byte of it was sent.
    ConnectFailed(RequestId),
    /// No byte of this offer was sent, and the machine is not at fault: the offer was withdrawn here, or the machine
    /// closed an idle connection.
    NeverSent(RequestId),
    /// The connection ended while this offer was pending, so the task may have run.
    Interrupted(RequestId),
    /// So many releases to this machine were given up, as they could not be delivered.
    ReleasesGivenUp(MachineId, u64),
    /// The machine has failed, so the tasks placed on it are lost.
    MachineFailed(MachineId),
    /// The machine is gone, and another one has its address and its connections.
    MachineReplaced {
        /// The machine that is gone.
        machine: MachineId,
        /// The machine that has its address.
        successor: MachineId,
        /// Offers that are pending on those connections.
        offers: Vec<RequestId>,
    },
}
