//! The planner as a state machine without I/O. What is decided about machines is decided by the policy; here its
//! words are led to the right task, and each task is led to its one answer.

use crate::book::{Book, EdgeId, Names, Stage};
use crate::nodes::{Held, Nodes, Standing};
use crate::waits::Waits;
use crate::words::{self, AtNode};
use std::collections::{BTreeMap, BTreeSet};
use tidespur_api::task::Ask;
use tidespur_api::{Object, meta, names};
use tidespur_config::Config;
use tidespur_link::{End, Found, ToEdge, ToPlanner};
use tidespur_policy::Scheduler;
use tidespur_policy::interface::{
    Action, Effect, Ending, Event, Report, SettingsError, Standing as Listing, Task, TaskId,
};
use tidespur_pressure::Pressure;

/// What the planner is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// A message of an edge.
    Edge(EdgeId, ToPlanner),
    /// An edge is lost.
    EdgeLost(EdgeId),
    /// The whole list of Nodes.
    ListWhole(Vec<Object>),
    /// A Node as it stands now, or (true) as it last stood.
    ListChange(Object, bool),
    /// The register can't be reached, or its watch broke.
    ListFailed,
    /// An attempt has its answer.
    Answered {
        /// The task.
        task: TaskId,
        /// Which attempt.
        attempt: u32,
        /// What it brought.
        answer: Answer,
    },
    /// What a node holds, all of it.
    NodeHolds(String, Vec<Object>),
    /// A Pod at a node as it stands now, or (true) as it last stood.
    NodePod(String, Object, bool),
    /// A node lives.
    NodeHeard(String),
    /// A node's watch broke; true: it refuses connections.
    NodeDown(String, bool),
    /// A probe's answer.
    Probed(String, Option<Report>),
    /// A timer of the policy is due.
    Timer(u64),
    /// This was put into the queue of inputs at that time: how far the planner is behind its work.
    Sent(f64),
    /// Time has passed; due at least every quarter second.
    Tick,
}

/// What an attempt brought.
#[derive(Clone, Debug)]
pub enum Answer {
    /// The node has it.
    Accepted(Option<Report>),
    /// The node's other answers: the ending, its words, its load.
    Ended(Ending, String, Option<Report>),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// A message to an edge.
    Edge(EdgeId, ToEdge),
    /// End all links to edges; they are opened anew.
    Cut,
    /// Offer a task to a node.
    Offer {
        /// The task.
        task: TaskId,
        /// Which attempt.
        attempt: u32,
        /// Where to.
        node: String,
        /// Its address.
        address: String,
        /// The task.
        ask: Ask,
        /// Wait so long for the answer.
        wait: f64,
    },
    /// Delete a Pod at a node.
    Delete {
        /// The node's address.
        address: String,
        /// Namespace and name.
        name: (String, String),
        /// Its uid there, where known.
        pod_uid: Option<String>,
    },
    /// Open the watch on a node, closing an older one.
    WatchNode(String, String),
    /// Open the watch on the register.
    Subscribe,
    /// Ask a node for its load.
    Probe(String, String),
    /// Come back with this token.
    Timer(f64, u64),
    /// A line of the policy for the operators.
    Log(String),
}

/// What is turned away as the planner is behind is asked to stay away for so long.
const SHED_FOR: f64 = 1.0;
/// Questions about tasks wait so long for a word from every node.
const LOCATE_FOR: f64 = 1.5;

#[derive(Debug)]
struct Question {
    edge: EdgeId,
    uid: String,
    tenant: String,
    name: String,
    asked_at: f64,
}

/// The planner.
#[derive(Debug)]
pub struct Core {
    config: Config,
    scheduler: Scheduler,
    guarded: Vec<bool>,
    book: Book,
    machines: Names,
    nodes: Nodes,
    listed: bool,
    questions: Vec<Question>,
    /// Taken, but not yet told to go: nothing may be offered for them.
    taken: BTreeMap<String, (EdgeId, Ask)>,
    stepped_at: f64,
    waits: Waits,
    /// Requests of which nothing may run any more: what turns up of them at a node is deleted. Bounded.
    unwanted: BTreeMap<String, f64>,
    pressure: Pressure,
}

