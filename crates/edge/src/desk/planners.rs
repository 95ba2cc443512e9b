//! Planners that are lost, and what planners say.

use super::{Action, Desk, PlannerId, Stage, Task};
use tidespur_planner_protocol::{Location, TerminationReason, ToEdge, ToPlanner};

impl Desk {
    /// What a lost planner had been told to place may have been offered: it fails, which promises nothing, or is
    /// refused where a second start does no harm, and what may run of it is stopped. What it had not been told to
    /// place goes to another. What nodes run is handed to another planner, and stays as it is where there is none.
    pub(super) fn lost(&mut self, now: f64, planner: PlannerId, out: &mut Vec<Action>) {
        if self.planners.remove(&planner).is_none() {
            return;
        }
        let (mut back, mut unclear, mut placed) = (vec![], vec![], vec![]);
        for (uid, task) in &self.tasks {
            match &task.stage {
                Stage::Asked(p, _) if *p == planner => back.push(uid.clone()),
                Stage::With(p) if *p == planner => unclear.push(uid.clone()),
                Stage::Placed(Some(p), _) if *p == planner => placed.push(uid.clone()),
                _ => {}
            }
        }
        back.iter().for_each(|uid| self.take_back(uid));
        for uid in unclear {
            let safe = self.close(&uid).is_some_and(|task| task.safe);
            if safe {
                self.reap(now, uid.clone(), out);
                let why = "the planner that had it was lost; a second start does no harm";
                out.push(Action::Refused(uid, why.into()));
            } else {
                out.push(Action::Failed(
                    uid,
                    "the planner that had it was lost".into(),
                ));
            }
        }
        for uid in placed {
            if let Some(task) = self.tasks.get_mut(&uid)
                && let Stage::Placed(by, _) = &mut task.stage
            {
                *by = None;
            }
            self.bind(&uid, out);
        }
        for question in self.questions.values_mut() {
            if let Some(place) = question.waiting.iter().position(|p| *p == planner) {
                // It took with it what it might have known.
                question.waiting.swap_remove(place);
                question.best = worse(question.best.clone(), Location::Unknown);
            }
        }
    }

    /// A task that its planner was not told to place stands first in the queue again.
    pub(super) fn take_back(&mut self, uid: &str) {
        let Some(task) = self.tasks.get_mut(uid) else {
            return;
        };
        let Stage::Asked(planner, _) = task.stage else {
            return;
        };
        task.stage = Stage::Queued;
        self.queue.push_front(uid.to_owned());
        if let Some(planner) = self.planners.get_mut(&planner) {
            planner.open = planner.open.saturating_sub(1);
        }
    }

    pub(super) fn said(
        &mut self,
        now: f64,
        planner: PlannerId,
        message: ToEdge,
        out: &mut Vec<Action>,
    ) {
        if let Some(planner) = self.planners.get_mut(&planner) {
            planner.silent = false;
        }
        let (with, placed) = match self
            .tasks
            .get(message_uid(&message))
            .map(|task| &task.stage)
        {
            Some(Stage::With(p)) => (*p == planner, false),
            // It may turn away at once what it can't read as a task.
            Some(Stage::Asked(p, _)) if matches!(message, ToEdge::Rejected { .. }) => {
                (*p == planner, false)
            }
            Some(Stage::Placed(by, _)) => (false, *by == Some(planner)),
            _ => (false, false),
        };
        match message {
            ToEdge::Acknowledged { uid } => match self.tasks.get_mut(&uid) {
                Some(task) if matches!(task.stage, Stage::Asked(p, _) if p == planner) => {
                    task.stage = Stage::With(planner);
                    let within = (task.deadline - now).max(0.0);
                    out.push(Action::Tell(
                        planner,
                        ToPlanner::Commit {
                            uid,
                            timeout: within,
                        },
                    ));
                }
                // A word on a task that it has already, or that was taken back.
                Some(task) if task.stage == Stage::With(planner) => {}
                _ => out.push(Action::Tell(planner, ToPlanner::Cancel { uid })),
            },
            ToEdge::Placed { uid, node } if with => {
                self.answered(&uid, planner);
                if let Some(task) = self.tasks.get_mut(&uid) {
                    task.stage = Stage::Placed(Some(planner), node.clone());
                }
                out.push(Action::Placed(uid, node));
            }
            // An answer that comes too late has been given already; what it placed nobody waits for.
            ToEdge::Placed { uid, .. } if !placed => {
                out.push(Action::Tell(planner, ToPlanner::Cancel { uid }))
            }
            ToEdge::Rejected {
                uid, reason: why, ..
            } if with => {
                self.close(&uid);
                out.push(Action::Refused(uid, why));
            }
            ToEdge::Failed { uid, reason: why } if with => {
                self.close(&uid);
                out.push(Action::Failed(uid, why));
            }
            ToEdge::Started { uid } if placed => out.push(Action::Runs(uid)),
            ToEdge::Ended { uid, reason: end } if placed => {
                self.close(&uid);
                out.push(Action::Ended(uid, end));
            }
            ToEdge::Located {
                uid,
                location: found,
            } => {
                let Some(question) = self.questions.get_mut(&uid) else {
                    return;
                };
                if let Some(place) = question.waiting.iter().position(|p| *p == planner) {
                    question.waiting.swap_remove(place);
                    question.best = worse(question.best.clone(), found);
                }
            }
            _ => {}
        }
    }

    pub(super) fn answered(&mut self, uid: &str, planner: PlannerId) {
        if let Some(planner) = self.planners.get_mut(&planner) {
            planner.open = planner.open.saturating_sub(1);
        }
        if self.tasks.contains_key(uid) {
            self.open = self.open.saturating_sub(1);
        }
    }

    pub(super) fn close(&mut self, uid: &str) -> Option<Task> {
        let stage = self.tasks.get(uid)?.stage.clone();
        match stage {
            Stage::Asked(planner, _) | Stage::With(planner) => self.answered(uid, planner),
            Stage::Queued => self.open = self.open.saturating_sub(1),
            Stage::Placed(..) => {}
        }
        self.tasks.remove(uid)
    }
}

/// Of two words on where a task is, the one that binds: that it runs before that it ended, that before doubt, and
/// doubt before that it is nowhere.
fn worse(a: Location, b: Location) -> Location {
    let rank = |found: &Location| match found {
        Location::At(_) => 4,
        Location::Ended(TerminationReason::Succeeded) => 3,
        Location::Unknown => 2,
        Location::Ended(_) => 1,
        Location::NotFound => 0,
    };
    if rank(&b) > rank(&a) { b } else { a }
}

fn message_uid(message: &ToEdge) -> &str {
    match message {
        ToEdge::Acknowledged { uid }
        | ToEdge::Placed { uid, .. }
        | ToEdge::Rejected { uid, .. }
        | ToEdge::Failed { uid, .. }
        | ToEdge::Started { uid }
        | ToEdge::Ended { uid, .. }
        | ToEdge::Located { uid, .. } => uid,
        ToEdge::Hello { .. }
        | ToEdge::Heartbeat
        | ToEdge::PendingReasons(_)
        | ToEdge::StaleToken { .. } => "",
    }
}
