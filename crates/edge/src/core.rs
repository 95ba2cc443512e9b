//! The edge as a state machine over its store: what changed in the store goes to desk and Job controller, what they
//! say goes back into the store and to planners. No I/O, and no decision of its own.

use crate::desk::{self, Desk, PlannerId};
use crate::garbage::Garbage;
use crate::keep::Notes;
use crate::waits::Waits;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, Mutex};
use tidespur_api::resource::{EVENTS, JOBS, PODS};
use tidespur_api::{Object, meta};
use tidespur_config::{Config, RetrySafety};
use tidespur_job_controller::{self as controller, Controller};
use tidespur_pending::PendingRecords;
use tidespur_planner_protocol::{ToEdge, ToPlanner};
use tidespur_store::{ChangeReader, Store};

mod nodes;
mod read;
mod says;

use nodes::{node_change, nodes_whole};

/// What the edge is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// Something may have changed in the store.
    Kick,
    /// A planner is here.
    PlannerUp(PlannerId),
    /// A planner is lost.
    PlannerLost(PlannerId),
    /// A planner says this.
    Said(PlannerId, ToEdge),
    /// All Nodes of the register.
    Nodes(Vec<Object>),
    /// A Node as it stands, or (true) as it last stood.
    Node(Object, bool),
    /// This was put into the queue of inputs at that time: how far the edge is behind its work.
    Sent(f64),
}

/// Ended Pods that are kept.
const ENDED_MOST: usize = 12_500;
/// Events that are kept.
const EVENTS_MOST: usize = 5_000;
/// Changes of the store that are read in one go.
const BATCH: usize = 1_024;

/// The edge.
#[derive(Debug)]
pub struct Core {
    pub(crate) config: Config,
    pub(crate) desk: Desk,
    pub(crate) controller: Controller,
    pub(crate) jobs: ChangeReader,
    pub(crate) pods: ChangeReader,
    /// Namespace and name of each Pod that desk or planners know by uid.
    pub(crate) known: BTreeMap<String, (String, String)>,
    pub(crate) ended: Garbage,
    pub(crate) events: Garbage,
    pub(crate) waits: Waits,
    /// What a memory beside the store must know, since it last looked.
    pub(crate) notes: Notes,
    /// What the first step after a return hands the desk.
    pub(crate) returning: Vec<desk::Event>,
}

impl Core {
    /// The core of an edge that has read nothing of its store yet.
    pub fn new(config: Config, seed: u64) -> Self {
        let desk = Desk::new(desk::Settings {
            planner_most: config.edge.max_tasks_per_planner as usize,
            one_home: config.edge.single_planner_per_service,
            answer_slack: config.safety_limits.answer_slack / 2.0,
            locate_for: 3.0,
            take_within: config.edge.planner_timeout / 2.0,
        });
        let guarded: BTreeSet<String> = config
            .classes
            .iter()
            .filter(|(_, c)| c.retry_safety != RetrySafety::Idempotent)
            .map(|(name, _)| name.clone())
            .collect();
        let owner = &config.job_controller;
        let controller = Controller::new(
            controller::Settings {
                pauses: controller::Pauses {
                    first: owner.initial_backoff,
                    most: owner.max_backoff,
                    lost: owner.lost_task_backoff,
                },
                settle: owner.outcome_query_delay,
                guarded,
                default_class: config.classes.keys().next().cloned().unwrap_or_default(),
            },
            seed,
        );
        let (jobs, pods) = (ChangeReader::new(JOBS), ChangeReader::new(PODS));
        let (ended, events) = (
            Garbage::new(PODS, ENDED_MOST),
            Garbage::new(EVENTS, EVENTS_MOST),
        );
        Self {
            config,
            desk,
            controller,
            jobs,
            pods,
            known: BTreeMap::new(),
            ended,
            events,
            waits: Waits::new(),
            notes: Notes::default(),
            returning: Vec::new(),
        }
    }

    /// Tasks without an answer.
    pub fn open(&self) -> usize {
        self.desk.open()
    }

    /// The records of what waits.
    pub fn ledger(&self) -> Arc<Mutex<PendingRecords>> {
        self.waits.ledger()
    }

    /// How often it fell behind its own store's history.
    pub fn behind(&self) -> u64 {
        self.jobs.resync_count() + self.pods.resync_count()
    }

    /// Planners that are connected.
    pub fn planners(&self) -> usize {
        self.desk.planners()
    }

    /// When to step next though nothing happens.
    pub fn next_wake(&self) -> Option<f64> {
        [
            self.desk.next_wake(),
            self.controller.next_wake(),
            self.waits.next_wake(&self.desk),
        ]
        .into_iter()
        .flatten()
        .min_by(f64::total_cmp)
    }

    /// Takes in what came and all that changed in the store, until nothing more follows from it.
    pub fn step(
        &mut self,
        now: f64,
        inputs: Vec<Input>,
        store: &mut Store,
        out: &mut Vec<(PlannerId, ToPlanner)>,
    ) {
        let mut desk_events = std::mem::take(&mut self.returning);
        for input in inputs {
            match input {
                Input::Kick => {}
                Input::PlannerUp(id) => desk_events.push(desk::Event::PlannerUp(id)),
                Input::PlannerLost(id) => desk_events.push(desk::Event::PlannerLost(id)),
                Input::Said(id, ToEdge::PendingReasons(words)) => {
                    self.waits.told(now, id, words, &self.desk)
                }
                Input::Said(
                    _,
                    ToEdge::StaleToken {
                        lease,
                        token,
                        newest,
                    },
                ) => {
                    tracing::warn!(
                        lease,
                        token,
                        newest,
                        "a planner refused a word: another acts by now"
                    );
                }
                Input::Said(id, message) => desk_events.push(desk::Event::Said(id, message)),
                Input::Nodes(list) => nodes_whole(list, store, now),
                Input::Node(node, deleted) => node_change(node, deleted, store, now),
                Input::Sent(_) => {}
            }
        }
        self.waits
            .look(now, &self.desk, &self.known, store, &mut self.events);
        let mut owner_events = VecDeque::new();
        loop {
            self.read_jobs(store, &mut owner_events);
            self.read_pods(now, store, &mut owner_events, &mut desk_events);
            let mut actions = Vec::new();
            self.desk
                .step(now, std::mem::take(&mut desk_events), &mut actions);
            for action in actions {
                self.desk_says(now, action, store, &mut owner_events, out);
            }
            let mut actions = Vec::new();
            self.controller
                .step(now, std::mem::take(&mut owner_events).into(), &mut actions);
            let quiet =
                actions.is_empty() && self.pods.is_current(store) && self.jobs.is_current(store);
            for action in actions {
                self.owner_says(now, action, store, &mut owner_events, &mut desk_events);
            }
            if quiet && owner_events.is_empty() && desk_events.is_empty() {
                return;
            }
        }
    }
}

/// Uid of the controlling owner.
pub(crate) fn owner_uid(pod: &Object) -> &str {
    let owners = meta::value_at(pod, &["metadata", "ownerReferences"]).as_array();
    let owner = owners
        .into_iter()
        .flatten()
        .find(|owner| owner["controller"] == true);
    owner.map_or("", |owner| meta::text_at(owner, &["uid"]))
}