/// What is unwanted is remembered for this long: far longer than an offer can be on its way.
const UNWANTED_FOR: f64 = 120.0;
/// After standing still for this share of the edges' patience a planner gives up all that is open. A ping is at most
/// a quarter of the patience old when it stops, so an edge that has not given it up by then hears of it by the cut.
const FENCE: f64 = 0.6;
/// Answers of nodes that are kept of one task.
const ANSWERS_MOST: usize = 4;

impl Core {
    /// A planner that knows nothing yet.
    pub fn new(config: Config, ordinal: usize, zone: &str, seed: u64) -> Result<Self, SettingsError> {
        let settings = config.policy(ordinal, words::place(zone));
        let guarded = settings.classes.iter().map(|c| c.effect != Effect::Safe).collect();
        let pressure = Pressure::of(settings.classes.iter().map(|class| (class.aim, class.worth)));
        Ok(Self {
            scheduler: Scheduler::new(settings, seed)?,
            config,
            guarded,
            book: Book::default(),
            machines: Names::default(),
            nodes: Nodes::default(),
            listed: false,
            questions: Vec::new(),
            taken: BTreeMap::new(),
            stepped_at: f64::INFINITY,
            waits: Waits::default(),
            unwanted: BTreeMap::new(),
            pressure,
        })
    }

    /// Tasks that are known.
    pub fn tasks(&self) -> usize {
        self.book.len()
    }

    /// Takes in `inputs`, all of time `now`, and appends what is to be done.
    pub fn step(&mut self, now: f64, inputs: Vec<Input>, out: &mut Vec<Output>) {
        let mut events = Vec::new();
        self.fence(now, &mut events, out);
        for input in inputs {
            self.take(now, input, &mut events, out);
        }
        let mut actions = Vec::new();
        self.scheduler.step(now, events, &mut actions);
        for action in actions {
            self.carry_out(now, action, out);
        }
        self.answer_questions(now, out);
        if self.config.planner.reasons {
            let known = (&self.book, &self.nodes, &self.machines);
            let told = self.waits.look(now, &self.scheduler, &self.config, known);
            out.extend(told.into_iter().map(|(edge, message)| Output::Edge(edge, message)));
        }
        self.unwanted.retain(|_, until| now < *until);
    }

    /// Guards against a planner that stood still (stopped, starved, its machine asleep) and goes on with tasks that
    /// edges have answered for meanwhile: nothing may be sent for those. It gives up all that is open and cuts its
    /// links, before it looks at anything that came in. Should also guard against a step that took too long. Harm:
    /// what was open is refused or failed though the planner is back.
    fn fence(&mut self, now: f64, events: &mut Vec<Event>, out: &mut Vec<Output>) {
        let still = now - self.stepped_at;
        self.stepped_at = now;
        if still <= FENCE * self.config.edge.planner_patience {
            return;
        }
        out.push(Output::Log(format!("stood still for {still:.1} s: gives up what was open")));
        out.push(Output::Cut);
        self.give_up(|_| true, events);
    }

