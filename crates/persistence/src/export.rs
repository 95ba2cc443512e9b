//! What can be read from a damaged folder. A library call for an operator's own program, no command.

use crate::memory::{RECORDS, records};
use crate::{PersistenceError, RecordKey, STORE_FILE, error::told};
use redb::{Builder, ReadableDatabase, ReadableTable};
use std::collections::BTreeMap;
use std::path::Path;

/// What was read.
#[derive(Clone, Debug, Default)]
pub struct Export {
    /// Records that could be read.
    pub records: BTreeMap<RecordKey, Vec<u8>>,
    /// Why there may be more: each place at which reading had to end.
    pub missing: Vec<String>,
}

/// Reads what can be read, from the front and from the back up to the damage. Works on a copy: the folder is left as
/// it is. Nobody may have it open. Pages are not all checked here: what comes back may be older than what was lost.
///
/// # Errors
/// Where the file can't be read or copied at all, or nothing in it makes sense.
pub fn export(folder: &Path) -> Result<Export, PersistenceError> {
    let file = folder.join(STORE_FILE);
    let copy = folder.join(format!("{STORE_FILE}.export"));
    let system = |why: std::io::Error| PersistenceError::Io {
        file: file.clone(),
        why: why.to_string(),
    };
    std::fs::copy(&file, &copy).map_err(system)?;
    let read = read(&copy);
    std::fs::remove_file(&copy).map_err(system)?;
    read
}

fn read(copy: &Path) -> Result<Export, PersistenceError> {
    let disk = Builder::new()
        .create(copy)
        .map_err(|e| told(copy, e.into()))?;
    if let Ok(records) = records(&disk) {
        return Ok(Export {
            records,
            missing: vec![],
        });
    }
    let mut export = Export::default();
    let mut walk = || -> Result<(), redb::Error> {
        let table = disk.begin_read()?.open_table(RECORDS)?;
        for backwards in [false, true] {
            let mut all = table.iter()?;
            while let Some(entry) = if backwards {
                all.next_back()
            } else {
                all.next()
            } {
                match entry {
                    Ok((key, value)) => {
                        let (kind, key) = key.value();
                        export
                            .records
                            .insert((kind.to_owned(), key.to_owned()), value.value().to_owned());
                    }
                    Err(problem) => {
                        export.missing.push(problem.to_string());
                        break;
                    }
                }
            }
        }
        Ok(())
    };
    let walked = walk();
    match walked {
        Err(problem) if export.records.is_empty() => Err(told(copy, problem)),
        Err(problem) => {
            export.missing.push(problem.to_string());
            Ok(export)
        }
        Ok(()) => Ok(export),
    }
}
