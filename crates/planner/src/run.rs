//! The loop around the planner: sockets and timers in, sockets and timers out. It decides nothing.

use crate::book::EdgeId;
use crate::core::{Answer, Core, Input, Output};
use crate::words;
use async_channel::{Receiver, Sender};
use hyper::Method;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use tidespur_api::task::Ask;
use tidespur_api::{Object, meta, names};
use tidespur_config::Config;
use tidespur_fleet::{Facts, Role, Standing};
use tidespur_fleet_net::Member;
use tidespur_link::{ToEdge, ToPlanner};
use tidespur_net::follow::{Followed, follow};
use tidespur_net::{Client, NetError, Recorder, clock, frames};
use tidespur_policy::interface::{Ending, Why};

/// What the program is started with.
#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    /// Settings (HCL); without it the built-in ones hold
    #[arg(long)]
    pub config: Option<PathBuf>,
    /// Link address of an edge; may be given several times, and is not needed in a fleet
    #[arg(long = "edge")]
    pub edges: Vec<String>,
    /// Address of the register of nodes
    #[arg(long)]
    pub register: String,
    /// Zone that this planner is in
    #[arg(long, default_value = "")]
    pub zone: String,
    /// Number of this planner, from 0
    #[arg(long, default_value_t = 0)]
    pub ordinal: u32,
    /// Name of this planner in logs; from its number if not given
    #[arg(long)]
    pub name: Option<String>,
    /// What its chance is drawn from
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Record what crosses its sockets in this file
    #[arg(long)]
    pub record: Option<PathBuf>,
    /// How it joins a fleet
    #[command(flatten)]
    pub fleet: tidespur_fleet_net::Joining,
}

/// Inputs that may wait for the core.
const INPUTS_MOST: usize = 16_384;
/// How far the planner is behind its work is measured this often.
const MARK: f64 = 0.1;
/// Heads of watches must be there within this.
const HEAD_WITHIN: f64 = 2.0;
/// A node or the register silent for this long has lost its watch; both tell every half second that they live.
const SILENCE: f64 = 1.6;
/// Links to edges at once.
const LINKS_MOST: usize = 256;
/// The fleet is told how this planner stands this often.
const TELL: f64 = 0.5;
/// Pause before a lost connection is tried again.
const AGAIN: f64 = 0.25;

type Edges = Arc<Mutex<BTreeMap<EdgeId, Sender<ToEdge>>>>;

struct Loop {
    config: Config,
    options: Options,
    name: String,
    inputs: Sender<Input>,
    edges: Edges,
    clients: Mutex<BTreeMap<String, Client>>,
    watches: Mutex<BTreeMap<String, smol::Task<()>>>,
    recorder: Recorder,
}

/// Runs the planner until the process ends.
pub async fn run(config: Config, options: Options) -> Result<(), String> {
    let name = options.name.clone().unwrap_or_else(|| format!("planner-{}", options.ordinal));
    let recorder = match &options.record {
        Some(path) => Recorder::to(path, &name).map_err(|e| format!("{}: {e}", path.display()))?,
        None => Recorder::default(),
    };
    let core = Core::new(config.clone(), options.ordinal as usize, &options.zone, options.seed);
    let mut core = core.map_err(|e| e.to_string())?;
    let (send, receive) = async_channel::bounded(INPUTS_MOST);
    let this = Arc::new(Loop {
        config,
        options,
        name,
        inputs: send,
        edges: Edges::default(),
        clients: Mutex::default(),
        watches: Mutex::default(),
        recorder,
    });
    let facts = Facts { zone: this.options.zone.clone(), ..Facts::of(Role::Planner) };
    let options = &this.options;
    let member = Member::join(&this.config, &options.fleet, &this.name, facts.clone(), options.seed).await?;
    if member.is_none() && options.edges.is_empty() {
        return Err("--edge is needed where no fleet is joined".into());
    }
    let mut links = Links::default();
    for address in &options.edges {
        links.open(&this, address, true);
    }
    smol::spawn(this.clone().keep_fleet(member, facts, links)).detach();
    let marks = this.inputs.clone();
    smol::spawn(async move {
        while marks.send(Input::Sent(clock::now())).await.is_ok() {
            clock::sleep(MARK).await;
        }
    })
    .detach();
    this.recorder.note("started", || json!({}));
    tracing::info!(planner = this.name, "started");
    this.turn(&mut core, receive).await;
    Ok(())
}

impl Loop {
    async fn turn(self: &Arc<Self>, core: &mut Core, inputs: Receiver<Input>) {
        loop {
            let mut batch = match clock::within(0.25, inputs.recv()).await {
                Some(Ok(input)) => vec![input],
                Some(Err(_)) => return,
                None => vec![Input::Tick],
            };
            while batch.len() < self.config.planner.step_most as usize {
                let Ok(input) = inputs.try_recv() else { break };
                batch.push(input);
            }
            let mut outputs = Vec::new();
            core.step(clock::now(), batch, &mut outputs);
            for output in outputs {
                self.carry_out(output);
            }
        }
    }

