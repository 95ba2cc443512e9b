//! The edge's side: a record for each task that waits, what is written to objects and when, and the fleet's view.

use crate::{Diagnosis, PendingRecord, ReasonCode, ReasonUpdate};
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Bounds.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Records that are kept.
    pub max_records: usize,
    /// A Pod's condition and Event are written at most so often.
    pub write_interval: f64,
    /// What has no answer at once waits: it is written of after this long.
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

/// What is to be written to a Pod.
#[derive(Clone, Debug, PartialEq)]
pub struct StatusUpdate {
    /// The Pod.
    pub uid: String,
    /// Text of its condition and Event.
    pub message: String,
    /// The reason that weighs most.
    pub code: ReasonCode,
    /// How often its reasons have changed.
    pub count: u32,
}

/// Work that one reason holds back.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct PendingTotals {
    /// Tasks.
    pub tasks: u32,
    /// Cores that they ask for.
    pub cores: f64,
    /// Memory units that they ask for.
    pub memory: f64,
    /// The one that waits longest waits since then.
    pub oldest: f64,
}

#[derive(Debug)]
struct RecordEntry {
    record: PendingRecord,
    written: Option<(f64, String)>,
    count: u32,
}

/// All tasks of an edge that wait.
#[derive(Debug)]
pub struct PendingRecords {
    settings: Settings,
    records: BTreeMap<String, RecordEntry>,
    /// By namespace and name.
    names: BTreeMap<(String, String), String>,
    /// Those that are over, oldest first, so that an owner can ask afterwards.
    past: VecDeque<PendingRecord>,
    refused: u64,
    /// Diagnoses that were told lately: equal tasks share one.
    recent: VecDeque<Arc<Diagnosis>>,
}

/// Records that are kept of tasks that wait no longer.
const PAST_MOST: usize = 1_000;
/// Diagnoses that are looked through for an equal one.
const RECENT_MOST: usize = 32;

impl PendingRecords {
    /// Without records.
    pub fn new(settings: Settings) -> Self {
        let (records, names) = (BTreeMap::new(), BTreeMap::new());
        Self {
            settings,
            records,
            names,
            past: VecDeque::new(),
            refused: 0,
            recent: VecDeque::new(),
        }
    }

    /// A task waits from now on. Beyond the bound it gets no record, and that is counted.
    pub fn open(&mut self, now: f64, uid: &str, record: PendingRecord) {
        if self.records.len() >= self.settings.max_records {
            self.refused += 1;
            return;
        }
        let record = PendingRecord {
            since: now,
            updated_at: now,
            ..record
        };
        self.names.insert(
            (record.namespace.clone(), record.pod.clone()),
            uid.to_owned(),
        );
        self.records.insert(
            uid.to_owned(),
            RecordEntry {
                record,
                written: None,
                count: 0,
            },
        );
    }

    /// It waits no longer.
    pub fn close(&mut self, uid: &str) {
        let Some(entry) = self.records.remove(uid) else {
            return;
        };
        let key = (entry.record.namespace.clone(), entry.record.pod.clone());
        if self.names.get(&key).is_some_and(|known| known == uid) {
            self.names.remove(&key);
        }
        if entry.record.spans.is_empty() {
            return;
        }
        if self.past.len() >= PAST_MOST {
            self.past.pop_front();
        }
        let mut record = entry.record;
        record.codes.clear();
        record.spans.iter_mut().for_each(|span| span.is_over = true);
        self.past.push_back(record);
    }

    /// A planner's word.
    pub fn apply_update(&mut self, now: f64, mut word: ReasonUpdate) {
        match self.recent.iter().find(|known| **known == word.diagnosis) {
            Some(known) => word.diagnosis = known.clone(),
            None => {
                if self.recent.len() >= RECENT_MOST {
                    self.recent.pop_front();
                }
                self.recent.push_back(word.diagnosis.clone());
            }
        }
        let Some(entry) = self.records.get_mut(&word.uid) else {
            return;
        };
        let message = match &word.offered_to {
            Some(node) => format!("an offer is out to {node}"),
            None => word.diagnosis.message(),
        };
        let message = match word.node_answers.last() {
            Some((node, words)) => format!("{message}; {node} answered: {words}"),
            None => message,
        };
        let bars = word.diagnosis.clone();
        entry.hold(now, word.codes(), message, |code| {
            bars.rejections.get(&code).copied().unwrap_or(0)
        });
        entry.record.hint = word.diagnosis.hint();
        entry.record.last_update = Some(word);
    }

