//! Opening a store: each defect of the folder or file has its own error and loses no records. Also growth of the file,
//! and messages that wait for a sync.

use std::fs;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::time::Duration;
use tidespur_persistence::{
    Batch, Identity, Outbox, PersistenceError, RecordStore, STORE_FILE, Writer, export,
};

fn identity(name: &str, cluster: &str) -> Identity {
    Identity {
        role: "edge".into(),
        name: name.into(),
        cluster: cluster.into(),
    }
}

fn write_records(folder: &Path, count: usize) {
    let (mut store, _) = RecordStore::open(folder, &identity("a", "c")).unwrap();
    let mut batch = Batch::default();
    for i in 0..count {
        batch
            .put("object", &format!("{i:05}"), vec![7; 500])
            .unwrap();
    }
    store.write(&batch).unwrap();
}

fn open_error(folder: &Path) -> PersistenceError {
    RecordStore::open(folder, &identity("a", "c"))
        .map(|_| ())
        .expect_err("opening must fail")
}

#[test]
fn records_are_loaded_and_the_generation_rises_when_a_store_is_opened_again() {
    let folder = tempfile::tempdir().unwrap();
    write_records(folder.path(), 10);
    for generation in 2..5 {
        let (_, loaded) = RecordStore::open(folder.path(), &identity("a", "c")).unwrap();
        assert_eq!(
            (loaded.generation, loaded.records_of_kind("object").count()),
            (generation, 10)
        );
    }
}

#[test]
fn opening_fails_when_the_store_is_of_another_name_or_cluster_or_in_use() {
    let folder = tempfile::tempdir().unwrap();
    write_records(folder.path(), 1);
    let open = |identity: &Identity| RecordStore::open(folder.path(), identity).map(|_| ());
    assert!(matches!(
        open(&identity("b", "c")),
        Err(PersistenceError::WrongOwner { .. })
    ));
    assert!(matches!(
        open(&identity("a", "d")),
        Err(PersistenceError::WrongCluster { .. })
    ));
    let planner = Identity {
        role: "planner".into(),
        ..identity("a", "c")
    };
    assert!(matches!(
        open(&planner),
        Err(PersistenceError::WrongOwner { .. })
    ));
    let open_store = RecordStore::open(folder.path(), &identity("a", "c")).unwrap();
    assert!(matches!(
        open_error(folder.path()),
        PersistenceError::InUse { .. }
    ));
    drop(open_store);
}

#[test]
fn opening_fails_when_a_newer_program_wrote_the_store() {
    let folder = tempfile::tempdir().unwrap();
    write_records(folder.path(), 1);
    let file = redb::Database::create(folder.path().join(STORE_FILE)).unwrap();
    let write = file.begin_write().unwrap();
    let header = redb::TableDefinition::<&str, &str>::new("about");
    write
        .open_table(header)
        .unwrap()
        .insert("format", "9")
        .unwrap();
    write.commit().unwrap();
    drop(file);
    assert!(matches!(
        open_error(folder.path()),
        PersistenceError::NewerFormat {
            found: 9,
            known: 1,
            ..
        }
    ));
}

#[test]
fn opening_fails_when_the_file_is_not_a_store_or_the_folder_is_a_file() {
    let folder = tempfile::tempdir().unwrap();
    fs::write(folder.path().join(STORE_FILE), b"something else altogether").unwrap();
    assert!(matches!(
        open_error(folder.path()),
        PersistenceError::NotAStore { .. }
    ));
    // A regular file at the path of the folder.
    fs::write(folder.path().join("plain"), b"").unwrap();
    assert!(matches!(
        open_error(&folder.path().join("plain")),
        PersistenceError::Folder { .. }
    ));
}

#[test]
fn damaged_pages_and_truncation_have_different_errors_and_readable_records_are_exported() {
    let folder = tempfile::tempdir().unwrap();
    write_records(folder.path(), 2_000);
    let path = folder.path().join(STORE_FILE);
    let intact = fs::read(&path).unwrap();
    // Every third page is damaged in turn. Either opening reports the damage, or all records can be read.
    let (mut detected, mut exported) = (0, 0);
    for page in (0..intact.len() / 4096).step_by(3) {
        fs::write(&path, &intact).unwrap();
        let file = fs::File::options().write(true).open(&path).unwrap();
        file.write_all_at(&[0xa5; 64], page as u64 * 4096 + 1_000)
            .unwrap();
        drop(file);
        match RecordStore::open(folder.path(), &identity("a", "c")) {
            Ok((_, loaded)) => assert_eq!(
                loaded.records_of_kind("object").count(),
                2_000,
                "records were lost with page {page}"
            ),
            Err(PersistenceError::Corrupted { .. }) => {
                detected += 1;
                if let Ok(export) = export(folder.path()) {
                    exported += usize::from(export.records.len() > 200);
                }
            }
            Err(other) => panic!("page {page}: {other}"),
        }
    }
    assert!(
        detected > 10 && exported > 0,
        "{detected} detected, {exported} exported"
    );
    for kept_bytes in [intact.len() * 3 / 4, intact.len() / 2] {
        fs::write(&path, &intact[..kept_bytes]).unwrap();
        assert!(
            matches!(
                open_error(folder.path()),
                PersistenceError::Truncated { .. }
            ),
            "{}",
            open_error(folder.path())
        );
    }
}

#[test]
fn file_size_is_bounded_when_records_are_overwritten_repeatedly() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = RecordStore::open(folder.path(), &identity("a", "c")).unwrap();
    let size = || fs::metadata(folder.path().join(STORE_FILE)).unwrap().len();
    let mut sizes = vec![];
    for round in 0..120_u32 {
        let mut batch = Batch::default();
        (0..200).for_each(|i| {
            batch
                .put("object", &i.to_string(), vec![round as u8; 400])
                .unwrap()
        });
        store.write(&batch).unwrap();
        sizes.push(size());
    }
    assert!(
        sizes[119] <= 2 * sizes[20],
        "{} after 20 rounds, {} after 120",
        sizes[20],
        sizes[119]
    );
}

#[test]
fn messages_wait_for_the_sync_of_their_batch_and_keep_their_order() {
    let folder = tempfile::tempdir().unwrap();
    let (store, _) = RecordStore::open(folder.path(), &identity("a", "c")).unwrap();
    let (progress_sender, progress) = std::sync::mpsc::channel();
    let writer = Writer::start(store, move |progress| {
        progress_sender.send(progress.synced).unwrap()
    })
    .unwrap();
    let mut outbox = Outbox::default();
    let mut released = vec![];
    for i in 0..50_u32 {
        let mut batch = Batch::default();
        batch.put("object", &i.to_string(), vec![1]).unwrap();
        outbox.hold(writer.write(batch), i);
    }
    assert!(outbox.release(0).is_empty());
    while released.len() < 50 {
        released.extend(outbox.release(progress.recv().unwrap()));
    }
    assert_eq!(released, (0..50).collect::<Vec<_>>());
    assert!(writer.flush(Duration::from_secs(30)));
    drop(writer);
    assert_eq!(
        RecordStore::open(folder.path(), &identity("a", "c"))
            .unwrap()
            .1
            .records_of_kind("object")
            .count(),
        50
    );
}
