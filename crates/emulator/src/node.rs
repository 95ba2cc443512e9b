//! Emulated node as a server: it accepts Pods through the Kubernetes create call, offers watches on them and reports
//! its load in a header of every response.

use crate::Fault;
use crate::model::{Action, Delivery, Event, Node, NodeSettings, Offer, Refusal, TaskEnd};
use hyper::HeaderMap;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, OnceLock};
use tidespur_api::resource::PODS;
use tidespur_api::{ApiError, Object, Resource, meta, names, status::Cause, task};
use tidespur_net::{Client, Recorder, clock, server};
use tidespur_rest::{ABORT_CONNECTION, Api, ApiHandler, DeleteOptions, Hooks, Limits, Verb};
use tidespur_store::{Precondition, Store};

/// Header of an offer: Unix time in seconds after which the planner no longer waits for the answer.
pub const DEADLINE_HEADER: &str = "x-tidespur-until";
/// Seconds for which an ended Pod stays visible.
const ENDED_POD_RETENTION: f64 = 15.0;
/// Age in seconds that a node reports if it starts warm.
const WARM_NODE_AGE: f64 = 3600.0;
/// Seconds between bookmarks on an idle watch; they show that the node is alive.
const BOOKMARK_INTERVAL: f64 = 0.4;

/// Command-line options of the node program.
#[derive(Clone, Debug)]
pub struct Options {
    /// Size and behaviour of the node.
    pub settings: NodeSettings,
    /// Address to listen on; port 0 takes any free port.
    pub listen: String,
    /// Address of the registry.
    pub registry: String,
    /// File to which requests and state changes are appended; `None` records nothing.
    pub record: Option<PathBuf>,
    /// Priority of each class; a class that is missing here has priority 0.
    pub priorities: BTreeMap<String, i64>,
}

/// Answer of the model to an offer, and how it is delivered.
type Response = (Result<(), Refusal>, Delivery);

struct State {
    model: Node,
    waiting: BTreeMap<u64, async_channel::Sender<Response>>,
    last_offer_id: u64,
    /// Pods of offers that are not answered yet, by offer number.
    offered: BTreeMap<u64, Object>,
    ended: Vec<(f64, String, String)>,
}

struct NodeHooks {
    /// Lock order: this before the store.
    state: Mutex<State>,
    /// Deletions that the model has not handled yet; written while the store is locked.
    deletions: Mutex<Vec<Event>>,
    api: OnceLock<Arc<Api<NodeHooks>>>,
    changed: event_listener::Event,
    recorder: Recorder,
    priorities: BTreeMap<String, i64>,
}

impl NodeHooks {
    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn zone_of(headers: &HeaderMap) -> String {
        headers
            .get(names::ZONE_HEADER)
            .and_then(|v| v.to_str().ok())
            .unwrap_or("")
            .to_owned()
    }

    /// Passes events to the model and executes its actions.
    fn step(&self, events: Vec<Event>) {
        let Some(api) = self.api.get() else { return };
        let now = clock::now();
        let mut actions = Vec::new();
        let mut state = self.state();
        state.model.step(now, events, &mut actions);
        let node = state.model.settings().name.clone();
        let changed = !actions.is_empty();
        for action in actions {
            match action {
                Action::Respond(id, answer, delivery) => {
                    let object = state.offered.remove(&id);
                    if let (Ok(()), Some(mut object)) = (answer, object) {
                        object["spec"]["nodeName"] = node.as_str().into();
                        object["status"] =
                            json!({"phase": "Pending", "startTime": meta::timestamp(now)});
                        let stored = api.store().create(PODS, object, now);
                        if let Err(error) = stored {
                            tracing::warn!(%error, "accepted Pod could not be stored");
                        }
                    }
                    if let Some(waiting) = state.waiting.remove(&id) {
                        // The send fails where the caller has closed its connection.
                        let _ = waiting.try_send((answer, delivery));
                    }
                }
                Action::TaskStarted(namespace, name) => self.update_pod(api, &namespace, &name, |pod| {
                    pod["status"] = json!({"phase": "Running", "startTime": meta::timestamp(now),
                        "conditions": [{"type": "Ready", "status": "True"}]});
                }),
                Action::TaskEnded(namespace, name, end) => {
                    let (phase, reason) = match end {
                        TaskEnd::Succeeded => ("Succeeded", ""),
                        TaskEnd::Evicted => ("Failed", "Evicted"),
                        TaskEnd::Terminated => ("Failed", "Terminated"),
                        TaskEnd::Deleted => ("Failed", "Deleted"),
                    };
                    self.update_pod(api, &namespace, &name, |pod| {
                        pod["status"]["phase"] = phase.into();
                        pod["status"]["reason"] = reason.into();
                        meta::map_mut(pod, "status").remove("conditions");
                    });
                    state.ended.push((now + ENDED_POD_RETENTION, namespace, name));
                }
                Action::CloseWatches => api.close_watches(),
                Action::Overloaded => self.recorder.record("fell", || json!({"node": node})),
            }
        }
        let expired = state.ended.iter().filter(|(at, ..)| *at <= now).count();
        for (_, namespace, name) in state.ended.drain(..expired) {
            drop(
                api.store()
                    .delete(PODS, &namespace, &name, &Precondition::default()),
            );
        }
        drop(state);
        if changed {
            api.notify_watchers();
        }
        self.changed.notify(usize::MAX);
    }

