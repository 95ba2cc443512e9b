//! Checks five rules on the recordings of a run: what clients, planners and nodes saw on their sockets. It shares no
//! code with the policy, the planner or the edge, and parses the settings that it needs itself, so that it does
//! not share their faults.

mod drains;
mod effects;
mod outcomes;
mod overload;
mod spread;
mod traffic;

pub use traffic::{Class, Line, Rules, Traffic};

use serde::Serialize;
use std::path::Path;

/// Result of a run. The serialized names are keys of the JSON report.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Number of placement requests that clients saw.
    pub submitted: usize,
    /// Number of these that were placed.
    pub placed: usize,
    /// Number that were refused.
    pub refused: usize,
    /// Number that failed.
    pub failed: usize,
    /// Number without an answer before their deadline.
    pub unanswered: usize,
    /// Number with more than one outcome, and of tasks that ran twice although their class forbids it.
    #[serde(rename = "twice")]
    pub duplicated: usize,
    /// Number that their owners withdrew before an answer, or that were still waiting when the recording ended.
    pub withdrawn: usize,
    /// Number that were open at an edge when it was killed; their clients have to retry them.
    pub lost_with_edge: usize,
    /// Names of the broken rules, sorted, each once.
    pub broken_rules: Vec<String>,
    /// All violations, in order of time.
    #[serde(rename = "breaks")]
    pub violations: Vec<Violation>,
    /// Seed of the run.
    pub seed: u64,
    /// Number of offers that planners sent.
    pub offers: usize,
    /// Number of Jobs that were still open at the end of the run.
    pub jobs_open: usize,
}

/// One violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// Name of the rule.
    pub rule: &'static str,
    /// Time of the recordings, in Unix seconds.
    pub at: f64,
    /// Description of the violation.
    pub what: String,
}

/// Checks the recordings in a directory against the rules in the settings.
///
/// # Errors
/// If the recordings cannot be read or the settings cannot be parsed.
pub fn check_recordings(records: &Path, settings: &str, seed: u64) -> Result<Report, String> {
    Ok(check_traffic(
        &Traffic::read(records)?,
        &Rules::parse(settings)?,
        seed,
    ))
}

/// Checks recordings that were read before.
pub fn check_traffic(traffic: &Traffic, rules: &Rules, seed: u64) -> Report {
    let mut report = Report {
        seed,
        offers: traffic.of("send").count(),
        ..Report::default()
    };
    outcomes::check(traffic, rules, &mut report);
    effects::check(traffic, rules, &mut report);
    drains::check(traffic, rules, &mut report);
    overload::check(traffic, rules, &mut report);
    spread::check(traffic, rules, &mut report);
    report.jobs_open = traffic
        .of("end")
        .next()
        .map_or(0, |line| line.number("open") as usize);
    report.violations.sort_by(|a, b| a.at.total_cmp(&b.at));
    let mut broken: Vec<String> = report
        .violations
        .iter()
        .map(|b| b.rule.to_owned())
        .collect();
    broken.sort();
    broken.dedup();
    report.broken_rules = broken;
    report
}
