//! The replicated state that the log produces. Voters that have applied the same number of entries have equal states.

use crate::{Entry, Holder};
use omnipaxos::ballot_leader_election::Ballot;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Leases that the state holds; requests for further ones are ignored.
const MAX_LEASES: usize = 1_024;
/// Values that the state holds; further keys are ignored.
const MAX_VALUES: usize = 65_536;
/// Largest size of a value, in bytes.
const MAX_VALUE_BYTES: usize = 16 << 10;

/// A lease in the replicated state. It has no expiry time there: each process times it by its own clock.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The fencing token, which increases with each acquisition and never decreases.
    pub token: u64,
    /// The process that acquired it last; `None` once it is released.
    pub holder: Option<Holder>,
    /// Number of the holder's last request that was applied.
    #[serde(rename = "heard")]
    pub last_request: u64,
}

/// The state after all applied entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedState {
    /// Leases by name.
    pub leases: BTreeMap<String, Lease>,
    /// Stored values by key.
    #[serde(rename = "notes")]
    pub values: BTreeMap<String, Vec<u8>>,
    /// The last readmission of each voter that was ever readmitted, by name of the voter.
    #[serde(rename = "readmitted")]
    pub readmissions: BTreeMap<String, Readmission>,
}

/// The readmission of a voter with a particular store, see [`Entry::Readmit`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Readmission {
    /// When its store was created, in microseconds since the Unix epoch.
    #[serde(rename = "begun")]
    pub store_created_at: u64,
    /// The first generation of that store for which the readmission holds.
    #[serde(rename = "turn")]
    pub generation: u64,
    /// The highest ballot that the voter may have promised; it renews this promise when it is readmitted.
    #[serde(rename = "floor")]
    pub min_promise: Option<Ballot>,
    /// Incarnation of the voter after the readmission: how often it was readmitted.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

impl ReplicatedState {
    /// Applies an entry; returns whether it changed the state.
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
                observed_token,
                observed_request,
                request,
            } => self.acquire(lease, holder, *observed_token, *observed_request, *request),
            Entry::Renew {
                lease,
                token,
                request,
            } => self.renew(lease, *token, *request),
            Entry::Release { lease, token } => self.release(lease, *token),
            Entry::Put {
                lease,
                token,
                key,
                value,
            } => self.put(lease, *token, key, value),
            Entry::Readmit {
                voter,
                store_created_at,
                generation,
                min_promise,
            } => self.readmit(voter, *store_created_at, *generation, *min_promise),
        }
    }

    fn acquire(
        &mut self,
        name: &str,
        holder: &Holder,
        observed_token: u64,
        observed_request: u64,
        request: u64,
    ) -> bool {
        let lease = self.leases.get(name);
        if lease.is_none() && self.leases.len() >= MAX_LEASES {
            return false;
        }
        let token = lease.map_or(0, |lease| lease.token);
        let last_request = lease.map_or(0, |lease| lease.last_request);
        if token != observed_token || last_request != observed_request {
            return false;
        }
        let acquired = Lease {
            token: token + 1,
            holder: Some(holder.clone()),
            last_request: request,
        };
        self.leases.insert(name.to_owned(), acquired);
        true
    }

    fn renew(&mut self, name: &str, token: u64, request: u64) -> bool {
        match self.held_lease(name, token) {
            Some(lease) if lease.last_request < request => {
                lease.last_request = request;
                true
            }
            _ => false,
        }
    }

    fn release(&mut self, name: &str, token: u64) -> bool {
        match self.held_lease(name, token) {
            Some(lease) => lease.holder.take().is_some(),
            None => false,
        }
    }

    fn put(&mut self, lease: &str, token: u64, key: &str, value: &[u8]) -> bool {
        let has_capacity = self.values.len() < MAX_VALUES || self.values.contains_key(key);
        let is_held = self.held_lease(lease, token).is_some();
        if !is_held || !has_capacity || value.len() > MAX_VALUE_BYTES {
            return false;
        }
        if value.is_empty() {
            return self.values.remove(key).is_some();
        }
        let previous = self.values.insert(key.to_owned(), value.to_owned());
        previous.as_deref() != Some(value)
    }

    fn readmit(
        &mut self,
        voter: &str,
        store_created_at: u64,
        generation: u64,
        min_promise: Option<Ballot>,
    ) -> bool {
        let last = self.readmissions.get(voter);
        let is_repeated = last.is_some_and(|last| {
            last.store_created_at == store_created_at && last.generation == generation
        });
        if is_repeated {
            return false;
        }
        let readmission = Readmission {
            store_created_at,
            generation,
            min_promise,
            incarnation: last.map_or(0, |last| last.incarnation) + 1,
        };
        self.readmissions.insert(voter.to_owned(), readmission);
        true
    }

    /// The lease, if it is held under `token`.
    fn held_lease(&mut self, name: &str, token: u64) -> Option<&mut Lease> {
        self.leases
            .get_mut(name)
            .filter(|lease| lease.token == token && lease.holder.is_some())
    }
}
