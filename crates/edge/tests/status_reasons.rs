//! The phases, conditions and reason codes that the edge writes to Pods, Jobs and Events stay compatible.

#[path = "../../cli/tests/common/fixture.rs"]
mod fixture;

use fixture::Additions;
use serde_json::{Value, json};
use tidespur_api::resource::{EVENTS, JOBS, NAMESPACES, PODS};
use tidespur_api::{Object, meta};
use tidespur_config::{DEFAULT_CONFIG, parse};
use tidespur_edge::core::{Core, Input};
use tidespur_planner_protocol::{TerminationReason, ToEdge};
use tidespur_store::{Limits, Precondition, Store};

const PACKAGE: &str = env!("CARGO_MANIFEST_DIR");
const PLANNER: u64 = 1;

/// All ways in which a Pod may end, by name in the fixture.
const ENDS: [(&str, TerminationReason); 7] = [
    ("succeeded", TerminationReason::Succeeded),
    ("failed", TerminationReason::Failed),
    ("evicted for memory", TerminationReason::Evicted),
    (
        "pushed out by a higher priority",
        TerminationReason::Preempted,
    ),
    ("sent away by a draining node", TerminationReason::Drained),
    ("lost with its node", TerminationReason::NodeLost),
    ("stopped", TerminationReason::Stopped),
];

/// An edge with one planner, without I/O.
struct Edge {
    core: Core,
    store: Store,
    now: f64,
}

impl Edge {
    fn new() -> Self {
        let mut store = Store::new(Limits::default(), 1, 1000);
        let namespace =
            json!({"metadata": {"name": "default"}, "spec": {}, "status": {"phase": "Active"}});
        store.create(NAMESPACES, namespace, 0.0).unwrap();
        let mut edge = Self {
            core: Core::new(parse("built-in", DEFAULT_CONFIG).unwrap(), 1),
            store,
            now: 0.0,
        };
        edge.step(vec![Input::PlannerConnected(PLANNER)]);
        edge
    }

    fn step(&mut self, inputs: Vec<Input>) {
        self.now += 0.01;
        self.core
            .step(self.now, inputs, &mut self.store, &mut Vec::new());
    }

    fn receive(&mut self, message: ToEdge) {
        self.step(vec![Input::MessageReceived {
            planner: PLANNER,
            message,
        }]);
    }

    /// The only Pod in its present state.
    fn pod(&self) -> Object {
        (**self.store.iter(PODS, "default").next().expect("a Pod")).clone()
    }

    fn create_pod(&mut self) {
        let pod = json!({"metadata": {"name": "p", "namespace": "default"},
            "spec": {"containers": [{"name": "m"}]}, "status": {"phase": "Pending"}});
        self.store.create(PODS, pod, self.now).unwrap();
        self.step(vec![Input::StoreChanged]);
    }

    /// Creates a Job of one Pod; `spec` is merged into its specification.
    fn create_job(&mut self, spec: &Value) {
        let class = "slot-abgleich";
        let template = json!({"spec": {"restartPolicy": "Never", "priorityClassName": class,
            "containers": [{"name": "m"}]}});
        let mut job = json!({"metadata": {"name": "j", "namespace": "default"}, "status": {},
            "spec": {"parallelism": 1, "completions": 1, "backoffLimit": 6, "suspend": false, "template": template}});
        job["spec"]
            .as_object_mut()
            .unwrap()
            .extend(spec.as_object().unwrap().clone());
        self.store.create(JOBS, job, self.now).unwrap();
        self.step(vec![Input::StoreChanged]);
    }

    fn job(&self) -> Object {
        (**self.store.get(JOBS, "default", "j").expect("a Job")).clone()
    }

    fn acknowledge(&mut self) -> String {
        let uid = meta::uid(&self.pod()).to_owned();
        self.receive(ToEdge::Acknowledged { uid: uid.clone() });
        uid
    }

    fn run(&mut self) -> String {
        let uid = self.acknowledge();
        self.receive(ToEdge::Placed {
            uid: uid.clone(),
            node: "n".into(),
        });
        self.receive(ToEdge::Started { uid: uid.clone() });
        uid
    }

