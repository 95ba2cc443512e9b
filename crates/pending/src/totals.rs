//! Totals of pending work by reason.

use crate::{PendingRecord, ReasonCode};
use serde::Serialize;
use std::collections::BTreeMap;

/// Pending work that one reason blocks.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct PendingTotals {
    /// Number of pending tasks.
    pub tasks: u32,
    /// CPU requested by these tasks, in cores.
    pub cores: f64,
    /// Memory requested by these tasks, in memory units of the API.
    pub memory: f64,
    /// When the longest pending of these tasks became pending, in seconds of the caller's clock.
    pub oldest: f64,
}

/// Totals by class, namespace, zone and reason.
pub type TotalsByReason = BTreeMap<(String, String, String, ReasonCode), PendingTotals>;

/// Adds a record to the totals of each of its reasons, in each zone in which the reason rejects nodes.
pub(crate) fn add(totals: &mut TotalsByReason, record: &PendingRecord) {
    for &code in &record.codes {
        for zone in zones(record, code) {
            let key = (
                record.class.clone(),
                record.namespace.clone(),
                zone.to_owned(),
                code,
            );
            let total = totals.entry(key).or_insert_with(|| PendingTotals {
                oldest: f64::INFINITY,
                ..PendingTotals::default()
            });
            total.tasks += 1;
            total.cores += record.requested.cpu;
            total.memory += record.requested.memory;
            total.oldest = total.oldest.min(record.since);
        }
    }
}

/// Zones in which a reason rejects nodes; a single empty name if there is none.
fn zones(record: &PendingRecord, code: ReasonCode) -> Vec<&str> {
    let zones: Vec<&str> = match &record.last_update {
        Some(update) => update.diagnosis.zones_of(code).collect(),
        None => Vec::new(),
    };
    if zones.is_empty() { vec![""] } else { zones }
}
