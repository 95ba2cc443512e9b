//! Bounded history of the changes of one resource, and cursors into it.

use std::collections::VecDeque;
use std::sync::Arc;
use tidespur_api::Object;

/// Kind of a change, as in watch events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    /// The object was created.
    Added,
    /// The object was replaced.
    Modified,
    /// The object was deleted.
    Deleted,
}

/// One change of an object.
#[derive(Clone, Debug)]
pub struct Change {
    /// The resourceVersion of this change.
    pub version: u64,
    /// Whether the object was created, replaced or deleted.
    pub kind: ChangeKind,
    /// The object after the change; for a deletion its last state with the version of the deletion.
    pub object: Arc<Object>,
    /// The object before the change; `None` if it was created.
    pub previous: Option<Arc<Object>>,
}

/// Error: the requested version is older than the history.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("too old resource version: {requested} ({oldest})")]
pub struct Expired {
    /// The requested version.
    pub requested: u64,
    /// The oldest version from which all changes are known.
    pub oldest: u64,
}

/// A position in the history of one resource.
#[derive(Clone, Debug)]
pub struct Cursor {
    resource: usize,
    version: u64,
}

impl Cursor {
    pub(crate) fn new(resource: usize, version: u64) -> Self {
        Self { resource, version }
    }
    pub(crate) fn resource(&self) -> usize {
        self.resource
    }
    /// The version up to which changes have been read.
    pub fn version(&self) -> u64 {
        self.version
    }
}

/// The latest changes of one resource, in order of versions.
#[derive(Debug)]
pub(crate) struct History {
    changes: VecDeque<Change>,
    max_changes: usize,
    /// All changes after this version are in `changes`.
    compacted_version: u64,
}

impl History {
    pub(crate) fn new(max_changes: usize, version: u64) -> Self {
        Self {
            changes: VecDeque::new(),
            max_changes: max_changes.max(1),
            compacted_version: version,
        }
    }

    /// Appends a change; drops the oldest at the limit.
    pub(crate) fn push(&mut self, change: Change) {
        while self.changes.len() >= self.max_changes {
            if let Some(old) = self.changes.pop_front() {
                self.compacted_version = old.version;
            }
        }
        self.changes.push_back(change);
    }

    /// Drops all changes, so that only later ones can be read.
    pub(crate) fn clear(&mut self) {
        if let Some(last) = self.changes.back() {
            self.compacted_version = last.version;
        }
        self.changes.clear();
    }

    /// Checks that all changes after this version are available.
    pub(crate) fn check(&self, version: u64) -> Result<(), Expired> {
        if version < self.compacted_version {
            return Err(Expired {
                requested: version,
                oldest: self.compacted_version,
            });
        }
        Ok(())
    }

    /// Appends at most `max` changes after the cursor and up to `last_version` to `changes`, and advances the cursor.
    pub(crate) fn read(
        &self,
        cursor: &mut Cursor,
        max: usize,
        last_version: u64,
        changes: &mut Vec<Change>,
    ) -> Result<(), Expired> {
        self.check(cursor.version)?;
        let from = self
            .changes
            .partition_point(|change| change.version <= cursor.version);
        let end = self
            .changes
            .partition_point(|change| change.version <= last_version);
        let end = end.max(from);
        for change in self.changes.range(from..end).take(max) {
            cursor.version = change.version;
            changes.push(change.clone());
        }
        if from + max >= end {
            // All changes of this resource have been read, so the cursor skips the versions of other resources.
            cursor.version = cursor.version.max(last_version);
        }
        Ok(())
    }
}
