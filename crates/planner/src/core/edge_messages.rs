//! Handles the messages of edges.

use super::{Core, LocateQuery, Output, Step, UncommittedTask};
use crate::convert;
use crate::nodes::ConnectionState;
use crate::pod::PodName;
use crate::task_table::{EdgeId, Stage};
use tidespur_api::task::PlacementRequest;
use tidespur_planner_protocol::{TerminationReason, ToEdge, ToPlanner};
use tidespur_policy::interface::{Event, Resources, Task, TaskId};

/// Retry-After of tasks that are shed because the planner is overloaded, in seconds.
const SHED_RETRY_AFTER: f64 = 1.0;

/// A request has a class that is not configured.
#[derive(Debug, thiserror::Error)]
#[error("class {class:?} is not in the planner's settings")]
struct UnknownClass {
    class: String,
}

impl Core {
    pub(super) fn on_edge_message(
        &mut self,
        step: &mut Step<'_>,
        edge: EdgeId,
        message: ToPlanner,
    ) {
        match message {
            ToPlanner::Welcome { .. } | ToPlanner::Heartbeat => {}
            ToPlanner::PlannerCount {
                lease,
                token,
                planners,
            } => self.on_planner_count(step, edge, lease, token, planners),
            ToPlanner::Place(request) => self.on_place(step, edge, request),
            ToPlanner::Commit { uid, timeout } => self.on_commit(step, edge, &uid, timeout),
            ToPlanner::Adopt { request, node } => self.on_adopt(step, edge, request, &node),
            ToPlanner::Cancel { uid } => self.on_cancel(step, &uid),
            ToPlanner::Locate { uid, tenant, name } => self.locate_queries.push(LocateQuery {
                edge,
                uid,
                pod: PodName::new(&tenant, &name),
                asked_at: step.now,
            }),
        }
    }

    fn on_planner_count(
        &mut self,
        step: &mut Step<'_>,
        edge: EdgeId,
        lease: String,
        token: u64,
        planners: u32,
    ) {
        match self.fence.admit(&lease, token) {
            Ok(()) => {
                step.outputs.push(Output::Log(format!(
                    "shares the slow-start budget with all of {planners} planners, by token {token} of {lease}"
                )));
                step.outputs.push(Output::SetPlannerCount(planners));
            }
            Err(stale) => {
                step.outputs
                    .push(Output::Log(format!("rejected planner count: {stale}")));
                let newest = stale.newest;
                let message = ToEdge::StaleToken {
                    lease,
                    token,
                    newest,
                };
                step.send(edge, message);
            }
        }
    }

    fn on_place(&mut self, step: &mut Step<'_>, edge: EdgeId, request: PlacementRequest) {
        let is_known = self.is_known(&request.uid);
        if self.has_storage_failed && !is_known {
            // Without an acknowledgement the edge hands the task to another planner.
            return;
        }
        let task = match self.read_task(step.now, &request) {
            Ok(task) => task,
            Err(error) => {
                let message = ToEdge::Rejected {
                    uid: request.uid,
                    reason: error.to_string(),
                    retry_after: 0.0,
                };
                return step.send(edge, message);
            }
        };
        // Only new tasks are shed. A task that is already known is acknowledged each time it is sent.
        if !is_known && !self.shedder.admit(task.class) {
            let message = ToEdge::Rejected {
                uid: request.uid,
                reason: "the planner is behind its work; ask again".to_owned(),
                retry_after: SHED_RETRY_AFTER,
            };
            return step.send(edge, message);
        }
        let uid = request.uid.clone();
        step.send(edge, ToEdge::Acknowledged { uid: uid.clone() });
        if self.tasks.id_of(&uid).is_none() {
            self.uncommitted
                .insert(uid, UncommittedTask { edge, request });
        }
    }

    fn on_commit(&mut self, step: &mut Step<'_>, edge: EdgeId, uid: &str, timeout: f64) {
        let uncommitted = self.uncommitted.remove(uid);
        let Some(uncommitted) = uncommitted.filter(|task| task.edge == edge) else {
            return;
        };
        let request = PlacementRequest {
            timeout: Some(timeout),
            ..uncommitted.request
        };
        let Ok(mut task) = self.read_task(step.now, &request) else {
            return;
        };
        let is_idempotent = self.is_idempotent_class[task.class];
        let id = self
            .tasks
            .insert(request, edge, is_idempotent, Stage::Pending, 0);
        if let Some(id) = id {
            task.id = id;
            step.events.push(Event::TaskSubmitted(task));
        }
    }

