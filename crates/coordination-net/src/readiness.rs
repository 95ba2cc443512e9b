//! Readiness of a voter. An edge returns the texts from `/readyz?verbose`.

use std::fmt;
use tidespur_coordination::{Voter, VoterStatus};

/// The voter is ready: it votes and knows a leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ready {
    /// Name of the leader.
    pub leader: String,
}

impl fmt::Display for Ready {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "votes; {} leads", self.leader)
    }
}

/// Why a voter is not ready; the text advises the operator.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum NotReady {
    /// The voter votes but knows no leader, because no majority of the voters is connected.
    #[error(
        "votes, but no majority of the voters is heard: what needs the fleet's word waits; look at the other voters"
    )]
    NoLeader,
    /// Too few voters have confirmed that they know no later log position of this one.
    #[error("{confirmed} voters have said how far they know this one; look whether the others run")]
    Verifying {
        /// Number of voters that have confirmed it.
        confirmed: usize,
    },
    /// Another voter knows a later log position of this one.
    #[error(
        "does not vote: {by} knows it as further than its disk is; if the disk is a restored or a new one, have it taken in again at a voter that votes"
    )]
    Quarantined {
        /// Name of the other voter.
        by: String,
    },
}

pub(crate) fn readiness(voter: &Voter) -> Result<Ready, NotReady> {
    match voter.status() {
        VoterStatus::Voting => match voter.leader() {
            Some(leader) => Ok(Ready {
                leader: leader.to_owned(),
            }),
            None => Err(NotReady::NoLeader),
        },
        VoterStatus::Verifying(confirmed) => Err(NotReady::Verifying {
            confirmed: *confirmed,
        }),
        VoterStatus::Quarantined { by, .. } => Err(NotReady::Quarantined { by: by.clone() }),
    }
}