    fn end(&mut self, reason: TerminationReason) {
        let uid = self.run();
        self.receive(ToEdge::Ended { uid, reason });
    }

    /// Types and reasons of all Events.
    fn events(&self) -> Vec<String> {
        let event = |event: &Object| format!("{} {}", event["type"], event["reason"]);
        self.store
            .iter(EVENTS, "default")
            .map(|object| event(object))
            .collect()
    }
}

/// Summarizes a status on one line, without times and messages.
fn summary(status: &Value) -> String {
    let text = |value: &Value| value.as_str().unwrap_or("-").to_owned();
    let condition = |condition: &Value| {
        format!(
            "{}={}({})",
            text(&condition["type"]),
            text(&condition["status"]),
            text(&condition["reason"])
        )
    };
    let conditions: Vec<String> = status["conditions"]
        .as_array()
        .into_iter()
        .flatten()
        .map(condition)
        .collect();
    let keys: Vec<&String> = status.as_object().unwrap().keys().collect();
    format!(
        "phase {} reason {} keys {keys:?} {}",
        text(&status["phase"]),
        text(&status["reason"]),
        conditions.join(" ")
    )
}

#[test]
fn phases_conditions_and_reasons_of_pods_are_unchanged() {
    let mut lines = Vec::new();
    let mut add = |case: &str, action: &dyn Fn(&mut Edge)| {
        let mut edge = Edge::new();
        edge.create_pod();
        action(&mut edge);
        lines.push(format!("{case}: {}", summary(&edge.pod()["status"])));
        lines.extend(
            edge.events()
                .into_iter()
                .map(|event| format!("{case}: event {event}")),
        );
    };
    add("created", &|_| {});
    add("placed", &|edge| {
        let uid = edge.acknowledge();
        edge.receive(ToEdge::Placed {
            uid,
            node: "n".into(),
        });
    });
    add("runs", &|edge| {
        edge.run();
    });
    add("refused", &|edge| {
        let uid = edge.acknowledge();
        edge.receive(ToEdge::Rejected {
            uid,
            reason: "full".into(),
            retry_after: 0.0,
        });
    });
    add("may have run", &|edge| {
        let uid = edge.acknowledge();
        edge.receive(ToEdge::Failed {
            uid,
            reason: "silence".into(),
        });
    });
    for (case, end) in ENDS {
        add(case, &|edge| edge.end(end));
    }
    fixture::check(PACKAGE, "pod_status.txt", lines, Additions::Rejected);
}

#[test]
fn conditions_and_reasons_of_jobs_are_unchanged() {
    let mut lines = Vec::new();
    let mut add = |case: &str, spec: Value, action: &dyn Fn(&mut Edge)| {
        let mut edge = Edge::new();
        edge.create_job(&spec);
        action(&mut edge);
        lines.push(format!("{case}: {}", summary(&edge.job()["status"])));
    };
    add("open", json!({}), &|_| {});
    add("complete", json!({}), &|edge| {
        edge.end(TerminationReason::Succeeded)
    });
    add("failed too often", json!({"backoffLimit": 0}), &|edge| {
        edge.end(TerminationReason::Failed)
    });
    add(
        "took too long",
        json!({"activeDeadlineSeconds": 1}),
        &|edge| {
            edge.now += 5.0;
            edge.step(vec![Input::StoreChanged]);
        },
    );
    add("pauses", json!({}), &|edge| {
        let uid = edge.acknowledge();
        edge.receive(ToEdge::Rejected {
            uid,
            reason: "full".into(),
            retry_after: 0.0,
        });
    });
    add("looks for what may run", json!({}), &|edge| {
        let uid = edge.acknowledge();
        edge.receive(ToEdge::Failed {
            uid,
            reason: "silence".into(),
        });
    });
    add("suspended", json!({"suspend": true}), &|_| {});
    add("resumed", json!({"suspend": true}), &|edge| {
        let mut job = edge.job();
        job["spec"]["suspend"] = false.into();
        edge.store
            .update(JOBS, job, &Precondition::default())
            .unwrap();
        edge.step(vec![Input::StoreChanged]);
    });
    fixture::check(PACKAGE, "job_status.txt", lines, Additions::Rejected);
}
