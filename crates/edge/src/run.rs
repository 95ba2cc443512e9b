//! The loop around the edge: sockets and timers in, sockets and timers out. It decides nothing.

use crate::core::{Core, Input};
use crate::desk::PlannerId;
use crate::hooks::EdgeHooks;
use crate::memory::{self, Disk, Shared};
use crate::options::Options;
use async_channel::Sender;
use serde_json::json;
use smol::net::TcpListener;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, AtomicUsize};
use std::sync::{Arc, Mutex};
use tidespur_api::resource::NAMESPACES;
use tidespur_config::Config;
use tidespur_coordination_net::VoterHandle;
use tidespur_load_shedding::LoadShedder;
use tidespur_membership::{MemberMetadata, Role};
use tidespur_membership_net::{MemberHandle, ShutdownReason, shutdown_signal};
use tidespur_net::routes::Routes;
use tidespur_net::{Client, Recorder, clock, server};
use tidespur_planner_protocol::ToPlanner;
use tidespur_rest::{Api, ApiHandler, Limits};

/// Inputs that may wait for the core.
const INPUTS_MOST: usize = 16_384;
/// Silence after which the register's watch counts as lost.
pub(crate) const SILENCE: f64 = 1.6;

/// A planner that is linked.
pub(crate) struct Linked {
    pub(crate) name: String,
    pub(crate) send: Sender<ToPlanner>,
}

pub(crate) struct Loop {
    pub(crate) config: Config,
    pub(crate) options: Options,
    pub(crate) inputs: Sender<Input>,
    pub(crate) api: Arc<Api<EdgeHooks>>,
    pub(crate) planners: Mutex<BTreeMap<PlannerId, Linked>>,
    pub(crate) recorder: Recorder,
    pub(crate) disk: Shared,
}

/// Runs the edge until the process ends. `ready` is called with the addresses of API, link and, where it joins a
/// fleet, of its datagrams.
pub async fn run(
    config: Config,
    options: Options,
    ready: impl FnOnce(&[String]),
) -> Result<(), String> {
    let bind = async |address: &str| {
        TcpListener::bind(address)
            .await
            .map_err(|e| format!("{address}: can't listen: {e}"))
    };
    let (api_listener, link_listener) = (bind(&options.api).await?, bind(&options.link).await?);
    let address = |l: &TcpListener| {
        l.local_addr()
            .map(|a| a.to_string())
            .map_err(|e| e.to_string())
    };
    let (api_address, link_address) = (address(&api_listener)?, address(&link_listener)?);
    let recorder = match &options.shared.record {
        Some(path) => Recorder::append_to(path, &options.name)
            .map_err(|e| format!("{}: {e}", path.display()))?,
        None => Recorder::default(),
    };
    let limits = tidespur_store::Limits {
        max_history: config.edge.max_history as usize,
        max_objects: config.edge.max_objects as usize,
        ..tidespur_store::Limits::default()
    };
    let remembered = tidespur_daemon::open_store(
        &config,
        options.shared.data.as_deref(),
        "edge",
        &options.name,
    )
    .map_err(|error| error.to_string())?;
    let mut store = memory::store(
        limits,
        options.shared.seed,
        clock::now(),
        remembered.as_ref().map(|(_, back)| back),
    )?;
    let (memory, back) = remembered.unzip();
    let incarnation = back
        .as_ref()
        .map(tidespur_persistence::LoadedRecords::incarnation);
    let mut core = Core::new(config.clone(), options.shared.seed);
    let disk = match (memory, &back) {
        (Some(memory), Some(back)) => Some(Arc::new(Disk::start(
            memory,
            back,
            clock::now(),
            &mut core,
            &mut store,
        )?)),
        _ => {
            core.forgetful();
            None
        }
    };
    let spaces = ["default".to_owned()]
        .into_iter()
        .chain(config.tenants.keys().cloned());
    for space in spaces {
        let object = json!({"kind": "Namespace", "apiVersion": "v1", "metadata": {"name": space},
            "spec": {}, "status": {"phase": "Active"}});
        // The second "default" stands already.
        drop(store.create(NAMESPACES, object, clock::now()));
    }
    let routes = Routes::from_file(options.shared.routes.clone());
    let voter = VoterHandle::start(
        &config,
        &options.name,
        disk.as_ref().map(|disk| disk.disk.clone()),
        back.as_ref(),
        routes,
    );
    let voter = voter.await.map_err(|error| error.to_string())?;
    let voter = voter.map(Arc::new);
    let facts = MemberMetadata {
        api: api_address.clone(),
        link: link_address.clone(),
        ..MemberMetadata::for_role(Role::Edge)
    };
    let member = MemberHandle::join(
        &config,
        &options.shared.fleet,
        &options.name,
        facts.clone(),
        options.shared.seed,
        incarnation,
    );
    let member = member.await.map_err(|error| error.to_string())?;
    let member = member.map(Arc::new);
    let (send, receive) = async_channel::bounded(INPUTS_MOST);
    let hooks = EdgeHooks {
        classes: config.classes.keys().cloned().collect(),
        open: AtomicUsize::new(0),
        open_most: config.edge.max_open_tasks as usize,
        planners: AtomicUsize::new(0),
        inputs: send.clone(),
        register: Client::new(&options.shared.register, 4, vec![]),
        recorder: recorder.clone(),
        ledger: core.ledger(),
        behind: AtomicU64::new(0),
        member: member.clone(),
        disk: disk.clone(),
        voter,
        shedder: Mutex::new(LoadShedder::for_classes(
            config
                .classes
                .values()
                .map(|class| (class.latency_objective, class.priority_weight)),
        )),
    };
    let limits = Limits {
        max_body_bytes: config.edge.max_body_bytes as usize,
        body_timeout: config.edge.body_timeout,
        bookmark_interval: config.edge.bookmark_interval,
        ..Limits::default()
    };
    let api = Arc::new(Api::new(store, limits, hooks));
    let served = server::ServerLimits {
        connections: config.edge.max_connections as usize,
        head_timeout: config.edge.head_timeout,
    };
    let this = Arc::new(Loop {
        config,
        options,
        inputs: send,
        api: api.clone(),
        planners: Mutex::default(),
        recorder,
        disk,
    });
    smol::spawn(this.clone().accept(link_listener)).detach();
    smol::spawn(this.clone().follow_register()).detach();
    smol::spawn(this.clone().mark()).detach();
    smol::spawn(this.clone().count_planners()).detach();
    smol::spawn(
        async move { server::serve(api_listener, served, Arc::new(ApiHandler(api))).await },
    )
    .detach();
    tracing::info!(
        edge = this.options.name,
        api = api_address,
        link = link_address,
        "started"
    );
    let mut addresses = vec![api_address, link_address];
    addresses.extend(member.as_ref().map(|member| member.address.to_string()));
    ready(&addresses);
    let ended = async {
        match member {
            Some(member) => this.clone().keep_fleet(member, facts).await,
            // What is remembered is closed in order; without a memory nothing is.
            None if this.disk.is_some() => {
                shutdown_signal().await.unwrap_or(ShutdownReason::Signalled)
            }
            None => std::future::pending().await,
        }
    };
    let turned = async {
        this.turn(core, receive).await;
        ShutdownReason::Signalled
    };
    let ending = smol::future::or(ended, turned).await;
    if let Some(disk) = &this.disk {
        disk.disk.finish();
    }
    ending.into_result().map_err(|error| error.to_string())
}
