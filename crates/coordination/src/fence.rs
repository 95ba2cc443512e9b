//! Fencing: whoever carries out what a lease holder decides remembers the highest token that it has seen and rejects
//! lower ones. Used by planners.
//!
//! It prevents damage by a holder that was suspended between the check of its lease and its act, by messages that
//! arrive late, and by two processes that both believe to hold a lease because their clocks drift more than is allowed.
//! A holder that is rejected has lost its lease already.

use std::collections::BTreeMap;
use tidespur_persistence::{Batch, LoadedRecords};

/// Kind of the records with the highest token of each lease.
const RECORD_KIND: &str = "fence";

/// A message carried a token that is lower than one that was seen before.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "the lease {lease:?} has gone on to token {newest}, this act carries {token}: whoever sent it holds the lease no more and has to ask for it again"
)]
pub struct StaleToken {
    /// Name of the lease.
    pub lease: String,
    /// Token of the message.
    pub token: u64,
    /// The highest token that was seen.
    pub newest: u64,
}

/// The highest token that was seen of each lease.
#[derive(Debug, Default)]
pub struct Fence {
    highest: BTreeMap<String, u64>,
    batch: Batch,
}

impl Fence {
    /// The fence as an earlier process stored it. Records that can't be read count as absent.
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

    /// Admits a message with this token or rejects it. What it asks for may be carried out once the next batch is on
    /// the disk.
    ///
    /// # Errors
    /// [`StaleToken`] if a higher token was seen.
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
            // A name and a number are far smaller than the limit of a record, so this can't fail.
            drop(
                self.batch
                    .put(RECORD_KIND, lease, token.to_string().into_bytes()),
            );
        }
        Ok(())
    }

    /// Removes and returns the changes that must be on the disk before an admitted message is carried out.
    pub fn take_batch(&mut self) -> Batch {
        std::mem::take(&mut self.batch)
    }
}
