//! Entries of the replicated log.

use crate::ReplicatedState;
use omnipaxos::ballot_leader_election::Ballot;
use serde::{Deserialize, Serialize};

/// A process that holds a lease: its name and its incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The voter's name.
    pub name: String,
    /// Incarnation of the process: a restarted process holds none of the leases of the previous one.
    pub incarnation: u64,
}

/// An entry of the log. Each is checked when it is applied, against the state of the log up to there: an entry that
/// comes too late changes nothing, at all voters alike.
#[allow(
    clippy::large_enum_variant,
    reason = "entries are few and live in one place"
)]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// An entry that was compacted into a later `Snapshot`.
    #[serde(rename = "Nothing")]
    Noop,
    /// The state after all entries up to this one. Each voter compacts its own log, and only decided entries, so that
    /// all snapshots of an index are equal.
    #[serde(rename = "Whole")]
    Snapshot(Box<ReplicatedState>),
    /// Acquires a lease, if nobody has acquired or renewed it since the process that wants it observed it.
    #[serde(rename = "Take")]
    Acquire {
        /// Name of the lease.
        lease: String,
        /// The process that acquires it.
        holder: Holder,
        /// The last fencing token that the process has observed; 0 for a new lease.
        #[serde(rename = "after")]
        observed_token: u64,
        /// The holder's last request that the process has observed. If the holder has renewed the lease since, the
        /// process has waited too short.
        #[serde(rename = "heard")]
        observed_request: u64,
        /// Number of this request, unique within its process.
        #[serde(rename = "ask")]
        request: u64,
    },
    /// Renews a lease, if this token still holds it.
    Renew {
        /// Name of the lease.
        lease: String,
        /// The holder's fencing token.
        token: u64,
        /// Number of this request, unique within its process: a holder must know which of its requests was applied.
        #[serde(rename = "ask")]
        request: u64,
    },
    /// Releases a lease, if this token still holds it.
    #[serde(rename = "Give")]
    Release {
        /// Name of the lease.
        lease: String,
        /// The holder's fencing token.
        token: u64,
    },
    /// Stores a value, if this token still holds the lease. An empty value removes the key.
    #[serde(rename = "Note")]
    Put {
        /// Name of the lease.
        lease: String,
        /// The holder's fencing token.
        token: u64,
        /// Key of the value.
        key: String,
        /// The value.
        value: Vec<u8>,
    },
    /// An operator readmits a quarantined voter with the store that it has now.
    Readmit {
        /// The voter's name.
        voter: String,
        /// When its store was created, in microseconds since 1970.
        #[serde(rename = "begun")]
        store_created_at: u64,
        /// Generation of its store.
        #[serde(rename = "turn")]
        generation: u64,
        /// The highest ballot that the voter may have promised; it promises it again.
        #[serde(rename = "floor")]
        min_promise: Option<Ballot>,
    },
}

impl omnipaxos::storage::Entry for Entry {
    type Snapshot = omnipaxos::storage::NoSnapshot;
}
