//! Messages between voters, and the inputs and outputs of the state machine.

use crate::{Entry, LogPosition, VoterStatus};
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::messages::Message;
use serde::{Deserialize, Serialize};
use tidespur_persistence::Batch;

/// The reply to a voter's position: what the sender knows of that voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownPosition {
    /// The furthest position that the sender knew.
    #[serde(rename = "mark")]
    pub position: Option<LogPosition>,
    /// Whether the voter may vote, as far as the sender knows.
    #[serde(rename = "fits")]
    pub may_vote: bool,
    /// The voter promises ballots up to this one again.
    #[serde(rename = "floor")]
    pub min_promise: Option<Ballot>,
    /// Incarnation of the voter: how often it was readmitted.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

/// A message from one voter to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The sender's position in the log; sent to all voters periodically.
    #[serde(rename = "Here")]
    Position(LogPosition),
    /// The reply to `Position`.
    #[serde(rename = "Known")]
    KnownPosition(KnownPosition),
    /// A message of the consensus protocol.
    #[serde(rename = "Agree")]
    Consensus(Box<Message<Entry>>),
    /// Shows that the sender is alive.
    #[serde(rename = "Ping")]
    Heartbeat,
}

/// An input of a voter.
#[derive(Clone, Debug)]
pub enum Input {
    /// A message from the voter of this name was received.
    MessageReceived(String, PeerMessage),
    /// The stream to the voter of this name was established, for the first time or again.
    PeerConnected(String),
    /// Acquire this lease and keep it.
    AcquireLease(String),
    /// Release this lease and do not acquire it again.
    ReleaseLease(String),
    /// All batches up to this number are on the disk.
    BatchSynced(u64),
    /// Store a value, under a lease that this voter holds.
    Put {
        /// Name of the lease.
        lease: String,
        /// Key of the value.
        key: String,
        /// The value; an empty one removes the key.
        value: Vec<u8>,
    },
    /// An operator readmits the quarantined voter of this name.
    ReadmitVoter(String),
}

/// An output of a voter: an effect to carry out, or an event.
#[derive(Clone, Debug)]
pub enum Output {
    /// Write this batch, which has this number. The outputs after it may be carried out only once it is on the disk.
    Persist(u64, Batch),
    /// Send a message to the voter of this name.
    Send(String, PeerMessage),
    /// This process has acquired a lease, with this fencing token.
    LeaseAcquired(String, u64),
    /// This process does not hold this lease any more.
    LeaseLost(String),
    /// The status of this voter has changed.
    StatusChanged(VoterStatus),
    /// The leader has changed; `None` while there is none.
    LeaderChanged(Option<String>),
}
