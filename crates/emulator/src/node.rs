//! The node as a program: the published create call for Pods, a watch on them, its load in every answer.

use crate::Fault;
use crate::model::{Action, Event, Node, NodeSettings, Offer, Over, Refusal, Way};
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

/// Header of an offer: after this (Unix seconds) nobody waits for the answer.
pub const UNTIL_HEADER: &str = "x-tidespur-until";
/// Ended Pods stay visible for this long.
const ENDED_KEPT: f64 = 15.0;
/// A node that starts warm counts as up for this long.
const LONG_UP: f64 = 3600.0;
/// Watches hear at least this often that the node lives.
const HEARTBEAT: f64 = 0.4;

/// What the program is started with.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its nature.
    pub settings: NodeSettings,
    /// Where it listens; port 0 for any.
    pub listen: String,
    /// The register's address.
    pub registry: String,
    /// What crosses its sockets is recorded here.
    pub record: Option<PathBuf>,
    /// Priority of each class.
    pub priorities: BTreeMap<String, i64>,
}

/// The model's answer, and how it goes back.
type Answered = (Result<(), Refusal>, Way);

struct Inner {
    model: Node,
    waiting: BTreeMap<u64, async_channel::Sender<Answered>>,
    next: u64,
    /// Objects of offers, until they are answered.
    offered: BTreeMap<u64, Object>,
    ended: Vec<(f64, String, String)>,
}

struct NodeHooks {
    /// Locked before the store, never after.
    inner: Mutex<Inner>,
    /// Deletions that the model is yet to hear of; written under the store's lock.
    deletions: Mutex<Vec<Event>>,
    api: OnceLock<Arc<Api<NodeHooks>>>,
    changed: event_listener::Event,
    recorder: Recorder,
    priorities: BTreeMap<String, i64>,
}

