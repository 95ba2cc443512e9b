//! Plays a scenario through a cluster of real processes and records it.

use crate::cluster::{Cluster, inject_fault_at};
use crate::layout::Layout;
use crate::scenario::{FaultKind, FaultSpec, Scenario, Workload};
use bytes::Bytes;
use hyper::Method;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use serde_json::{Value, json};
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use tidespur_api::{meta, names};
use tidespur_emulator::Fault;
use tidespur_net::{Client, Recorder, clock};

/// One Job to submit.
#[derive(Clone, Debug)]
struct Submission {
    at: f64,
    name: String,
    body: Value,
}

/// How far a day is, for those who look on.
#[derive(Debug, Default)]
pub struct Progress {
    /// Jobs in all.
    pub jobs: usize,
    /// Jobs taken by the edge.
    pub submitted: AtomicUsize,
    /// Jobs done.
    pub done: AtomicUsize,
    /// What goes wrong now.
    pub active_fault: Mutex<String>,
}

fn job(name: &str, work: &Workload, rng: &mut impl Rng) -> Value {
    let pods = rng.random_range(work.pods[0]..=work.pods[1]);
    let [cores, memory] = work.shapes[rng.random_range(0..work.shapes.len())];
    let life = Exp::new(1.0 / work.life.max(0.01))
        .map_or(work.life, |d| d.sample(rng))
        .clamp(0.5, work.life * 3.0);
    let mut annotations =
        json!({names::EXPECTED_SECONDS: format!("{:.2}", life * rng.random_range(0.8..1.25))});
    if let Some(give_up) = work.give_up {
        annotations[names::GIVE_UP_SECONDS] = format!("{give_up}").into();
    }
    json!({"kind": "Job", "apiVersion": "batch/v1", "metadata": {"name": name},
        "spec": {"parallelism": pods, "completions": pods, "backoffLimit": 100,
            "template": {"metadata": {"annotations": annotations},
                "spec": {"restartPolicy": "Never", "priorityClassName": work.class,
                    "containers": [{"name": "main", "resources": {"requests":
                        {"cpu": format!("{cores}"), "memory": format!("{:.0}", memory * names::MEMORY_UNIT)}}}]}}}})
}

fn draw(day: &Scenario, seed: u64) -> Vec<Submission> {
    let mut rng = rand_pcg::Pcg32::seed_from_u64(seed);
    let mut all = Vec::new();
    for (sort, work) in &day.workloads {
        for i in 0..work.jobs {
            let at = rng.random_range(0.0..=work.within.unwrap_or(day.seconds).max(1e-6));
            let name = format!("{sort}-{i:03}");
            let body = job(&name, work, &mut rng);
            all.push(Submission { at, name, body });
        }
    }
    all.sort_by(|a, b| a.at.total_cmp(&b.at));
    all
}

/// What is shared by all that act in a day.
struct Day {
    cluster: Mutex<Cluster>,
    apis: Vec<String>,
    recorder: Recorder,
    progress: Arc<Progress>,
    start: f64,
    ends: f64,
}

impl Day {
    fn with<T>(&self, act: impl FnOnce(&mut Cluster) -> T) -> Option<T> {
        self.cluster
            .lock()
            .ok()
            .map(|mut cluster| act(&mut cluster))
    }
    fn trouble(&self, what: &str, on: &[String]) {
        self.recorder
            .record("trouble", || json!({"trouble": what, "on": on}));
        if let Ok(mut trouble) = self.progress.active_fault.lock() {
            *trouble = format!("{what} on {}", on.join(", "));
        }
    }
}

