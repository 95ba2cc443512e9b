//! The file of one process.

use crate::error::told;
use crate::{Batch, Identity, LoadedRecords, PersistenceError, RecordKey};
use redb::{Builder, Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

/// Name of the file in the folder.
pub const STORE_FILE: &str = "memory.redb";
/// The format that this program writes; it rises where an older program could not read what a newer one wrote.
const FORMAT: u64 = 1;
/// Bytes of the file's library that may stay in memory: all that is read is read at the start.
const CACHE: usize = 4 << 20;
/// A file is made smaller at the start where it is beyond this,
const COMPACT_FROM: u64 = 32 << 20;
/// and this many times as large as what it holds.
const COMPACT_AT: u64 = 4;

pub(crate) const RECORDS: TableDefinition<(&str, &str), &[u8]> = TableDefinition::new("records");
const ABOUT: TableDefinition<&str, &str> = TableDefinition::new("about");

/// An open memory. One process has it open at a time.
#[derive(Debug)]
pub struct RecordStore {
    file: PathBuf,
    who: Identity,
    /// `None` only while it is opened anew after a failed write.
    disk: Option<Database>,
}

impl RecordStore {
    /// Opens the memory in a folder, or begins one; checks every page, whose it is, and its version. What comes back
    /// is on the disk, the new turn included.
    ///
    /// # Errors
    /// Each says what an operator can do. Nothing is changed where it fails.
    pub fn open(folder: &Path, who: &Identity) -> Result<(Self, LoadedRecords), PersistenceError> {
        let told = |why| PersistenceError::Folder {
            folder: folder.to_owned(),
            why,
        };
        std::fs::create_dir_all(folder).map_err(told)?;
        let file = folder.join(STORE_FILE);
        let new = !file.try_exists().map_err(told)?;
        let disk = open(&file)?;
        if new {
            // The name of a new file is safe only once its folder is.
            std::fs::File::open(folder)
                .and_then(|folder| folder.sync_all())
                .map_err(told)?;
        }
        Self::begin(file, disk, who)
    }

    /// The same over a disk of the caller's, as simulations need.
    ///
    /// # Errors
    /// As [`RecordStore::open`].
    pub fn with_backend(
        disk: impl StorageBackend,
        who: &Identity,
    ) -> Result<(Self, LoadedRecords), PersistenceError> {
        let file = PathBuf::from("(simulated)");
        let disk = builder()
            .create_with_backend(disk)
            .map_err(|e| told(&file, e.into()))?;
        Self::begin(file, disk, who)
    }

    fn begin(
        file: PathBuf,
        mut disk: Database,
        who: &Identity,
    ) -> Result<(Self, LoadedRecords), PersistenceError> {
        // What a power loss left half done was rolled back while it was opened; now every page must be what it was.
        if !disk.check_integrity().map_err(|e| told(&file, e.into()))? {
            return Err(PersistenceError::Corrupted {
                file,
                why: "pages do not match their checksums".into(),
            });
        }
        let mut memory = Self {
            file,
            who: who.clone(),
            disk: Some(disk),
        };
        let (turn, begun) = memory.check()?;
        let turn = turn + 1;
        let records = memory.read()?;
        let held: u64 = records
            .iter()
            .map(|((a, b), v)| (a.len() + b.len() + v.len()) as u64)
            .sum();
        memory.compact(held)?;
        memory.notes(&[("turn", &turn.to_string())])?;
        Ok((
            memory,
            LoadedRecords {
                records,
                generation: turn,
                created_at: begun,
            },
        ))
    }

    /// Whose it is, how often it was opened and when it was begun; writes that into a new one.
    fn check(&mut self) -> Result<(u64, u64), PersistenceError> {
        let role = format!("{} {}", self.who.role, self.who.name);
        let about = self.about()?;
        let Some(found) = about.get("format") else {
            if !self.read()?.is_empty() {
                return Err(PersistenceError::NotAStore {
                    file: self.file.clone(),
                });
            }
            let cluster = self.who.cluster.clone();
            let begun = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default()
                .as_micros() as u64;
            let (format, at) = (FORMAT.to_string(), begun.to_string());
            self.notes(&[
                ("format", &format),
                ("name", &role),
                ("cluster", &cluster),
                ("begun", &at),
            ])?;
            return Ok((0, begun));
        };
        let file = || self.file.clone();
        let found: u64 = found
            .parse()
            .map_err(|_| PersistenceError::NotAStore { file: file() })?;
        if found > FORMAT {
            return Err(PersistenceError::NewerFormat {
                file: file(),
                found,
                known: FORMAT,
            });
        }
        let of = |key: &str| about.get(key).cloned().unwrap_or_default();
        if of("cluster") != self.who.cluster {
            let wanted = self.who.cluster.clone();
            return Err(PersistenceError::WrongCluster {
                file: file(),
                found: of("cluster"),
                wanted,
            });
        }
        if of("name") != role {
            return Err(PersistenceError::WrongOwner {
                file: file(),
                found: of("name"),
                wanted: role,
            });
        }
        let number = |key: &str| match about.get(key).map(|text| text.parse()) {
            None => Ok(0),
            Some(number) => number.map_err(|_| PersistenceError::NotAStore { file: file() }),
        };
        Ok((number("turn")?, number("begun")?))
    }

    fn disk(&self) -> Result<&Database, PersistenceError> {
        let closed = || PersistenceError::Io {
            file: self.file.clone(),
            why: "it is closed after an error".into(),
        };
        self.disk.as_ref().ok_or_else(closed)
    }

    fn about(&self) -> Result<BTreeMap<String, String>, PersistenceError> {
        let disk = self.disk()?;
        let read = || -> Result<BTreeMap<String, String>, redb::Error> {
            let read = disk.begin_read()?;
            let table = match read.open_table(ABOUT) {
                Ok(table) => table,
                Err(redb::TableError::TableDoesNotExist(_)) => return Ok(BTreeMap::new()),
                Err(other) => return Err(other.into()),
            };
            let mut about = BTreeMap::new();
            for entry in table.iter()? {
                let (key, value) = entry?;
                about.insert(key.value().to_owned(), value.value().to_owned());
            }
            Ok(about)
        };
        read().map_err(|e| told(&self.file, e))
    }

    fn notes(&mut self, notes: &[(&str, &str)]) -> Result<(), PersistenceError> {
        let disk = self.disk()?;
        let write = || -> Result<(), redb::Error> {
            let write = disk.begin_write()?;
            {
                let mut table = write.open_table(ABOUT)?;
                for (key, value) in notes {
                    table.insert(key, value)?;
                }
            }
            Ok(write.commit()?)
        };
        write().map_err(|e| told(&self.file, e))
    }

    fn read(&self) -> Result<BTreeMap<RecordKey, Vec<u8>>, PersistenceError> {
        let disk = self.disk()?;
        records(disk).map_err(|e| told(&self.file, e))
    }

    /// Writes a batch; once this returns it is on the disk as a whole.
    ///
    /// # Errors
    /// Then nothing of it counts as written, and [`RecordStore::reopen`] has to be called before the next try.
    pub fn write(&mut self, batch: &Batch) -> Result<(), PersistenceError> {
        let disk = self.disk()?;
        let write = || -> Result<(), redb::Error> {
            let write = disk.begin_write()?;
            {
                let mut table = write.open_table(RECORDS)?;
                for ((kind, key), value) in batch.changes() {
                    match value {
                        Some(value) => drop(table.insert((kind.as_str(), key.as_str()), value)?),
                        None => drop(table.remove((kind.as_str(), key.as_str()))?),
                    }
                }
            }
            Ok(write.commit()?)
        };
        write().map_err(|e| told(&self.file, e))
    }

    /// Closes and opens the file anew after a failed write, as its library demands. The turn stays.
    ///
    /// # Errors
    /// As [`RecordStore::open`]; it may be tried again.
    pub fn reopen(&mut self) -> Result<(), PersistenceError> {
        self.disk = None;
        self.disk = Some(open(&self.file)?);
        Ok(())
    }

    /// Makes a file smaller that holds little for its size.
    fn compact(&mut self, held: u64) -> Result<(), PersistenceError> {
        let size = std::fs::metadata(&self.file).map_or(0, |about| about.len());
        if size < COMPACT_FROM || size < held.saturating_mul(COMPACT_AT) {
            return Ok(());
        }
        let Some(disk) = &mut self.disk else {
            return Ok(());
        };
        match disk.compact() {
            Ok(_) => Ok(()),
            Err(problem) => Err(told(&self.file, problem.into())),
        }
    }
}

fn builder() -> Builder {
    let mut builder = Builder::new();
    builder.set_cache_size(CACHE);
    builder
}

fn open(file: &Path) -> Result<Database, PersistenceError> {
    builder().create(file).map_err(|e| told(file, e.into()))
}

pub(crate) fn records(
    disk: &impl ReadableDatabase,
) -> Result<BTreeMap<RecordKey, Vec<u8>>, redb::Error> {
    let read = disk.begin_read()?;
    let table = match read.open_table(RECORDS) {
        Ok(table) => table,
        Err(redb::TableError::TableDoesNotExist(_)) => return Ok(BTreeMap::new()),
        Err(other) => return Err(other.into()),
    };
    let mut records = BTreeMap::new();
    for entry in table.iter()? {
        let (key, value) = entry?;
        let (kind, key) = key.value();
        records.insert((kind.to_owned(), key.to_owned()), value.value().to_owned());
    }
    Ok(records)
}
