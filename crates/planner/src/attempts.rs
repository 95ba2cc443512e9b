//! Where what was offered may be: the one thing that a planner must know after its end. No I/O.
//!
//! An attempt is written down before its bytes leave. It is forgotten once it is proved that nothing of it runs: the
//! node's answer, the task's end there, the node's whole list without it, or the node's leaving of the register's list.
//! That a node is not listed after a return proves nothing: it may be the last to come back.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use tidespur_persistence::{Batch, LoadedRecords};

const ATTEMPT: &str = "attempt";
/// An offer that can't be read any more at its node may still be worked on there for this long, in seconds.
const IN_HAND: f64 = 1.0;

/// What was offered for one request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Attempt {
    /// Namespace and name at nodes.
    pub name: (String, String),
    /// Nodes at which it may be, and until when, in seconds since 1970, an offer was good there.
    pub at: BTreeMap<String, f64>,
}

/// All attempts of which something may run.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Whether anything outlives the process.
    on: bool,
    open: BTreeMap<String, Attempt>,
    /// Uids by node.
    by_node: BTreeMap<String, BTreeSet<String>>,
    /// Of an earlier process; of its own ones a planner knows by its book and its nodes.
    recalled: BTreeSet<String>,
    batch: Batch,
}

impl Attempts {
    /// What an earlier process left.
    ///
    /// # Errors
    /// A record that can't be read.
    pub fn recall(memory: &LoadedRecords) -> Result<Self, String> {
        let mut attempts = Self {
            on: true,
            ..Self::default()
        };
        for (uid, bytes) in memory.records_of_kind(ATTEMPT) {
            let read = serde_json::from_slice::<Attempt>(bytes);
            let attempt = read.map_err(|e| {
                format!(
                    "the memory's record {ATTEMPT} {uid:?} can't be read: {e}; restore the folder from a copy"
                )
            })?;
            for node in attempt.at.keys() {
                attempts
                    .by_node
                    .entry(node.clone())
                    .or_default()
                    .insert(uid.to_owned());
            }
            attempts.open.insert(uid.to_owned(), attempt);
            attempts.recalled.insert(uid.to_owned());
        }
        Ok(attempts)
    }

    /// Requests of which something may run.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// An offer is about to leave; it is good until then.
    pub fn sent(&mut self, uid: &str, name: (&str, &str), node: &str, until: f64) {
        if !self.on {
            return;
        }
        let attempt = self.open.entry(uid.to_owned()).or_default();
        attempt.name = (name.0.to_owned(), name.1.to_owned());
        attempt.at.insert(node.to_owned(), until);
        self.by_node
            .entry(node.to_owned())
            .or_default()
            .insert(uid.to_owned());
        self.write(uid);
    }

    /// Nothing of it runs at this node.
    pub fn proved(&mut self, uid: &str, node: &str) {
        let Some(attempt) = self.open.get_mut(uid) else {
            return;
        };
        if attempt.at.remove(node).is_none() {
            return;
        }
        if let Some(uids) = self.by_node.get_mut(node) {
            uids.remove(uid);
            if uids.is_empty() {
                self.by_node.remove(node);
            }
        }
        self.write(uid);
    }

    /// All that a node holds, by uid and by name.
    pub fn holds(
        &mut self,
        now: f64,
        node: &str,
        uids: &BTreeSet<&str>,
        names: &BTreeSet<&(String, String)>,
    ) {
        let here = self.by_node.get(node).into_iter().flatten();
        let gone = here.filter(|uid| {
            self.open.get(*uid).is_some_and(|attempt| {
                let past = attempt
                    .at
                    .get(node)
                    .is_some_and(|until| now > until + IN_HAND);
                past && !uids.contains(uid.as_str()) && !names.contains(&attempt.name)
            })
        });
        let gone: Vec<String> = gone.cloned().collect();
        gone.iter().for_each(|uid| self.proved(uid, node));
    }

    /// The register took a node off its list: what it held went with it.
    pub fn gone(&mut self, node: &str) {
        let here: Vec<String> = self
            .by_node
            .get(node)
            .into_iter()
            .flatten()
            .cloned()
            .collect();
        here.iter().for_each(|uid| self.proved(uid, node));
    }

    /// Whether something of this request may run at a node that has not been heard since this process began.
    pub fn unsure(&self, uid: &str, heard: impl Fn(&str) -> bool) -> bool {
        let attempt = self.open.get(uid).filter(|_| self.recalled.contains(uid));
        attempt.is_some_and(|attempt| attempt.at.keys().any(|node| !heard(node)))
    }

    /// What has changed since the last call.
    pub fn take(&mut self) -> Batch {
        std::mem::take(&mut self.batch)
    }

    fn write(&mut self, uid: &str) {
        match self.open.get(uid) {
            Some(attempt) if !attempt.at.is_empty() => {
                // A few names and numbers, far below the bound of a record.
                let bytes = serde_json::to_vec(attempt).unwrap_or_default();
                drop(self.batch.put(ATTEMPT, uid, bytes));
            }
            _ => {
                self.open.remove(uid);
                self.recalled.remove(uid);
                self.batch.remove(ATTEMPT, uid);
            }
        }
    }
}
