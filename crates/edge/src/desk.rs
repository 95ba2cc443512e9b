//! Open tasks: who plans them, and what their one answer is. No I/O.
//!
//! Guards that each task that was taken gets exactly one answer before its owner gives up, also where a planner is
//! lost, falls silent or answers late; and that a task is with at most one planner at a time.

use std::collections::{BTreeMap, VecDeque};
use std::hash::Hasher;
use tidespur_api::task::Ask;
use tidespur_link::{End, Found, ToEdge, ToPlanner};
use tidespur_waiting::Code;

/// A connection to a planner.
pub type PlannerId = u64;

/// Bounds and times.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Open tasks that one planner may hold.
    pub planner_most: usize,
    /// Tasks of one service go to one planner while that is up.
    pub one_home: bool,
    /// A planner answers by the deadline; so much later the edge does.
    pub answer_slack: f64,
    /// Waits so long for planners to say where a task is.
    pub locate_for: f64,
    /// A planner that has not taken a task within this is passed over until it speaks.
    pub take_within: f64,
}

/// What the desk is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// A task to place, when its owner gives up, and whether a second start does no harm.
    Submit(Ask, f64, bool),
    /// A task that runs at this node already.
    Adopt(Ask, String),
    /// Nobody wants the task any more.
    Cancel(String),
    /// Whatever runs of this request is to be stopped.
    Reap(String),
    /// Where is this task?
    Locate {
        /// Its uid.
        uid: String,
        /// Namespace.
        tenant: String,
        /// Name at nodes.
        name: String,
    },
    /// A planner is here.
    PlannerUp(PlannerId),
    /// A planner is lost.
    PlannerLost(PlannerId),
    /// A planner says this.
    Said(PlannerId, ToEdge),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A message to a planner.
    Tell(PlannerId, ToPlanner),
    /// The task's one answer: a node has it.
    Placed(String, String),
    /// The task's one answer: not placed, never ran.
    Refused(String, String),
    /// The task's one answer: no claim whether it ran.
    Failed(String, String),
    /// A placed task runs.
    Runs(String),
    /// A placed task ended.
    Ended(String, End),
    /// Answer to `Locate`.
    Located(String, Found),
}

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
    ask: Ask,
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
    best: Found,
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
            open: 0,
        }
    }

    /// Tasks that have no answer yet.
    pub fn open(&self) -> usize {
        self.open
    }

    /// Whether this planner has the task and may offer it.
    pub fn is_with(&self, uid: &str, planner: PlannerId) -> bool {
        self.tasks.get(uid).is_some_and(|task| task.stage == Stage::With(planner))
    }

    /// Tasks that no planner has taken, and why. One that was asked of a planner just now is on its way.
    pub fn untaken(&self, now: f64) -> impl Iterator<Item = (&str, Code)> {
        let code = match () {
            () if self.planners.is_empty() => Code::NoPlanner,
            () if self.planners.values().all(|planner| planner.silent) => Code::PlannersSilent,
            () => Code::PlannersFull,
        };
        self.tasks.iter().filter_map(move |(uid, task)| match task.stage {
            Stage::Queued => Some((uid.as_str(), code)),
            Stage::Asked(_, at) if now - at >= self.settings.take_within / 2.0 => {
                Some((uid.as_str(), Code::PlannersSilent))
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
        due.chain(self.questions.values().map(|q| q.until)).min_by(f64::total_cmp)
    }

    fn take(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Submit(ask, deadline, safe) => {
                let uid = ask.uid.clone();
                if self.tasks.contains_key(&uid) {
                    return;
                }
                self.tasks.insert(uid.clone(), Task { ask, deadline, safe, stage: Stage::Queued });
                self.queue.push_back(uid);
                self.open += 1;
            }
            Event::Adopt(ask, node) => {
                let uid = ask.uid.clone();
                let task =
                    Task { ask, deadline: f64::INFINITY, safe: false, stage: Stage::Placed(None, node) };
                if self.tasks.insert(uid.clone(), task).is_none() {
                    self.bind(&uid, out);
                }
            }
            Event::Cancel(uid) => {
                let Some(task) = self.close(&uid) else { return };
                match task.stage {
                    Stage::Queued => {}
                    Stage::Asked(planner, _) | Stage::With(planner) | Stage::Placed(Some(planner), _) => {
                        out.push(Action::Tell(planner, ToPlanner::Stop { uid }));
                    }
                    Stage::Placed(None, _) => self.tell_all(&ToPlanner::Stop { uid }, out),
                }
            }
            Event::Reap(uid) => self.tell_all(&ToPlanner::Stop { uid }, out),
            Event::Locate { uid, tenant, name } => {
                let waiting: Vec<PlannerId> = self.planners.keys().copied().collect();
                let ask = ToPlanner::Locate { uid: uid.clone(), tenant: tenant.clone(), name: name.clone() };
                self.tell_all(&ask, out);
                let until = now + self.settings.locate_for;
                self.questions.insert(uid, Question { tenant, name, waiting, best: Found::Nowhere, until });
            }
            Event::PlannerUp(planner) => {
                self.planners.insert(planner, Planner::default());
                let unheard = |task: &Task| matches!(task.stage, Stage::Placed(None, _));
                let orphans: Vec<String> =
                    self.tasks.iter().filter(|(_, task)| unheard(task)).map(|(uid, _)| uid.clone()).collect();
                orphans.iter().for_each(|uid| self.bind(uid, out));
                for (uid, question) in &mut self.questions {
                    // One more that may know.
                    question.waiting.push(planner);
                    let (tenant, name) = (question.tenant.clone(), question.name.clone());
                    out.push(Action::Tell(planner, ToPlanner::Locate { uid: uid.clone(), tenant, name }));
                }
            }
            Event::PlannerLost(planner) => self.lost(planner, out),
            Event::Said(planner, message) => self.said(now, planner, message, out),
        }
    }

    /// What a lost planner had been told to place may have been offered: it fails, which promises nothing, or is
    /// refused where a second start does no harm, and what may run of it is stopped. What it had not been told to
    /// place goes to another. What nodes run is handed to another planner, and stays as it is where there is none.
    fn lost(&mut self, planner: PlannerId, out: &mut Vec<Action>) {
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
                self.tell_all(&ToPlanner::Stop { uid: uid.clone() }, out);
                let why = "the planner that had it was lost; a second start does no harm";
                out.push(Action::Refused(uid, why.into()));
            } else {
                out.push(Action::Failed(uid, "the planner that had it was lost".into()));
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
                question.best = worse(question.best.clone(), Found::Unclear);
            }
        }
    }

    /// A task that its planner was not told to place stands first in the queue again.
    fn take_back(&mut self, uid: &str) {
        let Some(task) = self.tasks.get_mut(uid) else { return };
        let Stage::Asked(planner, _) = task.stage else { return };
        task.stage = Stage::Queued;
        self.queue.push_front(uid.to_owned());
        if let Some(planner) = self.planners.get_mut(&planner) {
            planner.open = planner.open.saturating_sub(1);
        }
    }

    fn said(&mut self, now: f64, planner: PlannerId, message: ToEdge, out: &mut Vec<Action>) {
        if let Some(planner) = self.planners.get_mut(&planner) {
            planner.silent = false;
        }
        let (with, placed) = match self.tasks.get(message_uid(&message)).map(|task| &task.stage) {
            Some(Stage::With(p)) => (*p == planner, false),
            // It may turn away at once what it can't read as a task.
            Some(Stage::Asked(p, _)) if matches!(message, ToEdge::Refused { .. }) => (*p == planner, false),
            Some(Stage::Placed(by, _)) => (false, *by == Some(planner)),
            _ => (false, false),
        };
        match message {
            ToEdge::Taken { uid } => match self.tasks.get_mut(&uid) {
                Some(task) if matches!(task.stage, Stage::Asked(p, _) if p == planner) => {
                    task.stage = Stage::With(planner);
                    let within = (task.deadline - now).max(0.0);
                    out.push(Action::Tell(planner, ToPlanner::Go { uid, within }));
                }
                // A word on a task that it has already, or that was taken back.
                Some(task) if task.stage == Stage::With(planner) => {}
                _ => out.push(Action::Tell(planner, ToPlanner::Stop { uid })),
            },
            ToEdge::Placed { uid, node } if with => {
                self.answered(&uid, planner);
                if let Some(task) = self.tasks.get_mut(&uid) {
                    task.stage = Stage::Placed(Some(planner), node.clone());
                }
                out.push(Action::Placed(uid, node));
            }
            // An answer that comes too late has been given already; what it placed nobody waits for.
            ToEdge::Placed { uid, .. } if !placed => out.push(Action::Tell(planner, ToPlanner::Stop { uid })),
            ToEdge::Refused { uid, why, .. } if with => {
                self.close(&uid);
                out.push(Action::Refused(uid, why));
            }
            ToEdge::Failed { uid, why } if with => {
                self.close(&uid);
                out.push(Action::Failed(uid, why));
            }
            ToEdge::Runs { uid } if placed => out.push(Action::Runs(uid)),
            ToEdge::Ended { uid, end } if placed => {
                self.close(&uid);
                out.push(Action::Ended(uid, end));
            }
            ToEdge::Located { uid, found } => {
                let Some(question) = self.questions.get_mut(&uid) else { return };
                if let Some(place) = question.waiting.iter().position(|p| *p == planner) {
                    question.waiting.swap_remove(place);
                    question.best = worse(question.best.clone(), found);
                }
            }
            _ => {}
        }
    }

    fn answered(&mut self, uid: &str, planner: PlannerId) {
        if let Some(planner) = self.planners.get_mut(&planner) {
            planner.open = planner.open.saturating_sub(1);
        }
        if self.tasks.contains_key(uid) {
            self.open = self.open.saturating_sub(1);
        }
    }

    fn close(&mut self, uid: &str) -> Option<Task> {
        let stage = self.tasks.get(uid)?.stage.clone();
        match stage {
            Stage::Asked(planner, _) | Stage::With(planner) => self.answered(uid, planner),
            Stage::Queued => self.open = self.open.saturating_sub(1),
            Stage::Placed(..) => {}
        }
        self.tasks.remove(uid)
    }

    /// Gives queued tasks to planners with room.
    fn hand_out(&mut self, now: f64, out: &mut Vec<Action>) {
        let mut kept = VecDeque::new();
        while let Some(uid) = self.queue.pop_front() {
            let Some(task) = self.tasks.get(&uid).filter(|task| task.stage == Stage::Queued) else {
                continue;
            };
            if now >= task.deadline {
                continue;
            }
            let Some(planner) = self.choose(&task.ask.service, &uid) else {
                kept.push_back(uid);
                if self.planners.is_empty() || !self.settings.one_home {
                    // None has room for this one, so none has for the next.
                    kept.append(&mut self.queue);
                }
                continue;
            };
            if let Some(p) = self.planners.get_mut(&planner) {
                p.open += 1;
            }
            let Some(task) = self.tasks.get_mut(&uid) else { continue };
            task.stage = Stage::Asked(planner, now);
            let ask = Ask { within: Some(task.deadline - now), ..task.ask.clone() };
            out.push(Action::Tell(planner, ToPlanner::Place(ask)));
        }
        self.queue = kept;
    }

    /// The planner for a task: the service's home where services have one, else the one with the fewest open tasks.
    /// Equal ones are taken in turn by a hash, so that at low load all see some traffic and no one's part of what
    /// cold nodes bear is spent alone.
    fn choose(&self, service: &str, uid: &str) -> Option<PlannerId> {
        let room = |p: &&Planner| p.open < self.settings.planner_most;
        let speaking = || self.planners.iter().filter(|(_, p)| !p.silent);
        if self.settings.one_home {
            // Rendezvous hashing: a service moves only when its own home comes or goes.
            let home = speaking().max_by_key(|(id, _)| rank(service, **id))?;
            return Some(*home.0).filter(|_| room(&home.1));
        }
        let open = speaking().filter(|(_, p)| room(p));
        open.min_by_key(|(id, p)| (p.open, rank(uid, **id))).map(|(id, _)| *id)
    }

    /// Finds a planner that tells of a task that runs.
    fn bind(&mut self, uid: &str, out: &mut Vec<Action>) {
        let Some(task) = self.tasks.get(uid) else { return };
        let planner = match self.settings.one_home {
            true => self.planners.keys().max_by_key(|id| rank(&task.ask.service, **id)),
            false => self.planners.keys().max_by_key(|id| rank(uid, **id)),
        };
        let Some(planner) = planner.copied() else { return };
        let Some(task) = self.tasks.get_mut(uid) else { return };
        let Stage::Placed(by, node) = &mut task.stage else { return };
        *by = Some(planner);
        out.push(Action::Tell(planner, ToPlanner::InPlace { ask: task.ask.clone(), node: node.clone() }));
    }

    /// Answers what has no answer at its deadline. A planner that is alive has answered by then, so this is for one
    /// that hangs without being silent, and for tasks that no planner had room for.
    fn overdue(&mut self, now: f64, out: &mut Vec<Action>) {
        let slack = self.settings.answer_slack;
        let due = |task: &Task| match task.stage {
            Stage::Queued => now >= task.deadline,
            Stage::Asked(_, at) => now >= task.deadline.min(at + self.settings.take_within),
            Stage::With(_) => now >= task.deadline + slack,
            Stage::Placed(..) => false,
        };
        let due: Vec<String> =
            self.tasks.iter().filter(|(_, task)| due(task)).map(|(uid, _)| uid.clone()).collect();
        for uid in due {
            if let Some(Task { stage: Stage::Asked(planner, _), deadline, .. }) = self.tasks.get(&uid) {
                let (planner, late) = (*planner, now >= *deadline);
                out.push(Action::Tell(planner, ToPlanner::Stop { uid: uid.clone() }));
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
                    out.push(Action::Tell(planner, ToPlanner::Stop { uid: uid.clone() }));
                    out.push(Action::Failed(uid, "its planner gave no answer in time".into()));
                }
                _ if self.planners.is_empty() => {
                    out.push(Action::Refused(uid, "no planner is connected".into()))
                }
                _ => out.push(Action::Refused(uid, "no planner had room for it in time".into())),
            }
        }
    }

    fn close_questions(&mut self, now: f64, out: &mut Vec<Action>) {
        let sure = |q: &Question| matches!(q.best, Found::At(_) | Found::Ended(End::Succeeded));
        let done = |q: &Question| q.waiting.is_empty() || sure(q) || now >= q.until;
        let due: Vec<String> =
            self.questions.iter().filter(|(_, q)| done(q)).map(|(uid, _)| uid.clone()).collect();
        for uid in due {
            let Some(question) = self.questions.remove(&uid) else { continue };
            let silent = !question.waiting.is_empty() || self.planners.is_empty();
            let found = if silent && !sure(&question) { Found::Unclear } else { question.best };
            out.push(Action::Located(uid, found));
        }
    }

    fn tell_all(&self, message: &ToPlanner, out: &mut Vec<Action>) {
        out.extend(self.planners.keys().map(|planner| Action::Tell(*planner, message.clone())));
    }
}

/// Of two words on where a task is, the one that binds: that it runs before that it ended, that before doubt, and
/// doubt before that it is nowhere.
fn worse(a: Found, b: Found) -> Found {
    let rank = |found: &Found| match found {
        Found::At(_) => 4,
        Found::Ended(End::Succeeded) => 3,
        Found::Unclear => 2,
        Found::Ended(_) => 1,
        Found::Nowhere => 0,
    };
    if rank(&b) > rank(&a) { b } else { a }
}

fn rank(service: &str, planner: PlannerId) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(service.as_bytes());
    hasher.write_u64(planner);
    // FNV mixes its last bytes little; one multiplication spreads them.
    hasher.finish().wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

fn message_uid(message: &ToEdge) -> &str {
    match message {
        ToEdge::Taken { uid }
        | ToEdge::Placed { uid, .. }
        | ToEdge::Refused { uid, .. }
        | ToEdge::Failed { uid, .. }
        | ToEdge::Runs { uid }
        | ToEdge::Ended { uid, .. }
        | ToEdge::Located { uid, .. } => uid,
        ToEdge::Hello { .. } | ToEdge::Ping | ToEdge::Waits(_) => "",
    }
}
