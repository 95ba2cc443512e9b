//! The tables of the database file: records and header. Used to open, write and export a store.

use crate::{Batch, RecordKey};
use redb::{
    Database, ReadableDatabase, ReadableTable, TableDefinition, TableError, WriteTransaction,
};
use std::collections::BTreeMap;

/// Values of the records by kind and key.
pub(crate) const RECORDS: TableDefinition<(&str, &str), &[u8]> = TableDefinition::new("records");
/// Fields of the header by name.
const HEADER: TableDefinition<&str, &str> = TableDefinition::new("about");

/// Fields of the header by name.
pub(crate) type HeaderFields = BTreeMap<String, String>;

/// Reads all records; empty if the table was never written.
pub(crate) fn read_records(
    database: &impl ReadableDatabase,
) -> Result<BTreeMap<RecordKey, Vec<u8>>, redb::Error> {
    let table = match database.begin_read()?.open_table(RECORDS) {
        Ok(table) => table,
        Err(TableError::TableDoesNotExist(_)) => return Ok(BTreeMap::new()),
        Err(other) => return Err(other.into()),
    };
    let mut records = BTreeMap::new();
    for entry in table.iter()? {
        let (record, value) = entry?;
        let (kind, key) = record.value();
        records.insert(RecordKey::new(kind, key), value.value().to_owned());
    }
    Ok(records)
}

/// Commits a batch of record changes.
pub(crate) fn write_records(database: &Database, batch: &Batch) -> Result<(), redb::Error> {
    let transaction = database.begin_write()?;
    apply_changes(&transaction, batch)?;
    Ok(transaction.commit()?)
}

fn apply_changes(transaction: &WriteTransaction, batch: &Batch) -> Result<(), redb::Error> {
    let mut table = transaction.open_table(RECORDS)?;
    for (record, value) in batch.changes() {
        let key = (record.kind.as_str(), record.key.as_str());
        // Both calls return the previous value, which is not needed.
        match value {
            Some(value) => drop(table.insert(key, value)?),
            None => drop(table.remove(key)?),
        }
    }
    Ok(())
}

/// Reads all fields of the header; empty if it was never written.
pub(crate) fn read_header(database: &Database) -> Result<HeaderFields, redb::Error> {
    let table = match database.begin_read()?.open_table(HEADER) {
        Ok(table) => table,
        Err(TableError::TableDoesNotExist(_)) => return Ok(HeaderFields::new()),
        Err(other) => return Err(other.into()),
    };
    let mut fields = HeaderFields::new();
    for entry in table.iter()? {
        let (name, value) = entry?;
        fields.insert(name.value().to_owned(), value.value().to_owned());
    }
    Ok(fields)
}

/// Commits these fields of the header; other fields are unchanged.
pub(crate) fn write_header(
    database: &Database,
    fields: &[(&str, &str)],
) -> Result<(), redb::Error> {
    let transaction = database.begin_write()?;
    let mut table = transaction.open_table(HEADER)?;
    for (name, value) in fields {
        table.insert(name, value)?;
    }
    drop(table);
    Ok(transaction.commit()?)
}
