//! Messages between voters, and the inputs and outputs of the state machine.

use crate::{Entry, LogPosition, VoterStatus};
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::messages::Message;
use serde::{Deserialize, Serialize};
use tidespur_persistence::Batch;

/// The reply to a voter's position: what the replying voter knows about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownPosition {
    /// The latest position known before the message was handled; `None` if the replying voter knew none.
    #[serde(rename = "mark")]
    pub position: Option<LogPosition>,
    /// Whether the voter may vote, as far as the replying voter knows.
    #[serde(rename = "fits")]
    pub may_vote: bool,
    /// The voter renews its promise up to this ballot; `None` if there is nothing to renew.
    #[serde(rename = "floor")]
    pub min_promise: Option<Ballot>,
    /// Incarnation of the voter: how often it was readmitted; 0 if its readmission does not apply to its present store.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

/// A message from one voter to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The sender's position in the log, sent to all voters periodically.
    #[serde(rename = "Here")]
    Position(LogPosition),
    /// The reply to `Position`.
    #[serde(rename = "Known")]
    KnownPosition(KnownPosition),
    /// A message of the consensus protocol.
    #[serde(rename = "Agree")]
    Consensus(Box<Message<Entry>>),
    /// Keeps an idle stream from timing out.
    #[serde(rename = "Ping")]
    Heartbeat,
}

/// An input of the voter's state machine.
#[derive(Clone, Debug)]
pub enum Input {
    /// A message from the voter of this name was received.
    MessageReceived(String, PeerMessage),
    /// A stream to the voter of this name was established, possibly after an earlier one was lost.
    PeerConnected(String),
    /// Acquire the lease of this name and keep renewing it.
    AcquireLease(String),
    /// Release the lease of this name and do not acquire it again.
    ReleaseLease(String),
    /// All batches up to this number are synced to disk.
    BatchSynced(u64),
    /// Store a value; ignored unless this voter holds the lease.
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

/// An output of the voter's state machine: an effect to execute, or an event.
#[derive(Clone, Debug)]
pub enum Output {
    /// Write the batch with this number. The outputs after it may be executed only once it is synced to disk.
    Persist(u64, Batch),
    /// Send a message to the voter of this name.
    Send(String, PeerMessage),
    /// This process has acquired the lease of this name, with this fencing token.
    LeaseAcquired(String, u64),
    /// This process no longer holds the lease of this name.
    LeaseLost(String),
    /// The status of this voter has changed to this one.
    StatusChanged(VoterStatus),
    /// The leader is now the voter of this name; `None` while no leader is known.
    LeaderChanged(Option<String>),
}