impl NodeHooks {
    fn inner(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner
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

    /// Tells the model, and carries out what it says.
    fn step(&self, events: Vec<Event>) {
        let Some(api) = self.api.get() else { return };
        let now = clock::now();
        let mut actions = Vec::new();
        let mut inner = self.inner();
        inner.model.step(now, events, &mut actions);
        let node = inner.model.settings().name.clone();
        let changed = !actions.is_empty();
        for action in actions {
            match action {
                Action::Answer(id, answer, way) => {
                    let object = inner.offered.remove(&id);
                    if let (Ok(()), Some(mut object)) = (answer, object) {
                        object["spec"]["nodeName"] = node.as_str().into();
                        object["status"] =
                            json!({"phase": "Pending", "startTime": meta::timestamp(now)});
                        let made = api.store().create(PODS, object, now);
                        if let Err(problem) = made {
                            tracing::warn!(%problem, "an accepted Pod can't be shown");
                        }
                    }
                    if let Some(waiting) = inner.waiting.remove(&id) {
                        // The caller may be gone; its connection then takes the answer with it.
                        let _ = waiting.try_send((answer, way));
                    }
                }
                Action::Runs(space, name) => self.show(api, &space, &name, |pod| {
                    pod["status"] = json!({"phase": "Running", "startTime": meta::timestamp(now),
                        "conditions": [{"type": "Ready", "status": "True"}]});
                }),
                Action::Ended(space, name, over) => {
                    let (phase, reason) = match over {
                        Over::Succeeded => ("Succeeded", ""),
                        Over::Evicted => ("Failed", "Evicted"),
                        Over::SentAway => ("Failed", "Terminated"),
                        Over::Deleted => ("Failed", "Deleted"),
                    };
                    self.show(api, &space, &name, |pod| {
                        pod["status"]["phase"] = phase.into();
                        pod["status"]["reason"] = reason.into();
                        meta::map_mut(pod, "status").remove("conditions");
                    });
                    inner.ended.push((now + ENDED_KEPT, space, name));
                }
                Action::BreakWatches => api.close_watches(),
                Action::Fell => self.recorder.record("fell", || json!({"node": node})),
            }
        }
        let due = inner.ended.iter().filter(|(at, ..)| *at <= now).count();
        for (_, space, name) in inner.ended.drain(..due) {
            drop(
                api.store()
                    .delete(PODS, &space, &name, &Precondition::default()),
            );
        }
        drop(inner);
        if changed {
            api.notify_watchers();
        }
        self.changed.notify(usize::MAX);
    }

    fn show(
        &self,
        api: &Api<NodeHooks>,
        space: &str,
        name: &str,
        change: impl FnOnce(&mut Object),
    ) {
        let mut store = api.store();
        let Some(mut pod) = store.get(PODS, space, name).map(|pod| (**pod).clone()) else {
            return;
        };
        change(&mut pod);
        self.recorder.record("pod", || {
            json!({"uid": meta::annotation(&pod, names::EDGE_POD_UID), "key": meta::annotation(&pod, names::IDEMPOTENCY_KEY),
                "phase": pod["status"]["phase"], "reason": pod["status"]["reason"]})
        });
        drop(store.update(PODS, pod, &Precondition::default()));
    }

    fn read_offer(&self, pod: &Object, until: f64) -> Offer {
        let ask = task::placement_request(pod);
        let runs =
            meta::annotation(pod, "standin.tidespur.dev/run-seconds").and_then(|t| t.parse().ok());
        let kind = meta::value_at(pod, &["spec", "nodeSelector"])
            .get(names::INSTANCE_TYPE)
            .and_then(Value::as_str);
        Offer {
            name: (ask.tenant, meta::name(pod).to_owned()),
            uid: meta::annotation(pod, names::EDGE_POD_UID)
                .unwrap_or(&ask.uid)
                .to_owned(),
            key: ask.idempotency_key,
            service: ask.service,
            cores: ask.cores,
            memory: ask.memory,
            priority: self.priorities.get(&ask.class).copied().unwrap_or(0),
            runs: runs.or(ask.expected_duration).unwrap_or(10.0),
            kind: kind.map(str::to_owned),
            until,
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
        let until = text(UNTIL_HEADER).parse().unwrap_or(f64::INFINITY);
        let offer = self.read_offer(object, until);
        let (uid, key, service) = (offer.uid.clone(), offer.key.clone(), offer.service.clone());
        let class = meta::text_at(object, &["spec", "priorityClassName"]).to_owned();
        self.recorder.record("offer", || {
            json!({"uid": uid, "key": key, "service": service, "class": class, "from": text(names::PEER_HEADER)})
        });
        let (send, receive) = async_channel::bounded(1);
        let id = {
            let mut inner = self.inner();
            inner.next += 1;
            let id = inner.next;
            inner.waiting.insert(id, send);
            inner.offered.insert(id, object.clone());
            id
        };
        self.step(vec![Event::Offer(id, offer)]);
        // Without an answer the model hangs or fell; then nothing is answered for as long as the caller waits.
        let answered = receive.recv().await;
        let (answer, way) = match answered {
            Ok(answered) => answered,
            Err(_) => return std::future::pending().await,
        };
        let said = match answer {
            Ok(()) => "accepted".to_owned(),
            Err(refusal) => format!("{refusal:?}"),
        };
        self.recorder.record("answer", || {
            json!({"uid": uid, "key": key, "class": class, "said": said, "way": format!("{way:?}"),
                "from": text(names::PEER_HEADER)})
        });
        match way {
            Way::Silent => std::future::pending().await,
            Way::Reset => Err(ApiError::new(ABORT_CONNECTION, "Cut", "cut")),
            Way::Sent => {
                let api = self
                    .api
                    .get()
                    .ok_or_else(|| ApiError::unavailable("starting", 1))?;
                answer.map_err(|refusal| refused(refusal, meta::name(object)))?;
                let (space, name) = (meta::namespace(object), meta::name(object));
                let made = api
                    .store()
                    .get(PODS, space, name)
                    .map(|pod| (**pod).clone());
                Ok(made.unwrap_or_else(|| object.clone()))
            }
        }
    }
}

/// A refusal as a published Status; kubelet's words for why stand in the cause.
fn refused(refusal: Refusal, name: &str) -> ApiError {
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
        // Classes are the edge's matter; a node takes any.
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
        let cut = {
            let inner = self.inner();
            let mute = method == hyper::Method::GET && inner.model.mute(clock::now());
            mute || inner.model.fallen() || inner.model.cut_from(clock::now()).contains(&zone)
        };
        if cut {
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
        // The store is locked here, so the model hears of it right after, in `written`.
        let _ = store;
        let (space, name) = (
            meta::namespace(object).to_owned(),
            meta::name(object).to_owned(),
        );
        if let Ok(mut deletions) = self.deletions.lock() {
            deletions.push(Event::Delete(space, name));
        }
        Ok(object.clone())
    }

    fn on_write(&self) {
        let due = self
            .deletions
            .lock()
            .map(|mut deletions| std::mem::take(&mut *deletions))
            .unwrap_or_default();
        if !due.is_empty() {
            self.step(due);
        }
    }

    fn headers(&self) -> Vec<(&'static str, String)> {
        let (cores, memory, queue) = self.inner().model.load();
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
            Err(problem) => Err(ApiError::bad_request(format!(
                "no fault that is known: {problem}"
            ))),
        })
    }
}

