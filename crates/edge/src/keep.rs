//! What an edge remembers: which records tell of its objects, open requests and Jobs, and which of them go into the
//! next batch. The way back is in `recall`. No I/O.
//!
//! | kind | key | what |
//! | --- | --- | --- |
//! | `object` | resource/namespace/name | the object, as it stands |
//! | `version` | - | no version above this was ever told |
//! | `open` | uid | a Pod without an answer: its deadline, and whether a planner may have offered it |
//! | `slot` | Job's uid/number | a slot that no Pod tells of |
//! | `job` | Job's uid | slot numbers that were given out |
//! | `stray` | uid | may run, belongs to nobody, is to be stopped |
//!
//! Nodes are the register's and are read anew; Events are for people and are not kept.

use crate::core::Core;
use serde::{Deserialize, Serialize};
use tidespur_api::resource::{JOBS, NAMESPACES, PODS, RESOURCES};
use tidespur_api::{Object, Resource};
use tidespur_job_controller::Kept;
use tidespur_persistence::{Batch, PersistenceError};
use tidespur_store::Store;

mod recall;

pub use recall::{RecallError, Returned, version};

pub(crate) const OBJECT: &str = "object";
pub(crate) const VERSION: &str = "version";
pub(crate) const OPEN: &str = "open";
pub(crate) const SLOT: &str = "slot";
pub(crate) const JOB: &str = "job";
pub(crate) const STRAY: &str = "stray";

/// So many versions are laid claim to at a time: a return begins above all of them, so that none is given out twice.
const CLAIM: u64 = 1 << 20;

/// An open request.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Open {
    /// When its owner gives up, in seconds since 1970.
    pub(crate) deadline: f64,
    /// A planner was told to go on: it may have been offered.
    pub(crate) gone: bool,
}

/// What has come to be known since it was last written down.
#[derive(Debug, Default)]
pub(crate) struct Notes {
    batch: Batch,
    /// Versions up to this are laid claim to.
    claimed: u64,
    /// Nobody asks for it: nothing is noted.
    off: bool,
}

impl Notes {
    pub(crate) fn open(&mut self, uid: &str, deadline: f64, gone: bool) {
        self.put(OPEN, uid, &Open { deadline, gone });
    }

    pub(crate) fn closed(&mut self, uid: &str) {
        self.remove(OPEN, uid);
    }

    pub(crate) fn slot(&mut self, job: &str, number: u32, kept: Option<&Kept>) {
        let key = format!("{job}/{number}");
        match kept {
            Some(kept) => self.put(SLOT, &key, kept),
            None => self.remove(SLOT, &key),
        }
    }

    pub(crate) fn job(&mut self, job: &str, next_slot: Option<u32>) {
        match next_slot {
            Some(next) => self.put(JOB, job, &next),
            None => self.remove(JOB, job),
        }
    }

    pub(crate) fn stray(&mut self, uid: &str, stands: bool) {
        match stands {
            true => self.put(STRAY, uid, &()),
            false => self.remove(STRAY, uid),
        }
    }

    fn put(&mut self, kind: &str, key: &str, what: &impl Serialize) {
        // These are a few numbers and words each, far below the bound of a record.
        if !self.off
            && let Ok(bytes) = serde_json::to_vec(what)
        {
            drop(self.batch.put(kind, key, bytes));
        }
    }

    fn remove(&mut self, kind: &str, key: &str) {
        if !self.off {
            self.batch.remove(kind, key);
        }
    }
}

/// Whether objects of this resource are kept.
pub(crate) fn kept(resource: &Resource) -> bool {
    [NAMESPACES, JOBS, PODS]
        .iter()
        .any(|kept| kept.index == resource.index)
}

impl Core {
    /// Nothing is remembered: no notes are taken.
    pub fn forgetful(&mut self) {
        self.notes.off = true;
    }

    /// All that is to be remembered since the last call, as one batch: to be called under the same lock as the step
    /// before it, so that objects, open requests and Jobs' slots are of one moment.
    ///
    /// # Errors
    /// An object beyond the bound of a record; it is not kept, all else is.
    pub fn remember(&mut self, store: &mut Store) -> (Batch, Vec<PersistenceError>) {
        let (mut batch, mut problems) = (std::mem::take(&mut self.notes.batch), Vec::new());
        for (at, object) in store.take_unpersisted() {
            let resource = &RESOURCES[at.0];
            if !kept(resource) {
                continue;
            }
            let key = format!("{}/{}/{}", resource.plural, at.1, at.2);
            match object {
                None => batch.remove(OBJECT, &key),
                Some(object) => {
                    let bytes = serde_json::to_vec::<Object>(&object).unwrap_or_default();
                    problems.extend(batch.put(OBJECT, &key, bytes).err());
                }
            }
        }
        if store.version() + CLAIM / 2 > self.notes.claimed {
            self.notes.claimed = store.version() + CLAIM;
            let bytes = self.notes.claimed.to_string().into_bytes();
            problems.extend(batch.put(VERSION, "", bytes).err());
        }
        (batch, problems)
    }
}