    /// The edge's own reason: nobody has it. A planner's older word does not hold any more.
    pub fn set_edge_reason(&mut self, now: f64, uid: &str, code: ReasonCode) {
        let Some(entry) = self.records.get_mut(uid) else {
            return;
        };
        entry.record.last_update = None;
        entry.record.hint = Some(match code {
            ReasonCode::NoPlanner => "a planner that connects".to_owned(),
            ReasonCode::PlannersSilent => "a planner that speaks again".to_owned(),
            _ => "room at a planner".to_owned(),
        });
        entry.hold(now, vec![code], code.description().to_owned(), |_| 0);
    }

    /// A planner has taken it: what the edge said does not hold any more, and the planner has said nothing yet.
    pub fn clear_edge_reason(&mut self, now: f64, uid: &str) {
        let Some(entry) = self
            .records
            .get_mut(uid)
            .filter(|entry| !entry.record.codes.is_empty())
        else {
            return;
        };
        entry.hold(now, vec![], String::new(), |_| 0);
        entry.record.hint = None;
    }

    /// What is to be written now: new or changed messages, each Pod at most so often.
    pub fn due_updates(&mut self, now: f64) -> Vec<StatusUpdate> {
        let mut due = Vec::new();
        for (uid, entry) in &mut self.records {
            let Some(&code) = entry.record.codes.first() else {
                continue;
            };
            let fresh = match &entry.written {
                None => now - entry.record.since >= self.settings.initial_delay,
                Some((at, text)) => {
                    now - at >= self.settings.write_interval && *text != entry.record.message
                }
            };
            if fresh {
                let message = entry.record.message.clone();
                entry.written = Some((now, message.clone()));
                entry.count += 1;
                due.push(StatusUpdate {
                    uid: uid.clone(),
                    message,
                    code,
                    count: entry.count,
                });
            }
        }
        due
    }

    /// The record of a Pod: of one that waits, or the last one of that name that did.
    pub fn find(&self, namespace: &str, pod: &str) -> Option<&PendingRecord> {
        let key = (namespace.to_owned(), pod.to_owned());
        let waits = self
            .names
            .get(&key)
            .and_then(|uid| self.records.get(uid))
            .map(|entry| &entry.record);
        let past = || {
            self.past
                .iter()
                .rev()
                .find(|r| r.namespace == namespace && r.pod == pod)
        };
        waits.or_else(past)
    }

    /// All that wait, of one namespace or of all ("").
    pub fn iter<'a>(
        &'a self,
        namespace: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a PendingRecord)> {
        let wanted =
            move |record: &PendingRecord| namespace.is_empty() || record.namespace == namespace;
        let all = self
            .records
            .iter()
            .map(|(uid, entry)| (uid.as_str(), &entry.record));
        all.filter(move |(_, record)| wanted(record))
    }

    /// How much work each reason holds back, by class, namespace and the zone whose nodes it rules out ("" where it
    /// rules out no nodes). A task counts under each reason that holds, in each zone.
    pub fn totals(&self) -> BTreeMap<(String, String, String, ReasonCode), PendingTotals> {
        let mut fleet: BTreeMap<(String, String, String, ReasonCode), PendingTotals> =
            BTreeMap::new();
        for (_, record) in self.iter("") {
            for &code in &record.codes {
                let diagnosis = record.last_update.as_ref().map(|word| &word.diagnosis);
                let mut zones: Vec<&str> = diagnosis
                    .iter()
                    .flat_map(|found| found.zones_of(code))
                    .collect();
                if zones.is_empty() {
                    zones.push("");
                }
                for zone in zones {
                    let key = (
                        record.class.clone(),
                        record.namespace.clone(),
                        zone.to_owned(),
                        code,
                    );
                    let new = || PendingTotals {
                        oldest: f64::INFINITY,
                        ..PendingTotals::default()
                    };
                    let held = fleet.entry(key).or_insert_with(new);
                    held.tasks += 1;
                    held.cores += record.requested[0];
                    held.memory += record.requested[1];
                    held.oldest = held.oldest.min(record.since);
                }
            }
        }
        fleet
    }

    /// Tasks with a record.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Tasks that got no record, as the most were kept already.
    pub fn unrecorded_count(&self) -> u64 {
        self.refused
    }
}

impl RecordEntry {
    fn hold(
        &mut self,
        now: f64,
        codes: Vec<ReasonCode>,
        message: String,
        nodes: impl Fn(ReasonCode) -> u32,
    ) {
        self.record.hold(now, codes, nodes);
        self.record.message = message;
    }
}
