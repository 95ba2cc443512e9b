//! Errors of starting a voter.

use crate::SettingsError;

/// Why the stored state of a voter can't be loaded.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum LoadError {
    /// A record of the store can't be decoded.
    #[error(
        "the store's record {kind} {key:?} can't be read: {reason}; restore the store from a copy"
    )]
    UnreadableRecord {
        /// Kind of the record.
        kind: &'static str,
        /// Its key.
        key: String,
        /// The decoder's error.
        reason: serde_json::Error,
    },
    /// Entries of the log are missing.
    #[error("the store's log has a gap before the entry {index}; restore the store from a copy")]
    Gap {
        /// Index of the first entry after the gap, as it is written in the store.
        index: String,
    },
}

/// Why a voter can't start.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum VoterError {
    /// The settings can't be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The stored state can't be loaded.
    #[error(transparent)]
    Load(#[from] LoadError),
}
