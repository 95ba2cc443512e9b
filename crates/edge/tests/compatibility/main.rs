//! Compatibility of the data directory of an edge: this version restores all records that an earlier version wrote, and
//! writes the same records.

mod edge;

use edge::{Edge, Planner};
use serde_json::json;
use std::collections::BTreeMap;
use tidespur_api::resource::{JOBS, NAMESPACES, PODS, RESOURCES};
use tidespur_api::{Object, meta};
use tidespur_edge::core::Input;
use tidespur_edge::restore::{RestoredCounts, reserved_version};
use tidespur_fixtures::{StoredFolder, assert_lines, assert_stored, fixture_path};
use tidespur_persistence::Identity;

const PLANNER: u64 = 1;
/// Steps in which the planner answers.
const ANSWERED_STEPS: usize = 10;
/// Steps after these, in which it does not answer.
const UNANSWERED_STEPS: usize = 3;
/// All kinds of records that an edge writes. The record of a clean shutdown is written by the disk and not one of them.
const KINDS: [&str; 6] = ["job", "object", "open", "slot", "stray", "version"];

/// Runs an edge until it has records of each kind: Jobs with Pods that run, that may run and that were rejected, and
/// Pods without a Job that have ended, that may have been offered to nodes, and that have not been offered yet.
fn run_edge() -> Edge {
    let mut edge = Edge::new();
    let namespace = json!({"kind": "Namespace", "metadata": {"name": "default"}, "spec": {}, "status": {"phase": "Active"}});
    edge.store.create(NAMESPACES, namespace, edge.now).unwrap();
    edge.create_job("web", "termin-web");
    edge.create_job("guarded", "slot-abgleich");
    ["done", "stray", "offered"]
        .iter()
        .for_each(|name| edge.create_pod(name));
    let mut planner = Planner::default();
    let mut inputs = vec![Input::PlannerConnected(PLANNER)];
    for _ in 0..ANSWERED_STEPS {
        let sent = edge.step(inputs);
        let answers = sent.into_iter().flat_map(|message| planner.answer(message));
        inputs = answers
            .map(|answer| Input::MessageReceived {
                planner: PLANNER,
                message: answer,
            })
            .collect();
    }
    edge.step(inputs);
    edge.create_pod("unanswered");
    for _ in 0..UNANSWERED_STEPS {
        edge.step(vec![Input::StoreChanged]);
    }
    edge
}

fn stored_edge() -> StoredFolder {
    let owner = Identity {
        role: "edge".into(),
        name: "edge-1".into(),
        cluster: "altmuehlfeld".into(),
    };
    assert_stored(
        env!("CARGO_MANIFEST_DIR"),
        "edge",
        &owner,
        &run_edge().batch,
    )
}

#[test]
fn records_of_each_kind_are_loaded_from_the_data_directory_of_an_earlier_version() {
    let stored = stored_edge();

    for kind in KINDS {
        assert!(
            stored.loaded.records_of_kind(kind).next().is_some(),
            "no record of the kind {kind}"
        );
    }
    let is_known = |kind: &str| KINDS.contains(&kind);
    let mut records = stored.loaded.records.keys();
    assert!(records.all(|record| is_known(&record.kind)));
    let open_requests: Vec<String> = stored
        .loaded
        .records_of_kind("open")
        .map(|(_, value)| String::from_utf8(value.to_vec()).unwrap())
        .collect();
    assert!(
        open_requests.iter().any(|request| request.contains("true")),
        "{open_requests:?}"
    );
    assert!(
        open_requests
            .iter()
            .any(|request| request.contains("false")),
        "{open_requests:?}"
    );
}

#[test]
fn objects_are_unchanged_when_restored_from_the_data_directory_of_an_earlier_version() {
    let stored = stored_edge();

    let (edge, restored) = Edge::restore(&stored.loaded);

    let mut loaded: BTreeMap<String, Object> = BTreeMap::new();
    for resource in [NAMESPACES, JOBS, PODS] {
        for object in edge.store.iter(resource, "") {
            let key = format!(
                "{}/{}/{}",
                resource.plural,
                meta::namespace(object),
                meta::name(object)
            );
            loaded.insert(key, (**object).clone());
        }
    }
    let expected: BTreeMap<String, Object> = stored
        .loaded
        .records_of_kind("object")
        .map(|(key, value)| (key.to_owned(), serde_json::from_slice(value).unwrap()))
        .collect();
    assert_eq!(loaded, expected);
    assert_eq!(
        RESOURCES
            .iter()
            .map(|resource| edge.store.count(resource))
            .sum::<usize>(),
        expected.len()
    );
    assert_eq!(
        restored,
        RestoredCounts {
            objects: 12,
            placed: 2,
            queued: 2,
            interrupted: 1
        }
    );
    assert_eq!(
        reserved_version(&stored.loaded).unwrap(),
        edge.store.version()
    );
}

/// Open requests, slots and stray Pods are not visible from outside; the messages that are sent for them show that each
/// was restored.
#[test]
fn requests_slots_and_stray_pods_are_restored_from_the_data_directory_of_an_earlier_version() {
    let stored = stored_edge();
    let (mut edge, _) = Edge::restore(&stored.loaded);

    let mut lines = Vec::new();
    let mut inputs = vec![Input::PlannerConnected(PLANNER)];
    for step in 0..300 {
        for (number, message) in edge
            .step(std::mem::take(&mut inputs))
            .into_iter()
            .enumerate()
        {
            lines.push((
                format!("step {step} message {number}"),
                serde_json::to_string(&message).unwrap(),
            ));
        }
    }

    assert_lines(
        &fixture_path(env!("CARGO_MANIFEST_DIR"), "edge.after-return.txt"),
        &lines,
    );
}
