//! Compatibility of a planner's data directory: records that an earlier version wrote are read completely, and this
//! version writes the same records.

use std::collections::BTreeMap;
use tidespur_coordination::Fence;
use tidespur_fixtures::{StoredFolder, assert_stored};
use tidespur_persistence::{Batch, Identity, LoadedRecords};
use tidespur_planner::attempts::{AttemptRecord, Attempts};
use tidespur_planner::pod::PodName;

const ONE_NODE: &str = "6d0f0000-0001";
const TWO_NODES: &str = "6d0f0000-0002";
const CLEARED: &str = "6d0f0000-0003";

fn written_batch() -> Batch {
    let mut attempts = Attempts::load(&LoadedRecords::default()).unwrap();
    attempts.record_offer(
        ONE_NODE,
        PodName::new("default", "job-abcde"),
        "node-0",
        1_000_000_000.25,
    );
    attempts.record_offer(TWO_NODES, PodName::new("team-a", "pod-b"), "node-0", 2.0);
    attempts.record_offer(TWO_NODES, PodName::new("team-a", "pod-b"), "node-1", 3.5);
    attempts.record_offer(CLEARED, PodName::new("default", "pod-c"), "node-1", 4.0);
    attempts.clear(CLEARED, "node-1");
    let mut fence = Fence::default();
    fence.admit("fleet", 70_000).unwrap();
    let mut batch = attempts.take_batch();
    batch.extend(fence.take_batch());
    batch
}

fn stored_folder() -> StoredFolder {
    let owner = Identity {
        role: "planner".into(),
        name: "planner-1".into(),
        cluster: "altmuehlfeld".into(),
    };
    assert_stored(
        env!("CARGO_MANIFEST_DIR"),
        "planner",
        &owner,
        &written_batch(),
    )
}

fn attempt_record(namespace: &str, name: &str, deadlines: &[(&str, f64)]) -> AttemptRecord {
    let deadlines = deadlines
        .iter()
        .map(|(node, deadline)| ((*node).to_owned(), *deadline));
    AttemptRecord {
        pod: PodName::new(namespace, name),
        offer_deadlines: deadlines.collect(),
    }
}

#[test]
fn attempt_records_of_an_earlier_version_are_read_completely() {
    let stored = stored_folder();

    let read: BTreeMap<&str, AttemptRecord> = stored
        .loaded
        .records_of_kind("attempt")
        .map(|(uid, bytes)| (uid, serde_json::from_slice(bytes).unwrap()))
        .collect();

    let expected = BTreeMap::from([
        (
            ONE_NODE,
            attempt_record("default", "job-abcde", &[("node-0", 1_000_000_000.25)]),
        ),
        (
            TWO_NODES,
            attempt_record("team-a", "pod-b", &[("node-0", 2.0), ("node-1", 3.5)]),
        ),
    ]);
    assert_eq!(read, expected);
}

#[test]
fn attempts_and_fence_of_an_earlier_version_are_restored() {
    let stored = stored_folder();

    let mut attempts = Attempts::load(&stored.loaded).unwrap();
    let mut fence = Fence::load(&stored.loaded);

    assert_eq!(attempts.len(), 2);
    assert!(attempts.may_run_on_unreported_node(ONE_NODE, |node| node != "node-0"));
    assert!(!attempts.may_run_on_unreported_node(ONE_NODE, |node| node == "node-0"));
    assert!(attempts.may_run_on_unreported_node(TWO_NODES, |node| node == "node-0"));
    assert!(attempts.may_run_on_unreported_node(TWO_NODES, |node| node == "node-1"));
    assert!(!attempts.may_run_on_unreported_node(CLEARED, |_| false));
    assert_eq!(fence.admit("fleet", 69_999).unwrap_err().newest, 70_000);
    attempts.clear_node("node-0");
    let changes: Vec<(String, Option<Vec<u8>>)> = attempts
        .take_batch()
        .changes()
        .map(|(record, value)| {
            let name = format!("{} {}", record.kind, record.key);
            (name, value.map(<[u8]>::to_vec))
        })
        .collect();
    let remaining_record = br#"{"name":["team-a","pod-b"],"at":{"node-1":3.5}}"#.to_vec();
    let expected = vec![
        (format!("attempt {ONE_NODE}"), None),
        (format!("attempt {TWO_NODES}"), Some(remaining_record)),
    ];
    assert_eq!(changes, expected);
}
