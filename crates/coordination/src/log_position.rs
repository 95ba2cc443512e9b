//! The position of a voter in the log, and the rule that decides whether a voter may vote.
//!
//! A voter whose disk was restored to an older state has lost promises that other voters rely on; a single vote from it
//! could revert decided entries. Therefore each voter announces its position to the others, which store it, and a voter
//! that starts first asks the others whether they know a later position of it.

use crate::Log;
use omnipaxos::ballot_leader_election::Ballot;
use serde::{Deserialize, Serialize};

/// The position of a voter in the log, according to its own disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPosition {
    /// When its store was created, in microseconds since the Unix epoch. It identifies the store.
    #[serde(rename = "begun")]
    pub store_created_at: u64,
    /// How often the store was opened.
    #[serde(rename = "turn")]
    pub generation: u64,
    /// Random number drawn at each start. Processes with equal generations and different nonces ran on different copies
    /// of the store, so it was restored to an older state in between.
    #[serde(rename = "start")]
    pub start_nonce: u64,
    /// Incarnation of the voter: how often it was readmitted. Known positions of earlier incarnations are void.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The highest ballot that it has promised; `None` if it never promised one.
    pub promise: Option<Ballot>,
    /// The ballot in which it last accepted an entry, and the length of its log. Within a ballot the log only grows.
    pub accepted: (Option<Ballot>, usize),
    /// Number of entries that it knows to be decided.
    pub decided: usize,
}

impl LogPosition {
    /// Sets the fields that derive from the log.
    pub(crate) fn update(&mut self, log: &Log) {
        self.promise = log.promise();
        self.accepted = log.accepted();
        self.decided = log.decided();
    }

    /// Whether a voter can have advanced from the position `known` to this one, so that it has lost no data that
    /// another voter knows of.
    pub fn follows(&self, known: &LogPosition) -> bool {
        if self.incarnation != known.incarnation {
            return self.incarnation > known.incarnation;
        }
        let is_same_start =
            self.generation == known.generation && self.start_nonce == known.start_nonce;
        self.store_created_at == known.store_created_at
            && (self.generation > known.generation || is_same_start)
            && self.promise >= known.promise
            && self.accepted >= known.accepted
            && self.decided >= known.decided
    }
}

/// Whether a voter participates in the consensus protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VoterStatus {
    /// It asks the others whether they know a later position of it; this many have confirmed that they do not.
    Verifying(usize),
    /// It votes: enough voters have confirmed its position, or it is the only one.
    Voting,
    /// Another voter knows a later position of it, so it does not vote until an operator readmits it.
    Quarantined {
        /// Name of the voter that knows the later position.
        by: String,
        /// The later position.
        known: LogPosition,
    },
}
