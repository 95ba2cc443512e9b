//! `badday`: plays a scenario through real processes and judges the traffic.

use crate::up::layout;
use clap::{Args, ValueEnum};
use std::path::PathBuf;
use std::sync::Arc;
use tidespur_testbed::checker::{self, Traffic};
use tidespur_testbed::oracle;
use tidespur_testbed::scenario::Scenario;
use tidespur_testbed::scenario_run::{Progress, run_scenario};

/// The day that is played where no file is named.
pub const BAD_DAY: &str = include_str!("../../../scenarios/bad-day.hcl");

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Form {
    Text,
    Json,
}

#[derive(Args)]
pub struct BadDayOptions {
    /// What all chance is drawn from
    #[arg(long)]
    seed: u64,
    /// Scenario (HCL); else a bad day that is built in
    #[arg(long)]
    scenario: Option<PathBuf>,
    /// Form of the report
    #[arg(long, value_enum, default_value_t = Form::Text)]
    report: Form,
    /// Keep recordings and logs in this (new or empty) folder
    #[arg(long)]
    keep: Option<PathBuf>,
    /// Settings (HCL)
    #[arg(long)]
    config: Option<PathBuf>,
}

/// Reads a scenario file, or takes the built-in one.
pub fn scenario(path: Option<&PathBuf>) -> Result<Scenario, String> {
    let Some(path) = path else {
        return Scenario::parse(BAD_DAY);
    };
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Scenario::parse(&text).map_err(|e| format!("{}: {e}", path.display()))
}

/// Plays a day and judges it; true where no rule broke.
pub fn bad_day(options: BadDayOptions) -> Result<bool, String> {
    let day = scenario(options.scenario.as_ref())?;
    let settings = match &options.config {
        Some(path) => {
            std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?
        }
        None => tidespur_config::DEFAULT_CONFIG.to_owned(),
    };
    let scratch = tempfile::tempdir().map_err(|e| e.to_string())?;
    let folder = options.keep.unwrap_or_else(|| scratch.path().to_owned());
    let mut layout = layout(day.nodes, day.planners, options.seed)?;
    layout.config_file = options.config;
    layout.log_dir = Some(folder.join("logs"));
    let records = folder.join("records");
    if records.is_dir() && std::fs::read_dir(&records).is_ok_and(|mut files| files.next().is_some())
    {
        return Err(format!(
            "{}: holds recordings of another day; name a new folder",
            records.display()
        ));
    }
    let jobs = day.workloads.values().map(|work| work.jobs).sum();
    run_scenario(
        &day,
        layout,
        &records,
        Arc::new(Progress {
            jobs,
            ..Progress::default()
        }),
    )?;
    let report = checker::check_recordings(&records, &settings, options.seed)?;
    let told = oracle::check_reasons(&Traffic::read(&records)?);
    match options.report {
        Form::Json => {
            let mut object = serde_json::to_value(&report).map_err(|e| e.to_string())?;
            object["reasons"] = serde_json::to_value(&told).map_err(|e| e.to_string())?;
            println!("{object}");
        }
        Form::Text => {
            println!(
                "seed {}: {} requests, {} offers",
                report.seed, report.submitted, report.offers
            );
            println!(
                "placed {}, refused {}, failed {}, unanswered {}, twice {}, withdrawn {}, lost with their edge {}",
                report.placed,
                report.refused,
                report.failed,
                report.unanswered,
                report.duplicated,
                report.withdrawn,
                report.lost_with_edge
            );
            println!("jobs still open at the end: {}", report.jobs_open);
            println!(
                "reasons of waiting tasks: {} judged, {} missing, {} false",
                told.judged,
                told.missing.len(),
                told.falsified.len()
            );
            for one in told.missing.iter().chain(&told.falsified).take(20) {
                println!("UNTRUE {one}");
            }
            for one in &report.violations {
                println!("BROKEN {}: at {:.3}: {}", one.rule, one.at, one.what);
            }
        }
    }
    Ok(report.broken_rules.is_empty() && report.duplicated == 0 && report.unanswered == 0)
}
