//! For whoever carries out what a lease's holder wants: the highest token that was seen, and no lower one after it.
//!
//! Guards against the holder that stood still between asking whether it may act and acting, against a word that comes
//! late, and against two that both believe to hold. Should guard as well where clocks run apart further than the bound.
//! Harm: none known; a holder that is refused by name has lost its lease already.

use std::collections::BTreeMap;
use tidespur_persistence::{Batch, LoadedRecords};

const FENCE: &str = "fence";

/// An act with a token that is not the newest any more.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "the lease {lease:?} has gone on to token {newest}, this act carries {token}: whoever sent it holds the lease no more and has to ask for it again"
)]
pub struct StaleToken {
    /// Name of the lease.
    pub lease: String,
    /// Token of the act.
    pub token: u64,
    /// The highest token seen here.
    pub newest: u64,
}

/// The highest token by lease.
#[derive(Debug, Default)]
pub struct Fence {
    highest: BTreeMap<String, u64>,
    batch: Batch,
}

impl Fence {
    /// The fence as an earlier process left it.
    pub fn load(memory: &LoadedRecords) -> Self {
        let read = |bytes: &[u8]| std::str::from_utf8(bytes).ok()?.parse().ok();
        let highest = memory
            .records_of_kind(FENCE)
            .filter_map(|(lease, bytes)| Some((lease.to_owned(), read(bytes)?)));
        Self {
            highest: highest.collect(),
            batch: Batch::default(),
        }
    }

    /// Lets an act pass, or refuses it by name. What passes may be carried out once the next batch is safe.
    ///
    /// # Errors
    /// [`StaleToken`].
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
            // A name and a number, far below the bound of a record.
            drop(self.batch.put(FENCE, lease, token.to_string().into_bytes()));
        }
        Ok(())
    }

    /// What must be safe before an act that passed is carried out.
    pub fn take_batch(&mut self) -> Batch {
        std::mem::take(&mut self.batch)
    }
}
