//! Error messages, and the error for a record that is too large.

use tidespur_persistence::{Batch, PersistenceError};

fn all_errors() -> [PersistenceError; 11] {
    let file = || "/var/lib/x".into();
    let io_error = || std::io::Error::other("reason");
    let (found, wanted) = ("edge a".to_owned(), "edge b".to_owned());
    [
        PersistenceError::Folder {
            folder: file(),
            reason: io_error(),
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
            reason: "reason".into(),
        },
        PersistenceError::Corrupted {
            file: file(),
            reason: "reason".into(),
        },
        PersistenceError::DiskFull { file: file() },
        PersistenceError::Io {
            file: file(),
            reason: "reason".into(),
        },
        PersistenceError::RecordTooLarge {
            record: "object x".into(),
            bytes: 9,
        },
    ]
}

#[test]
fn each_error_names_its_file_or_record_and_says_what_an_operator_can_do() {
    let advice = [
        "make",
        "end that",
        "start",
        "name another",
        "move it away",
        "look at",
        "restore",
        "goes on",
    ];
    for error in all_errors() {
        let text = error.to_string();
        assert!(advice.iter().any(|words| text.contains(words)), "{text}");
        assert!(
            text.contains("/var/lib/x") || text.contains("object x"),
            "{text}"
        );
    }
}

#[test]
fn batch_is_unchanged_when_a_record_is_too_large() {
    let mut batch = Batch::default();
    let result = batch.put(
        "object",
        "x",
        vec![0; tidespur_persistence::MAX_RECORD_BYTES],
    );
    assert!(matches!(result, Err(PersistenceError::RecordTooLarge { .. })) && batch.is_empty());
}