/// Plays a day; its recordings are in `records` afterwards.
pub fn run_scenario(
    day: &Scenario,
    layout: Layout,
    records: &Path,
    progress: Arc<Progress>,
) -> Result<(), String> {
    let seed = layout.seed;
    let cluster = Cluster::start(Layout {
        nodes: day.nodes,
        planners: day.planners,
        edges: day.edges,
        registry_delay: day.delay,
        recordings: Some(records.to_owned()),
        ..layout
    })?;
    let recorder =
        Recorder::append_to(&records.join("rig.jsonl"), "rig").map_err(|e| e.to_string())?;
    smol::block_on(async {
        cluster.wait_ready(60.0).await?;
        let apis: Vec<String> = (0..day.edges)
            .map(|edge| cluster.api(edge).to_owned())
            .collect();
        let start = clock::now();
        let ends = start + day.seconds + day.rest;
        let this = Arc::new(Day {
            cluster: Mutex::new(cluster),
            apis,
            recorder,
            progress,
            start,
            ends,
        });
        let submissions = draw(day, seed);
        let mut tasks = Vec::new();
        for edge in 0..day.edges {
            tasks.push(smol::spawn(watch(this.clone(), edge)));
        }
        tasks.push(smol::spawn(sample_reasons(this.clone(), seed)));
        for (i, (name, trouble)) in day.faults.iter().enumerate() {
            let rng = rand_pcg::Pcg32::seed_from_u64(seed.wrapping_add(31 * (i as u64 + 1)));
            tasks.push(smol::spawn(strike(
                this.clone(),
                name.clone(),
                trouble.clone(),
                rng,
            )));
        }
        let mut clients = Vec::new();
        for client in 0..day.clients {
            let part: Vec<Submission> = submissions
                .iter()
                .skip(client)
                .step_by(day.clients)
                .cloned()
                .collect();
            clients.push(smol::spawn(submit(this.clone(), client % day.edges, part)));
        }
        for client in clients {
            client.await;
        }
        // The day is over when all Jobs are, and all troubles too.
        let troubled = day
            .faults
            .values()
            .map(|t| t.at + t.seconds)
            .fold(0.0, f64::max);
        loop {
            let (mut open, mut done) = (0, 0);
            for api in &this.apis {
                let client = Client::new(api, 1, vec![]);
                let path = "/apis/batch/v1/namespaces/default/jobs";
                match client.send(Method::GET, path, "", Bytes::new(), 5.0).await {
                    Ok(reply) if reply.status.is_success() => {
                        let jobs = reply.json()["items"]
                            .as_array()
                            .cloned()
                            .unwrap_or_default();
                        let over = |j: &&Value| {
                            meta::has_condition(j, "Complete") || meta::has_condition(j, "Failed")
                        };
                        let ended = jobs.iter().filter(over).count();
                        open += jobs.len() - ended;
                        done += ended;
                    }
                    _ => open += 1,
                }
            }
            this.progress.done.store(done, Ordering::Relaxed);
            let now = clock::now();
            if now > ends || (open == 0 && now > start + troubled.max(day.seconds)) {
                this.recorder
                    .record("end", || json!({"open": open, "done": done}));
                break;
            }
            clock::sleep(0.25).await;
        }
        // Word of the last ends is on its way.
        clock::sleep(0.5).await;
        drop(tasks);
        Ok(())
    })
}

async fn submit(day: Arc<Day>, edge: usize, part: Vec<Submission>) {
    let client = Client::new(&day.apis[edge], 1, vec![]);
    for one in part {
        clock::sleep(day.start + one.at - clock::now()).await;
        let body: Bytes = one.body.to_string().into_bytes().into();
        let path = "/apis/batch/v1/namespaces/default/jobs";
        // A client whose edge is away, or that is told to stay away, tries again until the day is over.
        while clock::now() < day.ends {
            let sent = client
                .send(Method::POST, path, "application/json", body.clone(), 5.0)
                .await;
            let status = sent.as_ref().map_or(0, |reply| reply.status.as_u16());
            day.recorder
                .record("submitted", || json!({"job": one.name, "status": status}));
            match status {
                201 | 409 => {
                    day.progress.submitted.fetch_add(1, Ordering::Relaxed);
                    break;
                }
                0 | 429 | 503 => clock::sleep(0.5).await,
                // The edge says that this Job is wrong.
                _ => break,
            }
        }
    }
}

/// A client's watch on all Pods of an edge; each event is recorded as it comes.
async fn watch(day: Arc<Day>, edge: usize) {
    let client = Client::new(&day.apis[edge], 2, vec![]);
    let note = |kind: &str, pod: &Value, gone: bool| {
        day.recorder.record("pod", || {
            json!({"edge": edge, "type": kind, "gone": gone, "uid": meta::uid(pod), "name": meta::name(pod),
                "key": meta::annotation(pod, names::IDEMPOTENCY_KEY), "class": meta::text_at(pod, &["spec", "priorityClassName"]),
                "node": meta::text_at(pod, &["spec", "nodeName"]), "phase": meta::text_at(pod, &["status", "phase"]),
                "reason": meta::text_at(pod, &["status", "reason"]),
                "give_up": meta::annotation(pod, names::GIVE_UP_SECONDS),
                "version": meta::text_at(pod, &["metadata", "resourceVersion"])})
        });
    };
    while clock::now() < day.ends + 10.0 {
        let listed = client
            .send(Method::GET, "/api/v1/pods", "", Bytes::new(), 5.0)
            .await;
        let list = match listed {
            Ok(reply) if reply.status.is_success() => reply.json(),
            _ => {
                clock::sleep(0.1).await;
                continue;
            }
        };
        day.recorder.record("listed", || json!({"edge": edge}));
        list["items"]
            .as_array()
            .into_iter()
            .flatten()
            .for_each(|pod| note("LISTED", pod, false));
        let mut version = meta::text_at(&list, &["metadata", "resourceVersion"]).to_owned();
        'resume: loop {
            let path = format!(
                "/api/v1/pods?watch=true&allowWatchBookmarks=true&resourceVersion={version}"
            );
            let Ok(mut lines) = client.stream_lines(&path, 2.0).await else {
                break;
            };
            if !lines.status.is_success() {
                break;
            }
            while let Ok(Some(line)) = lines.next().await {
                let Ok(event) = serde_json::from_slice::<Value>(&line) else {
                    break 'resume;
                };
                let pod = &event["object"];
                match event["type"].as_str().unwrap_or("") {
                    "ERROR" => break 'resume,
                    "BOOKMARK" => {}
                    kind => note(kind, pod, kind == "DELETED"),
                }
                version = meta::text_at(pod, &["metadata", "resourceVersion"]).to_owned();
            }
            clock::sleep(0.05).await;
        }
    }
}

