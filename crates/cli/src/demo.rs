//! `demo`: a morning with a lost rack, told and judged.

use crate::up::layout;
use clap::Args;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tidespur_testbed::checker;
use tidespur_testbed::scenario::Scenario;
use tidespur_testbed::scenario_run::{Progress, run_scenario};

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
    layout.log_dir = Some(scratch.path().join("logs"));
    let jobs = day.workloads.values().map(|work| work.jobs).sum();
    println!(
        "a morning on {} nodes in two halls, with {} planners: {jobs} Jobs",
        options.nodes, options.planners
    );
    let progress = Arc::new(Progress {
        jobs,
        ..Progress::default()
    });
    let over = Arc::new(AtomicBool::new(false));
    let shown = std::thread::spawn({
        let (progress, over) = (progress.clone(), over.clone());
        move || show(&progress, &over)
    });
    let played = run_scenario(&day, layout, &records, progress);
    over.store(true, Ordering::Relaxed);
    // It only draws; if it failed there is nothing to tell.
    let _ = shown.join();
    played?;
    let report =
        checker::check_recordings(&records, tidespur_config::DEFAULT_CONFIG, options.seed)?;
    println!("what became of {} tasks:", report.submitted);
    for (what, count) in [
        ("placed", report.placed),
        (
            "refused (asking again is harmless; their Jobs did)",
            report.refused,
        ),
        (
            "failed (may have run; settled before a repeat)",
            report.failed,
        ),
        ("withdrawn by their owner", report.withdrawn),
        ("unanswered", report.unanswered),
        ("with two outcomes", report.duplicated),
    ] {
        println!("  {count:>5}  {what}");
    }
    println!("Jobs not complete: {}", report.jobs_open);
    match report.broken_rules.as_slice() {
        [] => println!(
            "all five rules were kept, judged from {} offers and their answers",
            report.offers
        ),
        broken => println!("BROKEN: {}", broken.join(", ")),
    }
    for one in &report.violations {
        println!("  {:.3} {}: {}", one.at, one.rule, one.what);
    }
    Ok(report.broken_rules.is_empty()
        && report.unanswered == 0
        && report.duplicated == 0
        && report.submitted > 0)
}

/// Draws how far the day is, until it is over.
fn show(progress: &Progress, over: &AtomicBool) {
    let bar = indicatif::ProgressBar::new(progress.jobs as u64);
    if let Ok(style) = indicatif::ProgressStyle::with_template(
        "{elapsed:>4} {wide_bar} {pos}/{len} Jobs done; {msg}",
    ) {
        bar.set_style(style);
    }
    let mut told = String::new();
    while !over.load(Ordering::Relaxed) {
        bar.set_position(progress.done.load(Ordering::Relaxed) as u64);
        let trouble = progress
            .active_fault
            .lock()
            .map(|t| t.clone())
            .unwrap_or_default();
        if trouble != told {
            bar.println(format!("now: {trouble}"));
            // Without a terminal nothing is drawn, and the line is printed plainly.
            if bar.is_hidden() {
                println!("now: {trouble}");
            }
            told = trouble;
        }
        bar.set_message(format!(
            "{} submitted",
            progress.submitted.load(Ordering::Relaxed)
        ));
        std::thread::sleep(std::time::Duration::from_millis(100));
    }
    bar.finish_and_clear();
}