    fn on_adopt(
        &mut self,
        step: &mut Step<'_>,
        edge: EdgeId,
        request: PlacementRequest,
        node: &str,
    ) {
        let Ok(mut task) = self.read_task(step.now, &request) else {
            return;
        };
        let is_idempotent = self.is_idempotent_class[task.class];
        let stage = Stage::Placed {
            attempt: 0,
            node: node.to_owned(),
        };
        let uid = request.uid.clone();
        let pod_name = PodName::new(&request.tenant, &request.name);
        let Some(id) = self.tasks.insert(request, edge, is_idempotent, stage, 1) else {
            return self.reassign_edge(step, &uid, edge);
        };
        task.id = id;
        let machine = convert::machine_id(node);
        self.machine_names.insert(machine, node);
        step.events.push(Event::TaskAdopted(task, machine));
        let message = ToEdge::Placed {
            uid,
            node: node.to_owned(),
        };
        step.send(edge, message);
        self.apply_reported_state(step, id, node, &pod_name);
    }

    /// Applies what the node has reported of an adopted task: it may already run, or have ended.
    fn apply_reported_state(
        &mut self,
        step: &mut Step<'_>,
        task: TaskId,
        node: &str,
        pod: &PodName,
    ) {
        let Some(node_state) = self.nodes.get(node) else {
            return;
        };
        let connection = node_state.connection;
        match node_state.pods.get(pod).map(|pod| pod.phase) {
            Some(phase) => self.on_pod_phase(step, task, phase),
            None if connection == ConnectionState::Disconnected => {}
            None => self.end_task(step, task, TerminationReason::NodeLost),
        }
    }

    /// Makes `edge` the recipient of messages about a task that is already placed, and sends it the task's state. An
    /// edge that was disconnected adopts its tasks again over a new connection.
    fn reassign_edge(&mut self, step: &mut Step<'_>, uid: &str, edge: EdgeId) {
        let task = self.tasks.id_of(uid);
        let Some(record) = task.and_then(|task| self.tasks.get_mut(task)) else {
            return;
        };
        let Stage::Placed { node, .. } = &record.stage else {
            return;
        };
        record.edge = edge;
        let placed = ToEdge::Placed {
            uid: uid.to_owned(),
            node: node.clone(),
        };
        step.send(edge, placed);
        if record.is_running {
            let uid = uid.to_owned();
            step.send(edge, ToEdge::Started { uid });
        }
    }

    /// Whether the task is in the task table, or is acknowledged and not yet committed.
    fn is_known(&self, uid: &str) -> bool {
        self.uncommitted.contains_key(uid) || self.tasks.id_of(uid).is_some()
    }

    /// Converts a request to a task of the policy. Its id is still 0: the caller sets it.
    fn read_task(&self, now: f64, request: &PlacementRequest) -> Result<Task, UnknownClass> {
        let class = self.class_index(&request.class)?;
        let tenants = &self.config.tenants;
        let tenant = tenants
            .get_index_of(&request.tenant)
            .unwrap_or(tenants.len());
        let class_deadline = || {
            let (_, class) = self.config.classes.get_index(class)?;
            Some(class.deadline)
        };
        let timeout = request.timeout.or_else(class_deadline);
        Ok(Task {
            id: TaskId(0),
            class,
            tenant,
            service: convert::service_id(&request.service),
            deadline: now + timeout.unwrap_or(0.0),
            expected_duration: request.expected_duration,
            request: Resources::new(request.cores, request.memory),
            is_resubmission: request.is_resubmission,
        })
    }

    /// The index of the class of this name; an empty name stands for the first class.
    fn class_index(&self, name: &str) -> Result<usize, UnknownClass> {
        if name.is_empty() {
            return Ok(0);
        }
        let index = self.config.classes.get_index_of(name);
        index.ok_or_else(|| UnknownClass {
            class: name.to_owned(),
        })
    }
}
