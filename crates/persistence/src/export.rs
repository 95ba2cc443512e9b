//! Export of the readable records of a damaged store. A library function for an operator's own program; no command uses
//! it.

use crate::error::from_database;
use crate::tables::{RECORDS, read_records};
use crate::{PersistenceError, RecordKey, STORE_FILE};
use redb::{AccessGuard, Builder, Database, ReadableDatabase, ReadableTable, StorageError};
use std::collections::BTreeMap;
use std::path::Path;

/// The readable records of a store.
#[derive(Clone, Debug, Default)]
pub struct Export {
    /// Values of the records that could be read.
    pub records: BTreeMap<RecordKey, Vec<u8>>,
    /// Errors at which reading stopped, so that records may be missing; empty if the export is complete.
    pub missing: Vec<String>,
}

/// Reads the records from the first one forwards and from the last one backwards, each up to the first damaged page.
/// Works on a temporary copy in the same folder and does not change the store; no process may have the store open. Not
/// all pages are verified, so a record may have an older value than the one that was lost.
///
/// # Errors
/// If the file can't be read or copied, or no record can be read from it.
pub fn export(folder: &Path) -> Result<Export, PersistenceError> {
    let file = folder.join(STORE_FILE);
    let copy = folder.join(format!("{STORE_FILE}.export"));
    let io_error = |error: std::io::Error| PersistenceError::Io {
        file: file.clone(),
        reason: error.to_string(),
    };
    std::fs::copy(&file, &copy).map_err(io_error)?;
    let export = read_copy(&copy);
    std::fs::remove_file(&copy).map_err(io_error)?;
    export
}

fn read_copy(copy: &Path) -> Result<Export, PersistenceError> {
    let database = Builder::new()
        .create(copy)
        .map_err(|error| from_database(copy, error.into()))?;
    if let Ok(records) = read_records(&database) {
        return Ok(Export {
            records,
            missing: vec![],
        });
    }
    let mut export = Export::default();
    match read_from_both_ends(&database, &mut export) {
        Err(error) if export.records.is_empty() => return Err(from_database(copy, error)),
        Err(error) => export.missing.push(error.to_string()),
        Ok(()) => {}
    }
    Ok(export)
}

fn read_from_both_ends(database: &Database, export: &mut Export) -> Result<(), redb::Error> {
    let table = database.begin_read()?.open_table(RECORDS)?;
    read_until_error(table.iter()?, export);
    read_until_error(table.iter()?.rev(), export);
    Ok(())
}

/// Kind, key and value of a record as the table's iterator returns them.
type RawEntry<'a> = (
    AccessGuard<'a, (&'static str, &'static str)>,
    AccessGuard<'a, &'static [u8]>,
);

fn read_until_error<'a>(
    entries: impl Iterator<Item = Result<RawEntry<'a>, StorageError>>,
    export: &mut Export,
) {
    for entry in entries {
        match entry {
            Ok((record, value)) => {
                let (kind, key) = record.value();
                export
                    .records
                    .insert(RecordKey::new(kind, key), value.value().to_owned());
            }
            Err(error) => {
                export.missing.push(error.to_string());
                return;
            }
        }
    }
}
