//! Publishes to edges why their tasks are pending. The policy reports the reason for which it filters out a machine;
//! this module converts and counts the reasons, once for all tasks of the same shape. Owned by [`crate::core::Core`].

mod diagnose;

use crate::nodes::{MachineNames, NodeTable};
use crate::task_table::{EdgeId, Stage, TaskRecord, TaskTable};
use diagnose::diagnose;
use std::collections::BTreeMap;
use std::sync::Arc;
use tidespur_config::Config;
use tidespur_pending::{Diagnosis, ReasonDraft, ReasonPublisher};
use tidespur_planner_protocol::ToEdge;
use tidespur_policy::Scheduler;
use tidespur_policy::interface::{PendingDiagnosis, TaskId};

/// Interval between diagnoses of the pending tasks, in seconds. A published reason is at most this old when it is sent,
/// as long as all pending shapes together examine no more than [`MAX_MACHINES_PER_REFRESH`] machines.
const REFRESH_INTERVAL: f64 = 0.25;
/// Minimum time between published reasons of one task, in seconds.
const MIN_PUBLISH_INTERVAL: f64 = 2.0 * REFRESH_INTERVAL;
/// Maximum number of machines examined in one refresh. Beyond it the shapes take turns, those with the oldest diagnosis
/// first.
const MAX_MACHINES_PER_REFRESH: usize = 10_000;
/// Interval after which an unchanged reason is published again, in seconds.
const REPEAT_INTERVAL: f64 = 2.0;
/// Maximum number of reasons in one message.
const MAX_REASONS_PER_MESSAGE: usize = 1_024;

/// What the reasons for a pending task depend on. Tasks with equal shapes share a diagnosis.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TaskShape {
    service: String,
    class: String,
    cores_bits: u64,
    memory_bits: u64,
    /// Set to the task's uid if earlier attempts restrict where it may be offered; the shape is then unique to the
    /// task.
    uid: Option<String>,
}

impl TaskShape {
    fn of(record: &TaskRecord) -> Self {
        let request = &record.request;
        let is_restricted = record.attempt_count > 0 && !record.is_idempotent;
        Self {
            service: request.service.clone(),
            class: request.class.clone(),
            cores_bits: request.cores.to_bits(),
            memory_bits: request.memory.to_bits(),
            uid: is_restricted.then(|| request.uid.clone()),
        }
    }
}

/// The last diagnosis of a shape. Times are in seconds.
#[derive(Debug)]
struct ShapeDiagnosis {
    diagnosed_at: f64,
    diagnosis: Arc<Diagnosis>,
    send_deadline: f64,
    next_attempt_at: f64,
}

/// The parts of the planner's state that a diagnosis reads.
pub(crate) struct PlannerState<'a> {
    pub(crate) scheduler: &'a Scheduler,
    pub(crate) config: &'a Config,
    pub(crate) tasks: &'a TaskTable,
    pub(crate) nodes: &'a NodeTable,
    pub(crate) machine_names: &'a MachineNames,
}

/// A task that has not been placed, rejected or failed yet.
struct PendingTask<'a> {
    id: TaskId,
    record: &'a TaskRecord,
    shape: TaskShape,
}

/// The reasons published to each edge, and the diagnoses that they are based on.
#[derive(Debug, Default)]
pub(crate) struct PendingReasons {
    next_refresh_at: f64,
    publishers: BTreeMap<EdgeId, ReasonPublisher>,
    diagnoses: BTreeMap<TaskShape, ShapeDiagnosis>,
}

impl PendingReasons {
    /// Drops the publishing state of a disconnected edge, so that all reasons are sent again after it reconnects.
    pub(crate) fn remove_edge(&mut self, edge: EdgeId) {
        self.publishers.remove(&edge);
    }

    /// Diagnoses the pending tasks if a refresh is due, and returns the messages to send.
    pub(crate) fn refresh(&mut self, now: f64, state: &PlannerState<'_>) -> Vec<(EdgeId, ToEdge)> {
        if now < self.next_refresh_at {
            return vec![];
        }
        self.next_refresh_at = now + REFRESH_INTERVAL;
        let pending = pending_tasks(state.tasks);
        if pending.is_empty() && self.publishers.is_empty() {
            return vec![];
        }
        self.diagnose_shapes(now, state, &pending);
        self.publish(now, &pending)
    }

