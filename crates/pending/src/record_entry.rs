//! One record of [`PendingRecords`](crate::PendingRecords) with what was written of it.

use crate::{PendingRecord, ReasonUpdate, Settings};

/// What was written to a Pod last.
#[derive(Debug)]
struct WrittenStatus {
    at: f64,
    message: String,
}

/// The record of a pending task, and its status updates so far.
#[derive(Debug)]
pub(crate) struct RecordEntry {
    pub(crate) record: PendingRecord,
    written: Option<WrittenStatus>,
    /// Number of status updates so far.
    pub(crate) update_count: u32,
}

impl RecordEntry {
    /// A record of which nothing was written yet.
    pub(crate) fn new(record: PendingRecord) -> Self {
        Self {
            record,
            written: None,
            update_count: 0,
        }
    }

    /// Whether the Pod's status is to be written now.
    pub(crate) fn is_update_due(&self, now: f64, settings: &Settings) -> bool {
        match &self.written {
            None => now - self.record.since >= settings.initial_delay,
            Some(written) => {
                now - written.at >= settings.write_interval
                    && written.message != self.record.message
            }
        }
    }

    /// Notes that the present message is written to the Pod.
    pub(crate) fn mark_written(&mut self, now: f64) {
        self.update_count += 1;
        self.written = Some(WrittenStatus {
            at: now,
            message: self.record.message.clone(),
        });
    }
}

/// The message for people of a planner's update.
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
