//! Answers for tasks whose deadline has passed without one.

use super::{Action, Dispatcher, PlannerId, Task, TaskState};

impl Dispatcher {
    /// When the dispatcher itself acts on a task, in seconds since 1970.
    pub(super) fn expiry(&self, task: &Task) -> Option<f64> {
        match task.state {
            TaskState::Queued => Some(task.deadline),
            TaskState::Offered { at, .. } => {
                Some(task.deadline.min(at + self.settings.acknowledge_timeout))
            }
            TaskState::Assigned { .. } => Some(task.deadline + self.settings.answer_slack),
            TaskState::Placed { .. } => None,
        }
    }

    /// Answers the tasks whose deadline has passed. A planner that works has answered by then, so this is for planners
    /// that hang without losing their connection, and for tasks that no planner had capacity for. Tasks that a planner
    /// has not acknowledged in time are queued again.
    pub(super) fn answer_expired_tasks(&mut self, now: f64, actions: &mut Vec<Action>) {
        let mut expired: Vec<String> = Vec::new();
        for (uid, task) in &self.tasks {
            if self.expiry(task).is_some_and(|at| now >= at) {
                expired.push(uid.clone());
            }
        }
        for uid in expired {
            let Some(task) = self.tasks.get(&uid) else {
                continue;
            };
            match task.state {
                TaskState::Queued => self.reject_queued_task(&uid, actions),
                TaskState::Offered { planner, .. } => {
                    self.withdraw_offer(now, &uid, planner, actions);
                }
                TaskState::Assigned { planner } => {
                    self.close(&uid);
                    actions.push(Action::cancel(planner, &uid));
                    actions.push(Action::fail(uid, "its planner gave no answer in time"));
                }
                TaskState::Placed { .. } => {}
            }
        }
    }

    fn reject_queued_task(&mut self, uid: &str, actions: &mut Vec<Action>) {
        self.close(uid);
        let reason = if self.planners.is_empty() {
            "no planner is connected"
        } else {
            "no planner had room for it in time"
        };
        actions.push(Action::reject(uid, reason));
    }

    /// The planner has not acknowledged the task in time.
    fn withdraw_offer(
        &mut self,
        now: f64,
        uid: &str,
        planner: PlannerId,
        actions: &mut Vec<Action>,
    ) {
        let is_late = self.tasks.get(uid).is_some_and(|task| now >= task.deadline);
        actions.push(Action::cancel(planner, uid));
        if let Some(planner) = self.planners.get_mut(&planner) {
            planner.is_unresponsive = true;
        }
        if is_late {
            self.close(uid);
            actions.push(Action::reject(uid, "no planner took it in time"));
        } else {
            self.requeue(uid);
        }
    }
}
