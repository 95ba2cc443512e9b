//! Answers tasks whose deadline has passed.

use super::{Action, Dispatcher, PlannerId, Task, TaskState};

impl Dispatcher {
    /// When the dispatcher withdraws or answers a task itself, in seconds since 1970; `None` if it never does.
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

    /// Answers tasks whose deadline has passed, and queues tasks again that a planner has not acknowledged in time. A
    /// working planner answers before the deadline, so this covers planners that hang without losing their connection,
    /// and tasks that no planner had capacity for.
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

    /// Withdraws a task from a planner that has not acknowledged it in time.
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
