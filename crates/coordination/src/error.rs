//! Errors that prevent a voter from starting.

use crate::SettingsError;

/// Why a voter's stored state could not be loaded.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum LoadError {
    /// A record of the store could not be decoded.
    #[error(
        "record {kind} {key:?} of the store could not be decoded: {reason}; restore the store from a backup"
    )]
    UnreadableRecord {
        /// Kind of the record, as it is written in the store.
        kind: &'static str,
        /// Key of the record within its kind.
        key: String,
        /// The error of the JSON decoder.
        reason: serde_json::Error,
    },
    /// Entries of the log are missing.
    #[error(
        "entries before index {index} are missing from the stored log; restore the store from a backup"
    )]
    MissingEntries {
        /// Index of the first entry after the missing ones, as it is written in the store.
        index: String,
    },
}

/// Why a voter could not start.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum VoterError {
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The stored state could not be loaded.
    #[error(transparent)]
    Load(#[from] LoadError),
}
