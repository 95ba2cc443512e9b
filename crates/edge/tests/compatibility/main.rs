//! The data folder of an edge: what an earlier version wrote comes back whole and is carried on with, and this version
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
/// Steps in which the planner answers, and steps after that.
const ANSWERED_STEPS: usize = 10;
const UNANSWERED_STEPS: usize = 3;
/// All kinds of records that an edge writes but for the end in order, which is the disk's.
const KINDS: [&str; 6] = ["job", "object", "open", "slot", "stray", "version"];

/// Runs an edge until there are records of each kind: Jobs with Pods that run, that may run and that were refused; Pods
/// that ended, that may have been offered, that were not offered yet, and that nobody owns.
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
        let answers = sent
            .into_iter()
            .flat_map(|message| planner.answers(message));
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
fn records_of_each_kind_are_loaded_from_an_earlier_versions_folder() {
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
    let opens: Vec<String> = stored
        .loaded
        .records_of_kind("open")
        .map(|(_, value)| String::from_utf8(value.to_vec()).unwrap())
        .collect();
    assert!(opens.iter().any(|open| open.contains("true")), "{opens:?}");
    assert!(opens.iter().any(|open| open.contains("false")), "{opens:?}");
}

#[test]
fn objects_are_whole_when_loaded_from_an_earlier_versions_folder() {
    let stored = stored_edge();

    let (edge, restored) = Edge::load(&stored.loaded);

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

/// Open requests, slots and strays can't be read from outside: what is sent for them shows that each came back.
#[test]
fn requests_slots_and_strays_are_carried_on_with_when_loaded_from_an_earlier_versions_folder() {
    let stored = stored_edge();
    let (mut edge, _) = Edge::load(&stored.loaded);

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
