//! Open tasks: who plans them, and what their one answer is. No I/O.
//!
//! Guards that each task that was taken gets exactly one answer before its owner gives up, also where a planner is
//! lost, falls silent or answers late; and that a task is with at most one planner at a time.

use std::collections::{BTreeMap, VecDeque};
use tidespur_api::task::PlacementRequest;
use tidespur_pending::ReasonCode;
use tidespur_planner_protocol::{Location, ToPlanner};

mod deal;
mod due;
mod planners;
mod words;

pub use words::{Action, Event, Settings};

/// A connection to a planner.
pub type PlannerId = u64;

/// What is unwanted is told to planners that come within this.
const UNWANTED_FOR: f64 = 120.0;

#[derive(Clone, Debug, PartialEq)]
enum Stage {
    /// No planner has it.
    Queued,
    /// This planner was asked, at that time. It may offer nothing before it is told `Go`, so the task can be taken
    /// back, and it is known that it never ran.
    Asked(PlannerId, f64),
    /// This planner has it; its answer is due.
    With(PlannerId),
    /// A node has it; this planner tells of it, or none for now.
    Placed(Option<PlannerId>, String),
}

#[derive(Debug)]
struct Task {
    ask: PlacementRequest,
    deadline: f64,
    /// A second start does no harm.
    safe: bool,
    stage: Stage,
}

#[derive(Debug, Default)]
struct Planner {
    open: usize,
    /// It let a task lie and has not spoken since.
    silent: bool,
}

#[derive(Debug)]
struct Question {
    tenant: String,
    name: String,
    waiting: Vec<PlannerId>,
    best: Location,
    until: f64,
}

/// The desk.
#[derive(Debug)]
pub struct Desk {
    settings: Settings,
    tasks: BTreeMap<String, Task>,
    /// Uids of tasks that no planner has, in order of arrival.
    queue: VecDeque<String>,
    planners: BTreeMap<PlannerId, Planner>,
    questions: BTreeMap<String, Question>,
    /// Requests of which nothing may run any more, and until when planners that come are told so.
    unwanted: BTreeMap<String, f64>,
    /// Unanswered tasks.
    open: usize,
}

