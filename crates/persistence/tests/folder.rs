//! Each way in which a folder can be wrong is an error of its own that says what to do, and drops nothing.

use std::fs;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::time::Duration;
use tidespur_persistence::{
    Batch, Identity, Outbox, PersistenceError, RecordStore, STORE_FILE, Writer, export,
};

fn who(name: &str, cluster: &str) -> Identity {
    Identity {
        role: "edge".into(),
        name: name.into(),
        cluster: cluster.into(),
    }
}

fn filled(folder: &Path, records: usize) {
    let (mut memory, _) = RecordStore::open(folder, &who("a", "c")).unwrap();
    let mut batch = Batch::default();
    for i in 0..records {
        batch
            .put("object", &format!("{i:05}"), vec![7; 500])
            .unwrap();
    }
    memory.write(&batch).unwrap();
}

fn opened(folder: &Path) -> PersistenceError {
    RecordStore::open(folder, &who("a", "c"))
        .map(|_| ())
        .expect_err("it must not open")
}

#[test]
fn what_was_written_comes_back_and_the_turn_rises() {
    let folder = tempfile::tempdir().unwrap();
    filled(folder.path(), 10);
    for turn in 2..5 {
        let (_, back) = RecordStore::open(folder.path(), &who("a", "c")).unwrap();
        assert_eq!(
            (back.generation, back.records_of_kind("object").count()),
            (turn, 10)
        );
    }
}

#[test]
fn a_folder_of_another_name_cluster_or_version_or_in_use_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    filled(folder.path(), 1);
    let open = |who: &Identity| RecordStore::open(folder.path(), who).map(|_| ());
    assert!(matches!(
        open(&who("b", "c")),
        Err(PersistenceError::WrongOwner { .. })
    ));
    assert!(matches!(
        open(&who("a", "d")),
        Err(PersistenceError::WrongCluster { .. })
    ));
    let planner = Identity {
        role: "planner".into(),
        ..who("a", "c")
    };
    assert!(matches!(
        open(&planner),
        Err(PersistenceError::WrongOwner { .. })
    ));
    let held = RecordStore::open(folder.path(), &who("a", "c")).unwrap();
    assert!(matches!(
        opened(folder.path()),
        PersistenceError::InUse { .. }
    ));
    drop(held);
    // A newer program's file.
    let file = redb::Database::create(folder.path().join(STORE_FILE)).unwrap();
    let write = file.begin_write().unwrap();
    let about = redb::TableDefinition::<&str, &str>::new("about");
    write
        .open_table(about)
        .unwrap()
        .insert("format", "9")
        .unwrap();
    write.commit().unwrap();
    drop(file);
    assert!(matches!(
        opened(folder.path()),
        PersistenceError::NewerFormat {
            found: 9,
            known: 1,
            ..
        }
    ));
    fs::write(folder.path().join(STORE_FILE), b"something else altogether").unwrap();
    assert!(matches!(
        opened(folder.path()),
        PersistenceError::NotAStore { .. }
    ));
    // A file where the folder should be.
    fs::write(folder.path().join("plain"), b"").unwrap();
    assert!(matches!(
        opened(&folder.path().join("plain")),
        PersistenceError::Folder { .. }
    ));
}

#[test]
fn a_bad_page_and_a_cut_tail_are_told_apart_and_what_can_be_read_is_exported() {
    let folder = tempfile::tempdir().unwrap();
    filled(folder.path(), 2_000);
    let path = folder.path().join(STORE_FILE);
    let whole = fs::read(&path).unwrap();
    // Every page in turn is spoilt: it is found, or it held nothing that anyone knew.
    let (mut found, mut exported) = (0, 0);
    for page in (0..whole.len() / 4096).step_by(3) {
        fs::write(&path, &whole).unwrap();
        let file = fs::File::options().write(true).open(&path).unwrap();
        file.write_all_at(&[0xa5; 64], page as u64 * 4096 + 1_000)
            .unwrap();
        drop(file);
        match RecordStore::open(folder.path(), &who("a", "c")) {
            Ok((_, back)) => assert_eq!(
                back.records_of_kind("object").count(),
                2_000,
                "page {page} took records with it"
            ),
            Err(PersistenceError::Corrupted { .. }) => {
                found += 1;
                if let Ok(export) = export(folder.path()) {
                    exported += usize::from(export.records.len() > 200);
                }
            }
            Err(other) => panic!("page {page}: {other}"),
        }
    }
    assert!(
        found > 10 && exported > 0,
        "{found} found, {exported} exported"
    );
    for part in [4, 2] {
        fs::write(&path, &whole[..whole.len() * (part - 1) / part]).unwrap();
        assert!(
            matches!(opened(folder.path()), PersistenceError::Truncated { .. }),
            "{}",
            opened(folder.path())
        );
    }
}

