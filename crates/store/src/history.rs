//! The changes of one resource, bounded, and cursors into them.

use std::collections::VecDeque;
use std::sync::Arc;
use tidespur_api::Object;

/// What happened to an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    /// It was created.
    Added,
    /// It was changed.
    Modified,
    /// It is gone.
    Deleted,
}

/// One change.
#[derive(Clone, Debug)]
pub struct Change {
    /// The version that it made.
    pub version: u64,
    /// What happened.
    pub kind: ChangeKind,
    /// The object after it; at a deletion as it last stood, with the version of its end.
    pub object: Arc<Object>,
    /// The object before it.
    pub previous: Option<Arc<Object>>,
}

/// The versions asked for are no longer, or not yet, known here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Expired {
    /// What was asked for.
    pub requested: u64,
    /// The oldest version from which all changes are known.
    pub oldest: u64,
}

impl std::fmt::Display for Expired {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "too old resource version: {} ({})",
            self.requested, self.oldest
        )
    }
}

impl std::error::Error for Expired {}

/// A place in the history of one resource.
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
    /// All up to this version has been read.
    pub fn version(&self) -> u64 {
        self.version
    }
}

#[derive(Debug)]
pub(crate) struct History {
    changes: VecDeque<Change>,
    most: usize,
    /// All changes above this version are in `changes`.
    complete_from: u64,
}

impl History {
    pub(crate) fn new(most: usize, version: u64) -> Self {
        Self {
            changes: VecDeque::new(),
            most: most.max(1),
            complete_from: version,
        }
    }

    pub(crate) fn push(&mut self, change: Change) {
        while self.changes.len() >= self.most {
            if let Some(old) = self.changes.pop_front() {
                self.complete_from = old.version;
            }
        }
        self.changes.push_back(change);
    }

    pub(crate) fn clear(&mut self) {
        if let Some(last) = self.changes.back() {
            self.complete_from = last.version;
        }
        self.changes.clear();
    }

    pub(crate) fn check(&self, version: u64) -> Result<(), Expired> {
        if version < self.complete_from {
            return Err(Expired {
                requested: version,
                oldest: self.complete_from,
            });
        }
        Ok(())
    }

    pub(crate) fn read(
        &self,
        cursor: &mut Cursor,
        most: usize,
        upto: u64,
        out: &mut Vec<Change>,
    ) -> Result<(), Expired> {
        self.check(cursor.version)?;
        let from = self
            .changes
            .partition_point(|change| change.version <= cursor.version);
        let to = from.max(
            self.changes
                .partition_point(|change| change.version <= upto),
        );
        for change in self.changes.range(from..to).take(most) {
            cursor.version = change.version;
            out.push(change.clone());
        }
        if from + most >= to {
            // All of this resource has been read, so the cursor stands at the version that was read up to.
            cursor.version = cursor.version.max(upto);
        }
        Ok(())
    }
}
