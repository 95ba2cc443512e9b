//! The planner as a state machine without I/O. What is decided about machines is decided by the policy; here its
//! words are led to the right task, and each task is led to its one answer.

use crate::attempts::Attempts;
use crate::book::{Book, EdgeId, Names, Stage};
use crate::nodes::{Held, Nodes};
use crate::waits::Waits;
use crate::words;
use std::collections::BTreeMap;
use tidespur_api::task::PlacementRequest;
use tidespur_api::{Object, meta, names};
use tidespur_config::Config;
use tidespur_coordination::Fence;
use tidespur_load_shedding::LoadShedder;
use tidespur_persistence::Batch;
use tidespur_policy::Scheduler;
use tidespur_policy::interface::{Event, RetrySafety, SettingsError, TaskId};

mod acts;
mod edges;
mod nodes;
mod take;
mod talk;

pub use talk::{Answer, Input, Output};

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
    taken: BTreeMap<String, (EdgeId, PlacementRequest)>,
    stepped_at: f64,
    waits: Waits,
    /// Requests of which nothing may run any more: what turns up of them at a node is deleted. Bounded.
    unwanted: BTreeMap<String, f64>,
    shedder: LoadShedder,
    /// Where what was offered may be: what must outlive this process.
    attempts: Attempts,
    /// Nothing can be written down now, so nothing new is taken.
    stuck: bool,
    /// Of what is said under leases only the newest token's word counts, also over this process' end.
    fence: Fence,
    /// How many share what cold nodes bear: to be told to the policy.
    sharers: Option<u32>,
}

/// What is unwanted is remembered for this long: far longer than an offer can be on its way.
const UNWANTED_FOR: f64 = 120.0;
/// After standing still for this share of the edges' patience a planner gives up all that is open. A ping is at most
/// a quarter of the patience old when it stops, so an edge that has not given it up by then hears of it by the cut.
const STILL: f64 = 0.6;
/// Answers of nodes that are kept of one task.
const ANSWERS_MOST: usize = 4;

impl Core {
    /// A planner that knows nothing yet.
    pub fn new(
        config: Config,
        ordinal: usize,
        zone: &str,
        seed: u64,
    ) -> Result<Self, SettingsError> {
        let settings = config.scheduler_settings(ordinal, words::place(zone));
        let guarded = settings
            .classes
            .iter()
            .map(|c| c.retry_safety != RetrySafety::Idempotent)
            .collect();
        let shedder = LoadShedder::for_classes(
            settings
                .classes
                .iter()
                .map(|class| (class.latency_objective, class.priority_weight)),
        );
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
            shedder,
            attempts: Attempts::default(),
            stuck: false,
            fence: Fence::default(),
            sharers: None,
        })
    }

    /// A planner that knows what an earlier process of it may have left at nodes, and the newest tokens that it heard.
    #[must_use]
    pub fn recalling(mut self, attempts: Attempts, fence: Fence) -> Self {
        (self.attempts, self.fence) = (attempts, fence);
        self
    }

    /// What must be safe before what the last step said of offers and sharers may be carried out.
    pub fn remember(&mut self) -> Batch {
        let mut batch = self.attempts.take();
        batch.extend(self.fence.take_batch());
        batch
    }

    /// [`Output::Share`], carried out: the next step tells the policy.
    pub fn share(&mut self, planners: u32) {
        self.sharers = Some(planners);
    }

    /// Whether anything can be written down now. Where nothing can, nothing new is taken: its edge gives it to another.
    pub fn stuck(&mut self, stuck: bool) {
        self.stuck = stuck;
    }

    /// Whether this offer is still wanted: what waited for the disk may have been given up meanwhile.
    pub fn wants(&self, task: TaskId, attempt: u32) -> bool {
        let out = |stage: &Stage| matches!(stage, Stage::Out { attempt: a, .. } if *a == attempt);
        self.book.get(task).is_some_and(|known| out(&known.stage))
    }

    /// Tasks that are known.
    pub fn tasks(&self) -> usize {
        self.book.len()
    }

    /// Takes in `inputs`, all of time `now`, and appends what is to be done.
    pub fn step(&mut self, now: f64, inputs: Vec<Input>, out: &mut Vec<Output>) {
        let mut events: Vec<Event> = self
            .sharers
            .take()
            .map(|all| Event::SchedulerCountChanged(all as usize))
            .into_iter()
            .collect();
        self.stood_still(now, &mut events, out);
        for input in inputs {
            self.take(now, input, &mut events, out);
        }
        let mut actions = Vec::new();
        self.scheduler.step(now, events, &mut actions);
        for action in actions {
            self.carry_out(now, action, out);
        }
        self.answer_questions(now, out);
        if self.config.planner.publishes_pending_reasons {
            let known = (&self.book, &self.nodes, &self.machines);
            let told = self.waits.look(now, &self.scheduler, &self.config, known);
            out.extend(
                told.into_iter()
                    .map(|(edge, message)| Output::Edge(edge, message)),
            );
        }
        self.unwanted.retain(|_, until| now < *until);
    }

    /// Guards against a planner that stood still (stopped, starved, its machine asleep) and goes on with tasks that
    /// edges have answered for meanwhile: nothing may be sent for those. It gives up all that is open and cuts its
    /// links, before it looks at anything that came in. Should also guard against a step that took too long. Harm:
    /// what was open is refused or failed though the planner is back.
    fn stood_still(&mut self, now: f64, events: &mut Vec<Event>, out: &mut Vec<Output>) {
        let still = now - self.stepped_at;
        self.stepped_at = now;
        if still <= STILL * self.config.edge.planner_timeout {
            return;
        }
        out.push(Output::Log(format!(
            "stood still for {still:.1} s: gives up what was open"
        )));
        out.push(Output::Cut);
        self.give_up(|_| true, events);
    }
}

fn read_held(pod: &Object) -> ((String, String), Held) {
    let name = (meta::namespace(pod).to_owned(), meta::name(pod).to_owned());
    let uid = meta::annotation(pod, names::EDGE_POD_UID)
        .unwrap_or("")
        .to_owned();
    (
        name,
        Held {
            uid,
            pod_uid: meta::uid(pod).to_owned(),
            at: words::at_node(pod),
        },
    )
}