/// At random moments: what waiting tasks are told, and what nodes and register say of themselves.
async fn sample_reasons(day: Arc<Day>, seed: u64) {
    let mut rng = rand_pcg::Pcg32::seed_from_u64(seed ^ 0x0073_616d_706c_6572);
    let found = day.with(|c| {
        (
            c.registry.addresses[0].clone(),
            c.node_addresses(),
            c.overcommit(),
        )
    });
    let Some((register, nodes, admits)) = found else {
        return;
    };
    let mut sampler = crate::sample::Sampler::new(&day.apis[0], &register, nodes, admits);
    while clock::now() < day.ends + 10.0 {
        clock::sleep(rng.random_range(0.3..0.9)).await;
        if let Some(sample) = sampler.take().await {
            day.recorder.record("why", || sample);
        }
    }
}

async fn strike(day: Arc<Day>, name: String, trouble: FaultSpec, mut rng: rand_pcg::Pcg32) {
    clock::sleep(day.start + trouble.at - clock::now()).await;
    let until = clock::now() + trouble.seconds;
    let sites = day
        .with(|cluster| cluster.node_locations.clone())
        .unwrap_or_default();
    let count =
        ((sites.len() as f64 * trouble.share).round() as usize).clamp(1, sites.len().max(1));
    let mut order: Vec<usize> = (0..sites.len()).collect();
    order.shuffle(&mut rng);
    if trouble.rack
        && let Some(first) = order.first().copied()
    {
        let rack = |i: &usize| (&sites[*i].zone, &sites[*i].rack);
        let here = (sites[first].zone.clone(), sites[first].rack.clone());
        order.retain(|i| rack(i) == (&here.0, &here.1));
    }
    let struck: Vec<String> = order
        .into_iter()
        .take(count)
        .map(|i| sites[i].name.clone())
        .collect();
    let seconds = trouble.seconds;
    let share = trouble.strength.clamp(0.0, 1.0);
    let fault = match trouble.kind {
        FaultKind::Slow => Some(Fault::Slow {
            factor: trouble.strength,
            seconds,
        }),
        FaultKind::Hang => Some(Fault::Hang { seconds }),
        FaultKind::AnswerLost => Some(Fault::DropResponses {
            share,
            reset: rng.random_bool(0.5),
            seconds,
        }),
        FaultKind::FastErrors => Some(Fault::ReturnErrors { share, seconds }),
        FaultKind::UseAll => Some(Fault::UseAllRequestedCores { seconds }),
        FaultKind::Flush => Some(Fault::ClearProgramCache),
        FaultKind::BreakWatches => Some(Fault::CloseWatches),
        _ => None,
    };
    day.trouble(&name, &struck);
    if let Some(fault) = fault {
        for node in &struck {
            tell(&day, node, &fault).await;
        }
        return;
    }
    match trouble.kind {
        FaultKind::Crash => {
            for node in &struck {
                day.with(|cluster| cluster.process(node).map(|process| process.kill()));
                day.recorder.record("killed", || json!({"node": node}));
            }
            clock::sleep(until - clock::now()).await;
            for node in struck {
                let this = day.clone();
                let back =
                    smol::unblock(move || this.with(|cluster| cluster.restart_node(&node))).await;
                if let Some(Err(problem)) = back {
                    tracing::error!(problem);
                }
            }
        }
        FaultKind::Pauses => {
            while clock::now() < until {
                for node in &struck {
                    day.with(|cluster| {
                        cluster
                            .process(node)
                            .map(|process| process.set_paused(true))
                    });
                }
                clock::sleep(rng.random_range(0.18..0.5)).await;
                for node in &struck {
                    day.with(|cluster| {
                        cluster
                            .process(node)
                            .map(|process| process.set_paused(false))
                    });
                }
                clock::sleep(rng.random_range(0.8..2.0)).await;
            }
        }
        FaultKind::RegisterDown => hold(&day, &["register".into()], until).await,
        FaultKind::PausePlanner => {
            let planners: usize = day.with(|cluster| cluster.planners.len()).unwrap_or(1);
            hold(
                &day,
                &[format!("planner-{}", rng.random_range(0..planners))],
                until,
            )
            .await;
        }
        FaultKind::ZoneCut => {
            let zones: Vec<String> = {
                let mut zones: Vec<String> = sites.iter().map(|site| site.zone.clone()).collect();
                zones.sort();
                zones.dedup();
                zones
            };
            let cut = zones[rng.random_range(0..zones.len())].clone();
            for site in &sites {
                let others = zones
                    .iter()
                    .filter(|z| (**z == cut) != (site.zone == cut))
                    .cloned()
                    .collect();
                tell(
                    &day,
                    &site.name,
                    &Fault::PartitionZones {
                        zones: others,
                        seconds,
                    },
                )
                .await;
            }
        }
        FaultKind::Drain => {
            for node in &struck {
                cordon(&day, node, true).await;
                tell(&day, node, &Fault::TerminateTasks { every: 0.3 }).await;
            }
            clock::sleep(until - clock::now()).await;
            for node in &struck {
                cordon(&day, node, false).await;
            }
        }
        FaultKind::Flap => {
            while clock::now() < until {
                for on in [true, false] {
                    for node in &struck {
                        cordon(&day, node, on).await;
                    }
                    clock::sleep(0.4).await;
                }
            }
        }
        FaultKind::MassRestart => mass_restart(&day, trouble.share, &mut rng).await,
        FaultKind::KillPlanner => {
            let planners: usize = day.with(|cluster| cluster.planners.len()).unwrap_or(1);
            let planner = format!("planner-{}", rng.random_range(0..planners));
            day.with(|cluster| cluster.process(&planner).map(|process| process.kill()));
            day.recorder
                .record("killed", || json!({"planner": planner}));
            clock::sleep(until - clock::now()).await;
            day.with(|cluster| cluster.restart_planner(&planner));
        }
        FaultKind::KillEdge => {
            let edge = rng.random_range(0..day.apis.len());
            let name = format!("edge-{edge}");
            day.recorder.record("killed", || json!({"edge": edge}));
            day.with(|cluster| cluster.process(&name).map(|process| process.kill()));
            clock::sleep(until - clock::now()).await;
            let this = day.clone();
            if let Some(Err(problem)) =
                smol::unblock(move || this.with(|c| c.restart_edge(&name))).await
            {
                tracing::error!(problem);
            }
        }
        _ => {}
    }
}

