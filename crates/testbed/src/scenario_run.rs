//! Runs a scenario against a cluster of processes and records what clients see.

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

/// One Job to submit, `at` seconds after the start.
#[derive(Clone, Debug)]
struct Submission {
    at: f64,
    name: String,
    body: Value,
}

/// Progress of a run, for display.
#[derive(Debug, Default)]
pub struct Progress {
    /// Number of Jobs in the scenario.
    pub jobs: usize,
    /// Number of Jobs that the edges have accepted.
    pub submitted: AtomicUsize,
    /// Number of Jobs that are complete or failed.
    pub done: AtomicUsize,
    /// Name of the latest fault and what it affects; empty before the first.
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

fn draw_submissions(scenario: &Scenario, seed: u64) -> Vec<Submission> {
    let mut rng = rand_pcg::Pcg32::seed_from_u64(seed);
    let mut submissions = Vec::new();
    for (sort, work) in &scenario.workloads {
        for i in 0..work.jobs {
            let at = rng.random_range(0.0..=work.within.unwrap_or(scenario.seconds).max(1e-6));
            let name = format!("{sort}-{i:03}");
            let body = job(&name, work, &mut rng);
            submissions.push(Submission { at, name, body });
        }
    }
    submissions.sort_by(|a, b| a.at.total_cmp(&b.at));
    submissions
}

/// State that all tasks of a run share. Times are Unix times in seconds.
struct Run {
    cluster: Mutex<Cluster>,
    apis: Vec<String>,
    recorder: Recorder,
    progress: Arc<Progress>,
    start: f64,
    ends: f64,
}

impl Run {
    fn with<T>(&self, act: impl FnOnce(&mut Cluster) -> T) -> Option<T> {
        self.cluster
            .lock()
            .ok()
            .map(|mut cluster| act(&mut cluster))
    }
    fn record_fault(&self, name: &str, targets: &[String]) {
        self.recorder
            .record("trouble", || json!({"trouble": name, "on": targets}));
        if let Ok(mut active) = self.progress.active_fault.lock() {
            *active = format!("{name} on {}", targets.join(", "));
        }
    }
}

/// Runs a scenario. Afterwards the recordings of all processes are in `records`.
///
/// # Errors
/// If the cluster does not start.
pub fn run_scenario(
    scenario: &Scenario,
    layout: Layout,
    records: &Path,
    progress: Arc<Progress>,
) -> Result<(), String> {
    let seed = layout.seed;
    let cluster = Cluster::start(Layout {
        nodes: scenario.nodes,
        planners: scenario.planners,
        edges: scenario.edges,
        registry_delay: scenario.delay,
        recordings: Some(records.to_owned()),
        ..layout
    })?;
    let recorder =
        Recorder::append_to(&records.join("rig.jsonl"), "rig").map_err(|e| e.to_string())?;
    smol::block_on(async {
        cluster.wait_ready(60.0).await?;
        let apis: Vec<String> = (0..scenario.edges)
            .map(|edge| cluster.api(edge).to_owned())
            .collect();
        let start = clock::now();
        let ends = start + scenario.seconds + scenario.rest;
        let run = Arc::new(Run {
            cluster: Mutex::new(cluster),
            apis,
            recorder,
            progress,
            start,
            ends,
        });
        let submissions = draw_submissions(scenario, seed);
        let mut tasks = Vec::new();
        for edge in 0..scenario.edges {
            tasks.push(smol::spawn(watch(run.clone(), edge)));
        }
        tasks.push(smol::spawn(sample_reasons(run.clone(), seed)));
        for (i, (name, spec)) in scenario.faults.iter().enumerate() {
            let rng = rand_pcg::Pcg32::seed_from_u64(seed.wrapping_add(31 * (i as u64 + 1)));
            tasks.push(smol::spawn(apply_fault(
                run.clone(),
                name.clone(),
                spec.clone(),
                rng,
            )));
        }
        let mut clients = Vec::new();
        for client in 0..scenario.clients {
            let part: Vec<Submission> = submissions
                .iter()
                .skip(client)
                .step_by(scenario.clients)
                .cloned()
                .collect();
            clients.push(smol::spawn(submit(
                run.clone(),
                client % scenario.edges,
                part,
            )));
        }
        for client in clients {
            client.await;
        }
        // The run is over when all Jobs have ended and all faults are over.
        let faults_end = scenario
            .faults
            .values()
            .map(|t| t.at + t.seconds)
            .fold(0.0, f64::max);
        loop {
            let (mut open, mut done) = (0, 0);
            for api in &run.apis {
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
            run.progress.done.store(done, Ordering::Relaxed);
            let now = clock::now();
            if now > ends || (open == 0 && now > start + faults_end.max(scenario.seconds)) {
                run.recorder
                    .record("end", || json!({"open": open, "done": done}));
                break;
            }
            clock::sleep(0.25).await;
        }
        // The last events may still be in transit.
        clock::sleep(0.5).await;
        drop(tasks);
        Ok(())
    })
}

async fn submit(run: Arc<Run>, edge: usize, part: Vec<Submission>) {
    let client = Client::new(&run.apis[edge], 1, vec![]);
    for submission in part {
        clock::sleep(run.start + submission.at - clock::now()).await;
        let body: Bytes = submission.body.to_string().into_bytes().into();
        let path = "/apis/batch/v1/namespaces/default/jobs";
        // Retries until the end of the run if the edge is down or asks to retry later.
        while clock::now() < run.ends {
            let sent = client
                .send(Method::POST, path, "application/json", body.clone(), 5.0)
                .await;
            let status = sent.as_ref().map_or(0, |reply| reply.status.as_u16());
            run.recorder.record(
                "submitted",
                || json!({"job": submission.name, "status": status}),
            );
            match status {
                201 | 409 => {
                    run.progress.submitted.fetch_add(1, Ordering::Relaxed);
                    break;
                }
                0 | 429 | 503 => clock::sleep(0.5).await,
                // The edge has rejected this Job as invalid.
                _ => break,
            }
        }
    }
}

/// Watches all Pods of an edge as a client and records each event.
async fn watch(run: Arc<Run>, edge: usize) {
    let client = Client::new(&run.apis[edge], 2, vec![]);
    let record = |kind: &str, pod: &Value, gone: bool| {
        run.recorder.record("pod", || {
            json!({"edge": edge, "type": kind, "gone": gone, "uid": meta::uid(pod), "name": meta::name(pod),
                "key": meta::annotation(pod, names::IDEMPOTENCY_KEY), "class": meta::text_at(pod, &["spec", "priorityClassName"]),
                "node": meta::text_at(pod, &["spec", "nodeName"]), "phase": meta::text_at(pod, &["status", "phase"]),
                "reason": meta::text_at(pod, &["status", "reason"]),
                "give_up": meta::annotation(pod, names::GIVE_UP_SECONDS),
                "version": meta::text_at(pod, &["metadata", "resourceVersion"])})
        });
    };
    while clock::now() < run.ends + 10.0 {
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
        run.recorder.record("listed", || json!({"edge": edge}));
        list["items"]
            .as_array()
            .into_iter()
            .flatten()
            .for_each(|pod| record("LISTED", pod, false));
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
                    kind => record(kind, pod, kind == "DELETED"),
                }
                version = meta::text_at(pod, &["metadata", "resourceVersion"]).to_owned();
            }
            clock::sleep(0.05).await;
        }
    }
}

