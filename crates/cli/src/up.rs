//! `up` and `measure`: run a whole cluster on the loopback interface.

use clap::Args;
use futures_lite::StreamExt;
use std::collections::BTreeMap;
use std::path::PathBuf;
use tidespur_net::clock;
use tidespur_testbed::supervisor::{self, Action, Supervisor};
use tidespur_testbed::{Cluster, Layout};

#[derive(Args)]
pub struct UpOptions {
    /// Stand-in nodes
    #[arg(long, default_value_t = 16)]
    nodes: usize,
    /// Planners
    #[arg(long, default_value_t = 3)]
    planners: usize,
    /// Edges
    #[arg(long, default_value_t = 1)]
    edges: usize,
    /// What all chance is drawn from
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Address of the API
    #[arg(long, default_value = "127.0.0.1:8001")]
    api: String,
    /// Write the API's address to this file once every node is listed
    #[arg(long)]
    ready_file: Option<PathBuf>,
    /// Settings (HCL)
    #[arg(long)]
    config: Option<PathBuf>,
    /// Record what crosses all sockets in this folder
    #[arg(long)]
    record: Option<PathBuf>,
    /// Keep what outlives edges and planners beneath this folder; else all is in memory only
    #[arg(long)]
    data: Option<PathBuf>,
}

pub fn layout(nodes: usize, planners: usize, seed: u64) -> Result<Layout, String> {
    let program = std::env::current_exe()
        .map_err(|e| format!("cannot determine the path of this program: {e}"))?;
    if nodes == 0 || planners == 0 || nodes > 500 || planners > 100 {
        return Err("--nodes must be from 1 to 500 and --planners from 1 to 100".into());
    }
    Ok(Layout::new(program, nodes, planners, seed))
}

pub fn up(options: UpOptions) -> Result<(), String> {
    let mut layout = layout(options.nodes, options.planners, options.seed)?;
    layout.edges = options.edges.clamp(1, 20);
    layout.fleet = true;
    layout.api_address = options.api;
    layout.config_file = options.config;
    layout.recordings = options.record;
    layout.data_dir = options.data;
    let has_data_directory = layout.data_dir.is_some();
    smol::block_on(async {
        // Registered before any process starts, so that no signal is missed.
        let signals = [async_signal::Signal::Int, async_signal::Signal::Term];
        let mut signals = async_signal::Signals::new(signals)
            .map_err(|e| format!("cannot register signal handlers: {e}"))?;
        let starting = async {
            let cluster = smol::unblock(move || Cluster::start(layout)).await?;
            cluster.wait_ready(60.0).await?;
            Ok::<_, String>(Some(cluster))
        };
        let stopped = async {
            signals.next().await;
            Ok(None)
        };
        let Some(cluster) = futures_lite::future::or(starting, stopped).await? else {
            return Ok(());
        };
        if let Some(path) = &options.ready_file {
            // Written under another name and then renamed, so that a reader never sees half an address.
            let part = path.with_extension("part");
            let written =
                std::fs::write(&part, cluster.api(0)).and_then(|()| std::fs::rename(&part, path));
            written.map_err(|e| format!("{}: {e}", path.display()))?;
        }
        println!("the API is at http://{}; end with Ctrl-C", cluster.api(0));
        for (name, id) in cluster.process_ids() {
            println!("{name} runs as process {id}");
        }
        let stopped = async {
            signals.next().await;
            Ok(())
        };
        let result =
            futures_lite::future::or(stopped, supervise(cluster, has_data_directory)).await;
        println!("stopping");
        result
    })
}

/// Restarts child processes that exit; returns an error once one keeps exiting.
async fn supervise(mut cluster: Cluster, has_data_directory: bool) -> Result<(), String> {
    let names = cluster.process_ids().into_iter().map(|(name, _)| name);
    let mut supervisor = Supervisor::new(supervisor::Settings::default(), names, clock::now());
    loop {
        clock::sleep(0.25).await;
        let ended: BTreeMap<String, String> = cluster.exited().into_iter().collect();
        let names: Vec<String> = ended.keys().cloned().collect();
        for action in supervisor.step(clock::now(), &names) {
            match action {
                Action::Backoff(name, pause) => {
                    let loses_objects = name.starts_with("edge") && !has_data_directory;
                    let loss = if loses_objects {
                        "; the objects that it held are gone"
                    } else {
                        ""
                    };
                    let status = ended.get(&name).map_or("", String::as_str);
                    eprintln!(
                        "tidespur: {name} has ended ({status}){loss}; it is started again in {pause} s"
                    );
                }
                Action::Start(name) => {
                    let restarted;
                    (cluster, restarted) = smol::unblock({
                        let name = name.clone();
                        move || {
                            let restarted = cluster.restart(&name);
                            (cluster, restarted)
                        }
                    })
                    .await;
                    match restarted {
                        Ok(()) => {
                            let id = cluster
                                .process_ids()
                                .into_iter()
                                .find(|(child, _)| *child == name);
                            println!("{name} runs as process {}", id.map_or(0, |(_, id)| id));
                        }
                        Err(error) => eprintln!("tidespur: {error}"),
                    }
                }
                Action::GiveUp(name) => {
                    return Err(format!("{name} keeps exiting; see its log"));
                }
            }
        }
    }
}

#[derive(Args)]
pub struct MeasureOptions {
    /// Stand-in nodes
    #[arg(long, default_value_t = 16)]
    nodes: usize,
    /// Planners
    #[arg(long, default_value_t = 3)]
    planners: usize,
    /// Idle watchers for the fan-out; each needs a file descriptor here and at the edge
    #[arg(long, default_value_t = 1000)]
    watchers: usize,
    /// Pods that each client places
    #[arg(long, default_value_t = 100)]
    each: usize,
    /// Measure a second time with a memory beneath this folder, side by side
    #[arg(long)]
    data: Option<PathBuf>,
}

pub fn measure(options: MeasureOptions) -> Result<(), String> {
    let scratch = tempfile::tempdir().map_err(|e| e.to_string())?;
    let mut layout = layout(options.nodes, options.planners, 1)?;
    layout.log_dir = Some(scratch.path().join("logs"));
    let (watchers, each) = (options.watchers.max(1), options.each.max(1));
    let mut results = vec![tidespur_testbed::measure::measure(
        layout.clone(),
        watchers,
        each,
    )?];
    if let Some(directory) = options.data {
        layout.data_dir = Some(directory);
        results.push(tidespur_testbed::measure::measure(layout, watchers, each)?);
    }
    for figures in results {
        println!(
            "{}",
            serde_json::to_string_pretty(&figures).map_err(|e| e.to_string())?
        );
    }
    Ok(())
}
