//! Optimistic concurrency, history, watches and paged lists of the store.

use proptest::prelude::*;
use serde_json::json;
use std::collections::BTreeMap;
use tidespur_api::resource::{JOBS, PODS};
use tidespur_api::{Object, meta};
use tidespur_store::*;

fn pod(name: &str) -> Object {
    json!({"kind": "Pod", "apiVersion": "v1", "metadata": {"name": name, "namespace": "default"}, "spec": {}})
}

fn store(history: usize) -> Store {
    Store::new(
        Limits {
            max_history: history,
            max_snapshots: 2,
            max_objects: 1000,
        },
        1,
        100,
    )
}

#[test]
fn writes_with_an_outdated_version_or_wrong_uid_conflict() {
    let mut store = store(10);
    let first = store.create(PODS, pod("a"), 0.0).unwrap();
    let mut changed = (*first).clone();
    changed["metadata"]["labels"] = json!({"x": "1"});
    let precondition = Precondition {
        version: Some(meta::version(&first)),
        ..Precondition::default()
    };
    store.update(PODS, changed.clone(), &precondition).unwrap();
    changed["metadata"]["labels"] = json!({"x": "2"});
    assert_eq!(
        store.update(PODS, changed, &precondition).unwrap_err().code,
        409
    );
    assert_eq!(
        store.create(PODS, pod("a"), 0.0).unwrap_err().reason,
        "AlreadyExists"
    );
    let wrong_uid = Precondition {
        uid: Some("x".into()),
        ..Precondition::default()
    };
    assert_eq!(
        store
            .delete(PODS, "default", "a", &wrong_uid)
            .unwrap_err()
            .reason,
        "Conflict"
    );
}

#[test]
fn cursor_behind_the_history_expires() {
    let mut store = store(4);
    let mut cursor = store.watch(PODS, store.version()).unwrap();
    for i in 0..4 {
        store.create(PODS, pod(&format!("p{i}")), 0.0).unwrap();
    }
    let mut seen = vec![];
    let mut second = cursor.clone();
    store.poll(&mut second, 2, &mut seen).unwrap();
    assert_eq!(seen.len(), 2);
    store.create(PODS, pod("p4"), 0.0).unwrap();
    assert!(
        store.poll(&mut cursor, 9, &mut seen).is_err(),
        "the first change was compacted"
    );
    store.poll(&mut second, 9, &mut seen).unwrap();
    assert_eq!(seen.len(), 5, "the other cursor still reads");
}

#[test]
fn changes_of_another_resource_do_not_expire_a_cursor() {
    let mut store = store(2);
    let mut cursor = store.watch(JOBS, store.version()).unwrap();
    for i in 0..9 {
        store.create(PODS, pod(&format!("p{i}")), 0.0).unwrap();
    }
    assert!(store.poll(&mut cursor, 9, &mut vec![]).is_ok());
    assert_eq!(cursor.version(), store.version());
}

#[test]
fn pages_show_one_version_and_fail_with_410_once_its_snapshot_is_dropped() {
    let mut store = store(100);
    for i in 0..5 {
        store.create(PODS, pod(&format!("p{i}")), 0.0).unwrap();
    }
    let mut request = PageRequest {
        limit: 2,
        ..PageRequest::default()
    };
    let first = store.list(PODS, &request).unwrap();
    store
        .delete(PODS, "default", "p3", &Precondition::default())
        .unwrap();
    request.continue_token = first.next.map(|n| n.0);
    let second = store.list(PODS, &request).unwrap();
    let names: Vec<&str> = second.items.iter().map(|o| meta::name(o)).collect();
    assert_eq!(
        names,
        ["p2", "p3"],
        "the deletion came after the first page"
    );
    for i in 0..3 {
        store.create(PODS, pod(&format!("q{i}")), 0.0).unwrap();
        store
            .list(
                PODS,
                &PageRequest {
                    limit: 1,
                    ..PageRequest::default()
                },
            )
            .unwrap();
    }
    assert_eq!(store.list(PODS, &request).unwrap_err().code, 410);
}

proptest! {
    /// For any sequence of writes, a watch that reads in batches ends in the state that a list shows.
    #[test]
    fn watch_converges_to_the_list(operations in proptest::collection::vec((0u8..3, 0u8..6, 1usize..5), 1..60)) {
        let mut store = store(1000);
        let mut cursor = store.watch(PODS, store.version()).unwrap();
        let mut seen: BTreeMap<String, u64> = BTreeMap::new();
        let mut read_changes = |store: &Store, max: usize| {
            let mut changes = vec![];
            store.poll(&mut cursor, max, &mut changes).unwrap();
            for change in changes {
                let name = meta::name(&change.object).to_owned();
                match change.kind {
                    ChangeKind::Deleted => drop(seen.remove(&name)),
                    _ => drop(seen.insert(name, change.version)),
                }
            }
            seen.clone()
        };
        for (operation, name, batch) in operations {
            let name = format!("p{name}");
            match operation {
                0 => drop(store.create(PODS, pod(&name), 0.0)),
                1 => {
                    let mut changed = pod(&name);
                    changed["spec"]["nodeName"] = json!(format!("n{batch}"));
                    drop(store.update(PODS, changed, &Precondition::default()));
                }
                _ => drop(store.delete(PODS, "default", &name, &Precondition::default())),
            }
            read_changes(&store, batch);
        }
        let seen = read_changes(&store, 1000);
        let listed: BTreeMap<String, u64> =
            store.iter(PODS, "").map(|o| (meta::name(o).to_owned(), meta::version(o))).collect();
        prop_assert_eq!(seen, listed);
    }
}