    fn update_pod(
        &self,
        api: &Api<NodeHooks>,
        namespace: &str,
        name: &str,
        change: impl FnOnce(&mut Object),
    ) {
        let mut store = api.store();
        let Some(mut pod) = store.get(PODS, namespace, name).map(|pod| (**pod).clone()) else {
            return;
        };
        change(&mut pod);
        self.recorder.record("pod", || {
            json!({"uid": meta::annotation(&pod, names::EDGE_POD_UID), "key": meta::annotation(&pod, names::IDEMPOTENCY_KEY),
                "phase": pod["status"]["phase"], "reason": pod["status"]["reason"]})
        });
        drop(store.update(PODS, pod, &Precondition::default()));
    }

    fn read_offer(&self, pod: &Object, deadline: f64) -> Offer {
        let request = task::placement_request(pod);
        let run_time =
            meta::annotation(pod, "standin.tidespur.dev/run-seconds").and_then(|t| t.parse().ok());
        let kind = meta::value_at(pod, &["spec", "nodeSelector"])
            .get(names::INSTANCE_TYPE)
            .and_then(Value::as_str);
        Offer {
            name: (request.tenant, meta::name(pod).to_owned()),
            uid: meta::annotation(pod, names::EDGE_POD_UID)
                .unwrap_or(&request.uid)
                .to_owned(),
            idempotency_key: request.idempotency_key,
            service: request.service,
            cores: request.cores,
            memory: request.memory,
            priority: self.priorities.get(&request.class).copied().unwrap_or(0),
            run_time: run_time.or(request.expected_duration).unwrap_or(10.0),
            required_kind: kind.map(str::to_owned),
            deadline,
        }
    }

    async fn offer(&self, object: &Object, headers: &HeaderMap) -> Result<Object, ApiError> {
        let text = |name: &str| {
            headers
                .get(name)
                .and_then(|v| v.to_str().ok())
                .unwrap_or("")
                .to_owned()
        };
        let deadline = text(DEADLINE_HEADER).parse().unwrap_or(f64::INFINITY);
        let offer = self.read_offer(object, deadline);
        let (uid, key, service) = (
            offer.uid.clone(),
            offer.idempotency_key.clone(),
            offer.service.clone(),
        );
        let class = meta::text_at(object, &["spec", "priorityClassName"]).to_owned();
        self.recorder.record("offer", || {
            json!({"uid": uid, "key": key, "service": service, "class": class, "from": text(names::PEER_HEADER)})
        });
        let (send, receive) = async_channel::bounded(1);
        let id = {
            let mut state = self.state();
            state.last_offer_id += 1;
            let id = state.last_offer_id;
            state.waiting.insert(id, send);
            state.offered.insert(id, object.clone());
            id
        };
        self.step(vec![Event::Offer(id, offer)]);
        // An overloaded node gives no answer: this waits until the caller gives up, as for a hang (`Delivery::Silent`).
        let response = receive.recv().await;
        let (answer, delivery) = match response {
            Ok(response) => response,
            Err(_) => return std::future::pending().await,
        };
        let said = match answer {
            Ok(()) => "accepted".to_owned(),
            Err(refusal) => format!("{refusal:?}"),
        };
        self.recorder.record("answer", || {
            json!({"uid": uid, "key": key, "class": class, "said": said, "way": format!("{delivery:?}"),
                "from": text(names::PEER_HEADER)})
        });
        match delivery {
            Delivery::Silent => std::future::pending().await,
            Delivery::Reset => Err(ApiError::new(ABORT_CONNECTION, "Cut", "cut")),
            Delivery::Sent => {
                let api = self
                    .api
                    .get()
                    .ok_or_else(|| ApiError::unavailable("starting", 1))?;
                answer.map_err(|refusal| refusal_error(refusal, meta::name(object)))?;
                let (namespace, name) = (meta::namespace(object), meta::name(object));
                let stored = api
                    .store()
                    .get(PODS, namespace, name)
                    .map(|pod| (**pod).clone());
                Ok(stored.unwrap_or_else(|| object.clone()))
            }
        }
    }
}

