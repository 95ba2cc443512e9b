//! Inputs and outputs of the state machine.

use crate::{MemberId, MemberMetadata};
use std::net::SocketAddr;

/// An input of a member.
#[derive(Clone, Debug)]
pub enum Input {
    /// A datagram was received.
    DatagramReceived(Vec<u8>),
    /// Gossip this metadata of this member from now on.
    UpdateMetadata(MemberMetadata),
    /// Leave the fleet in order.
    LeaveFleet,
}

/// An output of a member: an effect to carry out, or an event.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a datagram to this address.
    SendDatagram(SocketAddr, Vec<u8>),
    /// The member of this name is alive, for the first time or again.
    MemberJoined(String),
    /// The member of this name did not reply to a probe.
    MemberSuspected(String),
    /// The suspected member of this name has shown that it is alive.
    SuspicionRefuted(String),
    /// The member of this name was declared failed.
    MemberFailed(String),
    /// The member of this name has left in order.
    MemberLeft(String),
    /// The metadata of the member of this name has changed.
    MetadataChanged(String),
    /// The others had declared this member failed; it rejoins.
    Rejoined,
    /// A newer process, this one, has the name of this member: the program has to shut down.
    Replaced(MemberId),
}
