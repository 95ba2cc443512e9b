//! The header of a store: its owner, format version, generation and creation time. Checked when the store is opened.

use crate::error::from_database;
use crate::tables::{HeaderFields, read_header, read_records, write_header};
use crate::{Identity, PersistenceError};
use redb::Database;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

/// Format version that this program writes; raised when older programs can't read the new format.
const FORMAT: u64 = 1;

// Field names in the file, which are part of the format.
const FIELD_FORMAT: &str = "format";
const FIELD_OWNER: &str = "name";
const FIELD_CLUSTER: &str = "cluster";
const FIELD_GENERATION: &str = "turn";
const FIELD_CREATED_AT: &str = "begun";

/// Starts of the process, as the header records them.
pub(crate) struct StartHistory {
    /// Number of times the store was opened; 0 for a new one.
    pub(crate) generation: u64,
    /// Creation time of the store, in microseconds since the Unix epoch.
    pub(crate) created_at: u64,
}

/// Checks that the store belongs to this process and has a supported format; writes the header of a new store.
pub(crate) fn check(
    database: &Database,
    file: &Path,
    identity: &Identity,
) -> Result<StartHistory, PersistenceError> {
    let fields = read_header(database).map_err(|error| from_database(file, error))?;
    let owner = format!("{} {}", identity.role, identity.name);
    let Some(format) = fields.get(FIELD_FORMAT) else {
        return create(database, file, &owner, &identity.cluster);
    };
    check_format(file, format)?;
    check_owner(file, &fields, &owner, &identity.cluster)?;
    Ok(StartHistory {
        generation: parse_number(file, &fields, FIELD_GENERATION)?,
        created_at: parse_number(file, &fields, FIELD_CREATED_AT)?,
    })
}

/// Commits the generation of the current start.
pub(crate) fn write_generation(
    database: &Database,
    file: &Path,
    generation: u64,
) -> Result<(), PersistenceError> {
    let text = generation.to_string();
    write_header(database, &[(FIELD_GENERATION, &text)]).map_err(|error| from_database(file, error))
}

fn create(
    database: &Database,
    file: &Path,
    owner: &str,
    cluster: &str,
) -> Result<StartHistory, PersistenceError> {
    let records = read_records(database).map_err(|error| from_database(file, error))?;
    if !records.is_empty() {
        return Err(not_a_store(file));
    }
    let created_at = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros() as u64;
    let fields: [(&str, &str); 4] = [
        (FIELD_FORMAT, &FORMAT.to_string()),
        (FIELD_OWNER, owner),
        (FIELD_CLUSTER, cluster),
        (FIELD_CREATED_AT, &created_at.to_string()),
    ];
    write_header(database, &fields).map_err(|error| from_database(file, error))?;
    Ok(StartHistory {
        generation: 0,
        created_at,
    })
}

fn check_format(file: &Path, text: &str) -> Result<(), PersistenceError> {
    let format: u64 = text.parse().map_err(|_| not_a_store(file))?;
    if format > FORMAT {
        return Err(PersistenceError::NewerFormat {
            file: file.to_owned(),
            found: format,
            known: FORMAT,
        });
    }
    Ok(())
}

fn check_owner(
    file: &Path,
    fields: &HeaderFields,
    owner: &str,
    cluster: &str,
) -> Result<(), PersistenceError> {
    let found_cluster = fields.get(FIELD_CLUSTER).map_or("", String::as_str);
    if found_cluster != cluster {
        return Err(PersistenceError::WrongCluster {
            file: file.to_owned(),
            found: found_cluster.to_owned(),
            wanted: cluster.to_owned(),
        });
    }
    let found_owner = fields.get(FIELD_OWNER).map_or("", String::as_str);
    if found_owner != owner {
        return Err(PersistenceError::WrongOwner {
            file: file.to_owned(),
            found: found_owner.to_owned(),
            wanted: owner.to_owned(),
        });
    }
    Ok(())
}

/// Parses the number in a field; 0 if the field was never written.
fn parse_number(file: &Path, fields: &HeaderFields, field: &str) -> Result<u64, PersistenceError> {
    match fields.get(field) {
        None => Ok(0),
        Some(text) => text.parse().map_err(|_| not_a_store(file)),
    }
}

fn not_a_store(file: &Path) -> PersistenceError {
    PersistenceError::NotAStore {
        file: file.to_owned(),
    }
}
