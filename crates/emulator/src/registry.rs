//! Emulated node registry as a server. It publishes changes after a configured delay, and knows of a node only whether
//! it runs, drains or is gone.

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

/// Command-line options of the registry program.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to listen on; port 0 takes any free port.
    pub listen: String,
    /// Seconds after which a change becomes visible.
    pub delay: f64,
    /// Seconds without a heartbeat after which a node is removed.
    pub gone_after: f64,
    /// File to which changes by clients are appended; `None` records nothing.
    pub record: Option<PathBuf>,
}

/// Heartbeat of a node. The field names are keys of its JSON.
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
struct State {
    /// Last heartbeat of each node and the time of its arrival.
    nodes: BTreeMap<String, (Heartbeat, f64)>,
    unschedulable: BTreeMap<String, bool>,
    /// Changes that are not visible yet, oldest first: due time, node name, and the new object or `None` for a removal.
    pending_updates: VecDeque<(f64, String, Option<Object>)>,
}

struct RegistryHooks {
    state: Mutex<State>,
    api: OnceLock<Arc<Api<RegistryHooks>>>,
    delay: f64,
    recorder: Recorder,
}

fn node_object(heartbeat: &Heartbeat, unschedulable: bool) -> Object {
    let capacity =
        json!({"cpu": format!("{}", heartbeat.cores), "memory": format!("{}Gi", heartbeat.memory)});
    json!({"kind": "Node", "apiVersion": "v1",
        "metadata": {"name": heartbeat.name,
            "labels": {names::ZONE: heartbeat.zone, names::RACK: heartbeat.rack, names::INSTANCE_TYPE: heartbeat.kind},
            "annotations": {names::ADDRESS: heartbeat.address, names::STARTED_AT: format!("{:.3}", heartbeat.up_since),
                names::UNCLAIMED_CPU: format!("{:.2}", heartbeat.free_cores),
                names::UNCLAIMED_MEMORY: format!("{:.2}", heartbeat.free_memory)}},
        "spec": {"unschedulable": unschedulable},
        "status": {"capacity": capacity, "allocatable": capacity,
            "conditions": [{"type": "Ready", "status": "True"}]}})
}

impl RegistryHooks {
    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn handle_heartbeat(&self, heartbeat: Heartbeat) -> Object {
        let now = clock::now();
        let mut state = self.state();
        let unschedulable = state
            .unschedulable
            .get(&heartbeat.name)
            .copied()
            .unwrap_or(false);
        let object = node_object(&heartbeat, unschedulable);
        state
            .pending_updates
            .push_back((now + self.delay, heartbeat.name.clone(), Some(object)));
        state.nodes.insert(heartbeat.name.clone(), (heartbeat, now));
        json!({"unschedulable": unschedulable})
    }

    /// Publishes the changes that are due and removes nodes without a heartbeat.
    fn apply_updates(&self, node_timeout: f64) {
        let Some(api) = self.api.get() else { return };
        let now = clock::now();
        let mut state = self.state();
        let expired: Vec<String> = state
            .nodes
            .iter()
            .filter(|(_, (_, at))| *at + node_timeout < now)
            .map(|(n, _)| n.clone())
            .collect();
        for name in expired {
            state.nodes.remove(&name);
            state
                .pending_updates
                .push_back((now + self.delay, name, None));
        }
        let mut changed = false;
        while state
            .pending_updates
            .front()
            .is_some_and(|(at, ..)| *at <= now)
        {
            let Some((_, name, object)) = state.pending_updates.pop_front() else {
                break;
            };
            let mut store = api.store();
            let exists = store.get(NODES, "", &name).is_some();
            let stored = match (object, exists) {
                (Some(object), true) => store
                    .update(NODES, object, &Precondition::default())
                    .map(drop),
                (Some(object), false) => store.create(NODES, object, now).map(drop),
                (None, true) => store
                    .delete(NODES, "", &name, &Precondition::default())
                    .map(drop),
                (None, false) => Ok(()),
            };
            if let Err(error) = stored {
                tracing::warn!(%error, node = name, "node object could not be stored");
            }
            changed = true;
        }
        drop(state);
        if changed {
            api.notify_watchers();
        }
    }
}

impl Hooks for RegistryHooks {
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
        let mut state = self.state();
        state.unschedulable.insert(name.clone(), unschedulable);
        if let Some((heartbeat, _)) = state.nodes.get(&name) {
            let object = node_object(heartbeat, unschedulable);
            state
                .pending_updates
                .push_back((clock::now() + self.delay, name, Some(object)));
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
            Ok(heartbeat) => Ok(self.handle_heartbeat(heartbeat)),
            Err(error) => Err(ApiError::bad_request(format!("no heartbeat: {error}"))),
        })
    }
}

/// Runs the registry until the process ends. Calls `ready` with the address once it listens.
pub async fn run(options: Options, ready: impl FnOnce(&str)) -> std::io::Result<()> {
    let listener = smol::net::TcpListener::bind(&options.listen).await?;
    let address = listener.local_addr()?.to_string();
    let recorder = match &options.record {
        Some(path) => Recorder::append_to(path, "register")?,
        None => Recorder::default(),
    };
    let hooks = RegistryHooks {
        state: Mutex::default(),
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
    let updater = api.clone();
    smol::spawn(async move {
        loop {
            clock::sleep(0.02).await;
            updater.hooks.apply_updates(options.gone_after);
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
