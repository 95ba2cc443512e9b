//! Batches of record changes, each of which is committed atomically.

use crate::{MAX_RECORD_BYTES, PersistenceError};
use std::collections::BTreeMap;

/// Key of a record. Records are ordered by kind, then by key.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordKey {
    /// Kind of the record: one of a few constants that the program defines.
    pub kind: String,
    /// Key within the kind, usually the name of an object; may be empty.
    pub key: String,
}

impl RecordKey {
    /// Builds the key of the record `key` of this kind.
    pub fn new(kind: impl Into<String>, key: impl Into<String>) -> Self {
        Self {
            kind: kind.into(),
            key: key.into(),
        }
    }
}

/// Changes of records that are committed atomically. Only the last change of each record is kept.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    changes: BTreeMap<RecordKey, Option<Vec<u8>>>,
}

impl Batch {
    /// Adds a write of a record, which replaces its previous value.
    ///
    /// # Errors
    /// [`PersistenceError::RecordTooLarge`]; the batch is then unchanged.
    pub fn put(&mut self, kind: &str, key: &str, value: Vec<u8>) -> Result<(), PersistenceError> {
        let bytes = kind.len() + key.len() + value.len();
        if bytes > MAX_RECORD_BYTES {
            return Err(PersistenceError::RecordTooLarge {
                record: format!("{kind} {key}"),
                bytes,
            });
        }
        self.changes.insert(RecordKey::new(kind, key), Some(value));
        Ok(())
    }

    /// Adds the removal of a record; the removal has no effect if the record does not exist.
    pub fn remove(&mut self, kind: &str, key: &str) {
        self.changes.insert(RecordKey::new(kind, key), None);
    }

    /// Whether the batch has no changes.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Number of records that the batch changes.
    pub fn len(&self) -> usize {
        self.changes.len()
    }

    /// The changes in order of kind and key: the value of a written record, `None` for a removed one.
    pub fn changes(&self) -> impl Iterator<Item = (&RecordKey, Option<&[u8]>)> {
        self.changes
            .iter()
            .map(|(record, value)| (record, value.as_deref()))
    }

    /// Adds the changes of a later batch, which replace earlier changes of the same records.
    pub fn extend(&mut self, later: Batch) {
        self.changes.extend(later.changes);
    }
}