/// Status object of a refusal; its cause has the reason and message that a kubelet would give.
fn refusal_error(refusal: Refusal, name: &str) -> ApiError {
    let (reason, message) = match refusal {
        Refusal::OutOfCpu => ("OutOfcpu", "Node didn't have enough resource: cpu"),
        Refusal::OutOfMemory => ("OutOfmemory", "Node didn't have enough resource: memory"),
        Refusal::Kind => ("NodeAffinity", "Predicate NodeAffinity failed"),
        Refusal::Draining => ("NodeShutdown", "The node is draining"),
        Refusal::TooLate => ("TooLate", "The offer came after its time"),
        Refusal::Queue => {
            return ApiError::too_many_requests("too many offers wait at this node", 1);
        }
        Refusal::Copy => return ApiError::already_exists("pods", name),
        Refusal::Error => return ApiError::new(500, "InternalError", "the node failed"),
    };
    let mut error = ApiError::new(
        403,
        "Forbidden",
        format!("pods \"{name}\" is forbidden: {message}"),
    );
    error.causes = vec![Cause {
        reason,
        field: String::new(),
        message: message.into(),
    }];
    error
}

impl Hooks for NodeHooks {
    fn serves(&self, resource: &Resource) -> bool {
        resource.kind == "Pod"
    }

    fn admit(
        &self,
        _store: &Store,
        _resource: &Resource,
        object: &mut Object,
    ) -> Result<(), ApiError> {
        // The edge checks the class; a node accepts any.
        let spec = meta::map_mut(object, "spec");
        spec.entry("containers")
            .or_insert_with(|| json!([{"name": "main"}]));
        Ok(())
    }

    fn classes(&self) -> &[String] {
        static NONE: OnceLock<Vec<String>> = OnceLock::new();
        NONE.get_or_init(|| self.priorities.keys().cloned().collect())
    }

    async fn wait_until_reachable(&self, method: &hyper::Method, headers: &HeaderMap) {
        let zone = Self::zone_of(headers);
        let unreachable = {
            let state = self.state();
            let blocked = method == hyper::Method::GET && state.model.reads_blocked(clock::now());
            blocked
                || state.model.is_overloaded()
                || state.model.partitioned_zones(clock::now()).contains(&zone)
        };
        if unreachable {
            std::future::pending::<()>().await;
        }
    }

    async fn intercept_write(
        &self,
        verb: Verb,
        _resource: &'static Resource,
        object: &Object,
        headers: &HeaderMap,
    ) -> Option<Result<Object, ApiError>> {
        match verb {
            Verb::Create => Some(self.offer(object, headers).await),
            Verb::Update => Some(Err(ApiError::method_not_allowed())),
            Verb::Delete => None,
        }
    }

    fn delete(
        &self,
        store: &mut Store,
        _: &Resource,
        object: &Object,
        how: &DeleteOptions,
    ) -> Result<Object, ApiError> {
        if how
            .uid
            .as_deref()
            .is_some_and(|uid| uid != meta::uid(object))
        {
            return Err(ApiError::conflict(
                "pods",
                meta::name(object),
                "the uid in the precondition does not match",
            ));
        }
        // The store is locked here, and the lock order forbids a step of the model: `on_write` does it right after.
        let _ = store;
        let (namespace, name) = (
            meta::namespace(object).to_owned(),
            meta::name(object).to_owned(),
        );
        if let Ok(mut deletions) = self.deletions.lock() {
            deletions.push(Event::Delete(namespace, name));
        }
        Ok(object.clone())
    }

    fn on_write(&self) {
        let deletions = self
            .deletions
            .lock()
            .map(|mut deletions| std::mem::take(&mut *deletions))
            .unwrap_or_default();
        if !deletions.is_empty() {
            self.step(deletions);
        }
    }

    fn headers(&self) -> Vec<(&'static str, String)> {
        let (cores, memory, queue) = self.state().model.load();
        vec![(
            names::LOAD_HEADER,
            format!("cores={cores:.2};memory={memory:.2};queue={queue}"),
        )]
    }