    fn carry_out(self: &Arc<Self>, output: Output) {
        match output {
            Output::Edge(edge, message) => {
                self.recorder.note("tell", || json!({"message": message}));
                let Ok(edges) = self.edges.lock() else { return };
                // A full queue means that the edge reads nothing: its link ends, and its tasks with it.
                if let Some(send) = edges.get(&edge)
                    && send.try_send(message).is_err()
                {
                    send.close();
                }
            }
            Output::Cut => {
                let Ok(edges) = self.edges.lock() else { return };
                for send in edges.values() {
                    send.close();
                }
            }
            Output::Offer { task, attempt, node, address, ask, wait } => {
                let this = self.clone();
                smol::spawn(async move {
                    let answer = this.offer(&node, &address, &ask, attempt, wait).await;
                    let _ = this.inputs.send(Input::Answered { task, attempt, answer }).await;
                })
                .detach();
            }
            Output::Delete { address, name, pod_uid } => {
                let this = self.clone();
                smol::spawn(async move { this.delete(&address, &name, pod_uid).await }).detach();
            }
            Output::WatchNode(node, address) => {
                let this = self.clone();
                let key = node.clone();
                let task = smol::spawn(async move { this.watch_node(&node, &address).await });
                if let Ok(mut watches) = self.watches.lock() {
                    // Dropping the older one's task ends it.
                    watches.insert(key, task);
                }
            }
            Output::Subscribe => {
                let this = self.clone();
                smol::spawn(async move {
                    let ended = this.watch_register().await;
                    tracing::warn!(planner = this.name, why = ended, "the watch on the register ended");
                    let _ = this.inputs.send(Input::ListFailed).await;
                })
                .detach();
            }
            Output::Probe(node, address) => {
                let this = self.clone();
                smol::spawn(async move {
                    let client = this.client(&address);
                    let reply = client.send(Method::GET, "/healthz", "", bytes::Bytes::new(), 1.0).await;
                    let report = reply.ok().and_then(|reply| load(&reply));
                    let _ = this.inputs.send(Input::Probed(node, report)).await;
                })
                .detach();
            }
            Output::Timer(after, token) => {
                let this = self.clone();
                smol::spawn(async move {
                    clock::sleep(after).await;
                    let _ = this.inputs.send(Input::Timer(token)).await;
                })
                .detach();
            }
            Output::Log(line) => tracing::info!(planner = self.name, "{line}"),
        }
    }

    fn client(&self, address: &str) -> Client {
        let headers =
            vec![(names::ZONE_HEADER, self.options.zone.clone()), (names::PEER_HEADER, self.name.clone())];
        let connections = self.config.planner.node_connections as usize;
        let new = || Client::new(address, connections, headers);
        match self.clients.lock() {
            Ok(mut clients) => clients.entry(address.to_owned()).or_insert_with(new).clone(),
            Err(_) => new(),
        }
    }

    async fn offer(&self, node: &str, address: &str, ask: &Ask, attempt: u32, wait: f64) -> Answer {
        let until = clock::now() + wait;
        let path = format!("/api/v1/namespaces/{}/pods", ask.tenant);
        let pod = pod(ask);
        self.recorder.note("send", || {
            json!({"uid": ask.uid, "key": ask.key, "service": ask.service, "class": ask.class, "node": node,
                "attempt": attempt})
        });
        let client = self.client(address).with("x-tidespur-until", format!("{until:.6}"));
        let body = pod.to_string().into_bytes().into();
        let reply = client.send(Method::POST, &path, "application/json", body, wait).await;
        let (answer, said) = match reply {
            Ok(reply) => {
                let (report, status, body) = (load(&reply), reply.status.as_u16(), reply.json());
                match words::answer(status, &body) {
                    None => (Answer::Accepted(report), "accepted".to_owned()),
                    Some(ending) => {
                        let said = words::refusal(status, &body);
                        (Answer::Ended(ending, said.clone(), report), said)
                    }
                }
            }
            Err(problem) => {
                let ending = match &problem {
                    NetError::Connect(_) | NetError::Refused | NetError::Request(_) => Ending::NoConnection,
                    NetError::Timeout => Ending::Late,
                    NetError::Broken(_) => Ending::Broken(Why::Unknown),
                };
                (Answer::Ended(ending, problem.to_string(), None), problem.to_string())
            }
        };
        self.recorder
            .note("answer", || json!({"uid": ask.uid, "node": node, "attempt": attempt, "said": said}));
        tracing::debug!(uid = ask.uid, node, attempt, said, "offer answered");
        answer
    }

