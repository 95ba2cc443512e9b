//! Start and shutdown of the planner as a program.

use crate::attempts::{AttemptRecordError, Attempts};
use crate::core::{Core, Input};
use crate::edge_connections::EdgeConnections;
use crate::event_loop::EventLoop;
use crate::options::Options;
use crate::process::PlannerProcess;
use async_channel::Receiver;
use parking_lot::Mutex;
use serde_json::json;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;
use tidespur_config::Config;
use tidespur_coordination::Fence;
use tidespur_daemon::{open_store, send_lag_probes, wait_for_shutdown_without_membership};
use tidespur_membership::{MemberMetadata, Role};
use tidespur_membership_net::{JoinError, MemberHandle, ReplacedError, ShutdownReason};
use tidespur_net::Recorder;
use tidespur_persistence::{DurableStore, LoadedRecords, PersistenceError};
use tidespur_policy::interface::SettingsError;

/// Inputs that may wait for the event loop.
const MAX_QUEUED_INPUTS: usize = 16_384;

/// Why the planner can't start, or did not shut down in order.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum RunError {
    /// The file of `--record` can't be opened.
    #[error("{path}: the recording can't be opened: {error}; name another file with --record")]
    Recording {
        /// The file.
        path: PathBuf,
        /// The system's error.
        error: std::io::Error,
    },
    /// The policy rejects the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The data directory can't be used.
    #[error(transparent)]
    Persistence(#[from] PersistenceError),
    /// A stored attempt can't be read.
    #[error(transparent)]
    Attempts(#[from] AttemptRecordError),
    /// The planner knows no edge.
    #[error("--edge is needed where no fleet is joined")]
    NoEdge,
    /// The fleet can't be joined.
    #[error(transparent)]
    Join(#[from] JoinError),
    /// A newer process of this planner's name has replaced it in the fleet.
    #[error(transparent)]
    Replaced(#[from] ReplacedError),
}

/// Runs the planner until it is told to shut down.
///
/// # Errors
/// Why it can't start, or that a newer process of its name has replaced it.
pub async fn run(config: Config, options: Options) -> Result<(), RunError> {
    let name = planner_name(&options);
    let recorder = open_recorder(&options, &name)?;
    let core = Core::new(
        config.clone(),
        options.ordinal as usize,
        &options.zone,
        options.shared.seed,
    )?;
    let data = options.shared.data.as_deref();
    let (disk, records) = match open_store(&config, data, "planner", &name)? {
        Some((store, records)) => (Some(DurableStore::start(store)?), Some(records)),
        None => (None, None),
    };
    let core = restore(core, records.as_ref())?;
    let (process, inputs) = new_process(config, options, name, recorder);
    let incarnation = records.as_ref().map(LoadedRecords::incarnation);
    let member = join_fleet(&process, incarnation).await?;
    let mut connections = EdgeConnections::default();
    for address in &process.options.edges {
        connections.open_static(&process, address);
    }
    let _lag_probes = smol::spawn(send_lag_probes(process.inputs.clone(), Input::LagProbe));
    process.recorder.record("started", || json!({}));
    tracing::info!(planner = process.name, "started");

    let shutdown = async {
        match member {
            Some(member) => process.follow_membership(&member, &mut connections).await,
            None => wait_for_shutdown_without_membership(disk.is_some()).await,
        }
    };
    let event_loop = async {
        let event_loop = EventLoop::new(process.clone(), core, inputs, disk.as_ref());
        event_loop.run().await;
        ShutdownReason::Signalled
    };
    let reason = smol::future::or(shutdown, event_loop).await;
    if let Some(disk) = &disk {
        disk.shut_down();
    }
    Ok(reason.into_result()?)
}

fn planner_name(options: &Options) -> String {
    match &options.name {
        Some(name) => name.clone(),
        None => format!("planner-{}", options.ordinal),
    }
}

fn open_recorder(options: &Options, name: &str) -> Result<Recorder, RunError> {
    let Some(path) = &options.shared.record else {
        return Ok(Recorder::default());
    };
    Recorder::append_to(path, name).map_err(|error| RunError::Recording {
        path: path.clone(),
        error,
    })
}

/// Restores what an earlier process stored.
fn restore(core: Core, records: Option<&LoadedRecords>) -> Result<Core, RunError> {
    let Some(records) = records else {
        return Ok(core);
    };
    let attempts = Attempts::load(records)?;
    Ok(core.with_restored_state(attempts, Fence::load(records)))
}

fn new_process(
    config: Config,
    options: Options,
    name: String,
    recorder: Recorder,
) -> (Arc<PlannerProcess>, Receiver<Input>) {
    let (sender, receiver) = async_channel::bounded(MAX_QUEUED_INPUTS);
    let process = PlannerProcess {
        config,
        options,
        name,
        inputs: sender,
        edges: Mutex::new(BTreeMap::new()),
        clients: Mutex::new(BTreeMap::new()),
        node_watches: Mutex::new(BTreeMap::new()),
        recorder,
    };
    (Arc::new(process), receiver)
}

/// Joins the fleet where one is set up. Without a fleet, edges have to be named on the command line.
async fn join_fleet(
    process: &PlannerProcess,
    incarnation: Option<u64>,
) -> Result<Option<MemberHandle>, RunError> {
    let options = &process.options;
    let metadata = MemberMetadata {
        zone: options.zone.clone(),
        ..MemberMetadata::for_role(Role::Planner)
    };
    let member = MemberHandle::join(
        &process.config,
        &options.shared.fleet,
        &process.name,
        metadata,
        options.shared.seed,
        incarnation,
    )
    .await?;
    if member.is_none() && options.edges.is_empty() {
        return Err(RunError::NoEdge);
    }
    Ok(member)
}
