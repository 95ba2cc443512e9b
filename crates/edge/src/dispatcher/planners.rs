//! Connections of planners, and the messages that planners send.

use super::{Action, Dispatcher, PlannerId, TaskState};
use tidespur_planner_protocol::{ToEdge, ToPlanner};

/// What the sender of a message has to do with the task that the message is about.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SenderRole {
    /// Its answer on the task is due.
    Answers,
    /// It reports on the placed task.
    Reports,
    /// The task is not with it.
    Unrelated,
}

impl Dispatcher {
    pub(super) fn on_planner_connected(&mut self, planner: PlannerId, actions: &mut Vec<Action>) {
        self.planners.insert(planner, super::Planner::default());
        for uid in self.stop_requests.keys() {
            actions.push(Action::cancel(planner, uid));
        }
        let mut without_planner: Vec<String> = Vec::new();
        for (uid, task) in &self.tasks {
            if matches!(task.state, TaskState::Placed { planner: None, .. }) {
                without_planner.push(uid.clone());
            }
        }
        for uid in without_planner {
            self.hand_over_placed_task(&uid, actions);
        }
        self.send_locate_queries(planner, actions);
    }

    /// Tasks that the lost planner had not got the commit for are queued again. Those that it had may have been offered
    /// to nodes: they fail, which claims nothing, or are rejected where a second run is harmless, and what may run of
    /// them is stopped. Placed tasks are handed to another planner; without one they stay as they are.
    pub(super) fn on_planner_lost(&mut self, now: f64, lost: PlannerId, actions: &mut Vec<Action>) {
        if self.planners.remove(&lost).is_none() {
            return;
        }
        let mut offered: Vec<String> = Vec::new();
        let mut assigned: Vec<String> = Vec::new();
        let mut placed: Vec<String> = Vec::new();
        for (uid, task) in &self.tasks {
            match &task.state {
                TaskState::Offered { planner, .. } if *planner == lost => offered.push(uid.clone()),
                TaskState::Assigned { planner } if *planner == lost => assigned.push(uid.clone()),
                TaskState::Placed { planner, .. } if *planner == Some(lost) => {
                    placed.push(uid.clone());
                }
                _ => {}
            }
        }
        for uid in offered {
            self.requeue(&uid);
        }
        for uid in assigned {
            self.answer_for_lost_planner(now, uid, actions);
        }
        for uid in placed {
            if let Some(task) = self.tasks.get_mut(&uid)
                && let TaskState::Placed { planner, .. } = &mut task.state
            {
                *planner = None;
            }
            self.hand_over_placed_task(&uid, actions);
        }
        self.forget_locate_answers(lost);
    }

    fn answer_for_lost_planner(&mut self, now: f64, uid: String, actions: &mut Vec<Action>) {
        let is_idempotent = self.close(&uid).is_some_and(|task| task.is_idempotent);
        if is_idempotent {
            self.stop(now, uid.clone(), actions);
            let reason = "the planner that had it was lost; a second start does no harm";
            actions.push(Action::reject(uid, reason));
        } else {
            let reason = "the planner that had it was lost";
            actions.push(Action::fail(uid, reason));
        }
    }

    /// A task that its planner has not got the commit for is first in the queue again.
    pub(super) fn requeue(&mut self, uid: &str) {
        let Some(task) = self.tasks.get_mut(uid) else {
            return;
        };
        let TaskState::Offered { planner, .. } = task.state else {
            return;
        };
        task.state = TaskState::Queued;
        self.queue.push_front(uid.to_owned());
        self.release_capacity(planner);
    }

