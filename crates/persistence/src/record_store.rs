//! The store of one process: a database file that one process has open at a time. Owns the file.

use crate::error::from_database;
use crate::header;
use crate::tables::{read_records, write_records};
use crate::{Batch, Identity, LoadedRecords, PersistenceError, RecordKey};
use redb::{Builder, Database, StorageBackend};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// Name of the file in the folder.
pub const STORE_FILE: &str = "memory.redb";
/// Size of the page cache of the database library, in bytes. It is small because records are read at the start only.
const PAGE_CACHE_BYTES: usize = 4 << 20;
/// Size from which a file is compacted at the start, in bytes, if it is sparse as well.
const MIN_COMPACTION_BYTES: u64 = 32 << 20;
/// A file is sparse if it is this many times as large as the records in it.
const COMPACTION_RATIO: u64 = 4;

/// An open store. One process has it open at a time.
#[derive(Debug)]
pub struct RecordStore {
    file: PathBuf,
    /// `None` only after [`RecordStore::reopen`] has failed.
    database: Option<Database>,
}

impl RecordStore {
    /// Opens the store in a folder, or creates it. Verifies every page, the identity and the format version. The new
    /// generation is committed when this returns.
    ///
    /// # Errors
    /// Each says what an operator can do. The records are unchanged then.
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
            // The directory entry of a new file is durable only after a sync of the folder.
            std::fs::File::open(folder)
                .and_then(|folder| folder.sync_all())
                .map_err(folder_error)?;
        }
        Self::load(file, database, identity)
    }

    /// Opens the store on a storage backend of the caller, for instance a simulated disk.
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
        // Opening has rolled back what a power loss interrupted. What is left must be undamaged.
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

    /// Commits a batch. It is on the disk as a whole when this returns.
    ///
    /// # Errors
    /// Nothing of the batch counts as written then, and [`RecordStore::reopen`] has to be called before the next write.
    pub fn write(&mut self, batch: &Batch) -> Result<(), PersistenceError> {
        write_records(self.database()?, batch).map_err(|error| self.convert(error))
    }

    /// Closes the file and opens it again, which the database library demands after a failed write. The generation
    /// stays the same.
    ///
    /// # Errors
    /// As [`RecordStore::open`]; the call may be repeated.
    pub fn reopen(&mut self) -> Result<(), PersistenceError> {
        // The library refuses to open a file that is still open.
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
