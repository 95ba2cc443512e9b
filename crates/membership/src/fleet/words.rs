//! What a member is started with, what comes, and what is to be done.

use crate::{MemberId, MemberMetadata, Seconds};
use std::net::SocketAddr;

/// What a member is started with.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Members of other clusters are not listened to.
    pub cluster: String,
    /// Where others may be found at first.
    pub seed_addresses: Vec<SocketAddr>,
    /// Members at a time; as many that are lost are remembered.
    pub max_members: usize,
    /// Each member probes another this often.
    pub probe_interval: Seconds,
    /// A probe without an answer goes by others after this.
    pub probe_timeout: Seconds,
    /// One in doubt has this long to say that it lives.
    pub suspicion_timeout: Seconds,
    /// Members that are lost are forgotten, and asked for no more, after this.
    pub forget_after: Seconds,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            cluster: "tidespur".into(),
            seed_addresses: vec![],
            max_members: 1_024,
            probe_interval: 0.3,
            probe_timeout: 0.12,
            suspicion_timeout: 0.9,
            forget_after: 3_600.0,
        }
    }
}

/// What came.
#[derive(Clone, Debug)]
pub enum Input {
    /// A datagram.
    DatagramReceived(Vec<u8>),
    /// What this member tells of itself from now on.
    UpdateMetadata(MemberMetadata),
    /// It ends in order.
    Leave,
}

/// What is to be done, and what has changed.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a datagram.
    SendDatagram(SocketAddr, Vec<u8>),
    /// A member is there, newly or again.
    MemberJoined(String),
    /// A member did not answer somebody.
    MemberSuspected(String),
    /// A member in doubt says that it lives.
    SuspicionRefuted(String),
    /// A member was given up.
    MemberFailed(String),
    /// A member ended in order.
    MemberLeft(String),
    /// A member tells something new.
    MetadataChanged(String),
    /// The others had given this member up; it comes back.
    Rejoined,
    /// Another process of this name has taken its place: this one is to end what it does.
    Replaced(MemberId),
}
