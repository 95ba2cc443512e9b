//! What the log comes to: the same at all voters that have read as far.

use crate::{Entry, Holder};
use omnipaxos::ballot_leader_election::Ballot;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Leases by name.
const LEASES_MOST: usize = 1_024;
/// Things to remember,
const NOTES_MOST: usize = 65_536;
/// and the longest of them.
const NOTE_MOST: usize = 16 << 10;

/// A lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Rises with each change of holder, for ever.
    pub token: u64,
    /// Who took it last, until it is given back.
    pub holder: Option<Holder>,
    /// Number of the holder's last asking that was heard.
    pub heard: u64,
}

/// All that the log says.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedState {
    /// Leases by name.
    pub leases: BTreeMap<String, Lease>,
    /// What was to be remembered.
    #[serde(rename = "notes")]
    pub values: BTreeMap<String, Vec<u8>>,
    /// Voters that were taken in again, the last time of each.
    #[serde(rename = "readmitted")]
    pub readmissions: BTreeMap<String, Readmission>,
}

/// A voter that was taken in again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Readmission {
    /// When its memory was begun.
    pub begun: u64,
    /// From this opening of it on.
    pub turn: u64,
    /// It may have promised rounds up to this one, and promises them anew.
    pub floor: Option<Ballot>,
    /// Which time it is: the voter goes by it from then on.
    pub life: u64,
}

impl ReplicatedState {
    /// Takes in an entry; whether it changed anything.
    pub fn apply(&mut self, entry: &Entry) -> bool {
        match entry {
            Entry::Noop => false,
            Entry::Snapshot(state) => {
                *self = (**state).clone();
                true
            }
            Entry::Acquire {
                lease,
                holder,
                after,
                heard,
                ask,
            } => {
                let room = self.leases.len() < LEASES_MOST || self.leases.contains_key(lease);
                let stands = self
                    .leases
                    .get(lease)
                    .map_or((0, 0), |lease| (lease.token, lease.heard));
                if !room || stands != (*after, *heard) {
                    return false;
                }
                let token = stands.0;
                let taken = Lease {
                    token: token + 1,
                    holder: Some(holder.clone()),
                    heard: *ask,
                };
                self.leases.insert(lease.clone(), taken);
                true
            }
            Entry::Renew { lease, token, ask } => match self.held(lease, *token) {
                Some(lease) if lease.heard < *ask => {
                    lease.heard = *ask;
                    true
                }
                _ => false,
            },
            Entry::Release { lease, token } => match self.held(lease, *token) {
                Some(lease) => lease.holder.take().is_some(),
                None => false,
            },
            Entry::Put {
                lease,
                token,
                key,
                value,
            } => {
                let room = self.values.len() < NOTES_MOST || self.values.contains_key(key);
                if self.held(lease, *token).is_none() || value.len() > NOTE_MOST || !room {
                    return false;
                }
                match value.is_empty() {
                    true => self.values.remove(key).is_some(),
                    false => self.values.insert(key.clone(), value.clone()).as_ref() != Some(value),
                }
            }
            Entry::Readmit {
                voter,
                begun,
                turn,
                floor,
            } => {
                let last = self.readmissions.get(voter);
                if last.is_some_and(|last| (last.begun, last.turn) == (*begun, *turn)) {
                    return false;
                }
                let life = last.map_or(0, |last| last.life) + 1;
                let again = Readmission {
                    begun: *begun,
                    turn: *turn,
                    floor: *floor,
                    life,
                };
                self.readmissions.insert(voter.clone(), again);
                true
            }
        }
    }

    fn held(&mut self, lease: &str, token: u64) -> Option<&mut Lease> {
        self.leases
            .get_mut(lease)
            .filter(|lease| lease.token == token && lease.holder.is_some())
    }
}
