//! Edge side: the records of all pending tasks, and the status updates that are written to their Pods.

use crate::record_entry::{RecordEntry, update_message};
use crate::totals::{self, TotalsByReason};
use crate::{Diagnosis, PendingRecord, ReasonCode, ReasonUpdate};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Maximum number of records of tasks that are no longer pending.
const MAX_CLOSED_RECORDS: usize = 1_000;
/// Number of recent diagnoses that an update's diagnosis is deduplicated against.
const MAX_RECENT_DIAGNOSES: usize = 32;

/// Bounds on the number of records and on the rate of status updates.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Maximum number of records of pending tasks.
    pub max_records: usize,
    /// Minimum interval between two status updates of one Pod, in seconds.
    pub write_interval: f64,
    /// Time for which a task is pending before its Pod's first status update, in seconds.
    pub initial_delay: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_records: 20_000,
            write_interval: 1.0,
            initial_delay: 0.3,
        }
    }
}

/// A status update that the edge writes to a Pod.
#[derive(Clone, Debug, PartialEq)]
pub struct StatusUpdate {
    /// Uid of the Pod.
    pub uid: String,
    /// Text of the Pod's condition and Event.
    pub message: String,
    /// The first of the current reasons, see [`PendingRecord::codes`].
    pub code: ReasonCode,
    /// Number of updates of this Pod so far, including this one.
    pub count: u32,
}

/// Records of all pending tasks of an edge.
///
/// Owned by the edge's core and read by its API. Bounded by [`Settings::max_records`].
#[derive(Debug)]
pub struct PendingRecords {
    settings: Settings,
    records: BTreeMap<String, RecordEntry>,
    /// Uids of pending tasks by namespace and name of their Pods.
    uids: BTreeMap<(String, String), String>,
    /// Records of tasks that are no longer pending, oldest first, for clients that query them later.
    closed: VecDeque<PendingRecord>,
    unrecorded: u64,
    /// Diagnoses of recent updates, so that equal ones share memory.
    recent_diagnoses: VecDeque<Arc<Diagnosis>>,
}

