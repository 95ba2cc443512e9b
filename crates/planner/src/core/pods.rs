//! Handles the Pods that nodes report, and the end of placed tasks.

use super::{Core, OfferAnswer, Output, Step};
use crate::convert;
use crate::pod::{ObservedPod, PodName, PodPhase};
use crate::task_table::Stage;
use std::collections::BTreeSet;
use tidespur_api::Object;
use tidespur_planner_protocol::{TerminationReason, ToEdge};
use tidespur_policy::interface::{AttemptProgress, Event, TaskId};

impl Core {
    /// Handles the complete list of a node's Pods. The first report of a listed node makes its endpoint available to
    /// the policy.
    pub(super) fn on_pods_listed(&mut self, step: &mut Step<'_>, node: &str, pods: &[Object]) {
        let pods: Vec<(PodName, ObservedPod)> = pods.iter().map(ObservedPod::read).collect();
        let names: BTreeSet<&PodName> = pods.iter().map(|(name, _)| name).collect();
        let uids: BTreeSet<&str> = pods
            .iter()
            .map(|(_, pod)| pod.request_uid.as_str())
            .collect();
        self.attempts.reconcile(step.now, node, &uids, &names);
        let Some(node_state) = self.nodes.get_mut(node) else {
            return;
        };
        if !node_state.has_reported()
            && node_state.is_listed
            && let Some(endpoint) = node_state.endpoint.clone()
        {
            step.events.push(Event::EndpointsChanged(vec![endpoint]));
        }
        node_state.on_received(step.now);
        node_state.pods.retain(|name, _| names.contains(name));
        for (name, pod) in pods {
            self.observe_pod(step, node, name, pod);
        }
        self.end_missing_tasks(step, node);
    }

    /// Ends the tasks placed at a node that are missing from its list of Pods: the node has restarted without them.
    fn end_missing_tasks(&mut self, step: &mut Step<'_>, node: &str) {
        for task in self.tasks.placed_at(node) {
            let Some(record) = self.tasks.get(task) else {
                continue;
            };
            if self.nodes.pod(node, &record.pod_name()).is_none() {
                self.end_task(step, task, TerminationReason::NodeLost);
            }
        }
    }

    pub(super) fn on_pod_updated(&mut self, step: &mut Step<'_>, node: &str, pod: &Object) {
        let Some(node_state) = self.nodes.get_mut(node) else {
            return;
        };
        node_state.on_received(step.now);
        let (name, pod) = ObservedPod::read(pod);
        self.observe_pod(step, node, name, pod);
    }

    pub(super) fn on_pod_deleted(&mut self, step: &mut Step<'_>, node: &str, pod: &Object) {
        let Some(node_state) = self.nodes.get_mut(node) else {
            return;
        };
        node_state.on_received(step.now);
        let (name, pod) = ObservedPod::read(pod);
        node_state.pods.remove(&name);
        let Some(task) = self.tasks.id_of(&pod.request_uid) else {
            return;
        };
        if !self.tasks.is_placed_at(task, node) {
            return;
        }
        let reason = match pod.phase {
            PodPhase::Terminated(reason) => reason,
            PodPhase::Pending | PodPhase::Running => TerminationReason::Stopped,
        };
        self.end_task(step, task, reason);
    }

