//! A data folder of an earlier version is readable, and a new one has the same tables and header fields.

use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use std::path::Path;
use tidespur_fixtures::{
    assert_lines, assert_stored, fixture_path, is_update_requested, read_lines, restore_file,
    save_file,
};
use tidespur_persistence::{
    Batch, DurableStore, Identity, LoadedRecords, PreviousShutdown, RecordKey, RecordStore,
    STORE_FILE,
};

const HEADER: TableDefinition<&str, &str> = TableDefinition::new("about");
const RECORDS: TableDefinition<(&str, &str), &[u8]> = TableDefinition::new("records");

fn owner() -> Identity {
    Identity {
        role: "edge".into(),
        name: "edge-1".into(),
        cluster: "altmuehlfeld".into(),
    }
}

fn batch() -> Batch {
    let mut batch = Batch::default();
    batch
        .put("object", "pods/default/a", b"{\"kind\":\"Pod\"}".to_vec())
        .unwrap();
    batch.put("object", "pods/default/\u{fc}", vec![]).unwrap();
    batch.put("version", "", b"1049576".to_vec()).unwrap();
    batch.remove("object", "pods/default/removed");
    batch
}

#[test]
fn records_are_complete_when_loaded_from_the_folder_of_an_earlier_version() {
    let stored = assert_stored(env!("CARGO_MANIFEST_DIR"), "records", &owner(), &batch());

    assert_eq!(stored.loaded.generation, 2);
    assert_eq!(stored.loaded.incarnation(), stored.loaded.created_at + 2);
    assert_eq!(stored.loaded.previous_shutdown(), PreviousShutdown::Unclean);
}

/// Fields of the header in a file, without the creation time, which differs in each run.
fn header_fields(file: &Path) -> Vec<(String, String)> {
    let database = Database::create(file).unwrap();
    let table = database.begin_read().unwrap().open_table(HEADER).unwrap();
    let lines = table.iter().unwrap().map(|entry| {
        let (key, value) = entry.unwrap();
        (key.value().to_owned(), value.value().to_owned())
    });
    lines.filter(|(key, _)| key != "begun").collect()
}

fn raw_records(file: &Path) -> Vec<(String, String, Vec<u8>)> {
    let database = Database::create(file).unwrap();
    let table = database.begin_read().unwrap().open_table(RECORDS).unwrap();
    let records = table.iter().unwrap().map(|entry| {
        let (record, value) = entry.unwrap();
        let (kind, key) = record.value();
        (kind.to_owned(), key.to_owned(), value.value().to_vec())
    });
    records.collect()
}

#[test]
fn tables_and_header_fields_are_named_as_before_when_a_store_is_created() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = RecordStore::open(folder.path(), &owner()).unwrap();
    store.write(&batch()).unwrap();
    drop(store);

    let file = folder.path().join(STORE_FILE);
    assert_lines(
        &fixture_path(env!("CARGO_MANIFEST_DIR"), "about.txt"),
        &header_fields(&file),
    );
    let written: Vec<_> = batch()
        .changes()
        .filter_map(|(record, value)| {
            Some((record.kind.clone(), record.key.clone(), value?.to_vec()))
        })
        .collect();
    assert_eq!(raw_records(&file), written);
}

/// Opens the store of a process beneath `directory`, writes a batch and shuts down cleanly.
fn run_to_clean_shutdown(directory: &Path) -> LoadedRecords {
    let (store, loaded) = DurableStore::open(directory, &owner()).unwrap();
    let disk = DurableStore::start(store).unwrap();
    disk.write(batch());
    disk.shut_down();
    loaded
}

#[test]
fn clean_shutdown_of_an_earlier_version_is_recognized_when_its_store_is_opened() {
    let path = format!("{}/{STORE_FILE}", owner().name);
    let fixture = fixture_path(env!("CARGO_MANIFEST_DIR"), "ended.redb.lz4");
    if is_update_requested() {
        let directory = tempfile::tempdir().unwrap();
        run_to_clean_shutdown(directory.path());
        save_file(&directory.path().join(&path), &fixture);
    }

    let directory = restore_file(&fixture, &path);
    let (store, loaded) = DurableStore::open(directory.path(), &owner()).unwrap();
    drop(store);

    assert_eq!(loaded.previous_shutdown(), PreviousShutdown::Clean);
    let marker = RecordKey::new("end", "");
    assert!(loaded.records.contains_key(&marker));
    assert_eq!(loaded.records[&marker], b"in order");
    assert_eq!(loaded.records.len(), batch().len());
}

#[test]
fn clean_shutdown_marker_is_the_same_as_in_earlier_versions() {
    let directory = tempfile::tempdir().unwrap();
    assert_eq!(
        run_to_clean_shutdown(directory.path()).previous_shutdown(),
        PreviousShutdown::FirstStart
    );

    let written = raw_records(&directory.path().join(owner().name).join(STORE_FILE));

    let marker = ("end".to_owned(), String::new(), b"in order".to_vec());
    assert!(written.contains(&marker), "{written:?}");
    let lines = read_lines(&fixture_path(
        env!("CARGO_MANIFEST_DIR"),
        "records.records.txt",
    ));
    assert_eq!(written.len(), lines.len() + 1);
}
