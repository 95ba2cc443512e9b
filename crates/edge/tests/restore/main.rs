//! A small run of an edge, restarted after every batch that it persists: what was acknowledged is there, each request has
//! one outcome, and work that is not idempotent starts once by the node's own count.

mod world;

use serde_json::json;
use std::collections::BTreeSet;
use tidespur_api::resource::{JOBS, NAMESPACES, PODS};
use tidespur_api::{Object, meta};
use tidespur_config::{DEFAULT_CONFIG, parse};
use tidespur_edge::core::{Core, Input};
use tidespur_persistence::{Batch, LoadedRecords, RecordKey};
use tidespur_store::Store;
use world::{NodeState, PLANNER, World, limits};

/// A class that is not idempotent, and one that is.
const NOT_IDEMPOTENT: &str = "slot-abgleich";
const IDEMPOTENT: &str = "termin-web";
const STEPS: usize = 14;

fn job(name: &str, class: &str) -> Object {
    json!({"kind": "Job", "apiVersion": "batch/v1", "metadata": {"name": name, "namespace": "default"},
        "spec": {"parallelism": 2, "completions": 2, "backoffLimit": 6, "template": {"spec": {
            "priorityClassName": class, "restartPolicy": "Never", "containers": [{"name": "m"}]}}},
        "status": {}})
}

/// A run: a Job of each class, placed, running; and the state of the nodes after each batch.
fn run_edge() -> (World, Vec<NodeState>) {
    let mut world = World::new(1e9, &LoadedRecords::default());
    let mut nodes = NodeState::default();
    let mut node_states = Vec::new();
    world.step(vec![Input::PlannerConnected(PLANNER)]);
    node_states.push(nodes.clone());
    for step in 0..STEPS {
        let created = match step {
            2 => Some(NOT_IDEMPOTENT),
            4 => Some(IDEMPOTENT),
            _ => None,
        };
        if let Some(class) = created {
            let job = job(class, class);
            world.store.create(JOBS, job, world.now).unwrap();
        }
        world.run(1, &mut nodes);
        node_states.push(nodes.clone());
    }
    (world, node_states)
}

/// The records after these batches.
fn records(batches: &[Batch]) -> LoadedRecords {
    let mut loaded = LoadedRecords {
        generation: 1,
        ..LoadedRecords::default()
    };
    for batch in batches {
        for (record, value) in batch.changes() {
            match value {
                Some(value) => drop(loaded.records.insert(record.clone(), value.to_vec())),
                None => drop(loaded.records.remove(record)),
            }
        }
    }
    loaded
}

/// Objects that differ from what was persisted of them.
fn object_violations(world: &World, records: &LoadedRecords) -> Vec<String> {
    let mut violations = Vec::new();
    for (key, bytes) in records.records_of_kind("object") {
        let object: Object = serde_json::from_slice(bytes).unwrap();
        let resource = [PODS, JOBS, NAMESPACES]
            .into_iter()
            .find(|resource| key.starts_with(resource.plural))
            .unwrap();
        let (namespace, name) = (meta::namespace(&object), meta::name(&object));
        let restored = world.store.get(resource, namespace, name);
        if restored.is_none_or(|restored| **restored != object) {
            violations.push(format!("{key} is not what it was"));
        }
    }
    violations
}

/// Whatever runs is known, and each Job has all its Pods, once.
fn job_violations(world: &World, nodes: &NodeState) -> Vec<String> {
    let mut violations = Vec::new();
    let known: BTreeSet<String> = world
        .pods()
        .iter()
        .map(|pod| tidespur_api::task::placement_request(pod).name)
        .collect();
    for name in nodes.running.values() {
        if !known.contains(name) {
            violations.push(format!("{name} runs and belongs to no Pod"));
        }
    }
    for job in world.store.iter(JOBS, "") {
        let name = meta::name(job);
        let ready = job["status"]["ready"].as_u64().unwrap_or(0);
        if ready != 2 {
            violations.push(format!("{name}: {ready} of 2 run"));
        }
        if name != NOT_IDEMPOTENT {
            continue;
        }
        for (key, starts) in &nodes.starts {
            if key.starts_with(meta::uid(job)) && *starts > 1 {
                violations.push(format!("{key} was started {starts} times"));
            }
        }
    }
    violations
}

/// What is wrong after the edge was restarted with these batches, the nodes being in this state.
fn violations_after_restart(batches: &[Batch], mut nodes: NodeState, now: f64) -> Vec<String> {
    let records = records(batches);
    let mut world = World::new(now, &records);
    let mut violations = object_violations(&world, &records);
    let placed_before = world.placed_pods();
    world.run(3, &mut nodes);
    let messages = world.step(vec![Input::PlannerConnected(PLANNER)]);
    world.deliver(messages, &mut nodes);
    world.run(300, &mut nodes);
    if !placed_before.is_subset(&world.placed_pods()) {
        violations.push("a Pod that was published as placed is not placed any more".into());
    }
    violations.extend(job_violations(&world, &nodes));
    violations
}

#[test]
fn nothing_is_lost_and_no_work_starts_twice_when_the_edge_restarts_after_any_batch() {
    let (world, node_states) = run_edge();
    for persisted in 0..=world.batches.len() {
        // The messages after the last batch were delivered, or were lost with the edge.
        for delivered in [persisted, persisted.saturating_sub(1)] {
            let nodes = delivered
                .checked_sub(1)
                .map_or_else(NodeState::default, |index| node_states[index].clone());
            let batches = &world.batches[..persisted];
            let violations = violations_after_restart(batches, nodes, world.now);
            assert!(
                violations.is_empty(),
                "after {persisted} batches, {delivered} delivered: {violations:?}"
            );
        }
    }
}

/// The same without the guard: messages do not wait for their batch.
#[test]
fn messages_that_are_sent_before_their_batch_is_durable_are_detected() {
    let (world, node_states) = run_edge();
    let detected = (1..world.batches.len())
        .filter(|&persisted| {
            let batches = &world.batches[..persisted];
            let nodes = node_states[persisted].clone();
            !violations_after_restart(batches, nodes, world.now).is_empty()
        })
        .count();
    assert!(
        detected > 0,
        "no restart shows that an answer or an offer was sent too early"
    );
}

#[test]
fn nobody_waits_for_longer_than_asked_when_the_clock_was_set_back() {
    let (world, node_states) = run_edge();
    for now in [1.0, 1e9 - 5e6, 1e9 + 9e7] {
        let nodes = node_states.last().unwrap().clone();
        let violations = violations_after_restart(&world.batches, nodes, now);
        assert!(violations.is_empty(), "at {now}: {violations:?}");
    }
}

#[test]
fn versions_begin_above_all_published_ones_and_an_old_watch_expires_after_a_restart() {
    let (world, _) = run_edge();
    let restored = World::new(world.now, &records(&world.batches));
    assert!(restored.store.version() > world.store.version());
    assert!(restored.store.watch(PODS, world.store.version()).is_err());
}

#[test]
fn the_malformed_record_and_what_to_do_are_named_when_it_cannot_be_restored() {
    let (world, _) = run_edge();
    let mut records = records(&world.batches);
    let record = RecordKey::new("open", "x");
    records.records.insert(record, b"{".to_vec());
    let mut store = Store::new(limits(), 1, 1);
    let mut core = Core::new(parse("built-in", DEFAULT_CONFIG).unwrap(), 1);

    let restored = core.restore(0.0, &records, &mut store);

    let message = restored.unwrap_err().to_string();
    assert!(
        message.contains("open") && message.contains("restore"),
        "{message}"
    );
}