    fn take(&mut self, now: f64, input: Input, events: &mut Vec<Event>, out: &mut Vec<Output>) {
        match input {
            Input::Edge(edge, message) => self.edge(now, edge, message, events, out),
            Input::EdgeLost(edge) => self.edge_lost(edge, events),
            Input::ListWhole(list) => {
                let list: Vec<_> = list.iter().filter_map(|node| words::node(node, &self.config)).collect();
                let names: BTreeSet<&str> = list.iter().map(|node| node.name.as_str()).collect();
                let gone: Vec<String> = self
                    .nodes
                    .0
                    .iter()
                    .filter(|(n, node)| node.listed && !names.contains(n.as_str()))
                    .map(|(n, _)| n.clone())
                    .collect();
                self.listed = true;
                let entries = list.into_iter().map(|node| self.learn(node, out)).collect();
                events.push(Event::ListWhole(entries));
                gone.into_iter().for_each(|node| self.node_gone(now, &node, events, out));
            }
            Input::ListChange(object, deleted) => {
                let Some(mut node) = words::node(&object, &self.config) else { return };
                if deleted {
                    node.entry.standing = Listing::Gone;
                }
                let (name, entry) = (node.name.clone(), self.learn(node, out));
                let gone = entry.standing == Listing::Gone;
                events.push(Event::ListChanges(vec![entry]));
                if gone {
                    self.node_gone(now, &name, events, out);
                }
            }
            Input::ListFailed => events.push(Event::ListFailed),
            Input::Answered { task, attempt, answer } => {
                self.answered(now, task, attempt, answer, events, out)
            }
            Input::NodeHolds(node, pods) => {
                let held: Vec<_> = pods.iter().map(read_held).collect();
                let names: BTreeSet<&(String, String)> = held.iter().map(|(name, _)| name).collect();
                let Some(known) = self.nodes.0.get_mut(&node) else { return };
                (known.standing, known.heard) = (Standing::Watched, now);
                known.pods.retain(|name, _| names.contains(name));
                for (name, held) in held {
                    self.see(now, &node, name, held, events, out);
                }
                // What we had there and is no more was lost: it came back cold.
                for task in self.book.bound_at(&node) {
                    let Some(known) = self.book.get(task) else { continue };
                    let name = (known.ask.tenant.clone(), known.ask.name.clone());
                    if !self.nodes.0.get(&node).is_some_and(|n| n.pods.contains_key(&name)) {
                        self.ended(task, End::Lost, events, out);
                    }
                }
            }
            Input::NodePod(node, pod, deleted) => {
                let Some(known) = self.nodes.0.get_mut(&node) else { return };
                (known.standing, known.heard) = (Standing::Watched, now);
                let (name, held) = read_held(&pod);
                if deleted {
                    known.pods.remove(&name);
                    if let Some(task) = self.book.id(&held.uid)
                        && self.is_at(task, &node)
                    {
                        let end = if let AtNode::Over(end) = held.at { end } else { End::Stopped };
                        self.ended(task, end, events, out);
                    }
                } else {
                    self.see(now, &node, name, held, events, out);
                }
            }
            Input::NodeHeard(node) => {
                if let Some(known) = self.nodes.0.get_mut(&node) {
                    (known.standing, known.heard) = (Standing::Watched, now);
                }
            }
            Input::NodeDown(node, dead) => {
                let Some(known) = self.nodes.0.get_mut(&node) else { return };
                known.standing = if dead { Standing::Dead } else { Standing::Unheard };
                if dead {
                    known.pods.clear();
                    for task in self.book.bound_at(&node) {
                        self.ended(task, End::Lost, events, out);
                    }
                }
            }
            Input::Probed(node, report) => {
                events.push(Event::Probed { machine: words::machine(&node), report })
            }
            Input::Timer(token) => events.push(Event::Timer(token)),
            Input::Sent(at) => self.pressure.mark(now, now - at),
            Input::Tick => {}
        }
    }

    fn learn(&mut self, node: words::Listed, out: &mut Vec<Output>) -> tidespur_policy::interface::Entry {
        self.machines.learn(node.entry.machine, &node.name);
        if self.nodes.list(&node.name, &node.address, &node.zone) {
            out.push(Output::WatchNode(node.name.clone(), node.address));
        }
        if let Some(known) = self.nodes.0.get_mut(&node.name) {
            known.listed = node.entry.standing != Listing::Gone;
        }
        node.entry
    }

    /// The list says that a node is gone. What it held is lost unless it is heard all the same: a list that lags or
    /// flaps must not end what runs.
    fn node_gone(&mut self, now: f64, node: &str, events: &mut Vec<Event>, out: &mut Vec<Output>) {
        let Some(known) = self.nodes.0.get_mut(node) else { return };
        known.listed = false;
        if known.standing == Standing::Watched && now - known.heard < LOCATE_FOR {
            return;
        }
        known.pods.clear();
        for task in self.book.bound_at(node) {
            self.ended(task, End::Lost, events, out);
        }
    }

