//! `badday`: runs a fault scenario against real processes and checks the recorded traffic.

use crate::up::layout;
use clap::{Args, ValueEnum};
use std::path::PathBuf;
use std::sync::Arc;
use tidespur_testbed::checker::{self, Traffic};
use tidespur_testbed::oracle;
use tidespur_testbed::scenario::Scenario;
use tidespur_testbed::scenario_run::{Progress, run_scenario};

/// The scenario that runs when no file is given.
const DEFAULT_SCENARIO: &str = include_str!("../../../scenarios/bad-day.hcl");

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum ReportFormat {
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
    #[arg(long, value_enum, default_value_t = ReportFormat::Text)]
    report: ReportFormat,
    /// Keep recordings and logs in this (new or empty) folder
    #[arg(long)]
    keep: Option<PathBuf>,
    /// Settings (HCL)
    #[arg(long)]
    config: Option<PathBuf>,
}

/// Reads a scenario file, or returns the built-in scenario.
fn load_scenario(path: Option<&PathBuf>) -> Result<Scenario, String> {
    let Some(path) = path else {
        return Scenario::parse(DEFAULT_SCENARIO);
    };
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Scenario::parse(&text).map_err(|e| format!("{}: {e}", path.display()))
}

/// Runs a scenario and checks its traffic; true if no rule was broken and no task was left without an outcome or got
/// two.
pub fn bad_day(options: BadDayOptions) -> Result<bool, String> {
    let scenario = load_scenario(options.scenario.as_ref())?;
    let settings = match &options.config {
        Some(path) => {
            std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?
        }
        None => tidespur_config::DEFAULT_CONFIG.to_owned(),
    };
    let scratch = tempfile::tempdir().map_err(|e| e.to_string())?;
    let directory = options.keep.unwrap_or_else(|| scratch.path().to_owned());
    let mut layout = layout(scenario.nodes, scenario.planners, options.seed)?;
    layout.config_file = options.config;
    layout.log_dir = Some(directory.join("logs"));
    let records = directory.join("records");
    if records.is_dir() && std::fs::read_dir(&records).is_ok_and(|mut files| files.next().is_some())
    {
        return Err(format!(
            "{}: already contains recordings; choose an empty directory",
            records.display()
        ));
    }
    let jobs = scenario.workloads.values().map(|work| work.jobs).sum();
    run_scenario(
        &scenario,
        layout,
        &records,
        Arc::new(Progress {
            jobs,
            ..Progress::default()
        }),
    )?;
    let report = checker::check_recordings(&records, &settings, options.seed)?;
    let reasons = oracle::check_reasons(&Traffic::read(&records)?);
    match options.report {
        ReportFormat::Json => {
            let mut object = serde_json::to_value(&report).map_err(|e| e.to_string())?;
            object["reasons"] = serde_json::to_value(&reasons).map_err(|e| e.to_string())?;
            println!("{object}");
        }
        ReportFormat::Text => {
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
                reasons.judged,
                reasons.missing.len(),
                reasons.falsified.len()
            );
            for finding in reasons.missing.iter().chain(&reasons.falsified).take(20) {
                println!("UNTRUE {finding}");
            }
            for violation in &report.violations {
                println!(
                    "BROKEN {}: at {:.3}: {}",
                    violation.rule, violation.at, violation.what
                );
            }
        }
    }
    Ok(report.broken_rules.is_empty() && report.duplicated == 0 && report.unanswered == 0)
}
