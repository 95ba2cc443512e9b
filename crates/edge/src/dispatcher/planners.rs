//! Handles connected and lost planners, and the messages that planners send.

use super::{Action, Dispatcher, PlannerId, TaskState};
use tidespur_planner_protocol::{ToEdge, ToPlanner};

/// Relation of a planner that sent a message to the task that the message is about.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SenderRole {
    /// The task is assigned to it, and its answer is due.
    Answers,
    /// The task is placed, and it reports its progress.
    Reports,
    /// It does not have the task.
    Unrelated,
}

impl Dispatcher {
    pub(super) fn on_planner_connected(&mut self, planner: PlannerId, actions: &mut Vec<Action>) {
        self.planners.insert(planner, super::Planner::default());
        for uid in self.stop_requests.keys() {
            actions.push(Action::cancel(planner, uid));
        }
        let mut unattended: Vec<String> = Vec::new();
        for (uid, task) in &self.tasks {
            if matches!(task.state, TaskState::Placed { planner: None, .. }) {
                unattended.push(uid.clone());
            }
        }
        for uid in unattended {
            self.hand_over_placed_task(&uid, actions);
        }
        self.send_locate_queries(planner, actions);
    }

    /// Requeues the tasks for which the lost planner has no commit. Tasks with a commit may have been offered to nodes:
    /// they fail, which leaves open whether they run. If a second run is harmless, they are rejected instead, and any
    /// running instance is stopped. Placed tasks are handed over to another planner; if there is none, they stay as
    /// they are.
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
        self.abandon_locate_answers(lost);
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

    /// Puts a task for which its planner has not got the commit back at the front of the queue.
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
            // A planner may reject an invalid task without acknowledging it first.
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
            // The task was answered without this planner: the instance that it has placed is stopped.
            SenderRole::Unrelated => actions.push(Action::cancel(planner, &uid)),
            SenderRole::Reports => {}
        }
    }
}

/// Uid of the task that a message is about; `None` for messages about the connection.
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
