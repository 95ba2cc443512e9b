//! A small run of an edge, cut after every batch that it remembers: what was acknowledged stands, each request has one
//! outcome, and guarded work starts once by the node's own count.

use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use tidespur_api::resource::{JOBS, NAMESPACES, PODS};
use tidespur_api::{Object, meta};
use tidespur_config::{DEFAULT_CONFIG, parse};
use tidespur_edge::core::{Core, Input};
use tidespur_edge::restore::reserved_version;
use tidespur_persistence::{Batch, LoadedRecords};
use tidespur_planner_protocol::{Location, TerminationReason, ToEdge, ToPlanner};
use tidespur_store::{Limits, Store};

/// What really runs, whoever knows of it: it outlives every cut.
#[derive(Clone, Debug, Default)]
struct Truth {
    /// Name at the node, by uid of the request that it was started for.
    running: BTreeMap<String, String>,
    /// Starts by the key that repeats of one piece of work share.
    starts: BTreeMap<String, u32>,
}

struct World {
    core: Core,
    store: Store,
    now: f64,
    /// Tasks that the planner has taken.
    taken: BTreeMap<String, tidespur_api::task::PlacementRequest>,
    pending: Vec<ToEdge>,
    /// Batches, and what was said after each.
    batches: Vec<(Batch, Vec<ToPlanner>)>,
}

fn limits() -> Limits {
    Limits {
        max_history: 64,
        ..Limits::default()
    }
}

impl World {
    fn new(now: f64, back: &LoadedRecords) -> Self {
        let config = parse("built-in", DEFAULT_CONFIG).unwrap();
        let version = reserved_version(back).unwrap().max(1_000);
        let mut store = Store::new(limits(), 7 ^ back.generation, version);
        let mut core = Core::new(config, 3 ^ back.generation);
        core.restore(now, back, &mut store).unwrap();
        store.track_writes();
        let space = json!({"kind": "Namespace", "metadata": {"name": "default"}, "spec": {}, "status": {"phase": "Active"}});
        drop(store.create(NAMESPACES, space, now));
        Self {
            core,
            store,
            now,
            taken: BTreeMap::new(),
            pending: vec![],
            batches: vec![],
        }
    }

    fn step(&mut self, inputs: Vec<Input>) -> Vec<ToPlanner> {
        let mut out = Vec::new();
        self.core.step(self.now, inputs, &mut self.store, &mut out);
        let writes = self.core.take_writes(&mut self.store);
        assert!(writes.errors.is_empty());
        let said: Vec<ToPlanner> = out.into_iter().map(|sent| sent.message).collect();
        self.batches.push((writes.batch, said.clone()));
        said
    }

    /// What the planner does with what it hears: it starts at one node, and speaks the truth.
    fn hears(&mut self, said: Vec<ToPlanner>, truth: &mut Truth) {
        for message in said {
            let answer = match message {
                ToPlanner::Place(ask) => {
                    let uid = ask.uid.clone();
                    self.taken.insert(uid.clone(), ask);
                    ToEdge::Acknowledged { uid }
                }
                ToPlanner::Commit { uid, .. } => {
                    let Some(ask) = self.taken.remove(&uid) else {
                        continue;
                    };
                    *truth.starts.entry(ask.idempotency_key).or_default() += 1;
                    truth.running.insert(uid.clone(), ask.name);
                    self.pending.push(ToEdge::Placed {
                        uid: uid.clone(),
                        node: "node-0".into(),
                    });
                    ToEdge::Started { uid }
                }
                ToPlanner::Adopt { request: ask, node } => {
                    let runs = truth.running.values().any(|name| *name == ask.name);
                    self.pending.push(ToEdge::Placed {
                        uid: ask.uid.clone(),
                        node,
                    });
                    if runs {
                        ToEdge::Started { uid: ask.uid }
                    } else {
                        ToEdge::Ended {
                            uid: ask.uid,
                            reason: TerminationReason::NodeLost,
                        }
                    }
                }
                ToPlanner::Locate { uid, .. } => {
                    let location = if truth.running.contains_key(&uid) {
                        Location::At("node-0".into())
                    } else {
                        Location::NotFound
                    };
                    ToEdge::Located { uid, location }
                }
                ToPlanner::Cancel { uid } => {
                    truth.running.remove(&uid);
                    continue;
                }
                ToPlanner::Welcome { .. }
                | ToPlanner::Heartbeat
                | ToPlanner::PlannerCount { .. } => continue,
            };
            self.pending.push(answer);
        }
    }

    /// Goes on for a while, a tenth of a second a step.
    fn run(&mut self, steps: usize, truth: &mut Truth) {
        for _ in 0..steps {
            self.now += 0.1;
            let inputs = self
                .pending
                .drain(..)
                .map(|message| Input::MessageReceived {
                    planner: 1,
                    message,
                })
                .collect();
            let said = self.step(inputs);
            self.hears(said, truth);
        }
    }

    fn pods(&self) -> Vec<Object> {
        self.store
            .iter(PODS, "")
            .map(|pod| (**pod).clone())
            .collect()
    }
}

fn job(name: &str, class: &str) -> Object {
    json!({"kind": "Job", "apiVersion": "batch/v1", "metadata": {"name": name, "namespace": "default"},
        "spec": {"parallelism": 2, "completions": 2, "backoffLimit": 6, "template": {"spec": {
            "priorityClassName": class, "restartPolicy": "Never", "containers": [{"name": "m"}]}}},
        "status": {}})
}

