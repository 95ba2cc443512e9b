//! The write-ahead log of offers: at which nodes something of a request may run, also after a restart of the planner.
//! No I/O. Owned by [`crate::core::Core`].
//!
//! An offer is recorded before its bytes are sent. The record is removed once it is proved that nothing of the offer
//! runs: by the node's answer, by the task's end there, by the node's list of Pods without it, or by the node's removal
//! from the node list. That a node is missing from the list after a restart proves nothing: it may be the last to
//! return.

use crate::pod::PodName;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use tidespur_persistence::{Batch, LoadedRecords};

/// The kind of the stored records; the key is the request's uid.
const RECORD_KIND: &str = "attempt";

/// After its deadline an offer may still be processed at the node for this long, in seconds.
const PROCESSING_GRACE: f64 = 1.0;

/// The offers of one request. The names in JSON are those of the first version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Attempt {
    /// Name of the Pod at nodes.
    #[serde(rename = "name")]
    pub pod: PodName,
    /// The nodes at which it may run, each with the deadline of the offer in seconds since 1970.
    #[serde(rename = "at")]
    pub offer_deadlines: BTreeMap<String, f64>,
}

/// A stored attempt can't be read.
#[derive(Debug, thiserror::Error)]
#[error(
    "the stored record {RECORD_KIND} {uid:?} can't be read: {error}; restore the data directory from a copy"
)]
pub struct AttemptRecordError {
    /// Uid of the request.
    uid: String,
    error: serde_json::Error,
}

/// All requests of which something may run at a node.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Whether the planner has a store. Without one nothing is recorded.
    is_enabled: bool,
    by_uid: BTreeMap<String, Attempt>,
    uids_by_node: BTreeMap<String, BTreeSet<String>>,
    /// Uids that an earlier process recorded. Its own ones a planner knows by its tasks and nodes.
    restored: BTreeSet<String>,
    batch: Batch,
}

impl Attempts {
    /// Restores the attempts that earlier processes recorded.
    ///
    /// # Errors
    /// A record that can't be read.
    pub fn load(records: &LoadedRecords) -> Result<Self, AttemptRecordError> {
        let mut attempts = Self {
            is_enabled: true,
            ..Self::default()
        };
        for (uid, bytes) in records.records_of_kind(RECORD_KIND) {
            let attempt: Attempt =
                serde_json::from_slice(bytes).map_err(|error| AttemptRecordError {
                    uid: uid.to_owned(),
                    error,
                })?;
            for node in attempt.offer_deadlines.keys() {
                attempts.index(uid, node);
            }
            attempts.by_uid.insert(uid.to_owned(), attempt);
            attempts.restored.insert(uid.to_owned());
        }
        Ok(attempts)
    }

    /// The number of requests of which something may run.
    pub fn len(&self) -> usize {
        self.by_uid.len()
    }

    /// Whether there is no such request.
    pub fn is_empty(&self) -> bool {
        self.by_uid.is_empty()
    }

    /// Records an offer that is about to be sent; the node accepts it until `deadline`.
    pub fn record_offer(&mut self, uid: &str, pod: PodName, node: &str, deadline: f64) {
        if !self.is_enabled {
            return;
        }
        let attempt = self.by_uid.entry(uid.to_owned()).or_default();
        attempt.pod = pod;
        attempt.offer_deadlines.insert(node.to_owned(), deadline);
        self.index(uid, node);
        self.write(uid);
    }

    /// Notes that nothing of a request runs at a node.
    pub fn clear(&mut self, uid: &str, node: &str) {
        let Some(attempt) = self.by_uid.get_mut(uid) else {
            return;
        };
        if attempt.offer_deadlines.remove(node).is_none() {
            return;
        }
        if let Some(uids) = self.uids_by_node.get_mut(node) {
            uids.remove(uid);
            if uids.is_empty() {
                self.uids_by_node.remove(node);
            }
        }
        self.write(uid);
    }

    /// Clears the offers that a node does not hold, by its complete list of Pods. Offers that may still be under way
    /// are kept.
    pub fn reconcile(
        &mut self,
        now: f64,
        node: &str,
        held_uids: &BTreeSet<&str>,
        held_pods: &BTreeSet<&PodName>,
    ) {
        for uid in self.uids_at(node) {
            let Some(attempt) = self.by_uid.get(&uid) else {
                continue;
            };
            let deadline = attempt.offer_deadlines.get(node);
            let has_expired = deadline.is_some_and(|deadline| now > deadline + PROCESSING_GRACE);
            let is_held = held_uids.contains(uid.as_str()) || held_pods.contains(&attempt.pod);
            if has_expired && !is_held {
                self.clear(&uid, node);
            }
        }
    }

    /// Clears all offers at a node that was removed from the node list: its Pods are gone with it.
    pub fn clear_node(&mut self, node: &str) {
        for uid in self.uids_at(node) {
            self.clear(&uid, node);
        }
    }

    /// Whether something of a request, recorded by an earlier process, may run at a node that has not reported its
    /// Pods since this process started.
    pub fn may_run_unseen(&self, uid: &str, has_reported: impl Fn(&str) -> bool) -> bool {
        if !self.restored.contains(uid) {
            return false;
        }
        self.by_uid.get(uid).is_some_and(|attempt| {
            let mut nodes = attempt.offer_deadlines.keys();
            nodes.any(|node| !has_reported(node))
        })
    }

    /// The changes to store since the last call.
    pub fn take_batch(&mut self) -> Batch {
        std::mem::take(&mut self.batch)
    }

    fn index(&mut self, uid: &str, node: &str) {
        let uids = self.uids_by_node.entry(node.to_owned()).or_default();
        uids.insert(uid.to_owned());
    }

    fn uids_at(&self, node: &str) -> Vec<String> {
        let uids = self.uids_by_node.get(node);
        uids.into_iter().flatten().cloned().collect()
    }

    fn write(&mut self, uid: &str) {
        match self.by_uid.get(uid) {
            Some(attempt) if !attempt.offer_deadlines.is_empty() => {
                // A map of strings to numbers can always be serialized.
                let bytes = serde_json::to_vec(attempt).unwrap_or_default();
                // A few names and numbers are far below the largest size of a record, the only error there is.
                drop(self.batch.put(RECORD_KIND, uid, bytes));
            }
            _ => {
                self.by_uid.remove(uid);
                self.restored.remove(uid);
                self.batch.remove(RECORD_KIND, uid);
            }
        }
    }
}