    fn edge(
        &mut self,
        now: f64,
        edge: EdgeId,
        message: ToPlanner,
        events: &mut Vec<Event>,
        out: &mut Vec<Output>,
    ) {
        match message {
            ToPlanner::Welcome { .. } | ToPlanner::Ping => {}
            ToPlanner::Place(ask) => match self.read_task(now, &ask) {
                Err(why) => {
                    out.push(Output::Edge(edge, ToEdge::Refused { uid: ask.uid, why, retry_in: 0.0 }))
                }
                // Only what is new: what was taken is never turned away, however often it is asked for.
                Ok(task) if !self.knows(&ask.uid) && !self.pressure.admits(task.class) => {
                    let why = "the planner is behind its work; ask again".to_owned();
                    out.push(Output::Edge(edge, ToEdge::Refused { uid: ask.uid, why, retry_in: SHED_FOR }));
                }
                Ok(_) => {
                    out.push(Output::Edge(edge, ToEdge::Taken { uid: ask.uid.clone() }));
                    if self.book.id(&ask.uid).is_none() {
                        self.taken.insert(ask.uid.clone(), (edge, ask));
                    }
                }
            },
            ToPlanner::Go { uid, within } => {
                let Some((_, ask)) = self.taken.remove(&uid).filter(|(of, _)| *of == edge) else { return };
                let ask = Ask { within: Some(within), ..ask };
                let Ok(mut task) = self.read_task(now, &ask) else { return };
                let safe = !self.guarded[task.class];
                if let Some(id) = self.book.open(ask, edge, safe, Stage::Open, 0) {
                    task.id = id;
                    events.push(Event::Submit(task));
                }
            }
            ToPlanner::InPlace { ask, node } => {
                let Ok(mut task) = self.read_task(now, &ask) else { return };
                let safe = !self.guarded[task.class];
                let stage = Stage::Bound { attempt: 0, node: node.clone() };
                let (uid, name) = (ask.uid.clone(), (ask.tenant.clone(), ask.name.clone()));
                let Some(id) = self.book.open(ask, edge, safe, stage, 1) else {
                    self.hand_over(&uid, edge, out);
                    return;
                };
                task.id = id;
                let machine = words::machine(&node);
                self.machines.learn(machine, &node);
                events.push(Event::InPlace(task, machine));
                out.push(Output::Edge(edge, ToEdge::Placed { uid, node: node.clone() }));
                // It may have run on, ended or gone before we were told of it.
                let seen =
                    self.nodes.0.get(&node).map(|n| (n.standing, n.pods.get(&name).map(|held| held.at)));
                match seen {
                    Some((_, Some(at))) => self.seen(id, at, events, out),
                    Some((Standing::Watched | Standing::Dead, None)) => {
                        self.ended(id, End::Lost, events, out)
                    }
                    _ => {}
                }
            }
            ToPlanner::Stop { uid } => {
                if self.taken.remove(&uid).is_some() {
                    return;
                }
                self.unwanted.insert(uid.clone(), now + UNWANTED_FOR);
                if let Some(id) = self.book.id(&uid) {
                    self.stop(id, events, out);
                }
                self.reap(&uid, out);
            }
            ToPlanner::Locate { uid, tenant, name } => {
                self.questions.push(Question { edge, uid, tenant, name, asked_at: now });
            }
        }
    }

    /// An edge that was lost comes back for a task that is still known here.
    fn hand_over(&mut self, uid: &str, edge: EdgeId, out: &mut Vec<Output>) {
        let Some(known) = self.book.id(uid).and_then(|id| self.book.get_mut(id)) else { return };
        let Stage::Bound { node, .. } = &known.stage else { return };
        known.edge = edge;
        out.push(Output::Edge(edge, ToEdge::Placed { uid: uid.to_owned(), node: node.clone() }));
        if known.runs {
            out.push(Output::Edge(edge, ToEdge::Runs { uid: uid.to_owned() }));
        }
    }

    /// Whether this task was taken, or is known otherwise.
    fn knows(&self, uid: &str) -> bool {
        self.taken.contains_key(uid) || self.book.id(uid).is_some()
    }

