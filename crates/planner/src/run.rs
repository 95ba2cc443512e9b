//! Start-up and shutdown of the planner.

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
use tidespur_persistence::{Disk, LoadedRecords, PersistenceError};
use tidespur_policy::interface::SettingsError;

/// Capacity of the event loop's input queue.
const MAX_QUEUED_INPUTS: usize = 16_384;

/// Why the planner can't start, or had to shut down.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum RunError {
    /// The file given by `--record` can't be opened.
    #[error("can't open the recording {path}: {error}; choose another file with --record")]
    Recording {
        /// Path as given on the command line.
        path: PathBuf,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// The scheduling policy rejects the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The data directory can't be opened, or its contents can't be read.
    #[error(transparent)]
    Persistence(#[from] PersistenceError),
    /// A stored attempt is malformed.
    #[error(transparent)]
    Attempts(#[from] AttemptRecordError),
    /// No edge is given, and no fleet is configured in which edges could be discovered.
    #[error("--edge is required unless the planner joins a fleet")]
    NoEdge,
    /// The fleet can't be joined.
    #[error(transparent)]
    Join(#[from] JoinError),
    /// A newer process with the same name has joined the fleet.
    #[error(transparent)]
    Replaced(#[from] ReplacedError),
}

/// Runs the planner until a signal or the fleet shuts it down.
///
/// # Errors
/// The planner can't start, or a newer process with its name has replaced it in the fleet.
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
        Some((store, records)) => (Some(Disk::start(store)?), Some(records)),
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
        disk.finish();
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

/// Restores the state that earlier processes stored.
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

/// Joins the fleet if one is configured. Without a fleet, edges have to be given on the command line.
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
