//! Who may vote. A voter whose disk is older than it was has forgotten promises that others rest on; one vote of it
//! could undo what was agreed. So each voter tells the others how far it is, they remember it, and one that comes back
//! asks first whether anybody knows it as further.

use crate::Log;
use omnipaxos::ballot_leader_election::Ballot;
use serde::{Deserialize, Serialize};

/// How far a voter is, by its own disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPosition {
    /// When its memory was begun: another one is a new disk.
    pub begun: u64,
    /// How often that memory was opened.
    pub turn: u64,
    /// Drawn at its start: two processes that opened the memory the same time share a disk that was set back.
    pub start: u64,
    /// How often the voter was taken in again: what was known of an earlier life counts no more.
    pub life: u64,
    /// The round that it promised.
    pub promise: Option<Ballot>,
    /// The round in which it accepted last, and the entries that it had written then: within a round they only grow.
    pub accepted: (Option<Ballot>, usize),
    /// Entries that it knows as decided.
    pub decided: usize,
}

impl LogPosition {
    /// Takes over how far the log is.
    pub(crate) fn read(&mut self, log: &Log) {
        (self.promise, self.accepted, self.decided) =
            (log.promise(), log.accepted(), log.decided());
    }

    /// Whether this mark can come after `known`: nothing that others know of the voter is missing.
    pub fn follows(&self, known: &LogPosition) -> bool {
        self.life > known.life
            || self.life == known.life
                && self.begun == known.begun
                && (self.turn > known.turn || (self.turn, self.start) == (known.turn, known.start))
                && self.promise >= known.promise
                && self.accepted >= known.accepted
                && self.decided >= known.decided
    }
}

/// Whether a voter votes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VoterStatus {
    /// It asks the others whether they know it as further; so many have said that they don't.
    Verifying(usize),
    /// It votes.
    Voting,
    /// Another knows it as further than its disk is: it does not vote until an operator has it taken in again.
    Quarantined {
        /// Who said so.
        by: String,
        /// What it was known as.
        known: LogPosition,
    },
}
