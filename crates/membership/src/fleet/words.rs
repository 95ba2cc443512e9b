//! What a member is started with, what comes, and what is to be done.

use crate::{Facts, Id, Seconds};
use std::net::SocketAddr;

/// What a member is started with.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Members of other clusters are not listened to.
    pub cluster: String,
    /// Where others may be found at first.
    pub join: Vec<SocketAddr>,
    /// Members at a time; as many that are lost are remembered.
    pub members_most: usize,
    /// Each member probes another this often.
    pub probe_every: Seconds,
    /// A probe without an answer goes by others after this.
    pub answer_within: Seconds,
    /// One in doubt has this long to say that it lives.
    pub doubt_for: Seconds,
    /// Members that are lost are forgotten, and asked for no more, after this.
    pub forget_after: Seconds,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            cluster: "tidespur".into(),
            join: vec![],
            members_most: 1_024,
            probe_every: 0.3,
            answer_within: 0.12,
            doubt_for: 0.9,
            forget_after: 3_600.0,
        }
    }
}

/// What came.
#[derive(Clone, Debug)]
pub enum Input {
    /// A datagram.
    Datagram(Vec<u8>),
    /// What this member tells of itself from now on.
    Tell(Facts),
    /// It ends in order.
    Leave,
}

/// What is to be done, and what has changed.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a datagram.
    Send(SocketAddr, Vec<u8>),
    /// A member is there, newly or again.
    Joined(String),
    /// A member did not answer somebody.
    Doubted(String),
    /// A member in doubt says that it lives.
    Cleared(String),
    /// A member was given up.
    Lost(String),
    /// A member ended in order.
    Left(String),
    /// A member tells something new.
    Told(String),
    /// The others had given this member up; it comes back.
    Rejoined,
    /// Another process of this name has taken its place: this one is to end what it does.
    Replaced(Id),
}