    fn handle_other(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Option<Result<Object, ApiError>> {
        if (method, path) != ("POST", "/standin/fault") {
            return None;
        }
        Some(match serde_json::from_slice::<Fault>(body) {
            Ok(fault) => {
                self.recorder.record("fault", || json!({"fault": fault}));
                self.step(vec![Event::Fault(fault)]);
                Ok(json!({}))
            }
            Err(error) => Err(ApiError::bad_request(format!(
                "no fault that is known: {error}"
            ))),
        })
    }
}

/// Runs the node until the process ends. Calls `ready` with the address once it listens.
pub async fn run(options: Options, ready: impl FnOnce(&str)) -> std::io::Result<()> {
    let listener = smol::net::TcpListener::bind(&options.listen).await?;
    let address = listener.local_addr()?.to_string();
    let name = options.settings.name.clone();
    let recorder = match &options.record {
        Some(path) => Recorder::append_to(path, &name)?,
        None => Recorder::default(),
    };
    let up_since = clock::now();
    recorder.record("up", || {
        json!({"cold": options.settings.warm_up_time, "cores": options.settings.cores,
        "rack": options.settings.rack, "zone": options.settings.zone})
    });
    let state = State {
        model: Node::new(options.settings.clone(), up_since),
        waiting: BTreeMap::new(),
        last_offer_id: 0,
        offered: BTreeMap::new(),
        ended: Vec::new(),
    };
    let hooks = NodeHooks {
        state: Mutex::new(state),
        deletions: Mutex::default(),
        api: OnceLock::new(),
        changed: event_listener::Event::new(),
        recorder,
        priorities: options.priorities.clone(),
    };
    let limits = Limits {
        bookmark_interval: BOOKMARK_INTERVAL,
        ..Limits::default()
    };
    // After a restart, resource versions must be higher than all that were handed out before; time ensures that.
    let store = Store::new(
        tidespur_store::Limits::default(),
        options.settings.seed,
        (up_since * 1000.0) as u64,
    );
    let api = Arc::new(Api::new(store, limits, hooks));
    let _ = api.hooks.api.set(api.clone());
    let driver = api.clone();
    smol::spawn(async move {
        loop {
            let listener = driver.hooks.changed.listen();
            let wake = driver.hooks.state().model.next_wake();
            clock::timeout(wake - clock::now(), listener).await;
            if clock::now() >= wake {
                driver.hooks.step(vec![]);
            }
        }
    })
    .detach();
    let reporter = api.clone();
    let (registry, own_address, settings) = (
        options.registry.clone(),
        address.clone(),
        options.settings.clone(),
    );
    smol::spawn(async move {
        report_to_registry(reporter, &registry, &own_address, &settings, up_since).await
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

/// Sends heartbeats to the registry; each response says whether the node is to drain.
async fn report_to_registry(
    api: Arc<Api<NodeHooks>>,
    registry: &str,
    address: &str,
    settings: &NodeSettings,
    up_since: f64,
) {
    let client = Client::new(registry, 1, vec![]);
    // A node without warm-up counts as running for long, whenever its process was started.
    let up_since = if settings.warm_up_time > 0.0 {
        up_since
    } else {
        up_since - WARM_NODE_AGE
    };
    loop {
        let (cores, memory) = api.hooks.state().model.unclaimed();
        let overloaded = api.hooks.state().model.is_overloaded();
        let body = json!({"name": settings.name, "zone": settings.zone, "rack": settings.rack, "kind": settings.kind, "cores": settings.cores,
            "memory": settings.memory, "address": address, "up_since": up_since, "free_cores": cores, "free_memory": memory});
        if !overloaded {
            let bytes = body.to_string().into_bytes().into();
            let sent = client
                .send(
                    hyper::Method::POST,
                    "/standin/heartbeat",
                    "application/json",
                    bytes,
                    1.0,
                )
                .await;
            match sent {
                Ok(reply) if reply.status.is_success() => {
                    let draining = reply.json()["unschedulable"].as_bool().unwrap_or(false);
                    api.hooks.step(vec![Event::Draining(draining)]);
                }
                Ok(reply) => {
                    tracing::warn!(status = %reply.status, "registry rejected the heartbeat")
                }
                Err(error) => tracing::debug!(%error, "registry is unreachable; retrying"),
            }
        }
        clock::sleep(0.25).await;
    }
}
