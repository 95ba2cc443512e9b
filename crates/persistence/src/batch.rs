//! Changes that become safe together.

use crate::{MAX_RECORD_BYTES, PersistenceError};
use std::collections::BTreeMap;

/// Kind and key of a record. Kinds are few and chosen by the program; keys come from names.
pub type RecordKey = (String, String);

/// Changes of records, the last one of each: all of them last, or none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    changes: BTreeMap<RecordKey, Option<Vec<u8>>>,
}

impl Batch {
    /// Writes a record over what stands.
    ///
    /// # Errors
    /// [`PersistenceError::RecordTooLarge`]; the batch stays as it was.
    pub fn put(&mut self, kind: &str, key: &str, value: Vec<u8>) -> Result<(), PersistenceError> {
        let bytes = kind.len() + key.len() + value.len();
        if bytes > MAX_RECORD_BYTES {
            return Err(PersistenceError::RecordTooLarge {
                record: format!("{kind} {key}"),
                bytes,
            });
        }
        self.changes
            .insert((kind.to_owned(), key.to_owned()), Some(value));
        Ok(())
    }

    /// Removes a record, if it stands.
    pub fn remove(&mut self, kind: &str, key: &str) {
        self.changes.insert((kind.to_owned(), key.to_owned()), None);
    }

    /// Whether it changes nothing.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Records that it changes.
    pub fn len(&self) -> usize {
        self.changes.len()
    }

    /// The changes, in order of kind and key; `None` removes.
    pub fn changes(&self) -> impl Iterator<Item = (&RecordKey, Option<&[u8]>)> {
        self.changes
            .iter()
            .map(|(record, value)| (record, value.as_deref()))
    }

    /// Takes in a later batch: of each record the later word holds.
    pub fn extend(&mut self, later: Batch) {
        self.changes.extend(later.changes);
    }
}
