//! Publishes to edges why their tasks are pending. The policy says for which reason it filters out a machine; this
//! converts and counts the reasons, once for all tasks of one shape. Owned and called by [`crate::core::Core`].

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

/// Pending tasks are diagnosed this often, in seconds. So a published reason is at most this old when it is sent, as
/// long as the pending shapes together examine no more machines than [`MAX_MACHINES_PER_REFRESH`].
const REFRESH_INTERVAL: f64 = 0.25;
/// The reason of one task is published at most this often, in seconds.
const MIN_PUBLISH_INTERVAL: f64 = 2.0 * REFRESH_INTERVAL;
/// Machines that may be examined in one refresh. Beyond, the shapes take turns.
const MAX_MACHINES_PER_REFRESH: usize = 10_000;
/// An unchanged reason is published again this often, in seconds.
const REPEAT_INTERVAL: f64 = 2.0;
/// Reasons in one message.
const MAX_REASONS_PER_MESSAGE: usize = 1_024;

/// Tasks of one shape are pending for the same reasons.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TaskShape {
    service: String,
    class: String,
    cores_bits: u64,
    memory_bits: u64,
    /// The task's uid where its earlier attempts restrict it, so that it has a shape of its own.
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

/// Why the tasks of a shape are pending.
#[derive(Debug)]
struct ShapeDiagnosis {
    diagnosed_at: f64,
    diagnosis: Arc<Diagnosis>,
    send_deadline: f64,
    next_attempt_at: f64,
}

/// What the planner knows, to read.
pub(crate) struct PlannerState<'a> {
    pub(crate) scheduler: &'a Scheduler,
    pub(crate) config: &'a Config,
    pub(crate) tasks: &'a TaskTable,
    pub(crate) nodes: &'a NodeTable,
    pub(crate) machine_names: &'a MachineNames,
}

/// A task that its edge waits for.
struct PendingTask<'a> {
    id: TaskId,
    record: &'a TaskRecord,
    shape: TaskShape,
}

/// The published reasons, by edge, and the diagnoses that they rest on.
#[derive(Debug, Default)]
pub(crate) struct PendingReasons {
    next_refresh_at: f64,
    publishers: BTreeMap<EdgeId, ReasonPublisher>,
    diagnoses: BTreeMap<TaskShape, ShapeDiagnosis>,
}

impl PendingReasons {
    /// Forgets what was published to an edge that has disconnected.
    pub(crate) fn remove_edge(&mut self, edge: EdgeId) {
        self.publishers.remove(&edge);
    }

    /// Diagnoses pending tasks if that is due, and returns the messages to send.
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

    /// Diagnoses the shapes that are pending anew, those with the oldest diagnosis first, within the bound on machines.
    fn diagnose_shapes(&mut self, now: f64, state: &PlannerState<'_>, pending: &[PendingTask<'_>]) {
        let shapes = shapes_without_offer(pending);
        self.diagnoses.retain(|shape, _| shapes.contains_key(shape));
        let mut machines_left = MAX_MACHINES_PER_REFRESH;
        for (shape, task) in self.oldest_first(shapes) {
            let Some(pending) = state.scheduler.explain(now, task) else {
                continue;
            };
            self.store(now, shape, &pending, state);
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

    fn store(
        &mut self,
        now: f64,
        shape: &TaskShape,
        pending: &PendingDiagnosis,
        state: &PlannerState<'_>,
    ) {
        let diagnosis = diagnose(now, pending, &shape.class, state);
        // An equal diagnosis keeps its allocation, by which the publisher sees that nothing has changed.
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

/// The shapes of tasks without an attempt in flight, each with its first task.
fn shapes_without_offer<'a>(pending: &'a [PendingTask<'_>]) -> BTreeMap<&'a TaskShape, TaskId> {
    let mut shapes = BTreeMap::new();
    for task in pending {
        if task.record.stage == Stage::Pending {
            shapes.entry(&task.shape).or_insert(task.id);
        }
    }
    shapes
}
