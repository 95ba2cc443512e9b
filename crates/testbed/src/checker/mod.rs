//! Judges a day from its recordings alone: what clients, planners and nodes saw on their sockets. It shares no code
//! with the policy, the planner or the edge; what it needs of the settings it reads itself.

mod drains;
mod effects;
mod outcomes;
mod pushed;
mod spread;
mod traffic;

pub use traffic::{Class, Line, Rules, Traffic};

use serde::Serialize;
use std::path::Path;

/// What became of a day.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Requests to place that clients saw.
    pub submitted: usize,
    /// Of these, placed.
    pub placed: usize,
    /// Refused.
    pub refused: usize,
    /// Failed.
    pub failed: usize,
    /// Without an answer in time.
    pub unanswered: usize,
    /// With more than one outcome, or run twice against their class.
    #[serde(rename = "twice")]
    pub duplicated: usize,
    /// Withdrawn by their owner before an answer.
    pub withdrawn: usize,
    /// Open at an edge that was killed: their clients' to retry.
    pub lost_with_edge: usize,
    /// Rules that were broken.
    pub broken_rules: Vec<String>,
    /// Each break.
    #[serde(rename = "breaks")]
    pub violations: Vec<Violation>,
    /// What the day was drawn from.
    pub seed: u64,
    /// Offers that planners sent.
    pub offers: usize,
    /// Jobs that were still open when the day was cut off.
    pub jobs_open: usize,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// Which.
    pub rule: &'static str,
    /// When, in seconds of the recordings' clock.
    pub at: f64,
    /// What was seen.
    pub what: String,
}

/// Judges the recordings in a folder.
pub fn check_recordings(records: &Path, settings: &str, seed: u64) -> Result<Report, String> {
    Ok(check_traffic(
        &Traffic::read(records)?,
        &Rules::parse(settings)?,
        seed,
    ))
}

/// Judges recordings.
pub fn check_traffic(traffic: &Traffic, rules: &Rules, seed: u64) -> Report {
    let mut report = Report {
        seed,
        offers: traffic.of("send").count(),
        ..Report::default()
    };
    outcomes::judge(traffic, rules, &mut report);
    effects::judge(traffic, rules, &mut report);
    drains::judge(traffic, rules, &mut report);
    pushed::judge(traffic, rules, &mut report);
    spread::judge(traffic, rules, &mut report);
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