    fn publish(&mut self, now: f64, pending: &[PendingTask<'_>]) -> Vec<(EdgeId, ToEdge)> {
        let no_diagnosis = Arc::new(Diagnosis::default());
        let mut drafts: BTreeMap<EdgeId, Vec<ReasonDraft<'_>>> =
            self.publishers.keys().map(|edge| (*edge, vec![])).collect();
        for PendingTask { record, shape, .. } in pending {
            let offered_to = match &record.stage {
                Stage::Offered { node, .. } => Some(node.as_str()),
                _ => None,
            };
            let found = self.diagnoses.get(shape);
            if found.is_none() && offered_to.is_none() {
                continue;
            }
            drafts.entry(record.edge).or_default().push(ReasonDraft {
                uid: &record.request.uid,
                diagnosis: found.map_or(&no_diagnosis, |found| &found.diagnosis),
                offered_to,
                node_answers: &record.node_answers,
                sendable_for: found.map_or(0.0, |found| found.send_deadline - now),
                next_attempt_in: found.map_or(0.0, |found| (found.next_attempt_at - now).max(0.0)),
            });
        }
        let mut messages = Vec::new();
        for (edge, drafts) in drafts {
            let publisher = self.publishers.entry(edge).or_insert_with(|| {
                ReasonPublisher::new(
                    MIN_PUBLISH_INTERVAL,
                    REPEAT_INTERVAL,
                    MAX_REASONS_PER_MESSAGE,
                )
            });
            let updates = publisher.step(now, drafts);
            if publisher.is_empty() {
                self.publishers.remove(&edge);
            }
            if !updates.is_empty() {
                messages.push((edge, ToEdge::PendingReasons(updates)));
            }
        }
        messages
    }

    /// Updates the diagnoses of pending shapes, oldest first, until [`MAX_MACHINES_PER_REFRESH`] machines were
    /// examined.
    fn diagnose_shapes(&mut self, now: f64, state: &PlannerState<'_>, pending: &[PendingTask<'_>]) {
        let shapes = shapes_without_offer(pending);
        self.diagnoses.retain(|shape, _| shapes.contains_key(shape));
        let mut machines_left = MAX_MACHINES_PER_REFRESH;
        for (shape, task) in self.oldest_first(shapes) {
            let Some(pending) = state.scheduler.explain(now, task) else {
                continue;
            };
            self.store_diagnosis(now, shape, &pending, state);
            machines_left = machines_left.saturating_sub(pending.machine_count.max(1));
            if machines_left == 0 {
                return;
            }
        }
    }

    fn oldest_first<'a>(
        &self,
        shapes: BTreeMap<&'a TaskShape, TaskId>,
    ) -> Vec<(&'a TaskShape, TaskId)> {
        let diagnosed_at = |shape: &TaskShape| {
            let known = self.diagnoses.get(shape);
            known.map_or(f64::NEG_INFINITY, |known| known.diagnosed_at)
        };
        let mut order: Vec<(&TaskShape, TaskId)> = shapes.into_iter().collect();
        order.sort_by(|a, b| diagnosed_at(a.0).total_cmp(&diagnosed_at(b.0)));
        order
    }

    fn store_diagnosis(
        &mut self,
        now: f64,
        shape: &TaskShape,
        pending: &PendingDiagnosis,
        state: &PlannerState<'_>,
    ) {
        let diagnosis = diagnose(now, pending, &shape.class, state);
        // An equal diagnosis keeps its allocation: the publisher compares pointers to detect that nothing has changed.
        let diagnosis = match self.diagnoses.get(shape) {
            Some(known) if *known.diagnosis == diagnosis => known.diagnosis.clone(),
            _ => Arc::new(diagnosis),
        };
        self.diagnoses.insert(
            shape.clone(),
            ShapeDiagnosis {
                diagnosed_at: now,
                diagnosis,
                send_deadline: pending.send_deadline,
                next_attempt_at: pending.next_attempt_at,
            },
        );
    }
}

fn pending_tasks(tasks: &TaskTable) -> Vec<PendingTask<'_>> {
    tasks
        .iter()
        .filter(|(_, record)| matches!(record.stage, Stage::Pending | Stage::Offered { .. }))
        .map(|(id, record)| PendingTask {
            id,
            record,
            shape: TaskShape::of(record),
        })
        .collect()
}

/// The shapes of tasks without an attempt in flight, each with the first task that has it.
fn shapes_without_offer<'a>(pending: &'a [PendingTask<'_>]) -> BTreeMap<&'a TaskShape, TaskId> {
    let mut shapes = BTreeMap::new();
    for task in pending {
        if task.record.stage == Stage::Pending {
            shapes.entry(&task.shape).or_insert(task.id);
        }
    }
    shapes
}
