//! An edge without I/O, and a simulated planner.

use serde_json::json;
use std::collections::BTreeMap;
use tidespur_api::resource::{JOBS, PODS};
use tidespur_config::{DEFAULT_CONFIG, parse};
use tidespur_edge::core::{Core, Input};
use tidespur_edge::restore::{RestoredCounts, reserved_version};
use tidespur_persistence::{Batch, LoadedRecords};
use tidespur_planner_protocol::{TerminationReason, ToEdge, ToPlanner};
use tidespur_store::{Limits, Store};

const START: f64 = 1_000_000_000.0;
const FIRST_VERSION: u64 = 1_000;
const STEP: f64 = 0.1;

/// The core of an edge and its store, and the records that it has persisted.
pub struct Edge {
    core: Core,
    pub store: Store,
    pub now: f64,
    pub batch: Batch,
}

impl Edge {
    pub fn new() -> Self {
        let core = Core::new(parse("built-in", DEFAULT_CONFIG).unwrap(), 3);
        let mut store = Store::new(Limits::default(), 7, FIRST_VERSION);
        store.track_writes();
        Self {
            core,
            store,
            now: START,
            batch: Batch::default(),
        }
    }

    /// Restores the state of an earlier process in the same way as the program.
    pub fn restore(records: &LoadedRecords) -> (Self, RestoredCounts) {
        let version = reserved_version(records).unwrap();
        let mut edge = Self::new();
        edge.store = Store::new(Limits::default(), 7, version);
        let restored = edge
            .core
            .restore(edge.now, records, &mut edge.store)
            .unwrap();
        edge.store.track_writes();
        (edge, restored)
    }

    pub fn step(&mut self, inputs: Vec<Input>) -> Vec<ToPlanner> {
        self.now += STEP;
        let mut sent = Vec::new();
        self.core.step(self.now, inputs, &mut self.store, &mut sent);
        let writes = self.core.take_writes(&mut self.store);
        assert!(writes.errors.is_empty(), "{:?}", writes.errors);
        self.batch.extend(writes.batch);
        sent.into_iter().map(|sent| sent.message).collect()
    }

    pub fn create_job(&mut self, name: &str, class: &str) {
        let pod_spec = json!({"priorityClassName": class, "restartPolicy": "Never", "containers": [{"name": "m"}]});
        let spec = json!({"parallelism": 2, "completions": 2, "backoffLimit": 6, "template": {"spec": pod_spec}});
        let metadata = json!({"name": name, "namespace": "default"});
        let job = json!({"kind": "Job", "apiVersion": "batch/v1", "metadata": metadata, "spec": spec, "status": {}});
        self.store.create(JOBS, job, self.now).unwrap();
    }

    pub fn create_pod(&mut self, name: &str) {
        let pod = json!({"kind": "Pod", "apiVersion": "v1", "metadata": {"name": name, "namespace": "default"},
            "spec": {"priorityClassName": "slot-abgleich", "containers": [{"name": "m"}]},
            "status": {"phase": "Pending"}});
        self.store.create(PODS, pod, self.now).unwrap();
    }
}

/// A planner whose answer to a task depends on the task's name.
#[derive(Default)]
pub struct Planner {
    names: BTreeMap<String, String>,
    /// Number of answers to tasks whose names begin with "guarded"; the first one is a failure.
    guarded_answers: usize,
}

impl Planner {
    pub fn answer(&mut self, message: ToPlanner) -> Vec<ToEdge> {
        match message {
            ToPlanner::Place(request) => {
                self.names.insert(request.uid.clone(), request.name);
                vec![ToEdge::Acknowledged { uid: request.uid }]
            }
            ToPlanner::Commit { uid, .. } => self.outcome(uid),
            _ => vec![],
        }
    }

    fn outcome(&mut self, uid: String) -> Vec<ToEdge> {
        let placed = ToEdge::Placed {
            uid: uid.clone(),
            node: "node-0".into(),
        };
        let failed = ToEdge::Failed {
            uid: uid.clone(),
            reason: "no answer".into(),
        };
        let name = &self.names[&uid];
        if name.starts_with("web") {
            return vec![placed, ToEdge::Started { uid }];
        }
        if name == "done" {
            return vec![
                placed,
                ToEdge::Ended {
                    uid,
                    reason: TerminationReason::Succeeded,
                },
            ];
        }
        if name == "stray" {
            return vec![failed];
        }
        if name.starts_with("guarded") {
            self.guarded_answers += 1;
            let rejected = ToEdge::Rejected {
                uid,
                reason: "no room".into(),
                retry_after: 0.0,
            };
            return vec![if self.guarded_answers == 1 {
                failed
            } else {
                rejected
            }];
        }
        vec![]
    }
}
