//! The database file of a store: opening, verification, compaction and writes.

use crate::error::from_database;
use crate::header;
use crate::tables::{read_records, write_records};
use crate::{Batch, Identity, LoadedRecords, PersistenceError, RecordKey};
use redb::{Builder, Database, StorageBackend};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// Name of the database file in the folder of a store.
pub const STORE_FILE: &str = "memory.redb";
/// Page cache of the database library, in bytes; small, because records are read only when the store is opened.
const PAGE_CACHE_BYTES: usize = 4 << 20;
/// Minimum size of a file that is compacted when it is opened, in bytes.
const MIN_COMPACTION_BYTES: u64 = 32 << 20;
/// A file is compacted only if it is at least this many times as large as its records.
const COMPACTION_RATIO: u64 = 4;

/// An open store. Only one process can have it open at a time.
#[derive(Debug)]
pub struct RecordStore {
    file: PathBuf,
    /// `None` only after [`RecordStore::reopen`] has failed.
    database: Option<Database>,
}

impl RecordStore {
    /// Opens the store in a folder, or creates it. Verifies every page, the identity and the format version, and
    /// commits the new generation.
    ///
    /// # Errors
    /// If the store can't be used; the message says what an operator can do. The records are then unchanged.
    pub fn open(
        folder: &Path,
        identity: &Identity,
    ) -> Result<(Self, LoadedRecords), PersistenceError> {
        let folder_error = |reason| PersistenceError::Folder {
            folder: folder.to_owned(),
            reason,
        };
        std::fs::create_dir_all(folder).map_err(folder_error)?;
        let file = folder.join(STORE_FILE);
        let is_new = !file.try_exists().map_err(folder_error)?;
        let database = open_database(&file)?;
        if is_new {
            // The directory entry of a new file is durable only after the folder is synced.
            std::fs::File::open(folder)
                .and_then(|folder| folder.sync_all())
                .map_err(folder_error)?;
        }
        Self::load(file, database, identity)
    }

    /// Opens a store on a storage backend of the caller, such as a simulated disk.
    ///
    /// # Errors
    /// As [`RecordStore::open`].
    pub fn with_backend(
        backend: impl StorageBackend,
        identity: &Identity,
    ) -> Result<(Self, LoadedRecords), PersistenceError> {
        let file = PathBuf::from("(simulated)");
        let database = database_builder()
            .create_with_backend(backend)
            .map_err(|error| from_database(&file, error.into()))?;
        Self::load(file, database, identity)
    }

    fn load(
        file: PathBuf,
        mut database: Database,
        identity: &Identity,
    ) -> Result<(Self, LoadedRecords), PersistenceError> {
        // Opening has rolled back a write that a power loss interrupted. All remaining pages must be intact.
        let is_intact = database
            .check_integrity()
            .map_err(|error| from_database(&file, error.into()))?;
        if !is_intact {
            return Err(PersistenceError::Corrupted {
                file,
                reason: "pages do not match their checksums".into(),
            });
        }
        let mut store = Self {
            file,
            database: Some(database),
        };
        let history = header::check(store.database()?, &store.file, identity)?;
        let generation = history.generation + 1;
        let records = store.read()?;
        store.compact_if_sparse(&records)?;
        header::write_generation(store.database()?, &store.file, generation)?;
        let loaded = LoadedRecords {
            records,
            generation,
            created_at: history.created_at,
        };
        Ok((store, loaded))
    }

    fn read(&self) -> Result<BTreeMap<RecordKey, Vec<u8>>, PersistenceError> {
        read_records(self.database()?).map_err(|error| self.convert(error))
    }

    /// Commits a batch atomically; it is synced when this returns.
    ///
    /// # Errors
    /// The batch then counts as not written, and [`RecordStore::reopen`] has to be called before the next write.
    pub fn write(&mut self, batch: &Batch) -> Result<(), PersistenceError> {
        write_records(self.database()?, batch).map_err(|error| self.convert(error))
    }

    /// Closes the file and opens it again, which the database library requires after a failed write. The generation is
    /// unchanged.
    ///
    /// # Errors
    /// As [`RecordStore::open`]; the call may be repeated.
    pub fn reopen(&mut self) -> Result<(), PersistenceError> {
        // The file has to be closed first: the library does not open a file twice.
        self.database = None;
        self.database = Some(open_database(&self.file)?);
        Ok(())
    }

    fn compact_if_sparse(
        &mut self,
        records: &BTreeMap<RecordKey, Vec<u8>>,
    ) -> Result<(), PersistenceError> {
        let record_bytes: u64 = records
            .iter()
            .map(|(record, value)| (record.kind.len() + record.key.len() + value.len()) as u64)
            .sum();
        let file_bytes = std::fs::metadata(&self.file).map_or(0, |metadata| metadata.len());
        let is_sparse = file_bytes >= record_bytes.saturating_mul(COMPACTION_RATIO);
        if file_bytes < MIN_COMPACTION_BYTES || !is_sparse {
            return Ok(());
        }
        let Some(database) = &mut self.database else {
            return Ok(());
        };
        match database.compact() {
            Ok(_) => Ok(()),
            Err(error) => Err(from_database(&self.file, error.into())),
        }
    }

    fn database(&self) -> Result<&Database, PersistenceError> {
        self.database.as_ref().ok_or_else(|| PersistenceError::Io {
            file: self.file.clone(),
            reason: "it is closed after an error".into(),
        })
    }

    fn convert(&self, error: redb::Error) -> PersistenceError {
        from_database(&self.file, error)
    }
}

fn database_builder() -> Builder {
    let mut builder = Builder::new();
    builder.set_cache_size(PAGE_CACHE_BYTES);
    builder
}

fn open_database(file: &Path) -> Result<Database, PersistenceError> {
    database_builder()
        .create(file)
        .map_err(|error| from_database(file, error.into()))
}
