//! The edge's side: a record for each pending task, and what of it is written to its Pod, and when.

use crate::record_entry::{RecordEntry, update_message};
use crate::totals::{self, TotalsByReason};
use crate::{Diagnosis, PendingRecord, ReasonCode, ReasonUpdate};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Records that are kept of tasks that are no longer pending.
const MAX_CLOSED_RECORDS: usize = 1_000;
/// Recent diagnoses that are searched for an equal one.
const MAX_RECENT_DIAGNOSES: usize = 32;

/// Bounds of the records.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Records that are kept of pending tasks.
    pub max_records: usize,
    /// Shortest time between two status updates of one Pod, in seconds.
    pub write_interval: f64,
    /// How long a task is pending before its Pod's status is first written, in seconds.
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

/// A status update to write to a Pod.
#[derive(Clone, Debug, PartialEq)]
pub struct StatusUpdate {
    /// Uid of the Pod.
    pub uid: String,
    /// Text of its condition and Event.
    pub message: String,
    /// The reason that rejects most nodes.
    pub code: ReasonCode,
    /// How many updates of this Pod there were, this one included.
    pub count: u32,
}

/// All pending tasks of an edge.
///
/// Owned by the edge's core and read by its API. Bounded by [`Settings::max_records`].
#[derive(Debug)]
pub struct PendingRecords {
    settings: Settings,
    records: BTreeMap<String, RecordEntry>,
    /// Uids of pending tasks by namespace and name of their Pods.
    uids: BTreeMap<(String, String), String>,
    /// Records of tasks that are no longer pending, oldest first, for owners that ask afterwards.
    closed: VecDeque<PendingRecord>,
    unrecorded: u64,
    /// Diagnoses of recent updates: equal ones share memory.
    recent: VecDeque<Arc<Diagnosis>>,
}

impl PendingRecords {
    /// No records.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            records: BTreeMap::new(),
            uids: BTreeMap::new(),
            closed: VecDeque::new(),
            unrecorded: 0,
            recent: VecDeque::new(),
        }
    }

    /// Opens the record of a task that is pending from now on. Beyond the bound it gets none, and that is counted.
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

    /// Takes in a planner's update.
    pub fn apply_update(&mut self, now: f64, mut update: ReasonUpdate) {
        update.diagnosis = self.shared(update.diagnosis);
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

    /// The recent diagnosis that equals this one, or this one.
    fn shared(&mut self, diagnosis: Arc<Diagnosis>) -> Arc<Diagnosis> {
        if let Some(known) = self.recent.iter().find(|known| **known == diagnosis) {
            return known.clone();
        }
        if self.recent.len() >= MAX_RECENT_DIAGNOSES {
            self.recent.pop_front();
        }
        self.recent.push_back(diagnosis.clone());
        diagnosis
    }

    /// Sets the edge's own reason: no planner has the task. An earlier update of a planner no longer holds.
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

    /// Clears the edge's own reason: a planner has accepted the task and has not sent any reason yet.
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

    /// Status updates that are due: new or changed messages, limited per Pod by [`Settings::write_interval`].
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

    /// The record of a Pod: of a pending one, or the latest one of that name that was pending.
    pub fn find(&self, namespace: &str, pod: &str) -> Option<&PendingRecord> {
        let name = (namespace.to_owned(), pod.to_owned());
        if let Some(entry) = self.uids.get(&name).and_then(|uid| self.records.get(uid)) {
            return Some(&entry.record);
        }
        let mut closed = self.closed.iter().rev();
        closed.find(|record| record.namespace == namespace && record.pod == pod)
    }

    /// Uids and records of all pending tasks, of one namespace or of all ("").
    pub fn iter<'a>(
        &'a self,
        namespace: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a PendingRecord)> {
        let all = self.records.iter();
        all.map(|(uid, entry)| (uid.as_str(), &entry.record))
            .filter(move |(_, record)| namespace.is_empty() || record.namespace == namespace)
    }

    /// How much work each reason holds back, by class, namespace and the zone whose nodes it rejects ("" where it
    /// rejects none). A task counts under each reason that holds, in each zone.
    pub fn totals(&self) -> TotalsByReason {
        let mut totals = TotalsByReason::new();
        for (_, record) in self.iter("") {
            totals::add(&mut totals, record);
        }
        totals
    }

    /// Pending tasks with a record.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no task is pending.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Tasks that got no record because of [`Settings::max_records`].
    pub fn unrecorded_count(&self) -> u64 {
        self.unrecorded
    }
}
