//! The register as a program: it lists nodes, late by a set delay, and knows only of processes that run, drain or
//! are gone.

use hyper::HeaderMap;
use serde::Deserialize;
use serde_json::json;
use std::collections::{BTreeMap, VecDeque};
use std::path::PathBuf;
use std::sync::{Arc, Mutex, OnceLock};
use tidespur_api::resource::NODES;
use tidespur_api::{ApiError, Object, Resource, meta, names};
use tidespur_net::{Recorder, clock, server};
use tidespur_rest::{Api, ApiHandler, Hooks, Limits, Verb};
use tidespur_store::{Precondition, Store};

/// What the program is started with.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where it listens.
    pub listen: String,
    /// Changes are shown so late.
    pub delay: f64,
    /// A node that told nothing for this long is gone.
    pub gone_after: f64,
    /// What crosses its sockets is recorded here.
    pub record: Option<PathBuf>,
}

/// What a node tells.
#[derive(Clone, Debug, Deserialize)]
struct Heartbeat {
    name: String,
    zone: String,
    rack: String,
    kind: String,
    cores: f64,
    memory: f64,
    address: String,
    up_since: f64,
    free_cores: f64,
    free_memory: f64,
}

#[derive(Default)]
struct Truth {
    nodes: BTreeMap<String, (Heartbeat, f64)>,
    unschedulable: BTreeMap<String, bool>,
    /// What will be shown, and when.
    coming: VecDeque<(f64, String, Option<Object>)>,
}

struct RegisterHooks {
    truth: Mutex<Truth>,
    api: OnceLock<Arc<Api<RegisterHooks>>>,
    delay: f64,
    recorder: Recorder,
}

fn show(beat: &Heartbeat, unschedulable: bool) -> Object {
    let capacity =
        json!({"cpu": format!("{}", beat.cores), "memory": format!("{}Gi", beat.memory)});
    json!({"kind": "Node", "apiVersion": "v1",
        "metadata": {"name": beat.name,
            "labels": {names::ZONE: beat.zone, names::RACK: beat.rack, names::INSTANCE_TYPE: beat.kind},
            "annotations": {names::ADDRESS: beat.address, names::STARTED_AT: format!("{:.3}", beat.up_since),
                names::UNCLAIMED_CPU: format!("{:.2}", beat.free_cores),
                names::UNCLAIMED_MEMORY: format!("{:.2}", beat.free_memory)}},
        "spec": {"unschedulable": unschedulable},
        "status": {"capacity": capacity, "allocatable": capacity,
            "conditions": [{"type": "Ready", "status": "True"}]}})
}

impl RegisterHooks {
    fn truth(&self) -> std::sync::MutexGuard<'_, Truth> {
        self.truth
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn beat(&self, beat: Heartbeat) -> Object {
        let now = clock::now();
        let mut truth = self.truth();
        let unschedulable = truth
            .unschedulable
            .get(&beat.name)
            .copied()
            .unwrap_or(false);
        let object = show(&beat, unschedulable);
        truth
            .coming
            .push_back((now + self.delay, beat.name.clone(), Some(object)));
        truth.nodes.insert(beat.name.clone(), (beat, now));
        json!({"unschedulable": unschedulable})
    }

    /// Shows what is due and notices nodes that fell silent.
    fn turn(&self, gone_after: f64) {
        let Some(api) = self.api.get() else { return };
        let now = clock::now();
        let mut truth = self.truth();
        let silent: Vec<String> = truth
            .nodes
            .iter()
            .filter(|(_, (_, at))| *at + gone_after < now)
            .map(|(n, _)| n.clone())
            .collect();
        for name in silent {
            truth.nodes.remove(&name);
            truth.coming.push_back((now + self.delay, name, None));
        }
        let mut changed = false;
        while truth.coming.front().is_some_and(|(at, ..)| *at <= now) {
            let Some((_, name, object)) = truth.coming.pop_front() else {
                break;
            };
            let mut store = api.store();
            let stood = store.get(NODES, "", &name).cloned();
            let shown = match (object, &stood) {
                (Some(object), Some(_)) => store
                    .update(NODES, object, &Precondition::default())
                    .map(drop),
                (Some(object), None) => store.create(NODES, object, now).map(drop),
                (None, Some(_)) => store
                    .delete(NODES, "", &name, &Precondition::default())
                    .map(drop),
                (None, None) => Ok(()),
            };
            if let Err(problem) = shown {
                tracing::warn!(%problem, node = name, "can't be shown");
            }
            changed = true;
        }
        drop(truth);
        if changed {
            api.notify_watchers();
        }
    }
}

impl Hooks for RegisterHooks {
    fn serves(&self, resource: &Resource) -> bool {
        resource.kind == "Node"
    }

    async fn intercept_write(
        &self,
        verb: Verb,
        _resource: &'static Resource,
        object: &Object,
        _headers: &HeaderMap,
    ) -> Option<Result<Object, ApiError>> {
        if verb != Verb::Update {
            return Some(Err(ApiError::method_not_allowed()));
        }
        let unschedulable = meta::value_at(object, &["spec", "unschedulable"])
            .as_bool()
            .unwrap_or(false);
        let name = meta::name(object).to_owned();
        self.recorder.record(
            "mark",
            || json!({"node": name, "unschedulable": unschedulable}),
        );
        let mut truth = self.truth();
        truth.unschedulable.insert(name.clone(), unschedulable);
        if let Some((beat, _)) = truth.nodes.get(&name) {
            let shown = show(beat, unschedulable);
            truth
                .coming
                .push_back((clock::now() + self.delay, name, Some(shown)));
        }
        Some(Ok(object.clone()))
    }

    fn handle_other(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Option<Result<Object, ApiError>> {
        if (method, path) != ("POST", "/standin/heartbeat") {
            return None;
        }
        Some(match serde_json::from_slice(body) {
            Ok(beat) => Ok(self.beat(beat)),
            Err(problem) => Err(ApiError::bad_request(format!("no heartbeat: {problem}"))),
        })
    }
}

/// Runs the register until the process ends. `ready` is called with its address once it listens.
pub async fn run(options: Options, ready: impl FnOnce(&str)) -> std::io::Result<()> {
    let listener = smol::net::TcpListener::bind(&options.listen).await?;
    let address = listener.local_addr()?.to_string();
    let recorder = match &options.record {
        Some(path) => Recorder::append_to(path, "register")?,
        None => Recorder::default(),
    };
    let hooks = RegisterHooks {
        truth: Mutex::default(),
        api: OnceLock::new(),
        delay: options.delay,
        recorder,
    };
    let version = (clock::now() * 1000.0) as u64;
    let store = Store::new(tidespur_store::Limits::default(), 1, version);
    let limits = Limits {
        bookmark_interval: 0.5,
        ..Limits::default()
    };
    let api = Arc::new(Api::new(store, limits, hooks));
    let _ = api.hooks.api.set(api.clone());
    let turning = api.clone();
    smol::spawn(async move {
        loop {
            clock::sleep(0.02).await;
            turning.hooks.turn(options.gone_after);
        }
    })
    .detach();
    ready(&address);
    let limits = server::ServerLimits {
        connections: 1024,
        head_timeout: 30.0,
    };
    server::serve(listener, limits, Arc::new(ApiHandler(api))).await;
    Ok(())
}
