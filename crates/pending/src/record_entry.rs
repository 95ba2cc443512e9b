//! One record of [`PendingRecords`](crate::PendingRecords) and its status updates.

use crate::{PendingRecord, ReasonUpdate, Settings};

/// The last status update of a Pod.
#[derive(Debug)]
struct WrittenStatus {
    written_at: f64,
    message: String,
}

/// The record of a pending task, with the state of its status updates.
#[derive(Debug)]
pub(crate) struct RecordEntry {
    pub(crate) record: PendingRecord,
    last_written: Option<WrittenStatus>,
    /// Number of status updates that were written.
    pub(crate) update_count: u32,
}

impl RecordEntry {
    /// A record without any status update.
    pub(crate) fn new(record: PendingRecord) -> Self {
        Self {
            record,
            last_written: None,
            update_count: 0,
        }
    }

    /// Whether a status update of the Pod is due.
    pub(crate) fn is_update_due(&self, now: f64, settings: &Settings) -> bool {
        match &self.last_written {
            None => now - self.record.since >= settings.initial_delay,
            Some(written) => {
                now - written.written_at >= settings.write_interval
                    && written.message != self.record.message
            }
        }
    }

    /// Marks the current message as written to the Pod.
    pub(crate) fn mark_written(&mut self, now: f64) {
        self.update_count += 1;
        self.last_written = Some(WrittenStatus {
            written_at: now,
            message: self.record.message.clone(),
        });
    }
}

/// Message for users from a planner's update.
pub(crate) fn update_message(update: &ReasonUpdate) -> String {
    let message = match &update.offered_to {
        Some(node) => format!("an offer is out to {node}"),
        None => update.diagnosis.message(),
    };
    match update.node_answers.last() {
        Some((node, answer)) => format!("{message}; {node} answered: {answer}"),
        None => message,
    }
}
