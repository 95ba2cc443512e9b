//! Errors of a store. Each message names the file or record, and says what failed and what an operator can do.

use std::io::ErrorKind;
use std::path::{Path, PathBuf};

/// Why a store can't be opened, read or written.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum PersistenceError {
    /// The folder can't be created or accessed.
    #[error(
        "{folder}: the folder can't be used: {reason}; make it, give this user rights to it, or name another with --data"
    )]
    Folder {
        /// Path of the folder that was to hold the store.
        folder: PathBuf,
        /// The operating system's error.
        reason: std::io::Error,
    },
    /// Another process has the file open.
    #[error(
        "{file}: another process has it open; end that process, or give each its own folder with --data"
    )]
    InUse {
        /// Path of the store file.
        file: PathBuf,
    },
    /// The file belongs to a process of another role or name.
    #[error(
        "{file}: it is the store of {found}, not of {wanted}; start that one here, or name another folder with --data"
    )]
    WrongOwner {
        /// Path of the store file.
        file: PathBuf,
        /// Role and name in the file.
        found: String,
        /// Role and name of this process.
        wanted: String,
    },
    /// The file belongs to another cluster.
    #[error(
        "{file}: it belongs to the cluster {found:?}, not to {wanted:?}; look at fleet.cluster in the settings, or name another folder with --data"
    )]
    WrongCluster {
        /// Path of the store file.
        file: PathBuf,
        /// The cluster in the file.
        found: String,
        /// The cluster of this process.
        wanted: String,
    },
    /// A newer version of the program wrote the file.
    #[error(
        "{file}: it was written by a newer program (format {found}, known here: {known}); start that version"
    )]
    NewerFormat {
        /// Path of the store file.
        file: PathBuf,
        /// Format version of the file.
        found: u64,
        /// The newest format version that this program reads.
        known: u64,
    },
    /// The file is not a store, or its header is damaged.
    #[error(
        "{file}: it is no store of tidespur, or its header is damaged; restore it from a copy, or move it away to start with an empty store"
    )]
    NotAStore {
        /// Path of the store file.
        file: PathBuf,
    },
    /// The file is shorter than its content requires.
    #[error(
        "{file}: it is truncated ({reason}); move it away, then restore it from a copy or start with an empty store: the other processes are asked for what it held"
    )]
    Truncated {
        /// Path of the store file, or of the copy that an export reads.
        file: PathBuf,
        /// What the check of the file found.
        reason: String,
    },
    /// A page does not match its checksum.
    #[error(
        "{file}: a page of it is damaged ({reason}); look at the disk, move the file away, then restore it from a copy or start with an empty store"
    )]
    Corrupted {
        /// Path of the store file, or of the copy that an export reads.
        file: PathBuf,
        /// What the check of the file found.
        reason: String,
    },
    /// The disk is full, or the quota of this user is used up.
    #[error(
        "{file}: the disk is full; nothing that was acknowledged is lost, and writing goes on once there is room"
    )]
    DiskFull {
        /// Path of the store file.
        file: PathBuf,
    },
    /// Any other error of the disk, the operating system or the database library.
    #[error(
        "{file}: the disk does not do what it is asked: {reason}; look at the disk and at the rights of this user"
    )]
    Io {
        /// Path of the store file.
        file: PathBuf,
        /// Text of the underlying error.
        reason: String,
    },
    /// A record is larger than [`MAX_RECORD_BYTES`](crate::MAX_RECORD_BYTES).
    #[error(
        "{record}: {bytes} bytes, which is more than a record may have; make the object smaller"
    )]
    RecordTooLarge {
        /// Kind and key of the record.
        record: String,
        /// Size of the record, in bytes.
        bytes: usize,
    },
}

/// Converts an error of the database library that concerns `file`.
pub(crate) fn from_database(file: &Path, error: redb::Error) -> PersistenceError {
    let file = file.to_owned();
    match error {
        redb::Error::DatabaseAlreadyOpen => PersistenceError::InUse { file },
        redb::Error::UpgradeRequired(version) => PersistenceError::Corrupted {
            file,
            reason: format!("an old format of its library, {version}"),
        },
        // The library distinguishes truncation from corruption only in the text of the error. Unknown texts count as
        // corruption, which is the worse of the two.
        redb::Error::Corrupted(reason) if reason.contains("truncated") => {
            PersistenceError::Truncated { file, reason }
        }
        redb::Error::Corrupted(reason) => PersistenceError::Corrupted { file, reason },
        redb::Error::Io(error) => from_io(file, &error),
        redb::Error::RepairAborted => PersistenceError::Corrupted {
            file,
            reason: "the repair after a power loss was aborted".into(),
        },
        other => PersistenceError::Io {
            file,
            reason: other.to_string(),
        },
    }
}

fn from_io(file: PathBuf, error: &std::io::Error) -> PersistenceError {
    match error.kind() {
        ErrorKind::StorageFull | ErrorKind::QuotaExceeded | ErrorKind::FileTooLarge => {
            PersistenceError::DiskFull { file }
        }
        ErrorKind::UnexpectedEof => PersistenceError::Truncated {
            file,
            reason: "a page lies beyond its end".into(),
        },
        ErrorKind::InvalidData => PersistenceError::NotAStore { file },
        _ => PersistenceError::Io {
            file,
            reason: error.to_string(),
        },
    }
}
