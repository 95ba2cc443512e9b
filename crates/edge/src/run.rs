//! The loop around the edge: sockets and timers in, sockets and timers out. It decides nothing.

use crate::core::{Core, Input};
use crate::desk::PlannerId;
use crate::hooks::EdgeHooks;
use crate::waits::lock;
use async_channel::{Receiver, Sender};
use serde_json::json;
use smol::net::{TcpListener, TcpStream};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use tidespur_api::resource::NAMESPACES;
use tidespur_config::Config;
use tidespur_fleet::{Facts, Role};
use tidespur_fleet_net::Member;
use tidespur_link::{ToEdge, ToPlanner};
use tidespur_net::follow::{Followed, follow};
use tidespur_net::{Client, Recorder, clock, frames, server};
use tidespur_pressure::Pressure;
use tidespur_rest::{Api, Limits, Served};
use tidespur_store::Store;

/// What the program is started with.
#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    /// Settings (HCL); without it the built-in ones hold
    #[arg(long)]
    pub config: Option<PathBuf>,
    /// Address of the API
    #[arg(long, default_value = "127.0.0.1:8001")]
    pub api: String,
    /// Address of the link that planners connect to
    #[arg(long, default_value = "127.0.0.1:8002")]
    pub link: String,
    /// Address of the register of nodes
    #[arg(long)]
    pub register: String,
    /// Name of this edge in logs
    #[arg(long, default_value = "edge-0")]
    pub name: String,
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
/// Inputs that are taken into one step.
const STEP_MOST: usize = 512;
/// Silence after which the register's watch counts as lost.
const SILENCE: f64 = 1.6;
/// The fleet is told how this edge stands this often.
const TELL: f64 = 1.0;
/// How far the edge is behind its work is measured this often.
const MARK: f64 = 0.1;

struct Loop {
    config: Config,
    options: Options,
    inputs: Sender<Input>,
    api: Arc<Api<EdgeHooks>>,
    planners: Mutex<BTreeMap<PlannerId, Sender<ToPlanner>>>,
    recorder: Recorder,
}

/// Runs the edge until the process ends. `ready` is called with the addresses of API, link and, where it joins a
/// fleet, of its datagrams.
pub async fn run(config: Config, options: Options, ready: impl FnOnce(&[String])) -> Result<(), String> {
    let bind = async |address: &str| {
        TcpListener::bind(address).await.map_err(|e| format!("{address}: can't listen: {e}"))
    };
    let (api_listener, link_listener) = (bind(&options.api).await?, bind(&options.link).await?);
    let address = |l: &TcpListener| l.local_addr().map(|a| a.to_string()).map_err(|e| e.to_string());
    let (api_address, link_address) = (address(&api_listener)?, address(&link_listener)?);
    let recorder = match &options.record {
        Some(path) => Recorder::to(path, &options.name).map_err(|e| format!("{}: {e}", path.display()))?,
        None => Recorder::default(),
    };
    let limits = tidespur_store::Limits {
        history: config.edge.history as usize,
        objects: config.edge.objects_most as usize,
        ..tidespur_store::Limits::default()
    };
    // Versions begin at the clock, above all that an earlier run may have handed out: a watch that comes back with
    // an old one is told 410 and lists anew.
    let mut store = Store::new(limits, options.seed ^ clock::now().to_bits(), (clock::now() * 1000.0) as u64);
    let spaces = ["default".to_owned()].into_iter().chain(config.tenant.keys().cloned());
    for space in spaces {
        let object = json!({"kind": "Namespace", "apiVersion": "v1", "metadata": {"name": space},
            "spec": {}, "status": {"phase": "Active"}});
        // The second "default" stands already.
        drop(store.create(NAMESPACES, object, clock::now()));
    }
    let facts = Facts { api: api_address.clone(), link: link_address.clone(), ..Facts::of(Role::Edge) };
    let member = Member::join(&config, &options.fleet, &options.name, facts.clone(), options.seed).await?;
    let member = member.map(Arc::new);
    let core = Core::new(config.clone(), options.seed);
    let (send, receive) = async_channel::bounded(INPUTS_MOST);
    let hooks = EdgeHooks {
        classes: config.class.keys().cloned().collect(),
        open: AtomicUsize::new(0),
        open_most: config.edge.open_most as usize,
        planners: AtomicUsize::new(0),
        inputs: send.clone(),
        register: Client::new(&options.register, 4, vec![]),
        recorder: recorder.clone(),
        ledger: core.ledger(),
        behind: AtomicU64::new(0),
        member: member.clone(),
        pressure: Mutex::new(Pressure::of(config.class.values().map(|class| (class.aim, class.worth)))),
    };
    let limits = Limits {
        body: config.edge.body_most as usize,
        body_timeout: config.edge.body_timeout,
        bookmark_every: config.edge.bookmark_every,
        ..Limits::default()
    };
    let api = Arc::new(Api::new(store, limits, hooks));
    let served = server::ServerLimits {
        connections: config.edge.connections_most as usize,
        head_timeout: config.edge.head_timeout,
    };
    let this = Arc::new(Loop {
        config,
        options,
        inputs: send,
        api: api.clone(),
        planners: Mutex::default(),
        recorder,
    });
    smol::spawn(this.clone().accept(link_listener)).detach();
    smol::spawn(this.clone().follow_register()).detach();
    smol::spawn(this.clone().mark()).detach();
    smol::spawn(async move { server::serve(api_listener, served, Arc::new(Served(api))).await }).detach();
    tracing::info!(edge = this.options.name, api = api_address, link = link_address, "started");
    let mut addresses = vec![api_address, link_address];
    if let Some(member) = member {
        addresses.push(member.address.to_string());
        smol::spawn(this.clone().keep_fleet(member, facts)).detach();
    }
    ready(&addresses);
    this.turn(core, receive).await;
    Ok(())
}