#[test]
fn each_error_says_what_an_operator_can_do() {
    let file = || "/var/lib/x".into();
    let why = || std::io::Error::other("why");
    let (found, wanted) = ("edge a".to_owned(), "edge b".to_owned());
    let all = [
        PersistenceError::Folder {
            folder: file(),
            why: why(),
        },
        PersistenceError::InUse { file: file() },
        PersistenceError::WrongOwner {
            file: file(),
            found: found.clone(),
            wanted: wanted.clone(),
        },
        PersistenceError::WrongCluster {
            file: file(),
            found,
            wanted,
        },
        PersistenceError::NewerFormat {
            file: file(),
            found: 2,
            known: 1,
        },
        PersistenceError::NotAStore { file: file() },
        PersistenceError::Truncated {
            file: file(),
            why: "why".into(),
        },
        PersistenceError::Corrupted {
            file: file(),
            why: "why".into(),
        },
        PersistenceError::DiskFull { file: file() },
        PersistenceError::Io {
            file: file(),
            why: "why".into(),
        },
        PersistenceError::RecordTooLarge {
            record: "object x".into(),
            bytes: 9,
        },
    ];
    let verbs = [
        "make",
        "end that",
        "start",
        "name another",
        "move it away",
        "look at",
        "restore",
        "goes on",
    ];
    for error in all {
        let text = error.to_string();
        assert!(verbs.iter().any(|verb| text.contains(verb)), "{text}");
        assert!(
            text.contains("/var/lib/x") || text.contains("object x"),
            "{text}"
        );
    }
    let mut batch = Batch::default();
    let large = batch.put(
        "object",
        "x",
        vec![0; tidespur_persistence::MAX_RECORD_BYTES],
    );
    assert!(matches!(large, Err(PersistenceError::RecordTooLarge { .. })) && batch.is_empty());
}

#[test]
fn writing_over_and_over_does_not_grow_the_file_without_bound() {
    let folder = tempfile::tempdir().unwrap();
    let (mut memory, _) = RecordStore::open(folder.path(), &who("a", "c")).unwrap();
    let size = || fs::metadata(folder.path().join(STORE_FILE)).unwrap().len();
    let mut sizes = vec![];
    for round in 0..120_u32 {
        let mut batch = Batch::default();
        (0..200).for_each(|i| {
            batch
                .put("object", &i.to_string(), vec![round as u8; 400])
                .unwrap()
        });
        memory.write(&batch).unwrap();
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
fn words_wait_for_their_batch_and_keep_their_order() {
    let folder = tempfile::tempdir().unwrap();
    let (memory, _) = RecordStore::open(folder.path(), &who("a", "c")).unwrap();
    let (send, heard) = std::sync::mpsc::channel();
    let writer =
        Writer::start(memory, move |progress| send.send(progress.synced).unwrap()).unwrap();
    let mut outbox = Outbox::default();
    let mut said = vec![];
    for i in 0..50_u32 {
        let mut batch = Batch::default();
        batch.put("object", &i.to_string(), vec![1]).unwrap();
        outbox.hold(writer.write(batch), i);
    }
    assert!(outbox.release(0).is_empty());
    while said.len() < 50 {
        said.extend(outbox.release(heard.recv().unwrap()));
    }
    assert_eq!(said, (0..50).collect::<Vec<_>>());
    assert!(writer.flush(Duration::from_secs(30)));
    drop(writer);
    assert_eq!(
        RecordStore::open(folder.path(), &who("a", "c"))
            .unwrap()
            .1
            .records_of_kind("object")
            .count(),
        50
    );
}
