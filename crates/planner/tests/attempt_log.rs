//! The log of attempts. After a restart of the planner, a task may run on a node that has not reported yet. A locate
//! query answered with `NotFound` in this state would make the edge start a second copy of a non-idempotent task.

use serde_json::{Value, json};
use std::collections::BTreeSet;
use tidespur_config::{DEFAULT_CONFIG, parse};
use tidespur_coordination::Fence;
use tidespur_persistence::{Batch, LoadedRecords};
use tidespur_planner::attempts::Attempts;
use tidespur_planner::core::{Core, Input, Output};
use tidespur_planner::pod::PodName;
use tidespur_planner::task_table::EdgeId;
use tidespur_planner_protocol::{Location, ToEdge, ToPlanner};

const EDGE: EdgeId = EdgeId(1);

const UID: &str = "6d0f-1";

fn stored_records(batches: &[Batch]) -> LoadedRecords {
    let mut records = LoadedRecords {
        generation: 1,
        ..LoadedRecords::default()
    };
    for (record, value) in batches.iter().flat_map(|batch| batch.changes()) {
        match value {
            Some(value) => drop(records.records.insert(record.clone(), value.to_vec())),
            None => drop(records.records.remove(record)),
        }
    }
    records
}

fn empty_log() -> Attempts {
    Attempts::load(&LoadedRecords::default()).unwrap()
}

fn node(name: &str) -> Value {
    json!({"metadata": {"name": name, "labels": {"node.kubernetes.io/instance-type": "std-24"},
        "annotations": {"node.tidespur.dev/address": format!("{name}:1")}},
        "status": {"allocatable": {"cpu": "24", "memory": "48Gi"}}})
}

/// A restarted planner with these attempts, and listed nodes that have reported no Pods.
fn restarted_planner(attempts: Attempts, listed: &[&str]) -> Core {
    let core = Core::new(parse("built-in", DEFAULT_CONFIG).unwrap(), 0, "", 1).unwrap();
    let mut core = core.with_restored_state(attempts, Fence::default());
    let list = listed.iter().map(|name| node(name)).collect();
    core.step(0.0, vec![Input::NodesListed(list)], &mut vec![]);
    for name in listed {
        core.step(
            0.1,
            vec![Input::PodsListed {
                node: (*name).to_owned(),
                pods: vec![],
            }],
            &mut vec![],
        );
    }
    core
}

/// Advances time in small steps while the nodes report. A longer step would count as a stall and drop the queries.
fn advance(core: &mut Core, from: f64, seconds: f64, nodes: &[&str], outputs: &mut Vec<Output>) {
    for tenth in 1..=(seconds * 10.0) as u32 {
        let reports = nodes
            .iter()
            .map(|node| Input::NodeAlive((*node).to_owned()))
            .collect();
        core.step(from + f64::from(tenth) / 10.0, reports, outputs);
    }
}

fn locate(core: &mut Core, now: f64, nodes: &[&str]) -> Location {
    let query = ToPlanner::Locate {
        uid: UID.into(),
        tenant: "default".into(),
        name: "n".into(),
    };
    let mut outputs = Vec::new();
    core.step(now, vec![Input::EdgeMessage(EDGE, query)], &mut outputs);
    advance(core, now, 2.0, nodes, &mut outputs);
    let location = outputs.into_iter().find_map(|output| match output {
        Output::SendToEdge(_, ToEdge::Located { location, .. }) => Some(location),
        _ => None,
    });
    location.expect("each query is answered")
}

/// The records of an earlier process that has sent an offer to node `b`.
fn records_with_offer() -> LoadedRecords {
    let mut attempts = empty_log();
    attempts.record_offer(UID, PodName::new("default", "n"), "b", 5.0);
    stored_records(&[attempts.take_batch()])
}

#[test]
fn a_task_offered_to_a_node_that_has_not_reported_since_the_restart_has_unknown_location() {
    // Without the log the same query is answered with `NotFound`.
    assert_eq!(
        locate(&mut restarted_planner(empty_log(), &["a"]), 0.5, &["a"]),
        Location::NotFound
    );
    let mut core = restarted_planner(Attempts::load(&records_with_offer()).unwrap(), &["a"]);
    assert_eq!(locate(&mut core, 0.5, &["a"]), Location::Unknown);
    // The node returns later than the others, without the task.
    advance(&mut core, 2.5, 5.0, &["a"], &mut vec![]);
    core.step(7.6, vec![Input::NodeUpdated(node("b"))], &mut vec![]);
    core.step(
        7.7,
        vec![Input::PodsListed {
            node: "b".into(),
            pods: vec![],
        }],
        &mut vec![],
    );
    assert_eq!(locate(&mut core, 7.8, &["a", "b"]), Location::NotFound);
}

#[test]
fn attempts_at_a_node_are_cleared_when_it_is_removed_from_the_node_list() {
    let mut core = restarted_planner(Attempts::load(&records_with_offer()).unwrap(), &["a"]);
    core.step(0.3, vec![Input::NodeUpdated(node("b"))], &mut vec![]);
    core.step(0.4, vec![Input::NodeDeleted(node("b"))], &mut vec![]);
    assert!(
        !core.take_batch().is_empty(),
        "the stored records are removed too"
    );
    assert_eq!(locate(&mut core, 0.5, &["a"]), Location::NotFound);
}

#[test]
fn attempts_are_removed_only_if_they_are_known_not_to_run() {
    let mut attempts = empty_log();
    let mut batches = Vec::new();
    attempts.record_offer("a", PodName::new("t", "x"), "n1", 5.0);
    attempts.record_offer("b", PodName::new("t", "y"), "n1", 5.0);
    attempts.record_offer("b", PodName::new("t", "y"), "n2", 6.0);
    batches.push(attempts.take_batch());
    attempts.clear("b", "n2");
    attempts.clear("b", "n2");
    // Before its deadline an offer may be in flight, so a list without its Pod proves nothing.
    let (none, names) = (BTreeSet::new(), BTreeSet::new());
    attempts.reconcile(5.5, "n1", &none, &names);
    batches.push(attempts.take_batch());
    assert_eq!(Attempts::load(&stored_records(&batches)).unwrap().len(), 2);
    attempts.reconcile(6.5, "n1", &BTreeSet::from(["a"]), &names);
    batches.push(attempts.take_batch());
    let restored = Attempts::load(&stored_records(&batches)).unwrap();
    assert_eq!(restored.len(), 1);
    assert!(
        restored.may_run_on_unreported_node("a", |_| false)
            && !restored.may_run_on_unreported_node("a", |node| node == "n1")
            && !restored.may_run_on_unreported_node("b", |_| false)
    );
    // Without a store no offers are recorded.
    let mut disabled = Attempts::default();
    disabled.record_offer("a", PodName::new("t", "x"), "n1", 5.0);
    assert!(disabled.is_empty() && disabled.take_batch().is_empty());
}
