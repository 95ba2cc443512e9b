//! `up` and `demo`: a whole cluster on loopback.

use clap::Args;
use futures_lite::StreamExt;
use std::path::PathBuf;
use std::process::ExitCode;
use tidespur_rig::{Cluster, Layout};

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
}

pub fn layout(nodes: usize, planners: usize, seed: u64) -> Result<Layout, String> {
    let program =
        std::env::current_exe().map_err(|e| format!("the path of this program is not known: {e}"))?;
    if nodes == 0 || planners == 0 || nodes > 500 || planners > 100 {
        return Err("--nodes must be from 1 to 500 and --planners from 1 to 100".into());
    }
    Ok(Layout::new(program, nodes, planners, seed))
}

pub fn up(options: UpOptions) -> Result<(), String> {
    let mut layout = layout(options.nodes, options.planners, options.seed)?;
    layout.edges = options.edges.clamp(1, 20);
    layout.api = options.api;
    layout.config = options.config;
    layout.records = options.record;
    smol::block_on(async {
        // Before anything is started, so that no signal is missed.
        let signals = [async_signal::Signal::Int, async_signal::Signal::Term];
        let mut signals = async_signal::Signals::new(signals).map_err(|e| format!("signals: {e}"))?;
        let starting = async {
            let cluster = smol::unblock(move || Cluster::start(layout)).await?;
            cluster.wait_ready(60.0).await?;
            Ok::<_, String>(Some(cluster))
        };
        let stopped = async {
            signals.next().await;
            Ok(None)
        };
        let Some(cluster) = futures_lite::future::or(starting, stopped).await? else { return Ok(()) };
        if let Some(path) = &options.ready_file {
            // Written whole and then named, so that nobody reads half an address.
            let part = path.with_extension("part");
            let written = std::fs::write(&part, cluster.api(0)).and_then(|()| std::fs::rename(&part, path));
            written.map_err(|e| format!("{}: {e}", path.display()))?;
        }
        println!("the API is at http://{}; end with Ctrl-C", cluster.api(0));
        signals.next().await;
        println!("stopping");
        drop(cluster);
        Ok(())
    })
}

#[derive(Args)]
pub struct DemoOptions {
    /// Stand-in nodes
    #[arg(long, default_value_t = 16)]
    nodes: usize,
    /// Planners
    #[arg(long, default_value_t = 3)]
    planners: usize,
    /// What all chance is drawn from
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

pub fn demo(_options: DemoOptions) -> ExitCode {
    ExitCode::FAILURE
}