    async fn delete(&self, address: &str, (space, name): &(String, String), pod_uid: Option<String>) {
        let path = format!("/api/v1/namespaces/{space}/pods/{name}");
        let body = match pod_uid {
            Some(uid) => json!({"preconditions": {"uid": uid}}),
            None => json!({}),
        };
        let bytes: bytes::Bytes = body.to_string().into_bytes().into();
        for pause in [0.1, 0.5, 1.0, 2.0, 4.0] {
            let client = self.client(address);
            match client.send(Method::DELETE, &path, "application/json", bytes.clone(), 2.0).await {
                // Done, not there, or another Pod by now.
                Ok(reply) if reply.status.is_success() || [404, 409].contains(&reply.status.as_u16()) => {
                    return;
                }
                Ok(_) | Err(NetError::Timeout | NetError::Broken(_) | NetError::Connect(_)) => {}
                // Its process is dead, and the Pod with it.
                Err(NetError::Refused) => return,
                Err(NetError::Request(problem)) => {
                    return tracing::error!(problem, space, name, "a deletion can't be sent");
                }
            }
            clock::sleep(pause).await;
        }
        tracing::warn!(
            space,
            name,
            address,
            "a Pod could not be deleted; it ends by itself or by a later sweep"
        );
    }

    async fn watch_node(&self, node: &str, address: &str) {
        let path = "/api/v1/pods?watch=true&allowWatchBookmarks=true&sendInitialEvents=true\
            &resourceVersionMatch=NotOlderThan";
        loop {
            let client = self.client(address);
            let down = match client.lines(path, HEAD_WITHIN).await {
                Ok(mut lines) => {
                    let mut first = Some(Vec::new());
                    while let Some(Ok(Some(line))) = clock::within(SILENCE, lines.next()).await {
                        let Ok(mut event) = serde_json::from_slice::<Value>(&line) else { break };
                        let object = event["object"].take();
                        let input = match (event["type"].as_str().unwrap_or(""), &mut first) {
                            ("BOOKMARK", Some(_)) => match first.take() {
                                Some(held) => Input::NodeHolds(node.to_owned(), held),
                                None => continue,
                            },
                            ("BOOKMARK", None) => Input::NodeHeard(node.to_owned()),
                            ("ADDED", Some(held)) => {
                                held.push(object);
                                continue;
                            }
                            ("ADDED" | "MODIFIED", _) => Input::NodePod(node.to_owned(), object, false),
                            ("DELETED", _) => Input::NodePod(node.to_owned(), object, true),
                            _ => break,
                        };
                        let _ = self.inputs.send(input).await;
                    }
                    false
                }
                Err(NetError::Refused) => true,
                Err(_) => false,
            };
            let _ = self.inputs.send(Input::NodeDown(node.to_owned(), down)).await;
            clock::sleep(AGAIN).await;
        }
    }

    /// One list and the watch after it; says why it ended.
    async fn watch_register(&self) -> String {
        let client = self.client(&self.options.register);
        let read = |followed| match followed {
            Followed::Whole(nodes) => {
                let lines: Vec<Value> = nodes.iter().map(told).collect();
                self.recorder.note("list", || json!({"nodes": lines}));
                Input::ListWhole(nodes)
            }
            Followed::Change(node, deleted) => {
                let mut line = told(&node);
                line["deleted"] = deleted.into();
                self.recorder.note("told", || line);
                Input::ListChange(node, deleted)
            }
        };
        follow(&client, "/api/v1/nodes", HEAD_WITHIN, SILENCE, read, &self.inputs).await
    }

    /// Keeps a link to each edge that the fleet lists; ends with the member.
    async fn keep_fleet(self: Arc<Self>, member: Option<Member>, facts: Facts, mut links: Links) {
        let Some(member) = member else {
            // The links given by hand are kept.
            return std::future::pending().await;
        };
        loop {
            member.news_within(TELL).await;
            let view = member.view();
            let listed = view.live().filter_map(|seen| seen.facts.as_ref());
            let listed: Vec<&Facts> = listed.filter(|facts| facts.role == Role::Edge).collect();
            for edge in listed.iter().filter(|edge| !edge.link.is_empty() && !edge.leaving) {
                links.open(&self, &edge.link, false);
            }
            // An edge in whose place nobody is known any more: one that is only lost is dialled on, as the view may be
            // wrong and a link that works is better evidence.
            let known: Vec<&str> = view
                .members
                .iter()
                .filter(|seen| seen.standing != Standing::Left)
                .filter_map(|seen| Some(seen.facts.as_ref()?.link.as_str()))
                .collect();
            links.keep(&self, &known);
            member.tell(facts.clone());
        }
    }

