//! The write-ahead log of offers: on which nodes a request's Pod may run, also after a restart of the planner. No I/O.
//! Owned by [`crate::core::Core`].
//!
//! An offer is recorded before it is sent. The record is removed once the offer's Pod is known not to run: the node has
//! rejected the offer, the task has ended there, the node's list of Pods does not contain it, or the node was removed
//! from the node list. A node that is missing from the list after a restart proves nothing: it may only be late to
//! return.

use crate::pod::PodName;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use tidespur_persistence::{Batch, LoadedRecords};

/// Kind of the stored records. The key is the request's uid.
const RECORD_KIND: &str = "attempt";

/// Time for which a node may still process an offer after its deadline, in seconds.
const PROCESSING_GRACE: f64 = 1.0;

/// The stored record of a request's offers. The names in `serde(rename)` are part of the storage format.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// Namespace and name of the Pod at the nodes.
    #[serde(rename = "name")]
    pub pod: PodName,
    /// Nodes on which the Pod may run, each with the offer's deadline in seconds since 1970.
    #[serde(rename = "at")]
    pub offer_deadlines: BTreeMap<String, f64>,
}

/// A stored attempt is malformed.
#[derive(Debug, thiserror::Error)]
#[error(
    "the stored record {RECORD_KIND} {uid:?} is malformed: {error}; restore the data directory from a copy"
)]
pub struct AttemptRecordError {
    /// Uid of the request.
    uid: String,
    error: serde_json::Error,
}

/// The log of offers: all requests whose Pod may run at a node.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Whether the planner has a store. Without one no offers are recorded.
    is_enabled: bool,
    by_uid: BTreeMap<String, AttemptRecord>,
    uids_by_node: BTreeMap<String, BTreeSet<String>>,
    /// Uids recorded by earlier processes. For those of this process, the task table and the reports of nodes suffice.
    restored: BTreeSet<String>,
    batch: Batch,
}

impl Attempts {
    /// Restores the attempts that earlier processes recorded.
    ///
    /// # Errors
    /// A record is malformed.
    pub fn load(records: &LoadedRecords) -> Result<Self, AttemptRecordError> {
        let mut attempts = Self {
            is_enabled: true,
            ..Self::default()
        };
        for (uid, bytes) in records.records_of_kind(RECORD_KIND) {
            let attempt: AttemptRecord =
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

    /// Number of requests whose Pod may run.
    pub fn len(&self) -> usize {
        self.by_uid.len()
    }

    /// Whether no request's Pod may run; always true without a store.
    pub fn is_empty(&self) -> bool {
        self.by_uid.is_empty()
    }

    /// Records an offer before it is sent. The node may accept it until `deadline`, in seconds since 1970.
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

    /// Removes an offer whose Pod does not run at the node.
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

    /// Removes the offers to a node that are not in its complete list of Pods. Offers that may still be in flight are
    /// kept.
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

    /// Removes all offers to a node that was removed from the node list, and its Pods with it.
    pub fn clear_node(&mut self, node: &str) {
        for uid in self.uids_at(node) {
            self.clear(&uid, node);
        }
    }

    /// Whether a request recorded by an earlier process may run on a node that has not reported its Pods to this
    /// process.
    pub fn may_run_on_unreported_node(
        &self,
        uid: &str,
        has_reported: impl Fn(&str) -> bool,
    ) -> bool {
        if !self.restored.contains(uid) {
            return false;
        }
        self.by_uid.get(uid).is_some_and(|attempt| {
            let mut nodes = attempt.offer_deadlines.keys();
            nodes.any(|node| !has_reported(node))
        })
    }

    /// Removes and returns the changes to store since the last call.
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
                // Serialization of strings and finite numbers does not fail.
                let bytes = serde_json::to_vec(attempt).unwrap_or_default();
                // The only error is a record above the maximum size, which a few names and numbers never reach.
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