    fn read_task(&self, now: f64, ask: &Ask) -> Result<Task, String> {
        let class = match ask.class.as_str() {
            "" => 0,
            name => match self.config.class.get_index_of(name) {
                Some(class) => class,
                None => return Err(format!("class {name:?} is not in the planner's settings")),
            },
        };
        let tenant = self.config.tenant.get_index_of(&ask.tenant).unwrap_or(self.config.tenant.len());
        let within = ask.within.or(self.config.class.get_index(class).map(|(_, c)| c.deadline));
        Ok(Task {
            id: TaskId(0),
            class,
            tenant,
            service: words::service(&ask.service),
            deadline: now + within.unwrap_or(0.0),
            life: ask.life,
            cores: ask.cores,
            memory: ask.memory,
            returned: ask.returned,
        })
    }

    /// Its owner does not want it any more.
    fn stop(&mut self, id: TaskId, events: &mut Vec<Event>, out: &mut Vec<Output>) {
        self.drop_open(id, events);
        let Some(known) = self.book.get(id) else { return };
        let Stage::Bound { attempt, node } = known.stage.clone() else { return };
        let name = (known.ask.tenant.clone(), known.ask.name.clone());
        self.delete_at(&node, name, out);
        let ending = Ending::Cancelled;
        events.push(Event::Outcome { task: id, attempt, ending, closed: true, report: None });
        self.book.close(id);
    }

    /// Nobody waits for an answer any more. One that is out is still waited for here; what a node has stays.
    fn drop_open(&mut self, id: TaskId, events: &mut Vec<Event>) {
        let Some(known) = self.book.get_mut(id) else { return };
        match known.stage.clone() {
            Stage::Open => drop(self.book.close(id)),
            Stage::Out { attempt, node } => known.stage = Stage::Leaving { attempt, node },
            Stage::Bound { .. } | Stage::Leaving { .. } => return,
        }
        events.push(Event::Dropped(id));
    }

    /// The edge is lost. What was not yet answered is nobody's now; what runs runs on.
    fn edge_lost(&mut self, edge: EdgeId, events: &mut Vec<Event>) {
        self.give_up(|of| of == edge, events);
        self.waits.forget(edge);
    }

    /// Whatever is open of these edges is nobody's any more.
    fn give_up(&mut self, these: impl Fn(EdgeId) -> bool, events: &mut Vec<Event>) {
        self.questions.retain(|question| !these(question.edge));
        self.taken.retain(|_, (of, _)| !these(*of));
        let its: Vec<TaskId> =
            self.book.iter().filter(|(_, known)| these(known.edge)).map(|(id, _)| id).collect();
        its.into_iter().for_each(|id| self.drop_open(id, events));
    }

    fn answered(
        &mut self,
        now: f64,
        id: TaskId,
        attempt: u32,
        answer: Answer,
        events: &mut Vec<Event>,
        out: &mut Vec<Output>,
    ) {
        let Some(known) = self.book.get_mut(id) else { return };
        let (node, leaving) = match &known.stage {
            Stage::Out { attempt: a, node } if *a == attempt => (node.clone(), false),
            Stage::Leaving { attempt: a, node } if *a == attempt => (node.clone(), true),
            _ => return,
        };
        let accepted = matches!(answer, Answer::Accepted(_));
        if leaving {
            // Nobody waits: what was accepted is stopped, what may have been is stopped when it turns up.
            let ending = match answer {
                Answer::Accepted(_) => Ending::Cancelled,
                Answer::Ended(ending, ..) => ending,
            };
            events.push(Event::Outcome { task: id, attempt, ending, closed: true, report: None });
            let Some(known) = self.book.close(id) else { return };
            self.unwanted.insert(known.ask.uid.clone(), now + UNWANTED_FOR);
            if accepted {
                self.delete_at(&node, (known.ask.tenant, known.ask.name), out);
            }
            return;
        }
        match answer {
            Answer::Accepted(report) => {
                known.stage = Stage::Bound { attempt, node: node.clone() };
                let (edge, uid) = (known.edge, known.ask.uid.clone());
                let name = (known.ask.tenant.clone(), known.ask.name.clone());
                events.push(Event::Confirmed { task: id, attempt });
                if report.is_some() {
                    events.push(Event::Probed { machine: words::machine(&node), report });
                }
                out.push(Output::Edge(edge, ToEdge::Placed { uid, node: node.clone() }));
                // The node's watch may have been faster than its answer.
                if let Some(at) = self.nodes.0.get(&node).and_then(|n| n.pods.get(&name)).map(|held| held.at)
                {
                    self.seen(id, at, events, out);
                }
            }
            Answer::Ended(ending, words, report) => {
                known.stage = Stage::Open;
                if known.answers.len() >= ANSWERS_MOST {
                    known.answers.remove(0);
                }
                known.answers.push((node.clone(), words));
                if matches!(ending, Ending::Late | Ending::Broken(_) | Ending::Failed) && known.safe {
                    // It is sent again, so what the node shows of this attempt is one copy too many.
                    let name = (known.ask.tenant.clone(), known.ask.name.clone());
                    if self.nodes.0.get(&node).is_some_and(|n| n.pods.contains_key(&name)) {
                        self.delete_at(&node, name, out);
                    }
                }
                events.push(Event::Outcome { task: id, attempt, ending, closed: false, report });
            }
        }
    }