    pub(super) fn on_message(
        &mut self,
        now: f64,
        planner: PlannerId,
        message: ToEdge,
        actions: &mut Vec<Action>,
    ) {
        if let Some(planner) = self.planners.get_mut(&planner) {
            planner.is_unresponsive = false;
        }
        let role = self.sender_role(planner, &message);
        match message {
            ToEdge::Acknowledged { uid } => self.on_acknowledged(now, planner, uid, actions),
            ToEdge::Placed { uid, node } => self.on_placed(planner, role, uid, node, actions),
            ToEdge::Rejected { uid, reason, .. } if role == SenderRole::Answers => {
                self.close(&uid);
                actions.push(Action::MarkRejected { uid, reason });
            }
            ToEdge::Failed { uid, reason } if role == SenderRole::Answers => {
                self.close(&uid);
                actions.push(Action::MarkFailed { uid, reason });
            }
            ToEdge::Started { uid } if role == SenderRole::Reports => {
                actions.push(Action::MarkRunning { uid });
            }
            ToEdge::Ended { uid, reason } if role == SenderRole::Reports => {
                self.close(&uid);
                actions.push(Action::MarkEnded { uid, reason });
            }
            ToEdge::Located { uid, location } => self.on_located(planner, &uid, location),
            _ => {}
        }
    }

    fn sender_role(&self, sender: PlannerId, message: &ToEdge) -> SenderRole {
        let Some(task) = task_uid(message).and_then(|uid| self.tasks.get(uid)) else {
            return SenderRole::Unrelated;
        };
        let is_rejection = matches!(message, ToEdge::Rejected { .. });
        match &task.state {
            TaskState::Assigned { planner } if *planner == sender => SenderRole::Answers,
            // It may reject at once what it cannot read as a task.
            TaskState::Offered { planner, .. } if *planner == sender && is_rejection => {
                SenderRole::Answers
            }
            TaskState::Placed { planner, .. } if *planner == Some(sender) => SenderRole::Reports,
            _ => SenderRole::Unrelated,
        }
    }

    fn on_acknowledged(
        &mut self,
        now: f64,
        sender: PlannerId,
        uid: String,
        actions: &mut Vec<Action>,
    ) {
        let Some(task) = self.tasks.get_mut(&uid) else {
            actions.push(Action::cancel(sender, &uid));
            return;
        };
        match task.state {
            TaskState::Offered { planner, .. } if planner == sender => {
                task.state = TaskState::Assigned { planner };
                let timeout = (task.deadline - now).max(0.0);
                actions.push(Action::send(planner, ToPlanner::Commit { uid, timeout }));
            }
            // A repeated acknowledgement.
            TaskState::Assigned { planner } if planner == sender => {}
            // The task was withdrawn from it.
            _ => actions.push(Action::cancel(sender, &uid)),
        }
    }

    fn on_placed(
        &mut self,
        planner: PlannerId,
        role: SenderRole,
        uid: String,
        node: String,
        actions: &mut Vec<Action>,
    ) {
        match role {
            SenderRole::Answers => {
                self.count_answer(&uid, planner);
                if let Some(task) = self.tasks.get_mut(&uid) {
                    task.state = TaskState::Placed {
                        planner: Some(planner),
                        node: node.clone(),
                    };
                }
                actions.push(Action::MarkPlaced { uid, node });
            }
            // The task was answered already, so nobody waits for what this planner has placed.
            SenderRole::Unrelated => actions.push(Action::cancel(planner, &uid)),
            SenderRole::Reports => {}
        }
    }
}

/// Uid of the task that a message is about.
fn task_uid(message: &ToEdge) -> Option<&str> {
    match message {
        ToEdge::Acknowledged { uid }
        | ToEdge::Placed { uid, .. }
        | ToEdge::Rejected { uid, .. }
        | ToEdge::Failed { uid, .. }
        | ToEdge::Started { uid }
        | ToEdge::Ended { uid, .. }
        | ToEdge::Located { uid, .. } => Some(uid),
        ToEdge::Hello { .. }
        | ToEdge::Heartbeat
        | ToEdge::PendingReasons(_)
        | ToEdge::StaleToken { .. } => None,
    }
}
