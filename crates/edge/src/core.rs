//! The edge as a state machine over its store: what changed in the store goes to desk and Job controller, what they
//! say goes back into the store and to planners. No I/O, and no decision of its own.

use crate::desk::{self, Desk, PlannerId};
use crate::garbage::Garbage;
use crate::pods;
use crate::waits::Waits;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, Mutex};
use tidespur_api::resource::{EVENTS, JOBS, NODES, PODS};
use tidespur_api::{Object, meta, names, task};
use tidespur_config::{Config, Effect};
use tidespur_controller::{self as controller, Controller, JobView, PodView, SlotId};
use tidespur_link::{ToEdge, ToPlanner};
use tidespur_store::{ChangeKind, Expect, Follower, Store};
use tidespur_waiting::Ledger;

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
    config: Config,
    desk: Desk,
    controller: Controller,
    jobs: Follower,
    pods: Follower,
    /// Namespace and name of each Pod that desk or planners know by uid.
    known: BTreeMap<String, (String, String)>,
    ended: Garbage,
    events: Garbage,
    waits: Waits,
}

impl Core {
    /// The core of an edge that has read nothing of its store yet.
    pub fn new(config: Config, seed: u64) -> Self {
        let desk = Desk::new(desk::Settings {
            planner_most: config.edge.planner_most as usize,
            one_home: config.edge.one_home,
            answer_slack: config.safety.answer_slack / 2.0,
            locate_for: 3.0,
            take_within: config.edge.planner_patience / 2.0,
        });
        let guarded: BTreeSet<String> = config
            .class
            .iter()
            .filter(|(_, c)| c.effect != Effect::Safe)
            .map(|(name, _)| name.clone())
            .collect();
        let owner = &config.owner;
        let controller = Controller::new(
            controller::Settings {
                pauses: controller::Pauses {
                    first: owner.again_first,
                    most: owner.again_most,
                    lost: owner.again_lost,
                },
                settle: owner.settle,
                guarded,
                default_class: config.class.keys().next().cloned().unwrap_or_default(),
            },
            seed,
        );
        let (jobs, pods) = (Follower::new(JOBS), Follower::new(PODS));
        let (ended, events) = (Garbage::new(PODS, ENDED_MOST), Garbage::new(EVENTS, EVENTS_MOST));
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
        }
    }

    /// Tasks without an answer.
    pub fn open(&self) -> usize {
        self.desk.open()
    }

    /// The records of what waits.
    pub fn ledger(&self) -> Arc<Mutex<Ledger>> {
        self.waits.ledger()
    }

    /// How often it fell behind its own store's history.
    pub fn behind(&self) -> u64 {
        self.jobs.behind() + self.pods.behind()
    }

    /// Planners that are connected.
    pub fn planners(&self) -> usize {
        self.desk.planners()
    }

    /// When to step next though nothing happens.
    pub fn next_wake(&self) -> Option<f64> {
        [self.desk.next_wake(), self.controller.next_wake(), self.waits.next_wake(&self.desk)]
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
        let mut desk_events = Vec::new();
        for input in inputs {
            match input {
                Input::Kick => {}
                Input::PlannerUp(id) => desk_events.push(desk::Event::PlannerUp(id)),
                Input::PlannerLost(id) => desk_events.push(desk::Event::PlannerLost(id)),
                Input::Said(id, ToEdge::Waits(words)) => self.waits.told(now, id, words, &self.desk),
                Input::Said(id, message) => desk_events.push(desk::Event::Said(id, message)),
                Input::Nodes(list) => nodes_whole(list, store, now),
                Input::Node(node, deleted) => node_change(node, deleted, store, now),
                Input::Sent(_) => {}
            }
        }
        self.waits.look(now, &self.desk, &self.known, store, &mut self.events);
        let mut owner_events = VecDeque::new();
        loop {
            self.read_jobs(store, &mut owner_events);
            self.read_pods(now, store, &mut owner_events, &mut desk_events);
            let mut actions = Vec::new();
            self.desk.step(now, std::mem::take(&mut desk_events), &mut actions);
            for action in actions {
                self.desk_says(now, action, store, &mut owner_events, out);
            }
            let mut actions = Vec::new();
            self.controller.step(now, std::mem::take(&mut owner_events).into(), &mut actions);
            let quiet = actions.is_empty() && self.pods.current(store) && self.jobs.current(store);
            for action in actions {
                self.owner_says(now, action, store, &mut owner_events, &mut desk_events);
            }
            if quiet && owner_events.is_empty() && desk_events.is_empty() {
                return;
            }
        }
    }

    fn read_jobs(&mut self, store: &mut Store, owner: &mut VecDeque<controller::Event>) {
        for change in self.jobs.read(store, BATCH) {
            if change.kind != ChangeKind::Deleted {
                owner.push_back(controller::Event::Job(JobView::read(&change.object)));
                continue;
            }
            let uid = meta::uid(&change.object);
            owner.push_back(controller::Event::JobGone(uid.to_owned()));
            let owned = |pod: &&Arc<Object>| owner_uid(pod) == uid;
            let pods: Vec<Arc<Object>> =
                store.all(PODS, meta::namespace(&change.object)).filter(owned).cloned().collect();
            for pod in pods {
                drop(store.delete(PODS, meta::namespace(&pod), meta::name(&pod), &Expect::default()));
            }
        }
    }

    fn read_pods(
        &mut self,
        now: f64,
        store: &mut Store,
        owner: &mut VecDeque<controller::Event>,
        desk: &mut Vec<desk::Event>,
    ) {
        for change in self.pods.read(store, BATCH) {
            let pod = &change.object;
            let (uid, view) = (meta::uid(pod).to_owned(), PodView::read(pod));
            if change.kind == ChangeKind::Deleted {
                if self.known.remove(&uid).is_some() {
                    self.waits.close(&uid);
                    desk.push(desk::Event::Cancel(uid));
                }
                owner.push_back(controller::Event::PodGone(view));
                continue;
            }
            let before = change.before.as_ref().map(|before| PodView::read(before).phase);
            if before != Some(view.phase) {
                if change.kind != ChangeKind::Added {
                    owner.push_back(controller::Event::Pod(view.clone()));
                }
                if matches!(view.phase, controller::PodPhase::Ended(_)) {
                    self.ended.add(pod, store);
                }
            }
            // One that came and ended within a gap of reading needs no answer any more.
            let over = matches!(view.phase, controller::PodPhase::Ended(_));
            if change.kind == ChangeKind::Added && !over {
                self.known.insert(uid, (view.namespace, view.name));
                let ask = task::ask(pod);
                if meta::annotation(pod, names::ADOPTS).is_some() {
                    let node = meta::text(pod, &["spec", "nodeName"]).to_owned();
                    desk.push(desk::Event::Adopt(ask, node));
                } else {
                    let class = self.config.class_called(&ask.class);
                    let within = ask.within.or(class.map(|class| class.deadline)).unwrap_or(0.0);
                    self.waits.open(now, &ask, meta::name(pod));
                    let safe = class.is_some_and(|class| class.effect == Effect::Safe);
                    desk.push(desk::Event::Submit(ask, now + within, safe));
                }
            }
        }
    }

    fn desk_says(
        &mut self,
        now: f64,
        action: desk::Action,
        store: &mut Store,
        owner: &mut VecDeque<controller::Event>,
        out: &mut Vec<(PlannerId, ToPlanner)>,
    ) {
        match action {
            desk::Action::Tell(planner, message) => {
                if let ToPlanner::Go { uid, .. } = &message {
                    self.waits.taken(now, uid);
                }
                out.push((planner, message));
            }
            desk::Action::Placed(uid, node) => {
                self.waits.close(&uid);
                self.change(&uid, store, |pod| pods::placed(pod, &node, now));
                self.tell(&uid, store, "Normal", "Scheduled", &format!("assigned to {node}"), now);
            }
            desk::Action::Refused(uid, why) => self.unplaced(&uid, names::REFUSED, &why, store, now),
            desk::Action::Failed(uid, why) => self.unplaced(&uid, names::UNKNOWN, &why, store, now),
            desk::Action::Runs(uid) => self.change(&uid, store, |pod| pods::runs(pod, now)),
            desk::Action::Ended(uid, end) => {
                self.change(&uid, store, |pod| pods::ended(pod, end, now));
                self.known.remove(&uid);
            }
            desk::Action::Located(uid, found) => {
                tracing::info!(uid, ?found, "settled");
                owner.push_back(controller::Event::Located { uid, found });
            }
        }
    }

    /// The answer that a Pod was not placed.
    fn unplaced(&mut self, uid: &str, reason: &str, why: &str, store: &mut Store, now: f64) {
        self.waits.close(uid);
        self.change(uid, store, |pod| pods::unplaced(pod, reason, why, now));
        self.tell(uid, store, "Warning", "FailedScheduling", why, now);
        self.known.remove(uid);
    }

    fn change(&self, uid: &str, store: &mut Store, change: impl FnOnce(&mut Object)) {
        let Some((space, name)) = self.known.get(uid) else { return };
        let Some(mut pod) = store.get(PODS, space, name).map(|pod| (**pod).clone()) else { return };
        if meta::uid(&pod) != uid {
            return;
        }
        change(&mut pod);
        if let Err(problem) = store.update(PODS, pod, &Expect::default()) {
            tracing::error!(uid, %problem, "a Pod's state can't be written");
        }
    }

    fn tell(&mut self, uid: &str, store: &mut Store, kind: &str, reason: &str, message: &str, now: f64) {
        let Some((space, name)) = self.known.get(uid) else { return };
        let Some(pod) = store.get(PODS, space, name).cloned() else { return };
        let event = pods::event(&pod, format!("{name}.{}", store.suffix()), kind, reason, message, now);
        tracing::debug!(uid, reason, message);
        if let Ok(event) = store.create(EVENTS, event, now) {
            self.events.add(&event, store);
        }
    }

    fn owner_says(
        &mut self,
        now: f64,
        action: controller::Action,
        store: &mut Store,
        owner: &mut VecDeque<controller::Event>,
        desk: &mut Vec<desk::Event>,
    ) {
        use controller::Action;
        match action {
            Action::Create { slot, namespace, job, returned, adopt } => {
                owner.push_back(self.make(now, slot, &namespace, &job, returned, adopt, store));
            }
            Action::DeletePod { namespace, name, uid } => {
                drop(store.delete(PODS, &namespace, &name, &Expect { uid: Some(uid), version: None }));
            }
            Action::Status { uid, namespace, name, status } => {
                let Some(job) = store.get(JOBS, &namespace, &name).filter(|job| meta::uid(job) == uid) else {
                    return;
                };
                let mut job = (**job).clone();
                job["status"] = pods::job_status(&job, &status, now);
                drop(store.update(JOBS, job, &Expect::default()));
            }
            Action::DeleteJob { namespace, name, uid } => {
                drop(store.delete(JOBS, &namespace, &name, &Expect { uid: Some(uid), version: None }));
            }
            Action::Locate { uid, namespace, name } => {
                desk.push(desk::Event::Locate { uid, tenant: namespace, name })
            }
            Action::Reap { uid } => desk.push(desk::Event::Reap(uid)),
        }
    }

    #[allow(clippy::too_many_arguments, reason = "one action of the controller, taken apart")]
    fn make(
        &self,
        now: f64,
        slot: SlotId,
        namespace: &str,
        job: &str,
        returned: bool,
        adopt: Option<controller::Adopt>,
        store: &mut Store,
    ) -> controller::Event {
        let Some(job) = store.get(JOBS, namespace, job).filter(|job| meta::uid(job) == slot.job).cloned()
        else {
            return controller::Event::NotCreated(slot);
        };
        // What runs already is always taken over; new work waits at its owner while the desk is full.
        if adopt.is_none() && self.desk.open() >= self.config.edge.open_most as usize {
            return controller::Event::NotCreated(slot);
        }
        let base = meta::name(&job);
        let name = format!("{}-{}", &base[..base.len().min(240)], store.suffix());
        let mut pod = pods::make(&job, &name, &slot, returned, adopt.as_ref());
        if let Some(adopt) = &adopt {
            pods::placed(&mut pod, &adopt.node, now);
        }
        match store.create(PODS, pod, now) {
            Ok(pod) => controller::Event::Created { slot, pod: PodView::read(&pod) },
            Err(problem) => {
                tracing::warn!(%problem, "a Pod of a Job can't be made");
                controller::Event::NotCreated(slot)
            }
        }
    }
}

