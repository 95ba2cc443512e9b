//! The position of a voter in the log, and the rule who may vote.
//!
//! A voter whose disk was set back to an older state has forgotten promises that others rely on; a single vote of it
//! could revert what was decided. So each voter announces its position to the others, they store it, and a voter that
//! starts asks first whether anybody knows a further position of it.

use crate::Log;
use omnipaxos::ballot_leader_election::Ballot;
use serde::{Deserialize, Serialize};

/// How far a voter is, according to its own disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPosition {
    /// When its store was created, in microseconds since 1970; a different value means a different disk.
    #[serde(rename = "begun")]
    pub store_created_at: u64,
    /// How often that store was opened.
    #[serde(rename = "turn")]
    pub generation: u64,
    /// Drawn at each start. Two processes with equal generations and different nonces share a disk that was set back.
    #[serde(rename = "start")]
    pub start_nonce: u64,
    /// Incarnation of the voter: how often it was readmitted. What was known of an earlier incarnation is void.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The ballot that it has promised.
    pub promise: Option<Ballot>,
    /// The ballot in which it accepted last, and the length of its log then. Within a ballot the log only grows.
    pub accepted: (Option<Ballot>, usize),
    /// Number of entries that it knows as decided.
    pub decided: usize,
}

impl LogPosition {
    /// Takes over the position of the log.
    pub(crate) fn update(&mut self, log: &Log) {
        self.promise = log.promise();
        self.accepted = log.accepted();
        self.decided = log.decided();
    }

    /// Whether a voter can have come from the position `known` to this one: nothing that others know of it is missing.
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

/// Whether a voter takes part in the consensus.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VoterStatus {
    /// It asks the others whether they know a further position of it; this many have confirmed that they do not.
    Verifying(usize),
    /// It votes.
    Voting,
    /// Another voter knows a further position of it: it does not vote until an operator readmits it.
    Quarantined {
        /// Name of the voter that knows it.
        by: String,
        /// The further position.
        known: LogPosition,
    },
}
