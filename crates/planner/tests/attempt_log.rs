//! What a planner remembers of its offers: guarded work may wait at a node that nobody has heard since the planner came
//! back, and until that is known it is not called gone.

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

fn after(batches: &[Batch]) -> LoadedRecords {
    let mut back = LoadedRecords {
        generation: 1,
        ..LoadedRecords::default()
    };
    for (record, value) in batches.iter().flat_map(|batch| batch.changes()) {
        match value {
            Some(value) => drop(back.records.insert(record.clone(), value.to_vec())),
            None => drop(back.records.remove(record)),
        }
    }
    back
}

fn remembering() -> Attempts {
    Attempts::load(&LoadedRecords::default()).unwrap()
}

fn node(name: &str) -> Value {
    json!({"metadata": {"name": name, "labels": {"node.kubernetes.io/instance-type": "std-24"},
        "annotations": {"node.tidespur.dev/address": format!("{name}:1")}},
        "status": {"allocatable": {"cpu": "24", "memory": "48Gi"}}})
}

/// A planner that comes back with these attempts, in a register that lists these nodes.
fn planner(attempts: Attempts, listed: &[&str]) -> Core {
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

/// Lets time go on, the nodes being heard: a planner that stood still would give up what it was asked.
fn pass(core: &mut Core, from: f64, seconds: f64, nodes: &[&str], out: &mut Vec<Output>) {
    for tenth in 1..=(seconds * 10.0) as u32 {
        let heard = nodes
            .iter()
            .map(|node| Input::NodeAlive((*node).to_owned()))
            .collect();
        core.step(from + f64::from(tenth) / 10.0, heard, out);
    }
}

fn locate(core: &mut Core, now: f64, nodes: &[&str]) -> Location {
    let ask = ToPlanner::Locate {
        uid: UID.into(),
        tenant: "default".into(),
        name: "n".into(),
    };
    let mut out = Vec::new();
    core.step(now, vec![Input::EdgeMessage(EDGE, ask)], &mut out);
    pass(core, now, 2.0, nodes, &mut out);
    let found = out.into_iter().find_map(|output| match output {
        Output::SendToEdge(
            _,
            ToEdge::Located {
                location: found, ..
            },
        ) => Some(found),
        _ => None,
    });
    found.expect("each question gets its answer")
}

/// Offered to `b` by a process that is no more.
fn offered() -> LoadedRecords {
    let mut attempts = remembering();
    attempts.record_offer(UID, PodName::new("default", "n"), "b", 5.0);
    after(&[attempts.take_batch()])
}

#[test]
fn work_that_was_offered_to_a_node_not_heard_since_is_unclear_and_not_gone() {
    // Without what was remembered the same question is answered with "nowhere", and a second one would be started.
    assert_eq!(
        locate(&mut planner(remembering(), &["a"]), 0.5, &["a"]),
        Location::NotFound
    );
    let mut core = planner(Attempts::load(&offered()).unwrap(), &["a"]);
    assert_eq!(locate(&mut core, 0.5, &["a"]), Location::Unknown);
    // The node comes back last, without it.
    pass(&mut core, 2.5, 5.0, &["a"], &mut vec![]);
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
fn a_node_that_the_register_takes_off_its_list_takes_its_attempts_with_it() {
    let mut core = planner(Attempts::load(&offered()).unwrap(), &["a"]);
    core.step(0.3, vec![Input::NodeUpdated(node("b"))], &mut vec![]);
    core.step(0.4, vec![Input::NodeDeleted(node("b"))], &mut vec![]);
    assert!(
        !core.take_batch().is_empty(),
        "what is forgotten is forgotten on the disk too"
    );
    assert_eq!(locate(&mut core, 0.5, &["a"]), Location::NotFound);
}

#[test]
fn what_is_proved_is_forgotten_and_what_is_not_stays() {
    let mut attempts = remembering();
    let mut batches = Vec::new();
    attempts.record_offer("a", PodName::new("t", "x"), "n1", 5.0);
    attempts.record_offer("b", PodName::new("t", "y"), "n1", 5.0);
    attempts.record_offer("b", PodName::new("t", "y"), "n2", 6.0);
    batches.push(attempts.take_batch());
    attempts.clear("b", "n2");
    attempts.clear("b", "n2");
    // An offer that is still good may be on its way: the node's list proves nothing yet.
    let (none, names) = (BTreeSet::new(), BTreeSet::new());
    attempts.reconcile(5.5, "n1", &none, &names);
    batches.push(attempts.take_batch());
    assert_eq!(Attempts::load(&after(&batches)).unwrap().len(), 2);
    attempts.reconcile(6.5, "n1", &BTreeSet::from(["a"]), &names);
    batches.push(attempts.take_batch());
    let back = Attempts::load(&after(&batches)).unwrap();
    assert_eq!(back.len(), 1);
    assert!(
        back.may_run_unseen("a", |_| false)
            && !back.may_run_unseen("a", |node| node == "n1")
            && !back.may_run_unseen("b", |_| false)
    );
    // A process without a memory notes nothing.
    let mut off = Attempts::default();
    off.record_offer("a", PodName::new("t", "x"), "n1", 5.0);
    assert!(off.is_empty() && off.take_batch().is_empty());
}