/// Runs the node until the process ends. `ready` is called with its address once it listens.
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
    let inner = Inner {
        model: Node::new(options.settings.clone(), up_since),
        waiting: BTreeMap::new(),
        next: 0,
        offered: BTreeMap::new(),
        ended: Vec::new(),
    };
    let hooks = NodeHooks {
        inner: Mutex::new(inner),
        deletions: Mutex::default(),
        api: OnceLock::new(),
        changed: event_listener::Event::new(),
        recorder,
        priorities: options.priorities.clone(),
    };
    let limits = Limits {
        bookmark_interval: HEARTBEAT,
        ..Limits::default()
    };
    // Versions of a node that comes back must be above those that it handed out before.
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
            let wake = driver.hooks.inner().model.next_wake();
            clock::timeout(wake - clock::now(), listener).await;
            if clock::now() >= wake {
                driver.hooks.step(vec![]);
            }
        }
    })
    .detach();
    let teller = api.clone();
    let (register, at, set) = (
        options.registry.clone(),
        address.clone(),
        options.settings.clone(),
    );
    smol::spawn(async move { tell_register(teller, &register, &at, &set, up_since).await })
        .detach();
    ready(&address);
    let limits = server::ServerLimits {
        connections: 1024,
        head_timeout: 30.0,
    };
    server::serve(listener, limits, Arc::new(ApiHandler(api))).await;
    Ok(())
}

/// Tells the register how the node stands, and learns there whether it is to drain.
async fn tell_register(
    api: Arc<Api<NodeHooks>>,
    register: &str,
    address: &str,
    set: &NodeSettings,
    up_since: f64,
) {
    let client = Client::new(register, 1, vec![]);
    // One that is not cold has been up for long, whenever its process was started.
    let up_since = if set.warm_up_time > 0.0 {
        up_since
    } else {
        up_since - LONG_UP
    };
    loop {
        let (cores, memory) = api.hooks.inner().model.unclaimed();
        let fallen = api.hooks.inner().model.fallen();
        let body = json!({"name": set.name, "zone": set.zone, "rack": set.rack, "kind": set.kind, "cores": set.cores,
            "memory": set.memory, "address": address, "up_since": up_since, "free_cores": cores, "free_memory": memory});
        if !fallen {
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
                    tracing::warn!(status = %reply.status, "the register refuses the node")
                }
                Err(problem) => tracing::debug!(%problem, "the register can't be reached"),
            }
        }
        clock::sleep(0.25).await;
    }
}
