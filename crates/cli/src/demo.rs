//! `demo`: runs a scenario that loses a rack, then prints the outcome of every task and checks the traffic.

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

const SCENARIO: &str = include_str!("../../../scenarios/morning.hcl");

pub fn demo(options: DemoOptions) -> ExitCode {
    match run(options) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("tidespur: {error}");
            ExitCode::FAILURE
        }
    }
}

/// True if tasks were submitted, no rule was broken, and no task was left without an outcome or got two.
fn run(options: DemoOptions) -> Result<bool, String> {
    let mut scenario = Scenario::parse(SCENARIO)?;
    (scenario.nodes, scenario.planners) = (options.nodes, options.planners);
    let scratch = tempfile::tempdir().map_err(|e| e.to_string())?;
    let records = scratch.path().join("records");
    let mut layout = layout(options.nodes, options.planners, options.seed)?;
    layout.log_dir = Some(scratch.path().join("logs"));
    let jobs = scenario.workloads.values().map(|work| work.jobs).sum();
    println!(
        "a morning on {} nodes in two halls, with {} planners: {jobs} Jobs",
        options.nodes, options.planners
    );
    let progress = Arc::new(Progress {
        jobs,
        ..Progress::default()
    });
    let finished = Arc::new(AtomicBool::new(false));
    let progress_thread = std::thread::spawn({
        let (progress, finished) = (progress.clone(), finished.clone());
        move || draw_progress(&progress, &finished)
    });
    let played = run_scenario(&scenario, layout, &records, progress);
    finished.store(true, Ordering::Relaxed);
    // The thread only draws, so its failure doesn't change the result.
    let _ = progress_thread.join();
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
    for violation in &report.violations {
        println!(
            "  {:.3} {}: {}",
            violation.at, violation.rule, violation.what
        );
    }
    Ok(report.broken_rules.is_empty()
        && report.unanswered == 0
        && report.duplicated == 0
        && report.submitted > 0)
}

/// Draws a progress bar until `finished` is set.
fn draw_progress(progress: &Progress, finished: &AtomicBool) {
    let bar = indicatif::ProgressBar::new(progress.jobs as u64);
    if let Ok(style) = indicatif::ProgressStyle::with_template(
        "{elapsed:>4} {wide_bar} {pos}/{len} Jobs done; {msg}",
    ) {
        bar.set_style(style);
    }
    let mut printed = String::new();
    while !finished.load(Ordering::Relaxed) {
        bar.set_position(progress.done.load(Ordering::Relaxed) as u64);
        let trouble = progress
            .active_fault
            .lock()
            .map(|t| t.clone())
            .unwrap_or_default();
        if trouble != printed {
            bar.println(format!("now: {trouble}"));
            // Without a terminal the bar is hidden and discards its lines.
            if bar.is_hidden() {
                println!("now: {trouble}");
            }
            printed = trouble;
        }
        bar.set_message(format!(
            "{} submitted",
            progress.submitted.load(Ordering::Relaxed)
        ));
        std::thread::sleep(std::time::Duration::from_millis(100));
    }
    bar.finish_and_clear();
}