impl Loop {
    async fn turn(&self, mut core: Core, inputs: Receiver<Input>) {
        loop {
            let wake = core.next_wake().unwrap_or(f64::INFINITY);
            let mut batch = match clock::within(wake - clock::now(), inputs.recv()).await {
                Some(Ok(input)) => vec![input],
                Some(Err(_)) => return,
                None => vec![],
            };
            while batch.len() < STEP_MOST {
                let Ok(input) = inputs.try_recv() else { break };
                batch.push(input);
            }
            for input in &batch {
                if let Input::Sent(at) = input {
                    let now = clock::now();
                    lock(&self.api.hooks.pressure).mark(now, now - at);
                }
            }
            let mut out = Vec::new();
            let mut store = self.api.store();
            let version = store.version();
            core.step(clock::now(), batch, &mut store, &mut out);
            let changed = store.version() != version;
            drop(store);
            self.api.hooks.open.store(core.open(), Ordering::Relaxed);
            self.api.hooks.behind.store(core.behind(), Ordering::Relaxed);
            self.api.hooks.planners.store(core.planners(), Ordering::Relaxed);
            let Ok(planners) = self.planners.lock() else { return };
            for (planner, message) in out {
                // A full queue means that the planner reads nothing: its link ends, and its tasks with it.
                if let Some(send) = planners.get(&planner)
                    && send.try_send(message).is_err()
                {
                    send.close();
                }
            }
            drop(planners);
            if changed {
                self.api.ring();
            }
        }
    }

    /// Tells the fleet how this edge stands; ends with the member.
    async fn keep_fleet(self: Arc<Self>, member: Arc<Member>, mut facts: Facts) {
        loop {
            member.news_within(TELL).await;
            facts.open = u32::try_from(self.api.hooks.open.load(Ordering::Relaxed)).unwrap_or(u32::MAX);
            member.tell(facts.clone());
        }
    }

    /// Measures how far the edge is behind its work.
    async fn mark(self: Arc<Self>) {
        while self.inputs.send(Input::Sent(clock::now())).await.is_ok() {
            clock::sleep(MARK).await;
        }
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        let mut next: PlannerId = 0;
        loop {
            match listener.accept().await {
                Ok((socket, peer)) => {
                    next += 1;
                    let (this, id) = (self.clone(), next);
                    smol::spawn(async move {
                        let ended = this.serve_planner(id, socket).await;
                        tracing::info!(edge = this.options.name, %peer, ?ended, "a planner's link ended");
                        if let Ok(mut planners) = this.planners.lock() {
                            planners.remove(&id);
                        }
                        let _ = this.inputs.send(Input::PlannerLost(id)).await;
                    })
                    .detach();
                }
                Err(problem) => {
                    tracing::warn!(%problem, "a planner can't be accepted");
                    clock::sleep(0.05).await;
                }
            }
        }
    }

    async fn serve_planner(&self, id: PlannerId, socket: TcpStream) -> Result<(), String> {
        socket.set_nodelay(true).map_err(|e| e.to_string())?;
        let patience = self.config.edge.planner_patience;
        let mut reader = frames::FrameReader::new(socket.clone());
        let first = clock::within(patience, reader.next::<ToEdge>()).await.ok_or("no Hello in time")??;
        let Some(ToEdge::Hello { planner, ordinal }) = first else {
            return Err(format!("its first message is no Hello: {first:?}"));
        };
        tracing::info!(edge = self.options.name, planner, ordinal, "a planner is here");
        let (send, queue) = async_channel::bounded(frames::QUEUE_MOST);
        send.try_send(ToPlanner::Welcome { edge: self.options.name.clone() }).map_err(|e| e.to_string())?;
        self.planners.lock().map_err(|e| e.to_string())?.insert(id, send.clone());
        self.inputs.send(Input::PlannerUp(id)).await.map_err(|e| e.to_string())?;
        let read = |message| {
            if message == ToEdge::Ping {
                return None;
            }
            if matches!(message, ToEdge::Waits(_)) {
                return Some(Input::Said(id, message));
            }
            self.recorder.note("planner", || json!({"planner": planner, "message": format!("{message:?}")}));
            Some(Input::Said(id, message))
        };
        let link = frames::Link { queue, send, ping: ToPlanner::Ping };
        frames::keep(socket, reader, link, patience, read, &self.inputs).await
    }

    async fn follow_register(self: Arc<Self>) {
        loop {
            let why = self.watch_register().await;
            tracing::warn!(edge = self.options.name, why, "the watch on the register ended");
            clock::sleep(0.5).await;
        }
    }

    async fn watch_register(&self) -> String {
        let client = Client::new(&self.options.register, 2, vec![]);
        let read = |followed| match followed {
            Followed::Whole(nodes) => Input::Nodes(nodes),
            Followed::Change(node, deleted) => Input::Node(node, deleted),
        };
        follow(&client, "/api/v1/nodes", 2.0, SILENCE, read, &self.inputs).await
    }
}
