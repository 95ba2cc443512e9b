//! Fencing: the receiver of a lease holder's commands remembers the highest token that it has seen and rejects lower
//! ones. Used by planners.
//!
//! This protects against a holder that was suspended between checking its lease and sending the command, against
//! delayed messages, and against two processes that both assume they hold the lease because their clocks drift more
//! than the settings allow. A holder whose command is rejected has already lost its lease.

use std::collections::BTreeMap;
use tidespur_persistence::{Batch, LoadedRecords};

/// Kind of the records that hold the highest seen token; their key is the name of the lease.
const RECORD_KIND: &str = "fence";

/// A message carried a lower token than an earlier message for the same lease.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "lease {lease:?}: fencing token {token} is stale, token {newest} was seen before; the sender has lost the lease and must acquire it again"
)]
pub struct StaleToken {
    /// Name of the lease.
    pub lease: String,
    /// Token of the rejected message.
    pub token: u64,
    /// The highest token seen so far.
    pub newest: u64,
}

/// The highest token seen for each lease.
#[derive(Debug, Default)]
pub struct Fence {
    highest: BTreeMap<String, u64>,
    batch: Batch,
}

impl Fence {
    /// Loads the fence that an earlier process stored. Records that can't be parsed are ignored.
    pub fn load(loaded: &LoadedRecords) -> Self {
        let mut highest = BTreeMap::new();
        for (lease, bytes) in loaded.records_of_kind(RECORD_KIND) {
            let token = std::str::from_utf8(bytes)
                .ok()
                .and_then(|text| text.parse().ok());
            if let Some(token) = token {
                highest.insert(lease.to_owned(), token);
            }
        }
        Self {
            highest,
            batch: Batch::default(),
        }
    }

    /// Admits or rejects a message with this token. An admitted command may be executed once the next batch is synced
    /// to disk.
    ///
    /// # Errors
    /// [`StaleToken`] if a higher token was seen before.
    pub fn admit(&mut self, lease: &str, token: u64) -> Result<(), StaleToken> {
        let newest = self.highest.get(lease).copied().unwrap_or(0);
        if token < newest {
            return Err(StaleToken {
                lease: lease.to_owned(),
                token,
                newest,
            });
        }
        if token > newest {
            self.highest.insert(lease.to_owned(), token);
            // Can't fail: the name of a lease and a number are far below the size limit of a record.
            drop(
                self.batch
                    .put(RECORD_KIND, lease, token.to_string().into_bytes()),
            );
        }
        Ok(())
    }

    /// Takes the changes that must be synced to disk before an admitted command is executed.
    pub fn take_batch(&mut self) -> Batch {
        std::mem::take(&mut self.batch)
    }
}