impl PendingRecords {
    /// Starts without records.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            records: BTreeMap::new(),
            uids: BTreeMap::new(),
            closed: VecDeque::new(),
            unrecorded: 0,
            recent_diagnoses: VecDeque::new(),
        }
    }

    /// Opens the record of a task that becomes pending now. At [`Settings::max_records`] the task gets no record and is
    /// counted in [`Self::unrecorded_count`].
    pub fn open(&mut self, now: f64, uid: &str, record: PendingRecord) {
        if self.records.len() >= self.settings.max_records {
            self.unrecorded += 1;
            return;
        }
        let record = PendingRecord {
            since: now,
            updated_at: now,
            ..record
        };
        let name = (record.namespace.clone(), record.pod.clone());
        self.uids.insert(name, uid.to_owned());
        self.records
            .insert(uid.to_owned(), RecordEntry::new(record));
    }

    /// Closes the record of a task that is no longer pending.
    pub fn close(&mut self, uid: &str) {
        let Some(entry) = self.records.remove(uid) else {
            return;
        };
        let mut record = entry.record;
        let name = (record.namespace.clone(), record.pod.clone());
        if self.uids.get(&name).is_some_and(|known| known == uid) {
            self.uids.remove(&name);
        }
        if record.spans.is_empty() {
            return;
        }
        if self.closed.len() >= MAX_CLOSED_RECORDS {
            self.closed.pop_front();
        }
        record.codes.clear();
        for span in &mut record.spans {
            span.is_over = true;
        }
        self.closed.push_back(record);
    }

    /// Applies a planner's update; ignores one for a task without a record.
    pub fn apply_update(&mut self, now: f64, mut update: ReasonUpdate) {
        update.diagnosis = self.deduplicate(update.diagnosis);
        let Some(entry) = self.records.get_mut(&update.uid) else {
            return;
        };
        let diagnosis = update.diagnosis.clone();
        let nodes = |code| diagnosis.rejections.get(&code).copied().unwrap_or(0);
        let record = &mut entry.record;
        record.set_reasons(now, update.codes(), nodes);
        record.message = update_message(&update);
        record.hint = update.diagnosis.hint();
        record.last_update = Some(update);
    }

    /// Returns the equal recent diagnosis if there is one, otherwise this one.
    fn deduplicate(&mut self, diagnosis: Arc<Diagnosis>) -> Arc<Diagnosis> {
        let mut recent = self.recent_diagnoses.iter();
        if let Some(known) = recent.find(|known| **known == diagnosis) {
            return known.clone();
        }
        if self.recent_diagnoses.len() >= MAX_RECENT_DIAGNOSES {
            self.recent_diagnoses.pop_front();
        }
        self.recent_diagnoses.push_back(diagnosis.clone());
        diagnosis
    }

    /// Sets the edge's own reason for a task that no planner has. Discards the last planner update, which is obsolete.
    pub fn set_edge_reason(&mut self, now: f64, uid: &str, code: ReasonCode) {
        let Some(entry) = self.records.get_mut(uid) else {
            return;
        };
        let hint = match code {
            ReasonCode::NoPlanner => "a planner that connects",
            ReasonCode::PlannersSilent => "a planner that speaks again",
            _ => "room at a planner",
        };
        let record = &mut entry.record;
        record.last_update = None;
        record.hint = Some(hint.to_owned());
        record.set_reasons(now, vec![code], |_| 0);
        record.message = code.description().to_owned();
    }

    /// Clears the edge's own reason once a planner has accepted the task but not sent an update yet.
    pub fn clear_edge_reason(&mut self, now: f64, uid: &str) {
        let Some(entry) = self.records.get_mut(uid) else {
            return;
        };
        let record = &mut entry.record;
        if record.codes.is_empty() {
            return;
        }
        record.set_reasons(now, Vec::new(), |_| 0);
        record.message = String::new();
        record.hint = None;
    }

    /// Returns the status updates that are due and marks them as written: new or changed messages, limited per Pod by
    /// [`Settings::initial_delay`] and [`Settings::write_interval`].
    pub fn due_updates(&mut self, now: f64) -> Vec<StatusUpdate> {
        let mut due = Vec::new();
        for (uid, entry) in &mut self.records {
            let Some(&code) = entry.record.codes.first() else {
                continue;
            };
            if !entry.is_update_due(now, &self.settings) {
                continue;
            }
            entry.mark_written(now);
            due.push(StatusUpdate {
                uid: uid.clone(),
                message: entry.record.message.clone(),
                code,
                count: entry.update_count,
            });
        }
        due
    }

    /// The record of a pending Pod, otherwise the latest closed record of a Pod with that name.
    pub fn find(&self, namespace: &str, pod: &str) -> Option<&PendingRecord> {
        let name = (namespace.to_owned(), pod.to_owned());
        if let Some(entry) = self.uids.get(&name).and_then(|uid| self.records.get(uid)) {
            return Some(&entry.record);
        }
        let mut closed = self.closed.iter().rev();
        closed.find(|record| record.namespace == namespace && record.pod == pod)
    }

    /// Uids and records of the pending tasks of one namespace, or of all if it is empty.
    pub fn iter<'a>(
        &'a self,
        namespace: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a PendingRecord)> {
        let all = self.records.iter();
        all.map(|(uid, entry)| (uid.as_str(), &entry.record))
            .filter(move |(_, record)| namespace.is_empty() || record.namespace == namespace)
    }

    /// Pending work by class, namespace, zone whose nodes are rejected (empty if there is none) and reason. A task
    /// counts once for each of its current reasons in each of these zones, so the totals overlap.
    pub fn totals(&self) -> TotalsByReason {
        let mut totals = TotalsByReason::new();
        for (_, record) in self.iter("") {
            totals::add(&mut totals, record);
        }
        totals
    }

    /// Number of pending tasks with a record.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no pending task has a record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Number of tasks that got no record because of [`Settings::max_records`], since the start.
    pub fn unrecorded_count(&self) -> u64 {
        self.unrecorded
    }
}
