//! Parser of machine reports: load, reasons of rejections and releases, and progress of tasks.
//!
//! Called by the gateway for messages of machines. Reasons and kinds of progress are numbered from 1, as `convert`
//! expects them.

use crate::message::{Message, code};
use crate::task_request::fields;
use tidespur_policy::interface::{AttemptProgress, FailureCause, LoadReport};
use tidespur_site_settings::convert;

/// Reasons of rejections and releases, in the order of their numbers.
const FAILURE_REASONS: [&str; 7] = [
    "lack_cpu",
    "lack_ram",
    "backlog",
    "unfit",
    "killed",
    "displaced",
    "dismissed",
];
/// Kinds of progress, in the order of their numbers.
const PROGRESS_KINDS: [&str; 5] = ["running", "use_cpu", "use_ram", "health", "ram_high"];

/// Parses the load report of a message; `None` if it has none, or no known value in it can be parsed.
pub fn load_report(message: &Message) -> Option<LoadReport> {
    let values = fields(message.text(code::LOAD)?)
        .into_iter()
        .filter_map(|(key, value)| Some((key.to_owned(), value.parse().ok()?)))
        .collect();
    let report = convert::load_report(&values);
    (report != LoadReport::default()).then_some(report)
}

/// Parses why a machine rejected or released a task; `Unspecified` if the reason is missing or unknown.
pub fn failure_cause(message: &Message) -> FailureCause {
    let reason = message.text(code::REASON).unwrap_or("");
    let number = number_of(&FAILURE_REASONS, reason).unwrap_or(0);
    convert::failure_cause(number)
}

/// Parses a progress report; `None` if its kind is unknown. A level that is missing or not a number is read as 0.
pub fn attempt_progress(message: &Message) -> Option<AttemptProgress> {
    let kind = message.text(code::REASON)?;
    let number = number_of(&PROGRESS_KINDS, kind)?;
    let level = message
        .text(code::LEVEL)
        .and_then(|level| level.parse().ok())
        .unwrap_or(0.0);
    convert::attempt_progress(number, level)
}

/// Position of a name in the list, from 1.
fn number_of(names: &[&str], name: &str) -> Option<u32> {
    let index = names.iter().position(|listed| *listed == name)?;
    Some(index as u32 + 1)
}