/// A day: a Job of each class, placed, running; and the state of the nodes after each batch.
fn day() -> (World, Vec<Truth>) {
    let (mut world, mut truth) = (World::new(1e9, &LoadedRecords::default()), Truth::default());
    let mut truths = Vec::new();
    world.step(vec![Input::PlannerConnected(1)]);
    truths.push(truth.clone());
    for i in 0..14 {
        if i == 2 || i == 4 {
            let class = if i == 2 {
                "slot-abgleich"
            } else {
                "termin-web"
            };
            world
                .store
                .create(JOBS, job(class, class), world.now)
                .unwrap();
        }
        world.run(1, &mut truth);
        truths.push(truth.clone());
    }
    (world, truths)
}

fn records(batches: &[(Batch, Vec<ToPlanner>)]) -> LoadedRecords {
    let mut back = LoadedRecords {
        generation: 1,
        ..LoadedRecords::default()
    };
    for (batch, _) in batches {
        for (record, value) in batch.changes() {
            match value {
                Some(value) => drop(back.records.insert(record.clone(), value.to_vec())),
                None => drop(back.records.remove(record)),
            }
        }
    }
    back
}

/// What is wrong after the edge came back from a cut after `kept` batches, the nodes being as `truth` says.
fn comes_back(kept: &[(Batch, Vec<ToPlanner>)], mut truth: Truth, now: f64) -> Vec<String> {
    let back = records(kept);
    let mut wrong = Vec::new();
    let mut world = World::new(now, &back);
    for (key, bytes) in back.records_of_kind("object") {
        let object: Object = serde_json::from_slice(bytes).unwrap();
        let resource = [PODS, JOBS, NAMESPACES]
            .into_iter()
            .find(|r| key.starts_with(r.plural))
            .unwrap();
        let stands = world
            .store
            .get(resource, meta::namespace(&object), meta::name(&object));
        if stands.is_none_or(|stands| **stands != object) {
            wrong.push(format!("{key} is not what it was"));
        }
    }
    let placed = |world: &World| -> BTreeSet<String> {
        let node = |pod: &&Object| !meta::text_at(pod, &["spec", "nodeName"]).is_empty();
        world
            .pods()
            .iter()
            .filter(node)
            .map(|pod| meta::uid(pod).to_owned())
            .collect()
    };
    let before = placed(&world);
    world.run(3, &mut truth);
    world.step(vec![Input::PlannerConnected(1)]);
    let said = world.batches.last().unwrap().1.clone();
    world.hears(said, &mut truth);
    world.run(300, &mut truth);
    let after = placed(&world);
    if !before.is_subset(&after) {
        wrong.push("a Pod that was told as placed is not placed any more".into());
    }
    // Whatever runs is known, and each Job has all it wants, once.
    let known: BTreeSet<String> = world
        .pods()
        .iter()
        .map(|pod| tidespur_api::task::placement_request(pod).name)
        .collect();
    let runs = truth.running.values().filter(|name| !known.contains(*name));
    wrong.extend(runs.map(|name| format!("{name} runs, nobody's")));
    for job in world.store.iter(JOBS, "") {
        let ready = job["status"]["ready"].as_u64().unwrap_or(0);
        if ready != 2 {
            wrong.push(format!("{}: {ready} of 2 run", meta::name(job)));
        }
        if meta::name(job) == "slot-abgleich" {
            let uid = meta::uid(job);
            let mine = truth.starts.iter().filter(|(key, _)| key.starts_with(uid));
            wrong.extend(
                mine.filter(|(_, n)| **n > 1)
                    .map(|(key, n)| format!("{key} was started {n} times")),
            );
        }
    }
    wrong
}

#[test]
fn after_a_cut_at_any_batch_nothing_is_lost_and_guarded_work_starts_once() {
    let (world, truths) = day();
    for kept in 0..=world.batches.len() {
        // What was said after the last batch was heard, or was cut off with the edge.
        for heard in [kept, kept.saturating_sub(1)] {
            let truth = heard
                .checked_sub(1)
                .map_or_else(Truth::default, |at| truths[at].clone());
            let wrong = comes_back(&world.batches[..kept], truth, world.now);
            assert!(
                wrong.is_empty(),
                "after {kept} batches, {heard} heard: {wrong:?}"
            );
        }
    }
}

/// The same with the guard taken out: what is said does not wait for its batch.
#[test]
fn words_that_run_ahead_of_their_batch_are_found_out() {
    let (world, truths) = day();
    let found = (1..world.batches.len())
        .filter(|&kept| {
            !comes_back(&world.batches[..kept], truths[kept].clone(), world.now).is_empty()
        })
        .count();
    assert!(
        found > 0,
        "no cut shows that an answer or an offer left too early"
    );
}

#[test]
fn a_clock_that_was_set_back_lets_nobody_wait_longer_than_asked() {
    let (world, truths) = day();
    for now in [1.0, 1e9 - 5e6, 1e9 + 9e7] {
        let wrong = comes_back(&world.batches, truths.last().unwrap().clone(), now);
        assert!(wrong.is_empty(), "at {now}: {wrong:?}");
    }
}

#[test]
fn versions_begin_above_all_that_were_told_and_an_old_watch_is_told_so() {
    let (world, _) = day();
    let back = records(&world.batches);
    let again = World::new(world.now, &back);
    assert!(again.store.version() > world.store.version());
    assert!(again.store.watch(PODS, world.store.version()).is_err());
    let mut spoilt = back;
    spoilt
        .records
        .insert(("open".into(), "x".into()), b"{".to_vec());
    let mut store = Store::new(limits(), 1, 1);
    let mut core = Core::new(parse("built-in", DEFAULT_CONFIG).unwrap(), 1);
    let problem = core
        .restore(0.0, &spoilt, &mut store)
        .unwrap_err()
        .to_string();
    assert!(
        problem.contains("open") && problem.contains("restore"),
        "{problem}"
    );
}
