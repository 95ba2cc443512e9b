//! Cancels tasks on request of their edge, and abandons open tasks when their edge is lost.

use super::{Core, Step, UNWANTED_REQUEST_RETENTION};
use crate::task_table::{EdgeId, Stage};
use tidespur_policy::interface::{AttemptOutcome, Event, TaskId};

impl Core {
    /// Cancels a task: nothing more is sent to its edge, and its Pods are deleted.
    pub(super) fn on_cancel(&mut self, step: &mut Step<'_>, uid: &str) {
        if self.uncommitted.remove(uid).is_some() {
            return;
        }
        self.unwanted_requests
            .insert(uid.to_owned(), step.now + UNWANTED_REQUEST_RETENTION);
        if let Some(task) = self.tasks.id_of(uid) {
            self.abandon(step, task);
            self.stop_placed(step, task);
        }
        self.delete_pods_of_request(step, uid);
    }

    fn stop_placed(&mut self, step: &mut Step<'_>, task: TaskId) {
        let Some(record) = self.tasks.get(task) else {
            return;
        };
        let Stage::Placed { attempt, node } = record.stage.clone() else {
            return;
        };
        self.delete_pod(step, &node, record.pod_name());
        self.attempts.clear(&record.request.uid, &node);
        step.events.push(Event::AttemptEnded {
            task,
            attempt,
            outcome: AttemptOutcome::Cancelled,
            closed: true,
            report: None,
        });
        self.tasks.remove(task);
    }

    /// Abandons a task whose edge still expects an answer. A task with an attempt in flight is kept until the attempt
    /// ends; a placed task is not affected.
    fn abandon(&mut self, step: &mut Step<'_>, task: TaskId) {
        let Some(record) = self.tasks.get_mut(task) else {
            return;
        };
        match record.stage.clone() {
            Stage::Pending => {
                self.tasks.remove(task);
            }
            Stage::Offered { attempt, node } => record.stage = Stage::Abandoned { attempt, node },
            Stage::Placed { .. } | Stage::Abandoned { .. } => return,
        }
        step.events.push(Event::TaskCancelled(task));
    }

    /// Abandons the open tasks of a disconnected edge. Its placed tasks continue to run.
    pub(super) fn on_edge_disconnected(&mut self, step: &mut Step<'_>, edge: EdgeId) {
        self.abandon_open_tasks(step, |owner| owner == edge);
        self.pending_reasons.remove_edge(edge);
    }

    /// Abandons the open tasks of the selected edges, and drops their queries and uncommitted tasks.
    pub(super) fn abandon_open_tasks(
        &mut self,
        step: &mut Step<'_>,
        is_selected: impl Fn(EdgeId) -> bool,
    ) {
        self.locate_queries.retain(|query| !is_selected(query.edge));
        self.uncommitted.retain(|_, task| !is_selected(task.edge));
        let tasks: Vec<TaskId> = self
            .tasks
            .iter()
            .filter(|(_, record)| is_selected(record.edge))
            .map(|(task, _)| task)
            .collect();
        for task in tasks {
            self.abandon(step, task);
        }
    }
}
