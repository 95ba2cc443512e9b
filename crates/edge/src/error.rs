//! Why the edge cannot start or run on.

use crate::restore::RestoreError;
use std::error::Error;
use std::path::PathBuf;
use tidespur_coordination_net::StartError;
use tidespur_membership_net::{JoinError, ReplacedError};
use tidespur_persistence::PersistenceError;

/// Why the edge ended, or did not start.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum RunError {
    /// An address cannot be listened on.
    #[error("cannot listen on {address}; name a free address of this machine with --api or --link")]
    Listen {
        /// The address.
        address: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// The file for recorded traffic cannot be opened.
    #[error("cannot open the record {path}; name a file that this user may write with --record")]
    OpenRecord {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The data directory cannot be used.
    #[error(transparent)]
    Persistence(#[from] PersistenceError),
    /// What an earlier process persisted cannot be restored.
    #[error(transparent)]
    Restore(#[from] RestoreError),
    /// The voter of the coordination log cannot start.
    #[error(transparent)]
    StartVoter(#[from] StartError),
    /// The edge cannot join its fleet.
    #[error(transparent)]
    JoinFleet(#[from] JoinError),
    /// A newer process took this one's place.
    #[error(transparent)]
    Replaced(#[from] ReplacedError),
}

/// An error and its causes, in one line.
pub fn error_chain(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text.push_str(": ");
        text.push_str(&error.to_string());
        cause = error.source();
    }
    text
}