    async fn follow_edge(&self, id: EdgeId, address: &str) {
        loop {
            match self.serve_edge(id, address).await {
                Ok(()) => tracing::info!(planner = self.name, edge = address, "the link ended"),
                Err(why) => tracing::debug!(planner = self.name, edge = address, why, "no link"),
            }
            if let Ok(mut edges) = self.edges.lock() {
                edges.remove(&id);
            }
            let _ = self.inputs.send(Input::EdgeLost(id)).await;
            clock::sleep(AGAIN).await;
        }
    }

    async fn serve_edge(&self, id: EdgeId, address: &str) -> Result<(), String> {
        let socket = clock::within(1.0, smol::net::TcpStream::connect(address)).await;
        let socket = socket.ok_or("timed out")?.map_err(|e| e.to_string())?;
        socket.set_nodelay(true).map_err(|e| e.to_string())?;
        let (send, queue) = async_channel::bounded(frames::QUEUE_MOST);
        let hello = ToEdge::Hello { planner: self.name.clone(), ordinal: self.options.ordinal };
        send.try_send(hello).map_err(|e| e.to_string())?;
        if let Ok(mut edges) = self.edges.lock() {
            edges.insert(id, send.clone());
        }
        let patience = self.config.planner.edge_patience;
        let read = |message| {
            if message == ToPlanner::Ping {
                return None;
            }
            self.recorder.note("heard", || json!({"message": message}));
            Some(Input::Edge(id, message))
        };
        let reader = frames::FrameReader::new(socket.clone());
        let link = frames::Link { queue, send, ping: ToEdge::Ping };
        frames::keep(socket, reader, link, patience, read, &self.inputs).await
    }
}

/// Links to edges, by address.
#[derive(Default)]
struct Links {
    open: BTreeMap<String, Link>,
    next: EdgeId,
}

struct Link {
    id: EdgeId,
    by_hand: bool,
    task: smol::Task<()>,
}

impl Links {
    /// Opens a link, unless there is one.
    fn open(&mut self, to: &Arc<Loop>, address: &str, by_hand: bool) {
        if self.open.contains_key(address) || self.open.len() >= LINKS_MOST {
            return;
        }
        let (this, id, at) = (to.clone(), self.next, address.to_owned());
        self.next += 1;
        let task = smol::spawn(async move { this.follow_edge(id, &at).await });
        self.open.insert(address.to_owned(), Link { id, by_hand, task });
    }

    /// Dials edges no more that are not known any more, but for those given by hand. A link that stands is left to
    /// end by itself: it is better evidence than the view.
    fn keep(&mut self, of: &Arc<Loop>, known: &[&str]) {
        let stands = |id: EdgeId| of.edges.lock().is_ok_and(|edges| edges.contains_key(&id));
        let gone: Vec<String> = self
            .open
            .iter()
            .filter(|(at, link)| !link.by_hand && !known.contains(&at.as_str()) && !stands(link.id))
            .map(|(at, _)| at.clone())
            .collect();
        for address in gone {
            let Some(Link { id, task, .. }) = self.open.remove(&address) else { continue };
            drop(task);
            let this = of.clone();
            smol::spawn(async move { drop(this.inputs.send(Input::EdgeLost(id)).await) }).detach();
        }
    }
}

/// What a Node in the list says, for the recording.
fn told(node: &Object) -> Value {
    json!({"node": meta::name(node), "unschedulable": meta::at(node, &["spec", "unschedulable"]),
        "up_since": meta::annotation(node, names::UP_SINCE), "rack": meta::label(node, names::RACK),
        "zone": meta::label(node, names::ZONE)})
}

fn load(reply: &tidespur_net::Reply) -> Option<tidespur_policy::interface::Report> {
    words::report(reply.headers.get(names::LOAD_HEADER)?.to_str().ok()?)
}

/// The Pod that a node is offered: the owner's spec, with what was read from it as the one sum of requests.
fn pod(ask: &Ask) -> Object {
    let memory = (ask.memory * names::MEMORY_UNIT).round();
    let job = ask.service.split_once('/').map_or("", |(_, job)| job);
    let mut annotations = json!({names::UID: ask.uid, names::KEY: ask.key});
    if let Some(life) = ask.life {
        annotations[names::EXPECTED_SECONDS] = life.to_string().into();
    }
    let mut spec: Value = serde_json::from_str(&ask.spec).unwrap_or(Value::Null);
    if spec["containers"][0].is_null() {
        // An edge always sends the spec; a peer that does not gets a Pod of that size.
        spec = json!({"containers": [{"name": "main", "resources": {"requests":
            {"cpu": format!("{}", ask.cores), "memory": format!("{memory}")}}}]});
    }
    spec["priorityClassName"] = ask.class.clone().into();
    json!({"kind": "Pod", "apiVersion": "v1",
        "metadata": {"name": ask.name, "namespace": ask.tenant, "annotations": annotations,
            "labels": {names::JOB_NAME: job}},
        "spec": spec})
}
