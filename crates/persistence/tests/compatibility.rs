//! A data folder that an earlier version wrote is opened, and a new one has the same tables and notes in it.

use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use std::path::Path;
use tidespur_fixtures::{
    assert_lines, assert_stored, fixture_path, is_update_requested, read_lines, restore_file,
    save_file,
};
use tidespur_persistence::{
    Batch, Disk, Identity, LoadedRecords, PreviousShutdown, RecordStore, STORE_FILE,
};

const ABOUT: TableDefinition<&str, &str> = TableDefinition::new("about");
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
fn records_are_whole_when_loaded_from_an_earlier_versions_folder() {
    let stored = assert_stored(env!("CARGO_MANIFEST_DIR"), "records", &owner(), &batch());

    assert_eq!(stored.loaded.generation, 2);
    assert_eq!(stored.loaded.incarnation(), stored.loaded.created_at + 2);
    assert_eq!(stored.loaded.previous_shutdown(), PreviousShutdown::Unclean);
}

/// What a file says of itself, but for when it was begun.
fn about(file: &Path) -> Vec<(String, String)> {
    let database = Database::create(file).unwrap();
    let table = database.begin_read().unwrap().open_table(ABOUT).unwrap();
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
fn tables_and_notes_are_named_as_before_when_a_folder_is_begun() {
    let folder = tempfile::tempdir().unwrap();
    let (mut memory, _) = RecordStore::open(folder.path(), &owner()).unwrap();
    memory.write(&batch()).unwrap();
    drop(memory);

    let file = folder.path().join(STORE_FILE);
    assert_lines(
        &fixture_path(env!("CARGO_MANIFEST_DIR"), "about.txt"),
        &about(&file),
    );
    let written: Vec<_> = batch()
        .changes()
        .filter_map(|((kind, key), value)| Some((kind.clone(), key.clone(), value?.to_vec())))
        .collect();
    assert_eq!(raw_records(&file), written);
}

/// Runs a process that ends in order, in a folder of its name beneath `all`.
fn run_to_its_end(all: &Path) -> LoadedRecords {
    let (memory, recalled) = Disk::open(all, &owner()).unwrap();
    let disk = Disk::start(memory).unwrap();
    disk.write(batch());
    disk.finish();
    recalled
}

#[test]
fn an_earlier_versions_end_in_order_is_known_when_its_folder_is_loaded() {
    let path = format!("{}/{STORE_FILE}", owner().name);
    let fixture = fixture_path(env!("CARGO_MANIFEST_DIR"), "ended.redb.lz4");
    if is_update_requested() {
        let all = tempfile::tempdir().unwrap();
        run_to_its_end(all.path());
        save_file(&all.path().join(&path), &fixture);
    }

    let all = restore_file(&fixture, &path);
    let (memory, recalled) = Disk::open(all.path(), &owner()).unwrap();
    drop(memory);

    assert_eq!(recalled.previous_shutdown(), PreviousShutdown::Clean);
    let end = (("end".to_owned(), String::new()), b"in order".to_vec());
    assert!(recalled.records.contains_key(&end.0));
    assert_eq!(recalled.records[&end.0], end.1);
    assert_eq!(recalled.records.len(), batch().len());
}

#[test]
fn an_end_in_order_is_written_as_before_when_a_process_ends() {
    let all = tempfile::tempdir().unwrap();
    assert_eq!(
        run_to_its_end(all.path()).previous_shutdown(),
        PreviousShutdown::FirstStart
    );

    let written = raw_records(&all.path().join(owner().name).join(STORE_FILE));

    let end = ("end".to_owned(), String::new(), b"in order".to_vec());
    assert!(written.contains(&end), "{written:?}");
    let lines = read_lines(&fixture_path(
        env!("CARGO_MANIFEST_DIR"),
        "records.records.txt",
    ));
    assert_eq!(written.len(), lines.len() + 1);
}