    fn is_at(&self, id: TaskId, at: &str) -> bool {
        matches!(self.book.get(id).map(|k| &k.stage), Some(Stage::Bound { node, .. }) if node == at)
    }

    /// A node shows a Pod.
    fn see(
        &mut self,
        now: f64,
        node: &str,
        name: (String, String),
        held: Held,
        events: &mut Vec<Event>,
        out: &mut Vec<Output>,
    ) {
        let (uid, at) = (held.uid.clone(), held.at);
        let over = matches!(at, AtNode::Over(_));
        if let Some(known) = self.nodes.0.get_mut(node) {
            known.pods.insert(name.clone(), held);
        }
        let task = self.book.id(&uid).or_else(|| {
            // One that was taken over keeps the uid of its first request at the node.
            let mut bound = self.book.bound_at(node).into_iter();
            bound.find(|id| {
                self.book.get(*id).is_some_and(|k| (&k.ask.tenant, &k.ask.name) == (&name.0, &name.1))
            })
        });
        match task.and_then(|id| self.book.get(id).map(|known| (id, known.stage.clone(), known.safe))) {
            Some((id, Stage::Bound { node: there, .. }, _)) if there == node => {
                self.seen(id, at, events, out)
            }
            // The node shows that it took the task: as good as its answer, which is on its way or lost. Guards against
            // lost answers where the watch stands; should also help where answers are slow. No harm is known: what a
            // node shows it holds.
            Some((id, Stage::Out { attempt, node: there }, _)) if there == node && !over => {
                self.answered(now, id, attempt, Answer::Accepted(None), events, out);
            }
            Some((_, Stage::Out { node: there, .. } | Stage::Leaving { node: there, .. }, _))
                if there == node => {}
            // A copy from an attempt that was given up. Where copies do no harm it is stopped, so that it holds no
            // room; where they do, the edge settles what becomes of it.
            Some((_, _, true)) if !over => self.delete_at(node, name, out),
            Some(_) => {}
            None if !over && self.unwanted.get(&uid).is_some_and(|until| now < *until) => {
                self.delete_at(node, name, out);
            }
            None => {}
        }
    }

    /// News of a task that a node has.
    fn seen(&mut self, id: TaskId, at: AtNode, events: &mut Vec<Event>, out: &mut Vec<Output>) {
        let Some(known) = self.book.get_mut(id) else { return };
        match at {
            AtNode::Waits => {}
            AtNode::Runs if known.runs => {}
            AtNode::Runs => {
                known.runs = true;
                out.push(Output::Edge(known.edge, ToEdge::Runs { uid: known.ask.uid.clone() }));
                events.push(Event::Note { task: id, note: tidespur_policy::interface::Note::Runs });
            }
            AtNode::Over(end) => self.ended(id, end, events, out),
        }
    }

    fn ended(&mut self, id: TaskId, end: End, events: &mut Vec<Event>, out: &mut Vec<Output>) {
        let Some(Stage::Bound { attempt, .. }) = self.book.get(id).map(|known| known.stage.clone()) else {
            return;
        };
        let Some(known) = self.book.close(id) else { return };
        let ending = words::ending(end);
        events.push(Event::Outcome { task: id, attempt, ending, closed: true, report: None });
        out.push(Output::Edge(known.edge, ToEdge::Ended { uid: known.ask.uid, end }));
    }

