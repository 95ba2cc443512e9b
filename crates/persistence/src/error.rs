//! What can go wrong with a memory, each with what an operator can do.

use std::path::PathBuf;

/// Why a memory can't be opened, read or written.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum PersistenceError {
    /// The folder is not there and can't be made, or can't be entered.
    #[error(
        "{folder}: the folder can't be used: {why}; make it, give this user rights to it, or name another with --data"
    )]
    Folder {
        /// The folder.
        folder: PathBuf,
        /// The system's word.
        why: std::io::Error,
    },
    /// Another process has it open.
    #[error(
        "{file}: another process has it open; end that process, or give each its own folder with --data"
    )]
    InUse {
        /// The file.
        file: PathBuf,
    },
    /// It is another process's memory.
    #[error(
        "{file}: it is the memory of {found}, not of {wanted}; start that one here, or name another folder with --data"
    )]
    WrongOwner {
        /// The file.
        file: PathBuf,
        /// Role and name in the file.
        found: String,
        /// Role and name of this process.
        wanted: String,
    },
    /// It belongs to another cluster.
    #[error(
        "{file}: it belongs to the cluster {found:?}, not to {wanted:?}; look at fleet.cluster in the settings, or name another folder with --data"
    )]
    WrongCluster {
        /// The file.
        file: PathBuf,
        /// The cluster in the file.
        found: String,
        /// The cluster of this process.
        wanted: String,
    },
    /// A newer program wrote it.
    #[error(
        "{file}: it was written by a newer program (format {found}, known here: {known}); start that version"
    )]
    NewerFormat {
        /// The file.
        file: PathBuf,
        /// Its format.
        found: u64,
        /// The newest format that this program reads.
        known: u64,
    },
    /// It is no memory of ours, or its head is gone.
    #[error(
        "{file}: it is no memory of tidespur, or its head is damaged; restore it from a copy, or move it away to start with none"
    )]
    NotAStore {
        /// The file.
        file: PathBuf,
    },
    /// The file ends before what it says it holds.
    #[error(
        "{file}: it is cut off ({why}); move it away, restore it from a copy, or start with none: what it held is then settled by asking"
    )]
    Truncated {
        /// The file.
        file: PathBuf,
        /// What was found.
        why: String,
    },
    /// A page does not match its checksum.
    #[error(
        "{file}: a page of it is damaged ({why}); look at the disk, move the file away, and restore it from a copy or start with none"
    )]
    Corrupted {
        /// The file.
        file: PathBuf,
        /// What was found.
        why: String,
    },
    /// The disk, or the share of it that this user has, is full.
    #[error(
        "{file}: the disk is full; nothing that was acknowledged is lost, and writing goes on once there is room"
    )]
    DiskFull {
        /// The file.
        file: PathBuf,
    },
    /// The disk or the system refuses otherwise.
    #[error(
        "{file}: the disk does not do what it is asked: {why}; look at the disk and at the rights of this user"
    )]
    Io {
        /// The file.
        file: PathBuf,
        /// The system's word.
        why: String,
    },
    /// A record is beyond the bound.
    #[error(
        "{record}: {bytes} bytes, which is more than a record may have; make the object smaller"
    )]
    RecordTooLarge {
        /// Kind and key.
        record: String,
        /// Its size.
        bytes: usize,
    },
}

/// What the file's library says, in this package's words.
pub(crate) fn told(file: &std::path::Path, problem: redb::Error) -> PersistenceError {
    let file = file.to_owned();
    match problem {
        redb::Error::DatabaseAlreadyOpen => PersistenceError::InUse { file },
        redb::Error::UpgradeRequired(found) => PersistenceError::Corrupted {
            file,
            why: format!("an old format of its library, {found}"),
        },
        // Its library tells the two apart by its words alone; unknown words count as the worse one.
        redb::Error::Corrupted(why) if why.contains("truncated") => {
            PersistenceError::Truncated { file, why }
        }
        redb::Error::Corrupted(why) => PersistenceError::Corrupted { file, why },
        redb::Error::Io(why) => by_kind(file, &why),
        redb::Error::RepairAborted => PersistenceError::Corrupted {
            file,
            why: "what a power loss left could not be put right".into(),
        },
        other => PersistenceError::Io {
            file,
            why: other.to_string(),
        },
    }
}

fn by_kind(file: PathBuf, why: &std::io::Error) -> PersistenceError {
    use std::io::ErrorKind;
    match why.kind() {
        ErrorKind::StorageFull | ErrorKind::QuotaExceeded | ErrorKind::FileTooLarge => {
            PersistenceError::DiskFull { file }
        }
        ErrorKind::UnexpectedEof => PersistenceError::Truncated {
            file,
            why: "a page lies beyond its end".into(),
        },
        ErrorKind::InvalidData => PersistenceError::NotAStore { file },
        _ => PersistenceError::Io {
            file,
            why: why.to_string(),
        },
    }
}
