//! Inputs and outputs of the state machine.

use crate::{MemberId, MemberMetadata};
use std::net::SocketAddr;

/// An input of a member.
#[derive(Clone, Debug)]
pub enum Input {
    /// A datagram, as it was received from the socket.
    DatagramReceived(Vec<u8>),
    /// Replaces the metadata that this member gossips.
    UpdateMetadata(MemberMetadata),
    /// Leaves the fleet gracefully; the member ends.
    LeaveFleet,
}

/// An output of a member: a datagram to send, or an event for the process.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Sends a datagram to this address.
    SendDatagram(SocketAddr, Vec<u8>),
    /// The member of this name is alive, for the first time, again, or under a newer identity.
    MemberJoined(String),
    /// The member of this name did not reply to a probe.
    MemberSuspected(String),
    /// The suspected member of this name has refuted the suspicion.
    SuspicionRefuted(String),
    /// The member of this name was declared failed.
    MemberFailed(String),
    /// The member of this name has left the fleet gracefully.
    MemberLeft(String),
    /// Newer metadata of the member of this name was received.
    MetadataChanged(String),
    /// Other members had declared this member failed; it rejoins under a newer identity.
    Rejoined,
    /// A newer process, with this identity, uses the name of this member: the process has to shut down.
    Replaced(MemberId),
}