impl Desk {
    /// A desk without tasks.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            tasks: BTreeMap::new(),
            queue: VecDeque::new(),
            planners: BTreeMap::new(),
            questions: BTreeMap::new(),
            unwanted: BTreeMap::new(),
            open: 0,
        }
    }

    /// Tasks that have no answer yet.
    pub fn open(&self) -> usize {
        self.open
    }

    /// Whether this planner has the task and may offer it.
    pub fn is_with(&self, uid: &str, planner: PlannerId) -> bool {
        self.tasks
            .get(uid)
            .is_some_and(|task| task.stage == Stage::With(planner))
    }

    /// Tasks that no planner has taken, and why. One that was asked of a planner just now is on its way.
    pub fn untaken(&self, now: f64) -> impl Iterator<Item = (&str, ReasonCode)> {
        let code = match () {
            () if self.planners.is_empty() => ReasonCode::NoPlanner,
            () if self.planners.values().all(|planner| planner.silent) => {
                ReasonCode::PlannersSilent
            }
            () => ReasonCode::PlannersFull,
        };
        self.tasks
            .iter()
            .filter_map(move |(uid, task)| match task.stage {
                Stage::Queued => Some((uid.as_str(), code)),
                Stage::Asked(_, at) if now - at >= self.settings.take_within / 2.0 => {
                    Some((uid.as_str(), ReasonCode::PlannersSilent))
                }
                _ => None,
            })
    }

    /// Planners that are here.
    pub fn planners(&self) -> usize {
        self.planners.len()
    }

    /// Takes in `events`, all of time `now`, and appends what is to be done.
    pub fn step(&mut self, now: f64, events: Vec<Event>, out: &mut Vec<Action>) {
        for event in events {
            self.take(now, event, out);
        }
        self.overdue(now, out);
        self.hand_out(now, out);
        self.close_questions(now, out);
        self.unwanted.retain(|_, until| now < *until);
    }

    /// When to step next though nothing happens.
    pub fn next_wake(&self) -> Option<f64> {
        let slack = self.settings.answer_slack;
        let due = self.tasks.values().filter_map(|task| match task.stage {
            Stage::Queued => Some(task.deadline),
            Stage::Asked(_, at) => Some(task.deadline.min(at + self.settings.take_within)),
            Stage::With(_) => Some(task.deadline + slack),
            Stage::Placed(..) => None,
        });
        due.chain(self.questions.values().map(|q| q.until))
            .min_by(f64::total_cmp)
    }

    fn take(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Submit(ask, deadline, safe) => {
                let uid = ask.uid.clone();
                if self.tasks.contains_key(&uid) {
                    return;
                }
                self.tasks.insert(
                    uid.clone(),
                    Task {
                        ask,
                        deadline,
                        safe,
                        stage: Stage::Queued,
                    },
                );
                self.queue.push_back(uid);
                self.open += 1;
            }
            Event::Adopt(ask, node) => {
                let uid = ask.uid.clone();
                let task = Task {
                    ask,
                    deadline: f64::INFINITY,
                    safe: false,
                    stage: Stage::Placed(None, node),
                };
                if self.tasks.insert(uid.clone(), task).is_none() {
                    self.bind(&uid, out);
                }
            }
            Event::Cancel(uid) => {
                let Some(task) = self.close(&uid) else { return };
                match task.stage {
                    Stage::Queued => {}
                    Stage::Asked(planner, _)
                    | Stage::With(planner)
                    | Stage::Placed(Some(planner), _) => {
                        out.push(Action::Tell(planner, ToPlanner::Cancel { uid }));
                    }
                    Stage::Placed(None, _) => self.tell_all(&ToPlanner::Cancel { uid }, out),
                }
            }
            Event::Reap(uid) => self.reap(now, uid, out),
            Event::Cut(ask, true) => {
                self.reap(now, ask.uid.clone(), out);
                let why = "the edge ended while a planner had it; a second start does no harm";
                out.push(Action::Refused(ask.uid, why.into()));
            }
            Event::Cut(ask, false) => {
                out.push(Action::Failed(
                    ask.uid,
                    "the edge ended while a planner had it".into(),
                ));
            }
            Event::Locate { uid, tenant, name } => {
                let waiting: Vec<PlannerId> = self.planners.keys().copied().collect();
                let ask = ToPlanner::Locate {
                    uid: uid.clone(),
                    tenant: tenant.clone(),
                    name: name.clone(),
                };
                self.tell_all(&ask, out);
                let until = now + self.settings.locate_for;
                self.questions.insert(
                    uid,
                    Question {
                        tenant,
                        name,
                        waiting,
                        best: Location::NotFound,
                        until,
                    },
                );
            }
            Event::PlannerUp(planner) => {
                self.planners.insert(planner, Planner::default());
                let unwanted = self
                    .unwanted
                    .keys()
                    .map(|uid| ToPlanner::Cancel { uid: uid.clone() });
                out.extend(unwanted.map(|stop| Action::Tell(planner, stop)));
                let unheard = |task: &Task| matches!(task.stage, Stage::Placed(None, _));
                let orphans: Vec<String> = self
                    .tasks
                    .iter()
                    .filter(|(_, task)| unheard(task))
                    .map(|(uid, _)| uid.clone())
                    .collect();
                orphans.iter().for_each(|uid| self.bind(uid, out));
                for (uid, question) in &mut self.questions {
                    // One more that may know.
                    question.waiting.push(planner);
                    let (tenant, name) = (question.tenant.clone(), question.name.clone());
                    out.push(Action::Tell(
                        planner,
                        ToPlanner::Locate {
                            uid: uid.clone(),
                            tenant,
                            name,
                        },
                    ));
                }
            }
            Event::PlannerLost(planner) => self.lost(now, planner, out),
            Event::Said(planner, message) => self.said(now, planner, message, out),
        }
    }

    /// Whatever runs of a request is stopped, by planners that come soon as well: after a return none is here yet.
    fn reap(&mut self, now: f64, uid: String, out: &mut Vec<Action>) {
        self.tell_all(&ToPlanner::Cancel { uid: uid.clone() }, out);
        self.unwanted.insert(uid, now + UNWANTED_FOR);
    }
}
