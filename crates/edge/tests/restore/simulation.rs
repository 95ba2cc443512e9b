//! An edge without I/O, a simulated planner, and the state of the nodes.

use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use tidespur_api::resource::{NAMESPACES, PODS};
use tidespur_api::task::PlacementRequest;
use tidespur_api::{Object, meta};
use tidespur_config::{DEFAULT_CONFIG, parse};
use tidespur_edge::core::{Core, Input};
use tidespur_edge::restore::reserved_version;
use tidespur_persistence::{Batch, LoadedRecords};
use tidespur_planner_protocol::{Location, TerminationReason, ToEdge, ToPlanner};
use tidespur_store::{Limits, Store};

pub const PLANNER: u64 = 1;
const NODE: &str = "node-0";
const STEP: f64 = 0.1;
const FIRST_VERSION: u64 = 1_000;

/// What runs on nodes. It does not depend on the edge and persists over its restarts.
#[derive(Clone, Debug, Default)]
pub struct NodeState {
    /// Names of the running tasks on nodes, by uid of the request that started them.
    pub running: BTreeMap<String, String>,
    /// Number of starts, by idempotency key.
    pub starts: BTreeMap<String, u32>,
}

/// An edge and its only planner.
pub struct Simulation {
    core: Core,
    pub store: Store,
    pub now: f64,
    /// Tasks that the planner has acknowledged and for which it has no commit yet, by uid.
    acknowledged: BTreeMap<String, PlacementRequest>,
    /// Messages of the planner that the edge has not received yet.
    in_flight: Vec<ToEdge>,
    /// The batch of each step.
    pub batches: Vec<Batch>,
}

pub fn limits() -> Limits {
    Limits {
        max_history: 64,
        ..Limits::default()
    }
}

impl Simulation {
    /// Restores an edge from these records.
    pub fn new(now: f64, records: &LoadedRecords) -> Self {
        let config = parse("built-in", DEFAULT_CONFIG).unwrap();
        let version = reserved_version(records).unwrap().max(FIRST_VERSION);
        let mut store = Store::new(limits(), 7 ^ records.generation, version);
        let mut core = Core::new(config, 3 ^ records.generation);
        core.restore(now, records, &mut store).unwrap();
        store.track_writes();
        let namespace = json!({"kind": "Namespace", "metadata": {"name": "default"}, "spec": {}, "status": {"phase": "Active"}});
        // Creation fails if the namespace was restored.
        drop(store.create(NAMESPACES, namespace, now));
        Self {
            core,
            store,
            now,
            acknowledged: BTreeMap::new(),
            in_flight: vec![],
            batches: vec![],
        }
    }

    pub fn step(&mut self, inputs: Vec<Input>) -> Vec<ToPlanner> {
        let mut outgoing = Vec::new();
        self.core
            .step(self.now, inputs, &mut self.store, &mut outgoing);
        let writes = self.core.take_writes(&mut self.store);
        assert!(writes.errors.is_empty());
        self.batches.push(writes.batch);
        outgoing.into_iter().map(|sent| sent.message).collect()
    }

    /// Delivers messages to the planner, which starts tasks on one node and answers according to the state of the
    /// nodes.
    pub fn deliver(&mut self, messages: Vec<ToPlanner>, nodes: &mut NodeState) {
        for message in messages {
            match message {
                ToPlanner::Place(request) => {
                    let uid = request.uid.clone();
                    self.acknowledged.insert(uid.clone(), request);
                    self.in_flight.push(ToEdge::Acknowledged { uid });
                }
                ToPlanner::Commit { uid, .. } => self.start(uid, nodes),
                ToPlanner::Adopt { request, node } => self.adopt(request, node, nodes),
                ToPlanner::Locate { uid, .. } => {
                    let location = if nodes.running.contains_key(&uid) {
                        Location::At(NODE.into())
                    } else {
                        Location::NotFound
                    };
                    self.in_flight.push(ToEdge::Located { uid, location });
                }
                ToPlanner::Cancel { uid } => drop(nodes.running.remove(&uid)),
                ToPlanner::Welcome { .. }
                | ToPlanner::Heartbeat
                | ToPlanner::PlannerCount { .. } => {}
            }
        }
    }

    fn start(&mut self, uid: String, nodes: &mut NodeState) {
        let Some(request) = self.acknowledged.remove(&uid) else {
            return;
        };
        *nodes.starts.entry(request.idempotency_key).or_default() += 1;
        nodes.running.insert(uid.clone(), request.name);
        let node = NODE.into();
        self.in_flight.push(ToEdge::Placed {
            uid: uid.clone(),
            node,
        });
        self.in_flight.push(ToEdge::Started { uid });
    }

    fn adopt(&mut self, request: PlacementRequest, node: String, nodes: &NodeState) {
        let uid = request.uid;
        let is_running = nodes.running.values().any(|name| *name == request.name);
        self.in_flight.push(ToEdge::Placed {
            uid: uid.clone(),
            node,
        });
        self.in_flight.push(if is_running {
            ToEdge::Started { uid }
        } else {
            let reason = TerminationReason::NodeLost;
            ToEdge::Ended { uid, reason }
        });
    }

    pub fn run(&mut self, steps: usize, nodes: &mut NodeState) {
        for _ in 0..steps {
            self.now += STEP;
            let planner = PLANNER;
            let inputs = std::mem::take(&mut self.in_flight)
                .into_iter()
                .map(|message| Input::MessageReceived { planner, message })
                .collect();
            let messages = self.step(inputs);
            self.deliver(messages, nodes);
        }
    }

    pub fn pods(&self) -> Vec<Object> {
        self.store
            .iter(PODS, "")
            .map(|pod| (**pod).clone())
            .collect()
    }

    /// Uids of the Pods that a node has accepted.
    pub fn placed_pods(&self) -> BTreeSet<String> {
        self.pods()
            .iter()
            .filter(|pod| !meta::text_at(pod, &["spec", "nodeName"]).is_empty())
            .map(|pod| meta::uid(pod).to_owned())
            .collect()
    }
}