/// Samples at random intervals the reasons of pending tasks and the state of the nodes and the registry.
async fn sample_reasons(run: Arc<Run>, seed: u64) {
    let mut rng = rand_pcg::Pcg32::seed_from_u64(seed ^ 0x0073_616d_706c_6572);
    let found = run.with(|c| {
        (
            c.registry.addresses[0].clone(),
            c.node_addresses(),
            c.overcommit(),
        )
    });
    let Some((register, nodes, overcommit)) = found else {
        return;
    };
    let mut sampler = crate::sample::Sampler::new(&run.apis[0], &register, nodes, overcommit);
    while clock::now() < run.ends + 10.0 {
        clock::sleep(rng.random_range(0.3..0.9)).await;
        if let Some(sample) = sampler.take_sample().await {
            run.recorder.record("why", || sample);
        }
    }
}

async fn apply_fault(run: Arc<Run>, name: String, spec: FaultSpec, mut rng: rand_pcg::Pcg32) {
    clock::sleep(run.start + spec.at - clock::now()).await;
    let until = clock::now() + spec.seconds;
    let locations = run
        .with(|cluster| cluster.node_locations.clone())
        .unwrap_or_default();
    let count =
        ((locations.len() as f64 * spec.share).round() as usize).clamp(1, locations.len().max(1));
    let mut order: Vec<usize> = (0..locations.len()).collect();
    order.shuffle(&mut rng);
    if spec.rack
        && let Some(first) = order.first().copied()
    {
        let rack = |i: &usize| (&locations[*i].zone, &locations[*i].rack);
        let first_rack = (locations[first].zone.clone(), locations[first].rack.clone());
        order.retain(|i| rack(i) == (&first_rack.0, &first_rack.1));
    }
    let targets: Vec<String> = order
        .into_iter()
        .take(count)
        .map(|i| locations[i].name.clone())
        .collect();
    let seconds = spec.seconds;
    let share = spec.strength.clamp(0.0, 1.0);
    let fault = match spec.kind {
        FaultKind::Slow => Some(Fault::Slow {
            factor: spec.strength,
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
    run.record_fault(&name, &targets);
    if let Some(fault) = fault {
        for node in &targets {
            inject(&run, node, &fault).await;
        }
        return;
    }
    match spec.kind {
        FaultKind::Crash => {
            for node in &targets {
                run.with(|cluster| cluster.process(node).map(|process| process.kill()));
                run.recorder.record("killed", || json!({"node": node}));
            }
            clock::sleep(until - clock::now()).await;
            for node in targets {
                let run = run.clone();
                let restarted =
                    smol::unblock(move || run.with(|cluster| cluster.restart_node(&node))).await;
                if let Some(Err(error)) = restarted {
                    tracing::error!(error);
                }
            }
        }
        FaultKind::Pauses => {
            while clock::now() < until {
                for node in &targets {
                    run.with(|cluster| {
                        cluster
                            .process(node)
                            .map(|process| process.set_paused(true))
                    });
                }
                clock::sleep(rng.random_range(0.18..0.5)).await;
                for node in &targets {
                    run.with(|cluster| {
                        cluster
                            .process(node)
                            .map(|process| process.set_paused(false))
                    });
                }
                clock::sleep(rng.random_range(0.8..2.0)).await;
            }
        }
        FaultKind::RegisterDown => pause_until(&run, &["register".into()], until).await,
        FaultKind::PausePlanner => {
            let planners: usize = run.with(|cluster| cluster.planners.len()).unwrap_or(1);
            pause_until(
                &run,
                &[format!("planner-{}", rng.random_range(0..planners))],
                until,
            )
            .await;
        }
        FaultKind::ZoneCut => {
            let zones: Vec<String> = {
                let mut zones: Vec<String> = locations
                    .iter()
                    .map(|location| location.zone.clone())
                    .collect();
                zones.sort();
                zones.dedup();
                zones
            };
            let cut = zones[rng.random_range(0..zones.len())].clone();
            for location in &locations {
                let others = zones
                    .iter()
                    .filter(|z| (**z == cut) != (location.zone == cut))
                    .cloned()
                    .collect();
                inject(
                    &run,
                    &location.name,
                    &Fault::PartitionZones {
                        zones: others,
                        seconds,
                    },
                )
                .await;
            }
        }
        FaultKind::Drain => {
            for node in &targets {
                cordon(&run, node, true).await;
                inject(&run, node, &Fault::TerminateTasks { every: 0.3 }).await;
            }
            clock::sleep(until - clock::now()).await;
            for node in &targets {
                cordon(&run, node, false).await;
            }
        }
        FaultKind::Flap => {
            while clock::now() < until {
                for on in [true, false] {
                    for node in &targets {
                        cordon(&run, node, on).await;
                    }
                    clock::sleep(0.4).await;
                }
            }
        }
        FaultKind::MassRestart => mass_restart(&run, spec.share, &mut rng).await,
        FaultKind::KillPlanner => {
            let planners: usize = run.with(|cluster| cluster.planners.len()).unwrap_or(1);
            let planner = format!("planner-{}", rng.random_range(0..planners));
            run.with(|cluster| cluster.process(&planner).map(|process| process.kill()));
            run.recorder
                .record("killed", || json!({"planner": planner}));
            clock::sleep(until - clock::now()).await;
            run.with(|cluster| cluster.restart_planner(&planner));
        }
        FaultKind::KillEdge => {
            let edge = rng.random_range(0..run.apis.len());
            let name = format!("edge-{edge}");
            run.recorder.record("killed", || json!({"edge": edge}));
            run.with(|cluster| cluster.process(&name).map(|process| process.kill()));
            clock::sleep(until - clock::now()).await;
            let run = run.clone();
            if let Some(Err(error)) =
                smol::unblock(move || run.with(|c| c.restart_edge(&name))).await
            {
                tracing::error!(error);
            }
        }
        _ => {}
    }
}

async fn pause_until(run: &Run, who: &[String], until: f64) {
    for name in who {
        run.with(|cluster| {
            cluster
                .process(name)
                .map(|process| process.set_paused(true))
        });
    }
    clock::sleep(until - clock::now()).await;
    for name in who {
        run.with(|cluster| {
            cluster
                .process(name)
                .map(|process| process.set_paused(false))
        });
    }
}

async fn inject(run: &Run, node: &str, fault: &Fault) {
    let address = run
        .with(|cluster| cluster.process(node).map(|p| p.addresses[0].clone()))
        .flatten();
    let Some(address) = address else { return };
    if let Err(error) = inject_fault_at(&address, fault).await {
        tracing::debug!(node, error, "fault could not be injected");
    }
}

async fn cordon(run: &Run, node: &str, on: bool) {
    let client = Client::new(&run.apis[0], 1, vec![]);
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

/// Suspends and resumes a share of the Jobs, as owners that want all their Pods restarted.
async fn mass_restart(run: &Run, share: f64, rng: &mut rand_pcg::Pcg32) {
    for api in &run.apis {
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
            let job_path = format!("{path}/{}", meta::name(job));
            for suspend in [true, false] {
                let body = json!({"spec": {"suspend": suspend}})
                    .to_string()
                    .into_bytes()
                    .into();
                let media = "application/merge-patch+json";
                let _ = client
                    .send(Method::PATCH, &job_path, media, body, 5.0)
                    .await;
            }
        }
    }
}