async fn hold(day: &Day, who: &[String], until: f64) {
    for name in who {
        day.with(|cluster| {
            cluster
                .process(name)
                .map(|process| process.set_paused(true))
        });
    }
    clock::sleep(until - clock::now()).await;
    for name in who {
        day.with(|cluster| {
            cluster
                .process(name)
                .map(|process| process.set_paused(false))
        });
    }
}

async fn tell(day: &Day, node: &str, fault: &Fault) {
    let address = day
        .with(|cluster| cluster.process(node).map(|p| p.addresses[0].clone()))
        .flatten();
    let Some(address) = address else { return };
    if let Err(problem) = inject_fault_at(&address, fault).await {
        tracing::debug!(node, problem, "a fault did not get there");
    }
}

async fn cordon(day: &Day, node: &str, on: bool) {
    let client = Client::new(&day.apis[0], 1, vec![]);
    let body: Bytes = json!({"spec": {"unschedulable": on}})
        .to_string()
        .into_bytes()
        .into();
    let path = format!("/api/v1/nodes/{node}");
    for _ in 0..10 {
        let sent = client
            .send(
                Method::PATCH,
                &path,
                "application/merge-patch+json",
                body.clone(),
                2.0,
            )
            .await;
        if sent.is_ok_and(|reply| reply.status.is_success()) {
            return;
        }
        clock::sleep(0.2).await;
    }
}

/// Owners stop a share of their Jobs and ask for all their Pods again.
async fn mass_restart(day: &Day, share: f64, rng: &mut rand_pcg::Pcg32) {
    for api in &day.apis {
        let client = Client::new(api, 4, vec![]);
        let path = "/apis/batch/v1/namespaces/default/jobs";
        let Ok(reply) = client.send(Method::GET, path, "", Bytes::new(), 5.0).await else {
            continue;
        };
        let jobs = reply.json()["items"]
            .as_array()
            .cloned()
            .unwrap_or_default();
        for job in jobs
            .iter()
            .filter(|job| !meta::has_condition(job, "Complete"))
        {
            if !rng.random_bool(share) {
                continue;
            }
            let one = format!("{path}/{}", meta::name(job));
            for suspend in [true, false] {
                let body = json!({"spec": {"suspend": suspend}})
                    .to_string()
                    .into_bytes()
                    .into();
                let media = "application/merge-patch+json";
                let _ = client.send(Method::PATCH, &one, media, body, 5.0).await;
            }
        }
    }
}
