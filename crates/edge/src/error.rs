//! Errors that end the edge, or prevent its start.

use crate::restore::RestoreError;
use std::error::Error;
use std::path::PathBuf;
use tidespur_coordination_net::StartError;
use tidespur_membership_net::{JoinError, ReplacedError};
use tidespur_persistence::PersistenceError;

/// An error that ended the edge, or prevented its start.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum RunError {
    /// The API or the planner link cannot listen on its address.
    #[error("cannot listen on {address}; set --api or --link to a free address of this machine")]
    Listen {
        /// The address as given on the command line.
        address: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file that traffic is recorded in cannot be opened.
    #[error(
        "cannot open the recording file {path}; set --record to a file that this user may write"
    )]
    OpenRecord {
        /// Path of the file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The data directory cannot be used.
    #[error(transparent)]
    Persistence(#[from] PersistenceError),
    /// The state that an earlier process persisted cannot be restored.
    #[error(transparent)]
    Restore(#[from] RestoreError),
    /// The voter of the coordination log cannot be started.
    #[error(transparent)]
    StartVoter(#[from] StartError),
    /// The edge cannot join its fleet.
    #[error(transparent)]
    JoinFleet(#[from] JoinError),
    /// A newer process has joined the fleet under the name of this one.
    #[error(transparent)]
    Replaced(#[from] ReplacedError),
}

/// The messages of an error and its causes on one line, separated by colons.
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