    fn delete_at(&self, node: &str, name: (String, String), out: &mut Vec<Output>) {
        let Some(known) = self.nodes.0.get(node) else { return };
        let pod_uid = known.pods.get(&name).map(|held| held.pod_uid.clone());
        out.push(Output::Delete { address: known.address.clone(), name, pod_uid });
    }

    /// Deletes what nodes show of a request.
    fn reap(&self, uid: &str, out: &mut Vec<Output>) {
        for (node, known) in &self.nodes.0 {
            for (name, held) in &known.pods {
                if held.uid == uid && !matches!(held.at, AtNode::Over(_)) {
                    self.delete_at(node, name.clone(), out);
                }
            }
        }
    }

    fn carry_out(&mut self, now: f64, action: Action, out: &mut Vec<Output>) {
        match action {
            Action::Send { task, machine, wait } => {
                let (Some(known), Some(node)) = (self.book.get_mut(task), self.machines.of(machine)) else {
                    return;
                };
                let Some(address) = self.nodes.0.get(node).map(|n| n.address.clone()) else { return };
                let (attempt, node) = (known.attempts, node.to_owned());
                known.attempts += 1;
                known.stage = Stage::Out { attempt, node: node.clone() };
                out.push(Output::Offer { task, attempt, node, address, ask: known.ask.clone(), wait });
            }
            Action::Refuse { task, retry_in } => {
                let Some(known) = self.book.close(task) else { return };
                if known.safe && known.attempts > 0 {
                    // Its owner may ask again, so a copy that an unclear attempt left somewhere is one too many.
                    self.unwanted.insert(known.ask.uid.clone(), now + UNWANTED_FOR);
                    self.reap(&known.ask.uid, out);
                }
                let why = self.why(known.answers.last(), "no node took it in time");
                out.push(Output::Edge(known.edge, ToEdge::Refused { uid: known.ask.uid, why, retry_in }));
            }
            Action::Fail(task) => {
                let Some(known) = self.book.close(task) else { return };
                let why = self.why(known.answers.last(), "an attempt may have run");
                out.push(Output::Edge(known.edge, ToEdge::Failed { uid: known.ask.uid, why }));
            }
            Action::Move(task) => {
                let Some(known) = self.book.get(task) else { return };
                if let Stage::Bound { node, .. } = &known.stage {
                    self.delete_at(&node.clone(), (known.ask.tenant.clone(), known.ask.name.clone()), out);
                }
            }
            Action::Subscribe => out.push(Output::Subscribe),
            Action::Timer { after, token } => out.push(Output::Timer(after, token)),
            Action::Probe(machine) => {
                if let Some(node) = self.machines.of(machine)
                    && let Some(known) = self.nodes.0.get(node)
                {
                    out.push(Output::Probe(node.to_owned(), known.address.clone()));
                }
            }
            // Planners share nothing here; the settings say so, and the policy then tells nothing.
            Action::Tell(_) => {}
            Action::Log(line) => out.push(Output::Log(line)),
        }
    }

    fn why(&self, last: Option<&(String, String)>, otherwise: &str) -> String {
        match last {
            _ if !self.listed => "the register has listed no nodes yet".to_owned(),
            None => otherwise.to_owned(),
            Some((node, words)) => format!("{otherwise}; last word of a node: {node}: {words}"),
        }
    }

    fn answer_questions(&mut self, now: f64, out: &mut Vec<Output>) {
        let questions = std::mem::take(&mut self.questions);
        for q in questions {
            let found = match self.listed {
                true => self.nodes.locate(&q.tenant, &q.name, &q.uid, q.asked_at),
                false => Found::Unclear,
            };
            if found == Found::Unclear && now < q.asked_at + LOCATE_FOR {
                self.questions.push(q);
                continue;
            }
            out.push(Output::Edge(q.edge, ToEdge::Located { uid: q.uid, found }));
        }
    }
}

fn read_held(pod: &Object) -> ((String, String), Held) {
    let name = (meta::namespace(pod).to_owned(), meta::name(pod).to_owned());
    let uid = meta::annotation(pod, names::UID).unwrap_or("").to_owned();
    (name, Held { uid, pod_uid: meta::uid(pod).to_owned(), at: words::at_node(pod) })
}
