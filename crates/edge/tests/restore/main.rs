//! Restarts an edge after each batch that it persists in a short run. Everything that was acknowledged must be
//! restored, each request must get one outcome, and work that is not idempotent must start only once, as counted by the
//! nodes.

mod simulation;

use serde_json::json;
use simulation::{NodeState, PLANNER, Simulation, limits};
use std::collections::BTreeSet;
use tidespur_api::resource::{JOBS, NAMESPACES, PODS};
use tidespur_api::{Object, meta};
use tidespur_config::{DEFAULT_CONFIG, parse};
use tidespur_edge::core::{Core, Input};
use tidespur_persistence::{Batch, LoadedRecords, RecordKey};
use tidespur_store::Store;

/// A class that is not idempotent.
const NOT_IDEMPOTENT: &str = "slot-abgleich";
/// A class that is idempotent.
const IDEMPOTENT: &str = "termin-web";
const STEPS: usize = 14;

fn job(name: &str, class: &str) -> Object {
    json!({"kind": "Job", "apiVersion": "batch/v1", "metadata": {"name": name, "namespace": "default"},
        "spec": {"parallelism": 2, "completions": 2, "backoffLimit": 6, "template": {"spec": {
            "priorityClassName": class, "restartPolicy": "Never", "containers": [{"name": "m"}]}}},
        "status": {}})
}

/// Runs an edge in which a Job of each class is created, placed and started. Returns it with the state of the nodes
/// after each batch.
fn run_edge() -> (Simulation, Vec<NodeState>) {
    let mut simulation = Simulation::new(1e9, &LoadedRecords::default());
    let mut nodes = NodeState::default();
    let mut node_states = Vec::new();
    simulation.step(vec![Input::PlannerConnected(PLANNER)]);
    node_states.push(nodes.clone());
    for step in 0..STEPS {
        let created = match step {
            2 => Some(NOT_IDEMPOTENT),
            4 => Some(IDEMPOTENT),
            _ => None,
        };
        if let Some(class) = created {
            let job = job(class, class);
            simulation.store.create(JOBS, job, simulation.now).unwrap();
        }
        simulation.run(1, &mut nodes);
        node_states.push(nodes.clone());
    }
    (simulation, node_states)
}

/// The records that a restarted edge loads after these batches.
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

/// Objects that were not restored as they were persisted.
fn object_violations(simulation: &Simulation, records: &LoadedRecords) -> Vec<String> {
    let mut violations = Vec::new();
    for (key, bytes) in records.records_of_kind("object") {
        let object: Object = serde_json::from_slice(bytes).unwrap();
        let resource = [PODS, JOBS, NAMESPACES]
            .into_iter()
            .find(|resource| key.starts_with(resource.plural))
            .unwrap();
        let (namespace, name) = (meta::namespace(&object), meta::name(&object));
        let restored = simulation.store.get(resource, namespace, name);
        if restored.is_none_or(|restored| **restored != object) {
            violations.push(format!("{key} was not restored unchanged"));
        }
    }
    violations
}

/// Checks that each running instance belongs to a Pod, that all Pods of each Job run, and that work that is not
/// idempotent was started at most once.
fn job_violations(simulation: &Simulation, nodes: &NodeState) -> Vec<String> {
    let mut violations = Vec::new();
    let known: BTreeSet<String> = simulation
        .pods()
        .iter()
        .map(|pod| tidespur_api::task::placement_request(pod).name)
        .collect();
    for name in nodes.running.values() {
        if !known.contains(name) {
            violations.push(format!("{name} runs but belongs to no Pod"));
        }
    }
    for job in simulation.store.iter(JOBS, "") {
        let name = meta::name(job);
        let ready = job["status"]["ready"].as_u64().unwrap_or(0);
        if ready != 2 {
            violations.push(format!("{name}: {ready} of 2 Pods run"));
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

/// Violations after a restart of the edge with these batches while the nodes are in this state.
fn violations_after_restart(batches: &[Batch], mut nodes: NodeState, now: f64) -> Vec<String> {
    let records = records(batches);
    let mut simulation = Simulation::new(now, &records);
    let mut violations = object_violations(&simulation, &records);
    let placed_before = simulation.placed_pods();
    simulation.run(3, &mut nodes);
    let messages = simulation.step(vec![Input::PlannerConnected(PLANNER)]);
    simulation.deliver(messages, &mut nodes);
    simulation.run(300, &mut nodes);
    if !placed_before.is_subset(&simulation.placed_pods()) {
        violations.push("a Pod that was placed before the restart is not placed any more".into());
    }
    violations.extend(job_violations(&simulation, &nodes));
    violations
}

#[test]
fn nothing_is_lost_and_no_work_starts_twice_when_the_edge_restarts_after_any_batch() {
    let (simulation, node_states) = run_edge();
    for persisted in 0..=simulation.batches.len() {
        // The messages after the last batch were delivered, or were lost when the edge ended.
        for delivered in [persisted, persisted.saturating_sub(1)] {
            let nodes = delivered
                .checked_sub(1)
                .map_or_else(NodeState::default, |index| node_states[index].clone());
            let batches = &simulation.batches[..persisted];
            let violations = violations_after_restart(batches, nodes, simulation.now);
            assert!(
                violations.is_empty(),
                "after {persisted} batches, {delivered} delivered: {violations:?}"
            );
        }
    }
}

/// Control for the test above: if messages do not wait until their batch is durable, it must report violations.
#[test]
fn messages_that_are_sent_before_their_batch_is_durable_are_detected() {
    let (simulation, node_states) = run_edge();
    let detected = (1..simulation.batches.len())
        .filter(|&persisted| {
            let batches = &simulation.batches[..persisted];
            let nodes = node_states[persisted].clone();
            !violations_after_restart(batches, nodes, simulation.now).is_empty()
        })
        .count();
    assert!(
        detected > 0,
        "no restart reports a message that was sent before its batch was durable"
    );
}

#[test]
fn no_task_waits_longer_than_its_timeout_when_the_clock_was_set_back_or_forward() {
    let (simulation, node_states) = run_edge();
    for now in [1.0, 1e9 - 5e6, 1e9 + 9e7] {
        let nodes = node_states.last().unwrap().clone();
        let violations = violations_after_restart(&simulation.batches, nodes, now);
        assert!(violations.is_empty(), "at {now}: {violations:?}");
    }
}

#[test]
fn versions_begin_above_all_published_ones_and_an_old_watch_expires_after_a_restart() {
    let (simulation, _) = run_edge();
    let restored = Simulation::new(simulation.now, &records(&simulation.batches));
    assert!(restored.store.version() > simulation.store.version());
    assert!(
        restored
            .store
            .watch(PODS, simulation.store.version())
            .is_err()
    );
}

#[test]
fn the_error_names_the_malformed_record_and_a_remedy_when_a_record_cannot_be_restored() {
    let (simulation, _) = run_edge();
    let mut records = records(&simulation.batches);
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
