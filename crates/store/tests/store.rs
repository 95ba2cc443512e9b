//! Versions, conflicts, history and pages.

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
fn a_writer_that_saw_an_older_version_is_told_so() {
    let mut store = store(10);
    let first = store.create(PODS, pod("a"), 0.0).unwrap();
    let mut changed = (*first).clone();
    changed["metadata"]["labels"] = json!({"x": "1"});
    let expect = Precondition {
        version: Some(meta::version(&first)),
        ..Precondition::default()
    };
    store.update(PODS, changed.clone(), &expect).unwrap();
    changed["metadata"]["labels"] = json!({"x": "2"});
    assert_eq!(store.update(PODS, changed, &expect).unwrap_err().code, 409);
    assert_eq!(
        store.create(PODS, pod("a"), 0.0).unwrap_err().reason,
        "AlreadyExists"
    );
    let other = Precondition {
        uid: Some("x".into()),
        ..Precondition::default()
    };
    assert_eq!(
        store
            .delete(PODS, "default", "a", &other)
            .unwrap_err()
            .reason,
        "Conflict"
    );
}

#[test]
fn a_cursor_behind_the_history_is_told_and_holds_nothing() {
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
        "the first change is gone"
    );
    store.poll(&mut second, 9, &mut seen).unwrap();
    assert_eq!(seen.len(), 5, "the other goes on");
}

#[test]
fn changes_of_another_resource_do_not_push_a_cursor_out() {
    let mut store = store(2);
    let mut cursor = store.watch(JOBS, store.version()).unwrap();
    for i in 0..9 {
        store.create(PODS, pod(&format!("p{i}")), 0.0).unwrap();
    }
    assert!(store.poll(&mut cursor, 9, &mut vec![]).is_ok());
    assert_eq!(cursor.version(), store.version());
}

#[test]
fn pages_show_one_moment_and_end_with_410_when_it_is_forgotten() {
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
    /// Whatever is done in whatever order, a watcher that reads in pieces ends with what a list shows.
    #[test]
    fn a_watch_replays_to_the_list(steps in proptest::collection::vec((0u8..3, 0u8..6, 1usize..5), 1..60)) {
        let mut store = store(1000);
        let mut cursor = store.watch(PODS, store.version()).unwrap();
        let mut seen: BTreeMap<String, u64> = BTreeMap::new();
        let mut follow = |store: &Store, most: usize| {
            let mut changes = vec![];
            store.poll(&mut cursor, most, &mut changes).unwrap();
            for change in changes {
                let name = meta::name(&change.object).to_owned();
                match change.kind {
                    ChangeKind::Deleted => drop(seen.remove(&name)),
                    _ => drop(seen.insert(name, change.version)),
                }
            }
            seen.clone()
        };
        for (step, name, most) in steps {
            let name = format!("p{name}");
            match step {
                0 => drop(store.create(PODS, pod(&name), 0.0)),
                1 => {
                    let mut changed = pod(&name);
                    changed["spec"]["nodeName"] = json!(format!("n{most}"));
                    drop(store.update(PODS, changed, &Precondition::default()));
                }
                _ => drop(store.delete(PODS, "default", &name, &Precondition::default())),
            }
            follow(&store, most);
        }
        let seen = follow(&store, 1000);
        let listed: BTreeMap<String, u64> =
            store.iter(PODS, "").map(|o| (meta::name(o).to_owned(), meta::version(o))).collect();
        prop_assert_eq!(seen, listed);
    }
}