    /// Handles the current state of a Pod at a node.
    fn observe_pod(&mut self, step: &mut Step<'_>, node: &str, name: PodName, pod: ObservedPod) {
        let phase = pod.phase;
        let uid = pod.request_uid.clone();
        if let Some(node_state) = self.nodes.get_mut(node) {
            node_state.pods.insert(name.clone(), pod);
        }
        let task = self.task_of_pod(node, &name, &uid);
        let record = task.and_then(|task| Some((task, self.tasks.get(task)?)));
        let Some((task, record)) = record else {
            let is_unwanted = self
                .unwanted_requests
                .get(&uid)
                .is_some_and(|until| step.now < *until);
            if is_unwanted && !phase.is_terminated() {
                self.delete_pod(step, node, name);
            }
            return;
        };
        let is_idempotent = record.is_idempotent;
        match record.stage.clone() {
            Stage::Placed { node: holder, .. } if holder == node => {
                self.on_pod_phase(step, task, phase);
            }
            // A node that reports the Pod has accepted the task. This replaces its answer, which may be lost or late.
            Stage::Offered {
                attempt,
                node: offered_to,
            } if offered_to == node && !phase.is_terminated() => {
                self.on_offer_answered(step, task, attempt, OfferAnswer::Accepted(None));
            }
            Stage::Offered {
                node: offered_to, ..
            }
            | Stage::Abandoned {
                node: offered_to, ..
            } if offered_to == node => {}
            // A Pod of an abandoned attempt. It is deleted for an idempotent task, so that it occupies no capacity;
            // for other tasks the edge decides.
            _ if is_idempotent && !phase.is_terminated() => self.delete_pod(step, node, name),
            _ => {}
        }
    }

    /// The task of a Pod at a node, by uid or else by name: the Pod of a task adopted from another planner has the uid
    /// of the task's first request.
    fn task_of_pod(&self, node: &str, name: &PodName, uid: &str) -> Option<TaskId> {
        let has_name = |task: &TaskId| {
            let record = self.tasks.get(*task);
            record.is_some_and(|record| {
                record.request.tenant == name.namespace && record.request.name == name.name
            })
        };
        let by_name = || self.tasks.placed_at(node).into_iter().find(has_name);
        self.tasks.id_of(uid).or_else(by_name)
    }

    /// Applies the phase of a placed task's Pod.
    pub(super) fn on_pod_phase(&mut self, step: &mut Step<'_>, task: TaskId, phase: PodPhase) {
        let Some(record) = self.tasks.get_mut(task) else {
            return;
        };
        match phase {
            PodPhase::Pending => {}
            PodPhase::Running if record.is_running => {}
            PodPhase::Running => {
                record.is_running = true;
                let uid = record.request.uid.clone();
                step.send(record.edge, ToEdge::Started { uid });
                step.events.push(Event::AttemptProgressed {
                    task,
                    progress: AttemptProgress::Started,
                });
            }
            PodPhase::Terminated(reason) => self.end_task(step, task, reason),
        }
    }

    /// Removes a placed task that has ended, and reports its end to the edge and to the policy.
    pub(super) fn end_task(
        &mut self,
        step: &mut Step<'_>,
        task: TaskId,
        reason: TerminationReason,
    ) {
        let Some(record) = self.tasks.get(task) else {
            return;
        };
        let Stage::Placed { attempt, node } = record.stage.clone() else {
            return;
        };
        let edge = record.edge;
        let uid = record.request.uid.clone();
        self.tasks.remove(task);
        self.attempts.clear(&uid, &node);
        step.events.push(Event::AttemptEnded {
            task,
            attempt,
            outcome: convert::attempt_outcome(reason),
            closed: true,
            report: None,
        });
        step.send(edge, ToEdge::Ended { uid, reason });
    }

    /// Requests the deletion of a Pod at a node. A Pod that has replaced the last reported one is kept.
    pub(super) fn delete_pod(&self, step: &mut Step<'_>, node: &str, pod: PodName) {
        let Some(node_state) = self.nodes.get(node) else {
            return;
        };
        let observed = node_state.pods.get(&pod);
        step.outputs.push(Output::DeletePod {
            address: node_state.address.clone(),
            pod_uid: observed.map(|observed| observed.pod_uid.clone()),
            pod,
        });
    }

    /// Requests the deletion of a request's Pods at all nodes, except for terminated ones.
    pub(super) fn delete_pods_of_request(&self, step: &mut Step<'_>, uid: &str) {
        for (node, node_state) in self.nodes.iter() {
            for (name, pod) in &node_state.pods {
                if pod.request_uid == uid && !pod.phase.is_terminated() {
                    self.delete_pod(step, node, name.clone());
                }
            }
        }
    }
}
