//! Starts and runs the edge: sockets, storage, voter, membership and tasks. Makes no decisions.

use crate::admission::AdmissionControl;
use crate::core::{Core, Input};
use crate::error::RunError;
use crate::event_loop::EventLoop;
use crate::hooks::EdgeHooks;
use crate::initial_state::InitialState;
use crate::options::Options;
use crate::server::EdgeServer;
use async_channel::Sender;
use parking_lot::Mutex;
use smol::Task;
use smol::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize};
use tidespur_config::Config;
use tidespur_coordination_net::VoterHandle;
use tidespur_daemon::{send_lag_probes, wait_for_shutdown_without_membership};
use tidespur_membership::{MemberMetadata, Role};
use tidespur_membership_net::{MemberHandle, ShutdownReason};
use tidespur_net::routes::Routes;
use tidespur_net::{Client, Recorder, server};
use tidespur_persistence::LoadedRecords;
use tidespur_rest::{Api, ApiHandler, Limits};

/// Capacity of the input queue of the event loop.
const MAX_QUEUED_INPUTS: usize = 16_384;
/// Connections to the node registry for writes of Nodes.
const REGISTRY_CONNECTIONS: usize = 4;

/// A listening socket, and its address.
struct Listener {
    socket: TcpListener,
    address: String,
}

/// Handles to the coordination log and the fleet; `None` if the edge takes no part in them.
struct ClusterHandles {
    voter: Option<Arc<VoterHandle>>,
    member: Option<Arc<MemberHandle>>,
    metadata: MemberMetadata,
}

/// Runs the edge until the process is shut down. `on_ready` is called with the listening addresses of the API, of the
/// link to planners and, if the edge joins a fleet, of the membership protocol.
///
/// # Errors
/// [`RunError`] if the edge cannot start, or if it ends for a reason that requires an operator.
pub async fn run(
    config: Config,
    options: Options,
    on_ready: impl FnOnce(&[String]),
) -> Result<(), RunError> {
    let api_listener = listen(&options.api).await?;
    let link_listener = listen(&options.link).await?;
    let recorder = open_recorder(&options)?;
    let state = InitialState::open(&config, &options)?;
    let api_address = api_listener.address.clone();
    let link_address = link_listener.address.clone();
    let cluster = join_cluster(&config, &options, &state, &api_address, &link_address).await?;
    let member = cluster.member.clone();
    let metadata = cluster.metadata.clone();
    let (inputs_sender, inputs) = async_channel::bounded(MAX_QUEUED_INPUTS);
    let (edge, core) = build_server(config, options, state, cluster, recorder, inputs_sender);
    // Dropping the tasks cancels them.
    let tasks = spawn_tasks(&edge, api_listener, link_listener);
    tracing::info!(
        edge = edge.options.name,
        api = api_address,
        link = link_address,
        "started"
    );
    let mut addresses = vec![api_address, link_address];
    addresses.extend(member.as_ref().map(|member| member.address.to_string()));
    on_ready(&addresses);
    let shutdown = wait_for_shutdown(&edge, member, metadata);
    let event_loop = async {
        EventLoop::new(edge.clone(), core).run(inputs).await;
        ShutdownReason::Signalled
    };
    let reason = smol::future::or(shutdown, event_loop).await;
    if let Some(storage) = &edge.storage {
        storage.disk.finish();
    }
    drop(tasks);
    Ok(reason.into_result()?)
}

async fn listen(address: &str) -> Result<Listener, RunError> {
    let error = |source| RunError::Listen {
        address: address.to_owned(),
        source,
    };
    let socket = TcpListener::bind(address).await.map_err(error)?;
    let address = socket.local_addr().map_err(error)?.to_string();
    Ok(Listener { socket, address })
}

fn open_recorder(options: &Options) -> Result<Recorder, RunError> {
    let Some(path) = &options.shared.record else {
        return Ok(Recorder::default());
    };
    Recorder::append_to(path, &options.name).map_err(|source| RunError::OpenRecord {
        path: path.clone(),
        source,
    })
}

/// Starts the voter of the coordination log and joins the fleet, if the configuration and options say so.
async fn join_cluster(
    config: &Config,
    options: &Options,
    state: &InitialState,
    api_address: &str,
    link_address: &str,
) -> Result<ClusterHandles, RunError> {
    let disk = state.storage.as_ref().map(|storage| storage.disk.clone());
    let records = state.records.as_ref();
    let routes = Routes::from_file(options.shared.routes.clone());
    let voter = VoterHandle::start(config, &options.name, disk, records, routes).await?;
    let metadata = MemberMetadata {
        api: api_address.to_owned(),
        link: link_address.to_owned(),
        ..MemberMetadata::for_role(Role::Edge)
    };
    let member = MemberHandle::join(
        config,
        &options.shared.fleet,
        &options.name,
        metadata.clone(),
        options.shared.seed,
        records.map(LoadedRecords::incarnation),
    )
    .await?;
    Ok(ClusterHandles {
        voter: voter.map(Arc::new),
        member: member.map(Arc::new),
        metadata,
    })
}

fn build_server(
    config: Config,
    options: Options,
    state: InitialState,
    cluster: ClusterHandles,
    recorder: Recorder,
    inputs: Sender<Input>,
) -> (Arc<EdgeServer>, Core) {
    let hooks = EdgeHooks {
        admission: AdmissionControl::from_config(&config),
        connected_planners: AtomicUsize::new(0),
        inputs: inputs.clone(),
        registry: Client::new(&options.shared.registry, REGISTRY_CONNECTIONS, vec![]),
        recorder: recorder.clone(),
        pending_records: state.core.pending_records(),
        resync_count: AtomicU64::new(0),
        member: cluster.member,
        storage: state.storage.clone(),
        voter: cluster.voter,
    };
    let limits = Limits {
        max_body_bytes: config.edge.max_body_bytes as usize,
        body_timeout: config.edge.body_timeout,
        bookmark_interval: config.edge.bookmark_interval,
        ..Limits::default()
    };
    let server = EdgeServer {
        config,
        options,
        inputs,
        api: Arc::new(Api::new(state.store, limits, hooks)),
        planners: Mutex::default(),
        recorder,
        storage: state.storage,
    };
    (Arc::new(server), state.core)
}

fn spawn_tasks(edge: &Arc<EdgeServer>, api: Listener, link: Listener) -> Vec<Task<()>> {
    let limits = server::ServerLimits {
        connections: edge.config.edge.max_connections as usize,
        head_timeout: edge.config.edge.head_timeout,
    };
    let handler = Arc::new(ApiHandler(edge.api.clone()));
    let lag_probe = |sent_at| Input::LagProbe { sent_at };
    vec![
        smol::spawn(edge.clone().accept_planners(link.socket)),
        smol::spawn(edge.clone().watch_nodes()),
        smol::spawn(send_lag_probes(edge.inputs.clone(), lag_probe)),
        smol::spawn(edge.clone().count_planners()),
        smol::spawn(async move { server::serve(api.socket, limits, handler).await }),
    ]
}

async fn wait_for_shutdown(
    edge: &EdgeServer,
    member: Option<Arc<MemberHandle>>,
    metadata: MemberMetadata,
) -> ShutdownReason {
    match member {
        Some(member) => edge.update_membership(&member, metadata).await,
        None => wait_for_shutdown_without_membership(edge.storage.is_some()).await,
    }
}
