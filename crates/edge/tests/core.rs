//! The edge's core over its store: no write is missed, however short the history.

use serde_json::{Value, json};
use tidespur_api::resource::{JOBS, NAMESPACES, PODS};
use tidespur_api::{Object, meta};
use tidespur_config::{DEFAULT_CONFIG, parse};
use tidespur_edge::core::{Core, Input};
use tidespur_pending::ReasonCode;
use tidespur_planner_protocol::{ToEdge, ToPlanner};
use tidespur_store::{Limits, Precondition, Store};

struct World {
    core: Core,
    store: Store,
}

impl World {
    /// An edge whose store keeps four changes of each resource.
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
fn pods_written_faster_than_the_history_holds_are_all_submitted() {
    let mut world = World::new();
    world.step(0.0, vec![Input::PlannerConnected(1)]);
    for i in 0..40 {
        world.create_pod(&format!("p{i}"));
    }
    let messages = world.step(0.1, vec![Input::StoreChanged]);
    assert_eq!(world.core.resync_count(), 1, "the gap was provoked");
    assert_eq!(placements(&messages), 40);
    // Those that nobody answers are answered at their deadline all the same.
    world.step(60.0, vec![Input::PlannerLost(1)]);
    for i in 0..40 {
        assert_eq!(
            meta::text_at(&world.pod(&format!("p{i}")), &["status", "phase"]),
            "Failed"
        );
    }
}

#[test]
fn a_pod_deleted_within_a_gap_is_withdrawn_and_one_of_its_name_is_a_new_request() {
    let mut world = World::new();
    world.step(0.0, vec![Input::PlannerConnected(1)]);
    let (gone, again) = (world.create_pod("gone"), world.create_pod("again"));
    world.step(0.1, vec![Input::StoreChanged]);
    for name in ["gone", "again"] {
        world
            .store
            .delete(PODS, "default", name, &Precondition::default())
            .unwrap();
    }
    for i in 0..20 {
        world.create_pod(&format!("p{i}"));
    }
    let second = world.create_pod("again");
    let messages = world.step(0.2, vec![Input::StoreChanged]);
    for pod in [&gone, &again] {
        let cancel = ToPlanner::Cancel {
            uid: meta::uid(pod).to_owned(),
        };
        assert!(messages.contains(&cancel), "{messages:?}");
    }
    let placed: Vec<&str> = messages
        .iter()
        .filter_map(|m| {
            if let ToPlanner::Place(request) = m {
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
fn a_job_deleted_within_a_gap_takes_its_pods_with_it() {
    let mut world = World::new();
    let job = |name: &str| {
        json!({"metadata": {"name": name, "namespace": "default"}, "spec": {"parallelism": 2, "completions": 2,
            "template": {"spec": {"restartPolicy": "Never", "containers": [{"name": "m"}]}}}, "status": {}})
    };
    world.store.create(JOBS, job("j"), 0.0).unwrap();
    world.step(0.1, vec![Input::StoreChanged]);
    assert_eq!(world.store.count(PODS), 2);
    world
        .store
        .delete(JOBS, "default", "j", &Precondition::default())
        .unwrap();
    for i in 0..20 {
        world
            .store
            .create(JOBS, job(&format!("k{i}")), 0.0)
            .unwrap();
    }
    world.step(0.2, vec![Input::StoreChanged]);
    assert!(world.core.resync_count() > 0);
    assert_eq!(
        world.store.count(PODS),
        40,
        "the pods of the twenty, none of the one that is gone"
    );
}

#[test]
fn a_task_has_a_reason_while_its_planner_does_not_acknowledge_it_and_none_before_and_after() {
    let mut world = World::new();
    world.step(0.0, vec![Input::PlannerConnected(1)]);
    let pod = world.create_pod("p");
    let records = world.core.pending_records();
    let codes = || records.lock().find("default", "p").unwrap().codes.clone();
    let mut now = 0.0;
    while now < 0.45 {
        now += 0.05;
        world.step(now, vec![Input::StoreChanged]);
        assert_eq!(codes(), [], "at {now}: it was offered just now");
    }
    while codes().is_empty() {
        now += 0.05;
        world.step(now, vec![]);
        assert!(now < 1.5, "the silence of the planner is not reported");
    }
    assert_eq!(codes(), [ReasonCode::PlannersSilent]);
    // The planner sends a message, is offered the task again and acknowledges it.
    let acknowledged = Input::MessageReceived {
        planner: 1,
        message: ToEdge::Acknowledged {
            uid: meta::uid(&pod).to_owned(),
        },
    };
    let messages = world.step(now, vec![acknowledged.clone()]);
    let messages = if messages
        .iter()
        .any(|m| matches!(m, ToPlanner::Commit { .. }))
    {
        messages
    } else {
        world.step(now, vec![acknowledged])
    };
    assert!(
        messages
            .iter()
            .any(|m| matches!(m, ToPlanner::Commit { .. })),
        "{messages:?}"
    );
    assert_eq!(codes(), []);
    let spans = records.lock().find("default", "p").unwrap().spans.clone();
    assert!(
        spans.len() == 1 && spans[0].is_over,
        "the history keeps it: {spans:?}"
    );
}
