//! What a voter is started with, what comes, and what is to be done.

use crate::{Entry, LogPosition, Seconds, VoterStatus};
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::messages::Message;
use serde::{Deserialize, Serialize};
use tidespur_persistence::Batch;

/// What a voter is started with.
#[derive(Clone, Debug)]
pub struct Settings {
    /// All voters by name, this one too, in the order of the settings, which must be the same at all.
    pub voters: Vec<String>,
    /// This one.
    pub own: String,
    /// Which start of this process it is.
    pub incarnation: u64,
    /// Drawn anew at each start.
    pub start: u64,
    /// How long a lease holds without being renewed.
    pub lease_term: Seconds,
    /// How far two clocks may run apart, as a share.
    pub max_clock_drift: f64,
}

/// Settings that can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// Not 1, 3 or 5 voters.
    #[error(
        "ledger.voters: {0} voters are named; name 1, 3 or 5, an even number bears no more failures"
    )]
    VoterCount(usize),
    /// A name stands twice.
    #[error("ledger.voters: {0:?} stands twice; give each voter its own name")]
    DuplicateVoter(String),
    /// This process is none of them.
    #[error("ledger.voters: {0:?} is none of them; only voters keep the ledger")]
    NotAVoter(String),
    /// The term can't be kept.
    #[error("ledger.term: {0} s; from 1 to 600 are needed, so that a renewal fits in it")]
    LeaseTerm(String),
    /// The agreement refuses them.
    #[error("ledger: {0}; look at ledger.voters")]
    Consensus(String),
}

impl Settings {
    /// Checks them.
    ///
    /// # Errors
    /// [`SettingsError`].
    pub fn check(&self) -> Result<(), SettingsError> {
        if ![1, 3, 5].contains(&self.voters.len()) {
            return Err(SettingsError::VoterCount(self.voters.len()));
        }
        let twice = |name: &&String| self.voters.iter().filter(|other| other == name).count() > 1;
        if let Some(name) = self.voters.iter().find(twice) {
            return Err(SettingsError::DuplicateVoter(name.clone()));
        }
        if !self.voters.contains(&self.own) {
            return Err(SettingsError::NotAVoter(self.own.clone()));
        }
        if !(1.0..=600.0).contains(&self.lease_term) {
            return Err(SettingsError::LeaseTerm(self.lease_term.to_string()));
        }
        Ok(())
    }
}

/// What a voter is told of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known {
    /// How far it was known to be.
    pub mark: Option<LogPosition>,
    /// It may vote, as far as is known here.
    pub fits: bool,
    /// Rounds up to this one it promises anew.
    pub floor: Option<Ballot>,
    /// Which life of it this is, where it was taken in again.
    pub life: u64,
}

/// What voters say to each other.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerMessage {
    /// How far I am; said to all, again and again.
    #[serde(rename = "Here")]
    Position(LogPosition),
    /// What I know of you.
    #[serde(rename = "Known")]
    KnownPosition(Known),
    /// Of the agreement.
    #[serde(rename = "Agree")]
    Consensus(Box<Message<Entry>>),
    /// Only that this end lives.
    #[serde(rename = "Ping")]
    Heartbeat,
}

/// What came.
#[derive(Clone, Debug)]
pub enum Input {
    /// A voter says this.
    MessageReceived(String, PeerMessage),
    /// The stream to a voter stands, newly or again.
    PeerConnected(String),
    /// This lease is wanted from now on.
    AcquireLease(String),
    /// It is not wanted any more: it is given back.
    ReleaseLease(String),
    /// All batches up to the one of this number are safe.
    BatchSynced(u64),
    /// Remember this, under a lease that is held here.
    Put {
        /// Name of the lease.
        lease: String,
        /// What it is remembered under.
        key: String,
        /// What; nothing to forget it.
        value: Vec<u8>,
    },
    /// An operator's word: a voter that is barred is to be taken in again.
    ReadmitVoter(String),
}

/// What is to be done, and what has changed.
#[derive(Clone, Debug)]
pub enum Output {
    /// Write this; it is the batch of this number. What follows it may be carried out only once it is safe.
    Persist(u64, Batch),
    /// Say this to a voter.
    Send(String, PeerMessage),
    /// A lease was taken by this process, with this token.
    LeaseAcquired(String, u64),
    /// A lease is held by this process no more.
    LeaseLost(String),
    /// Whether this voter votes has changed.
    StatusChanged(VoterStatus),
    /// Another leads, or none.
    LeaderChanged(Option<String>),
}