/// Uid of the controlling owner.
pub(crate) fn owner_uid(pod: &Object) -> &str {
    let owners = meta::at(pod, &["metadata", "ownerReferences"]).as_array();
    let owner = owners.into_iter().flatten().find(|owner| owner["controller"] == true);
    owner.map_or("", |owner| meta::text(owner, &["uid"]))
}

fn nodes_whole(list: Vec<Object>, store: &mut Store, now: f64) {
    let listed: BTreeSet<&str> = list.iter().map(meta::name).collect();
    let gone: Vec<Arc<Object>> =
        store.all(NODES, "").filter(|node| !listed.contains(meta::name(node))).cloned().collect();
    for node in gone {
        drop(store.delete(NODES, "", meta::name(&node), &Expect::default()));
    }
    list.into_iter().for_each(|node| node_change(node, false, store, now));
}

fn node_change(node: Object, deleted: bool, store: &mut Store, now: f64) {
    let name = meta::name(&node).to_owned();
    let done = match (deleted, store.get(NODES, "", &name).is_some()) {
        (true, _) => store.delete(NODES, "", &name, &Expect::default()).map(drop),
        (false, true) => store.update(NODES, node, &Expect::default()).map(drop),
        (false, false) => store.create(NODES, node, now).map(drop),
    };
    if let Err(problem) = done.or_else(|e| if e.code == 404 { Ok(()) } else { Err(e) }) {
        tracing::warn!(node = name, %problem, "a Node can't be shown");
    }
}
