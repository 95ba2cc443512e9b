//! Entries of the replicated log.

use crate::ReplicatedState;
use omnipaxos::ballot_leader_election::Ballot;
use serde::{Deserialize, Serialize};

/// A process that holds a lease: its name and its incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Name of the voter that runs in the process.
    pub name: String,
    /// Incarnation of the process: a restarted process does not inherit the leases of the previous one.
    pub incarnation: u64,
}

/// An entry of the log. Its conditions are checked when it is applied, against the state that the preceding entries
/// produce: an outdated entry has no effect, on every voter alike.
#[allow(
    clippy::large_enum_variant,
    reason = "the log holds few entries, in one vector"
)]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// Placeholder for an entry that was compacted into a later `Snapshot`.
    #[serde(rename = "Nothing")]
    Noop,
    /// The state after all entries up to this one. Each voter compacts its own log, but only decided entries, so the
    /// snapshots of all voters at the same index are equal.
    #[serde(rename = "Whole")]
    Snapshot(Box<ReplicatedState>),
    /// Acquires a lease, unless it was acquired or renewed after `holder` last observed it.
    #[serde(rename = "Take")]
    Acquire {
        /// Name of the lease.
        lease: String,
        /// The process that acquires it.
        holder: Holder,
        /// The latest fencing token that the process has observed; 0 for a new lease.
        #[serde(rename = "after")]
        observed_token: u64,
        /// The latest request of the current holder that the process has observed. If the holder has renewed the lease
        /// since then, the lease has not expired and the entry has no effect.
        #[serde(rename = "heard")]
        observed_request: u64,
        /// Number of this request, unique within its process.
        #[serde(rename = "ask")]
        request: u64,
    },
    /// Renews a lease, if it is still held under `token`.
    Renew {
        /// Name of the lease.
        lease: String,
        /// The holder's fencing token.
        token: u64,
        /// Number of this request, unique within its process. It tells the holder which of its requests was applied.
        #[serde(rename = "ask")]
        request: u64,
    },
    /// Releases a lease, if it is still held under `token`.
    #[serde(rename = "Give")]
    Release {
        /// Name of the lease.
        lease: String,
        /// The holder's fencing token.
        token: u64,
    },
    /// Stores a value, if the lease is still held under `token`. An empty value removes the key.
    #[serde(rename = "Note")]
    Put {
        /// Name of the lease.
        lease: String,
        /// The holder's fencing token.
        token: u64,
        /// Key of the value.
        key: String,
        /// The value; an empty one removes the key.
        value: Vec<u8>,
    },
    /// Readmits a quarantined voter with its present store, at an operator's request.
    Readmit {
        /// Name of the readmitted voter.
        voter: String,
        /// When its store was created, in microseconds since the Unix epoch.
        #[serde(rename = "begun")]
        store_created_at: u64,
        /// Generation of its store: how often the store was opened.
        #[serde(rename = "turn")]
        generation: u64,
        /// The highest ballot that the voter may have promised; it renews this promise when it is readmitted.
        #[serde(rename = "floor")]
        min_promise: Option<Ballot>,
    },
}

impl omnipaxos::storage::Entry for Entry {
    type Snapshot = omnipaxos::storage::NoSnapshot;
}
