//! The edge's core over its store: no change is missed when more changes are written between two steps than the history
//! of the store holds.

use serde_json::{Value, json};
use tidespur_api::resource::{JOBS, NAMESPACES, PODS};
use tidespur_api::{Object, meta};
use tidespur_config::{DEFAULT_CONFIG, parse};
use tidespur_edge::core::{Core, Input};
use tidespur_pending::ReasonCode;
use tidespur_planner_protocol::{ToEdge, ToPlanner};
use tidespur_store::{Limits, Precondition, Store};

struct TestEdge {
    core: Core,
    store: Store,
}

impl TestEdge {
    /// An edge whose store keeps a history of four changes of each resource.
    fn new() -> Self {
        let limits = Limits {
            max_history: 4,
            ..Limits::default()
        };
        let mut store = Store::new(limits, 1, 1000);
        let namespace =
            json!({"metadata": {"name": "default"}, "spec": {}, "status": {"phase": "Active"}});
        store.create(NAMESPACES, namespace, 0.0).unwrap();
        Self {
            core: Core::new(parse("built-in", DEFAULT_CONFIG).unwrap(), 1),
            store,
        }
    }

    fn step(&mut self, now: f64, inputs: Vec<Input>) -> Vec<ToPlanner> {
        let mut messages = Vec::new();
        self.core.step(now, inputs, &mut self.store, &mut messages);
        messages.into_iter().map(|sent| sent.message).collect()
    }

    fn create_pod(&mut self, name: &str) -> std::sync::Arc<Object> {
        let pod = json!({"metadata": {"name": name, "namespace": "default"},
            "spec": {"containers": [{"name": "m"}]}, "status": {"phase": "Pending"}});
        self.store.create(PODS, pod, 0.0).unwrap()
    }

    fn pod(&self, name: &str) -> Value {
        (**self.store.get(PODS, "default", name).unwrap()).clone()
    }
}

fn placements(messages: &[ToPlanner]) -> usize {
    messages
        .iter()
        .filter(|message| matches!(message, ToPlanner::Place(_)))
        .count()
}

#[test]
fn pods_are_all_submitted_when_more_are_created_than_the_history_holds() {
    let mut edge = TestEdge::new();
    edge.step(0.0, vec![Input::PlannerConnected(1)]);
    for i in 0..40 {
        edge.create_pod(&format!("p{i}"));
    }
    let messages = edge.step(0.1, vec![Input::StoreChanged]);
    assert_eq!(
        edge.core.resync_count(),
        1,
        "the changes must exceed the history"
    );
    assert_eq!(placements(&messages), 40);
    // Tasks that no planner answers get an answer at their deadline.
    edge.step(60.0, vec![Input::PlannerLost(1)]);
    for i in 0..40 {
        assert_eq!(
            meta::text_at(&edge.pod(&format!("p{i}")), &["status", "phase"]),
            "Failed"
        );
    }
}

#[test]
fn a_pod_deleted_within_a_gap_is_cancelled_and_a_new_one_of_its_name_is_submitted() {
    let mut edge = TestEdge::new();
    edge.step(0.0, vec![Input::PlannerConnected(1)]);
    let (deleted, recreated) = (edge.create_pod("deleted"), edge.create_pod("recreated"));
    edge.step(0.1, vec![Input::StoreChanged]);
    for name in ["deleted", "recreated"] {
        edge.store
            .delete(PODS, "default", name, &Precondition::default())
            .unwrap();
    }
    for i in 0..20 {
        edge.create_pod(&format!("p{i}"));
    }
    let second = edge.create_pod("recreated");
    let messages = edge.step(0.2, vec![Input::StoreChanged]);
    for pod in [&deleted, &recreated] {
        let cancel = ToPlanner::Cancel {
            uid: meta::uid(pod).to_owned(),
        };
        assert!(messages.contains(&cancel), "{messages:?}");
    }
    let placed: Vec<&str> = messages
        .iter()
        .filter_map(|message| {
            if let ToPlanner::Place(request) = message {
                Some(request.uid.as_str())
            } else {
                None
            }
        })
        .collect();
    assert!(
        placed.contains(&meta::uid(&second)) && placed.len() == 21,
        "{placed:?}"
    );
}

#[test]
fn pods_of_a_job_deleted_within_a_gap_are_deleted() {
    let mut edge = TestEdge::new();
    let job = |name: &str| {
        json!({"metadata": {"name": name, "namespace": "default"}, "spec": {"parallelism": 2, "completions": 2,
            "template": {"spec": {"restartPolicy": "Never", "containers": [{"name": "m"}]}}}, "status": {}})
    };
    edge.store.create(JOBS, job("j"), 0.0).unwrap();
    edge.step(0.1, vec![Input::StoreChanged]);
    assert_eq!(edge.store.count(PODS), 2);
    edge.store
        .delete(JOBS, "default", "j", &Precondition::default())
        .unwrap();
    for i in 0..20 {
        edge.store.create(JOBS, job(&format!("k{i}")), 0.0).unwrap();
    }
    edge.step(0.2, vec![Input::StoreChanged]);
    assert!(edge.core.resync_count() > 0);
    assert_eq!(
        edge.store.count(PODS),
        40,
        "two Pods of each of the 20 Jobs, and none of the deleted one"
    );
}

#[test]
fn a_task_has_a_reason_while_its_planner_does_not_acknowledge_it_and_none_before_and_after() {
    let mut edge = TestEdge::new();
    edge.step(0.0, vec![Input::PlannerConnected(1)]);
    let pod = edge.create_pod("p");
    let records = edge.core.pending_records();
    let codes = || records.lock().find("default", "p").unwrap().codes.clone();
    let mut now = 0.0;
    while now < 0.45 {
        now += 0.05;
        edge.step(now, vec![Input::StoreChanged]);
        assert_eq!(
            codes(),
            [],
            "at {now}: the planner has more time to acknowledge it"
        );
    }
    while codes().is_empty() {
        now += 0.05;
        edge.step(now, vec![]);
        assert!(now < 1.5, "the missing acknowledgement is not reported");
    }
    assert_eq!(codes(), [ReasonCode::PlannersSilent]);
    // The planner sends a message, gets the task again and acknowledges it.
    let acknowledged = Input::MessageReceived {
        planner: 1,
        message: ToEdge::Acknowledged {
            uid: meta::uid(&pod).to_owned(),
        },
    };
    let messages = edge.step(now, vec![acknowledged.clone()]);
    let messages = if messages
        .iter()
        .any(|message| matches!(message, ToPlanner::Commit { .. }))
    {
        messages
    } else {
        edge.step(now, vec![acknowledged])
    };
    assert!(
        messages
            .iter()
            .any(|message| matches!(message, ToPlanner::Commit { .. })),
        "{messages:?}"
    );
    assert_eq!(codes(), []);
    let spans = records.lock().find("default", "p").unwrap().spans.clone();
    assert!(
        spans.len() == 1 && spans[0].is_over,
        "the record must keep the reason as a past one: {spans:?}"
    );
}
