//! What is due: answers at deadlines, and answers to questions.

use super::{Action, Desk, Question, Stage, Task};
use tidespur_planner_protocol::{Location, TerminationReason, ToPlanner};

impl Desk {
    /// Answers what has no answer at its deadline. A planner that is alive has answered by then, so this is for one
    /// that hangs without being silent, and for tasks that no planner had room for.
    pub(super) fn overdue(&mut self, now: f64, out: &mut Vec<Action>) {
        let slack = self.settings.answer_slack;
        let due = |task: &Task| match task.stage {
            Stage::Queued => now >= task.deadline,
            Stage::Asked(_, at) => now >= task.deadline.min(at + self.settings.take_within),
            Stage::With(_) => now >= task.deadline + slack,
            Stage::Placed(..) => false,
        };
        let due: Vec<String> = self
            .tasks
            .iter()
            .filter(|(_, task)| due(task))
            .map(|(uid, _)| uid.clone())
            .collect();
        for uid in due {
            if let Some(Task {
                stage: Stage::Asked(planner, _),
                deadline,
                ..
            }) = self.tasks.get(&uid)
            {
                let (planner, late) = (*planner, now >= *deadline);
                out.push(Action::Tell(
                    planner,
                    ToPlanner::Cancel { uid: uid.clone() },
                ));
                if let Some(planner) = self.planners.get_mut(&planner) {
                    planner.silent = true;
                }
                if !late {
                    self.take_back(&uid);
                    continue;
                }
            }
            match self.close(&uid).map(|task| task.stage) {
                Some(Stage::Asked(..)) => {
                    out.push(Action::Refused(uid, "no planner took it in time".into()));
                }
                Some(Stage::With(planner)) => {
                    out.push(Action::Tell(
                        planner,
                        ToPlanner::Cancel { uid: uid.clone() },
                    ));
                    out.push(Action::Failed(
                        uid,
                        "its planner gave no answer in time".into(),
                    ));
                }
                _ if self.planners.is_empty() => {
                    out.push(Action::Refused(uid, "no planner is connected".into()))
                }
                _ => out.push(Action::Refused(
                    uid,
                    "no planner had room for it in time".into(),
                )),
            }
        }
    }

    pub(super) fn close_questions(&mut self, now: f64, out: &mut Vec<Action>) {
        let sure = |q: &Question| {
            matches!(
                q.best,
                Location::At(_) | Location::Ended(TerminationReason::Succeeded)
            )
        };
        let done = |q: &Question| q.waiting.is_empty() || sure(q) || now >= q.until;
        let due: Vec<String> = self
            .questions
            .iter()
            .filter(|(_, q)| done(q))
            .map(|(uid, _)| uid.clone())
            .collect();
        for uid in due {
            let Some(question) = self.questions.remove(&uid) else {
                continue;
            };
            let silent = !question.waiting.is_empty() || self.planners.is_empty();
            let found = if silent && !sure(&question) {
                Location::Unknown
            } else {
                question.best
            };
            out.push(Action::Located(uid, found));
        }
    }

    pub(super) fn tell_all(&self, message: &ToPlanner, out: &mut Vec<Action>) {
        out.extend(
            self.planners
                .keys()
                .map(|planner| Action::Tell(*planner, message.clone())),
        );
    }
}
