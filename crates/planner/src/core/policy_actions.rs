//! Applies the actions of the scheduling policy.

use super::{Core, Offer, Output, Step, UNWANTED_REQUEST_RETENTION};
use crate::task_table::{Stage, TaskRecord};
use tidespur_planner_protocol::ToEdge;
use tidespur_policy::interface::{Action, MachineId, TaskId};

impl Core {
    pub(super) fn apply(&mut self, step: &mut Step<'_>, action: Action) {
        match action {
            Action::Offer {
                task,
                machine,
                timeout,
            } => self.offer(step, task, machine, timeout),
            Action::Reject { task, retry_after } => self.reject(step, task, retry_after),
            Action::Fail(task) => self.fail(step, task),
            Action::Migrate(task) => self.migrate(step, task),
            Action::SubscribeEndpoints => step.outputs.push(Output::WatchNodeList),
            Action::SetTimer { after, token } => {
                step.outputs.push(Output::SetTimer { after, token });
            }
            Action::PollLoad(machine) => self.poll_load(step, machine),
            // Planners exchange no gossip: their settings keep the policy from requesting it.
            Action::Gossip(_) => {}
            Action::Log(line) => step.outputs.push(Output::Log(line)),
        }
    }

    fn offer(&mut self, step: &mut Step<'_>, task: TaskId, machine: MachineId, timeout: f64) {
        let Some(name) = self.machine_names.get(machine) else {
            return;
        };
        let Some(record) = self.tasks.get_mut(task) else {
            return;
        };
        let Some(node) = self.nodes.get(name) else {
            return;
        };
        let attempt = record.attempt_count;
        record.attempt_count += 1;
        let uid = &record.request.uid;
        let deadline = step.now + timeout;
        self.attempts
            .record_offer(uid, record.pod_name(), name, deadline);
        record.stage = Stage::Offered {
            attempt,
            node: name.to_owned(),
        };
        step.outputs.push(Output::Offer(Offer {
            task,
            attempt,
            node: name.to_owned(),
            address: node.address.clone(),
            request: record.request.clone(),
            timeout,
        }));
    }

    fn reject(&mut self, step: &mut Step<'_>, task: TaskId, retry_after: f64) {
        let Some(record) = self.tasks.remove(task) else {
            return;
        };
        let reason = self.answer_reason(&record, "no node took it in time");
        let uid = record.request.uid;
        if record.is_idempotent && record.attempt_count > 0 {
            // The owner may submit the task again, so a Pod of an earlier attempt would be a duplicate.
            self.unwanted_requests
                .insert(uid.clone(), step.now + UNWANTED_REQUEST_RETENTION);
            self.delete_pods_of_request(step, &uid);
        }
        let message = ToEdge::Rejected {
            uid,
            reason,
            retry_after,
        };
        step.send(record.edge, message);
    }

    fn fail(&mut self, step: &mut Step<'_>, task: TaskId) {
        let Some(record) = self.tasks.remove(task) else {
            return;
        };
        let reason = self.answer_reason(&record, "an attempt may have run");
        let uid = record.request.uid;
        step.send(record.edge, ToEdge::Failed { uid, reason });
    }

    fn migrate(&mut self, step: &mut Step<'_>, task: TaskId) {
        let Some(record) = self.tasks.get(task) else {
            return;
        };
        if let Stage::Placed { node, .. } = &record.stage {
            self.delete_pod(step, node, record.pod_name());
        }
    }

    fn poll_load(&self, step: &mut Step<'_>, machine: MachineId) {
        let Some(name) = self.machine_names.get(machine) else {
            return;
        };
        let Some(node) = self.nodes.get(name) else {
            return;
        };
        step.outputs.push(Output::PollLoad {
            node: name.to_owned(),
            address: node.address.clone(),
        });
    }

    /// The reason for a task's answer, for its owner.
    fn answer_reason(&self, record: &TaskRecord, summary: &str) -> String {
        if !self.has_node_list {
            return "the register has listed no nodes yet".to_owned();
        }
        match record.node_answers.last() {
            None => summary.to_owned(),
            Some((node, message)) => format!("{summary}; last word of a node: {node}: {message}"),
        }
    }
}
