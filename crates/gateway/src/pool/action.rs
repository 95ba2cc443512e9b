//! What the pool wants done, and what it reports to the gateway.

use crate::UpstreamId;
use crate::message::RequestId;
use tidespur_policy::interface::MachineId;

/// What is to be done with connections to machines; carried out in their order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PoolAction {
    /// Dial; `UpstreamOpened`, `UpstreamConnectRefused` or `UpstreamConnectFailed` answers.
    Dial(UpstreamId, String),
    /// Write these bytes.
    Write(UpstreamId, Vec<u8>),
    /// This offer can be sent now: [`Pool::send_ready_offer`](super::Pool::send_ready_offer) follows once its client is known to be connected still.
    OfferReady(UpstreamId, RequestId),
    /// Read what a machine has sent by now; `UpstreamChecked` answers, after these messages.
    CheckPeer(UpstreamId),
    /// Write this offer; what could not be sent is reported with its id.
    Offer(UpstreamId, RequestId, Vec<u8>),
    /// Write no more, and go on reading until the machine ends the connection too; `UpstreamEnded` answers.
    HalfClose(UpstreamId),
    /// Close, also while it is being dialled. No input answers.
    Close(UpstreamId),
}

/// What became of offers and machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolEvent {
    /// The dial for this offer failed, so that no byte of it was sent.
    ConnectFailed(RequestId),
    /// No byte of this offer was sent, which is no fault of the machine: it was withdrawn here, or the machine closed an
    /// idle connection.
    NeverSent(RequestId),
    /// The connection ended while this offer was pending: the task may have run.
    Interrupted(RequestId),
    /// The machine has failed: the tasks placed on it are lost.
    MachineFailed(MachineId),
}
