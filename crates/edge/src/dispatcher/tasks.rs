//! Creates, cancels and stops tasks on behalf of their owners, and counts the open ones.

use super::{Action, Dispatcher, PlannerId, STOP_REQUEST_RETENTION, Task, TaskState};
use tidespur_api::task::PlacementRequest;
use tidespur_planner_protocol::ToPlanner;

impl Dispatcher {
    pub(super) fn on_task_submitted(
        &mut self,
        request: PlacementRequest,
        deadline: f64,
        is_idempotent: bool,
    ) {
        let uid = request.uid.clone();
        if self.tasks.contains_key(&uid) {
            return;
        }
        let task = Task {
            request,
            deadline,
            is_idempotent,
            state: TaskState::Queued,
        };
        self.tasks.insert(uid.clone(), task);
        self.queue.push_back(uid);
        self.open_tasks += 1;
    }

    pub(super) fn on_running_task_adopted(
        &mut self,
        request: PlacementRequest,
        node: String,
        actions: &mut Vec<Action>,
    ) {
        let uid = request.uid.clone();
        let planner = None;
        let task = Task {
            request,
            deadline: f64::INFINITY,
            is_idempotent: false,
            state: TaskState::Placed { planner, node },
        };
        if self.tasks.insert(uid.clone(), task).is_none() {
            self.hand_over_placed_task(&uid, actions);
        }
    }

    pub(super) fn on_task_interrupted(
        &mut self,
        now: f64,
        uid: String,
        is_idempotent: bool,
        actions: &mut Vec<Action>,
    ) {
        if is_idempotent {
            self.stop(now, uid.clone(), actions);
            let reason = "the edge ended while a planner had it; a second start does no harm";
            actions.push(Action::reject(uid, reason));
        } else {
            let reason = "the edge ended while a planner had it";
            actions.push(Action::fail(uid, reason));
        }
    }

    pub(super) fn on_task_cancelled(&mut self, uid: String, actions: &mut Vec<Action>) {
        let Some(task) = self.close(&uid) else { return };
        match task.state {
            TaskState::Queued => {}
            TaskState::Offered { planner, .. }
            | TaskState::Assigned { planner }
            | TaskState::Placed {
                planner: Some(planner),
                ..
            } => actions.push(Action::cancel(planner, &uid)),
            TaskState::Placed { planner: None, .. } => {
                self.broadcast(&ToPlanner::Cancel { uid }, actions);
            }
        }
    }

    /// Asks all planners to stop any running instance of a task. The request is kept for planners that connect later:
    /// after a restart of the edge, none is connected yet.
    pub(super) fn stop(&mut self, now: f64, uid: String, actions: &mut Vec<Action>) {
        self.broadcast(&ToPlanner::Cancel { uid: uid.clone() }, actions);
        self.stop_requests.insert(uid, now + STOP_REQUEST_RETENTION);
    }

    /// Sends a message to all planners.
    pub(super) fn broadcast(&self, message: &ToPlanner, actions: &mut Vec<Action>) {
        for &planner in self.planners.keys() {
            actions.push(Action::send(planner, message.clone()));
        }
    }

    /// Removes a task; an open task counts as answered.
    pub(super) fn close(&mut self, uid: &str) -> Option<Task> {
        let state = self.tasks.get(uid)?.state.clone();
        match state {
            TaskState::Offered { planner, .. } | TaskState::Assigned { planner } => {
                self.count_answer(uid, planner);
            }
            TaskState::Queued => self.open_tasks = self.open_tasks.saturating_sub(1),
            TaskState::Placed { .. } => {}
        }
        self.tasks.remove(uid)
    }

    /// Counts an open task that was with this planner as answered.
    pub(super) fn count_answer(&mut self, uid: &str, planner: PlannerId) {
        self.release_capacity(planner);
        if self.tasks.contains_key(uid) {
            self.open_tasks = self.open_tasks.saturating_sub(1);
        }
    }

    /// Counts one open task less for a planner.
    pub(super) fn release_capacity(&mut self, planner: PlannerId) {
        if let Some(planner) = self.planners.get_mut(&planner) {
            planner.open_tasks = planner.open_tasks.saturating_sub(1);
        }
    }
}
