//! `up` and `demo`: a whole cluster on loopback.

use clap::Args;
use futures_lite::StreamExt;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tidespur_net::clock;
use tidespur_rig::play::{Progress, play};
use tidespur_rig::scenario::Scenario;
use tidespur_rig::supervisor::{self, Action, Supervisor};
use tidespur_rig::{Cluster, Layout, checker};

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
    layout.fleet = true;
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
        for (name, id) in cluster.children() {
            println!("{name} runs as process {id}");
        }
        let stopped = async {
            signals.next().await;
            Ok(())
        };
        let ended = futures_lite::future::or(stopped, supervise(cluster)).await;
        println!("stopping");
        ended
    })
}

/// Starts children again that end, until one ends again and again.
async fn supervise(mut cluster: Cluster) -> Result<(), String> {
    let names = cluster.children().into_iter().map(|(name, _)| name);
    let mut watch = Supervisor::new(supervisor::Settings::default(), names, clock::now());
    loop {
        clock::sleep(0.25).await;
        let ended: BTreeMap<String, String> = cluster.ended().into_iter().collect();
        let names: Vec<String> = ended.keys().cloned().collect();
        for action in watch.step(clock::now(), &names) {
            match action {
                Action::Wait(name, pause) => {
                    let lost =
                        if name.starts_with("edge") { "; the objects that it held are gone" } else { "" };
                    let how = ended.get(&name).map_or("", String::as_str);
                    eprintln!("tidespur: {name} has ended ({how}){lost}; it is started again in {pause} s");
                }
                Action::Start(name) => {
                    let done;
                    (cluster, done) = smol::unblock({
                        let name = name.clone();
                        move || {
                            let done = cluster.restart(&name);
                            (cluster, done)
                        }
                    })
                    .await;
                    match done {
                        Ok(()) => {
                            let id = cluster.children().into_iter().find(|(child, _)| *child == name);
                            println!("{name} runs as process {}", id.map_or(0, |(_, id)| id));
                        }
                        Err(problem) => eprintln!("tidespur: {problem}"),
                    }
                }
                Action::GiveUp(name) => return Err(format!("{name} ends again and again; see its log")),
            }
        }
    }
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
}

pub fn measure(options: MeasureOptions) -> Result<(), String> {
    let scratch = tempfile::tempdir().map_err(|e| e.to_string())?;
    let mut layout = layout(options.nodes, options.planners, 1)?;
    layout.logs = Some(scratch.path().join("logs"));
    let figures = tidespur_rig::measure::measure(layout, options.watchers.max(1), options.each.max(1))?;
    println!("{}", serde_json::to_string_pretty(&figures).map_err(|e| e.to_string())?);
    Ok(())
}

/// The demo's day.
const MORNING: &str = include_str!("../../../scenarios/morning.hcl");

pub fn demo(options: DemoOptions) -> ExitCode {
    match morning(options) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(problem) => {
            eprintln!("tidespur: {problem}");
            ExitCode::FAILURE
        }
    }
}

fn morning(options: DemoOptions) -> Result<bool, String> {
    let mut day = Scenario::parse(MORNING)?;
    (day.nodes, day.planners) = (options.nodes, options.planners);
    let scratch = tempfile::tempdir().map_err(|e| e.to_string())?;
    let records = scratch.path().join("records");
    let mut layout = layout(options.nodes, options.planners, options.seed)?;
    layout.logs = Some(scratch.path().join("logs"));
    let jobs = day.work.values().map(|work| work.jobs).sum();
    println!(
        "a morning on {} nodes in two halls, with {} planners: {jobs} Jobs",
        options.nodes, options.planners
    );
    let progress = Arc::new(Progress { jobs, ..Progress::default() });
    let over = Arc::new(AtomicBool::new(false));
    let shown = std::thread::spawn({
        let (progress, over) = (progress.clone(), over.clone());
        move || show(&progress, &over)
    });
    let played = play(&day, layout, &records, progress);
    over.store(true, Ordering::Relaxed);
    // It only draws; if it failed there is nothing to tell.
    let _ = shown.join();
    played?;
    let report = checker::judge(&records, tidespur_config::DEFAULT, options.seed)?;
    println!("what became of {} tasks:", report.submitted);
    for (what, count) in [
        ("placed", report.placed),
        ("refused (asking again is harmless; their Jobs did)", report.refused),
        ("failed (may have run; settled before a repeat)", report.failed),
        ("withdrawn by their owner", report.withdrawn),
        ("unanswered", report.unanswered),
        ("with two outcomes", report.twice),
    ] {
        println!("  {count:>5}  {what}");
    }
    println!("Jobs not complete: {}", report.jobs_open);
    match report.broken_rules.as_slice() {
        [] => println!("all five rules were kept, judged from {} offers and their answers", report.offers),
        broken => println!("BROKEN: {}", broken.join(", ")),
    }
    for one in &report.breaks {
        println!("  {:.3} {}: {}", one.at, one.rule, one.what);
    }
    Ok(report.broken_rules.is_empty() && report.unanswered == 0 && report.twice == 0 && report.submitted > 0)
}

/// Draws how far the day is, until it is over.
fn show(progress: &Progress, over: &AtomicBool) {
    let bar = indicatif::ProgressBar::new(progress.jobs as u64);
    if let Ok(style) =
        indicatif::ProgressStyle::with_template("{elapsed:>4} {wide_bar} {pos}/{len} Jobs done; {msg}")
    {
        bar.set_style(style);
    }
    let mut told = String::new();
    while !over.load(Ordering::Relaxed) {
        bar.set_position(progress.done.load(Ordering::Relaxed) as u64);
        let trouble = progress.trouble.lock().map(|t| t.clone()).unwrap_or_default();
        if trouble != told {
            bar.println(format!("now: {trouble}"));
            // Without a terminal nothing is drawn, and the line is printed plainly.
            if bar.is_hidden() {
                println!("now: {trouble}");
            }
            told = trouble;
        }
        bar.set_message(format!("{} submitted", progress.submitted.load(Ordering::Relaxed)));
        std::thread::sleep(std::time::Duration::from_millis(100));
    }
    bar.finish_and_clear();
}
