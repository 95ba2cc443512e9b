//! What the log holds.

use crate::ReplicatedState;
use omnipaxos::ballot_leader_election::Ballot;
use serde::{Deserialize, Serialize};

/// A process that holds a lease: its name and which start of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The voter's name.
    pub name: String,
    /// Its incarnation: a process that was started again holds nothing of what the one before it held.
    pub incarnation: u64,
}

/// One entry. Each is checked where it is applied, by what the log says up to there: an entry that comes too late
/// changes nothing, at all voters alike.
#[allow(
    clippy::large_enum_variant,
    reason = "entries are few and live in one place"
)]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// One that was folded into a later `Whole`.
    #[serde(rename = "Nothing")]
    Noop,
    /// What all entries up to this one come to. Each voter folds its own log, of what is decided: it says the same.
    #[serde(rename = "Whole")]
    Snapshot(Box<ReplicatedState>),
    /// A lease is taken, if it is still as the taker has seen it.
    #[serde(rename = "Take")]
    Acquire {
        /// Name of the lease.
        lease: String,
        /// Who takes it.
        holder: Holder,
        /// The last token that the taker knows,
        after: u64,
        /// and the holder's last asking: one that it has not seen yet makes its waiting worth nothing.
        heard: u64,
        /// Number of this asking of its process.
        ask: u64,
    },
    /// The holder of this token goes on.
    Renew {
        /// Name of the lease.
        lease: String,
        /// Its token.
        token: u64,
        /// Number of this asking of its process: a holder must know which of its askings was heard.
        ask: u64,
    },
    /// The holder of this token gives it back.
    #[serde(rename = "Give")]
    Release {
        /// Name of the lease.
        lease: String,
        /// Its token.
        token: u64,
    },
    /// Something to remember, under a lease: it counts only while its token is the last one. Empty: to forget.
    #[serde(rename = "Note")]
    Put {
        /// Name of the lease.
        lease: String,
        /// Its token.
        token: u64,
        /// What it is remembered under.
        key: String,
        /// What.
        value: Vec<u8>,
    },
    /// An operator's word: this voter, with the memory that it began then, may vote again.
    Readmit {
        /// The voter's name.
        voter: String,
        /// When its memory was begun,
        begun: u64,
        /// and how often that was opened.
        turn: u64,
        /// It may have promised rounds up to this one, and promises them anew.
        floor: Option<Ballot>,
    },
}

impl omnipaxos::storage::Entry for Entry {
    type Snapshot = omnipaxos::storage::NoSnapshot;
}
