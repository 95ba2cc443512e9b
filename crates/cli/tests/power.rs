//! Power loss: all edges and planners, which have data directories, are killed at once at random times and restarted.

mod common;

use common::*;
use k8s_openapi::api::batch::v1::Job;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// Random seed; outside CI, POWER_SEED sets another seed and POWER_CUTS the number of power losses.
const SEED: u64 = 20_261_202;

fn env_or(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(default)
}

const JOBS: &str = "/apis/batch/v1/namespaces/default/jobs";

fn set_data_directory(layout: &mut tidespur_testbed::Layout, folder: &Path) {
    layout.data_dir = Some(folder.join("data"));
}

/// Kills all edges and planners at once, and restarts them.
fn cut_power(running: &mut RunningCluster) {
    let names: Vec<String> = running
        .cluster
        .process_ids()
        .into_iter()
        .map(|(name, _)| name)
        .collect();
    let killed: Vec<String> = names
        .into_iter()
        .filter(|n| n.starts_with("edge") || n.starts_with("pl"))
        .collect();
    // Kill all processes before waiting for any of them, so that they end at the same time.
    let pid = |id: u32| rustix::process::Pid::from_raw(id as i32).unwrap();
    for (name, id) in running.cluster.process_ids() {
        if killed.contains(&name) {
            rustix::process::kill_process(pid(id), rustix::process::Signal::KILL).unwrap();
        }
    }
    for name in &killed {
        running.cluster.process(name).unwrap().kill();
        running.cluster.restart(name).unwrap();
    }
}

fn name_of(answer: &Value) -> String {
    answer["metadata"]["name"].as_str().unwrap_or("").to_owned()
}

/// Starts of non-idempotent tasks by task key, as the nodes recorded them. A failed Pod cancels its start, since the
/// task may then be started again.
fn starts(running: &RunningCluster) -> BTreeMap<String, i32> {
    let mut starts: BTreeMap<String, i32> = BTreeMap::new();
    for line in running.records() {
        let key = line["key"].as_str().unwrap_or("").to_owned();
        if !line["who"]
            .as_str()
            .is_some_and(|who| who.starts_with("node"))
        {
            continue;
        }
        if line["what"] == "answer"
            && line["said"] == "accepted"
            && line["class"] == "slot-abgleich"
        {
            *starts.entry(key).or_default() += 1;
        } else if line["what"] == "pod" && line["phase"] == "Failed" {
            starts.entry(key).and_modify(|starts| *starts -= 1);
        }
    }
    starts
}

/// Creates Jobs without a pause until the edge stops answering, so that the last acknowledged writes come just before
/// the power loss; returns the acknowledged names.
fn create_until_failure(at: String, round: usize) -> std::thread::JoinHandle<Vec<String>> {
    std::thread::spawn(move || {
        let client = tidespur_net::Client::new(&at, 2, vec![]);
        let mut acknowledged = Vec::new();
        for i in 0..100_000 {
            let name = format!("s{round}-{i}");
            let mut body = job_json(&name, "termin-web", 1, 1.0);
            body["spec"]["suspend"] = true.into();
            let body = body.to_string().into_bytes().into();
            let sent = smol::block_on(client.send(
                hyper::Method::POST,
                JOBS,
                "application/json",
                body,
                5.0,
            ));
            match sent {
                Ok(reply) if reply.status.as_u16() == 201 => acknowledged.push(name),
                _ => break,
            }
        }
        acknowledged
    })
}

#[test]
fn acknowledged_jobs_survive_power_loss_and_non_idempotent_tasks_run_once() {
    let mut running = start_cluster(6, 2, set_data_directory);
    let seed = env_or("POWER_SEED", SEED);
    println!("seed {seed}");
    let mut rng = rand_pcg::Pcg32::seed_from_u64(seed);
    let mut acknowledged = BTreeSet::new();
    for round in 0..env_or("POWER_CUTS", 5) as usize {
        for i in 0..rng.random_range(3..8) {
            let class = if rng.random_bool(0.5) {
                "slot-abgleich"
            } else {
                "termin-web"
            };
            let body = job_json(&format!("w{round}-{i}"), class, 2, 2.0);
            let (status, made) = running.send("POST", JOBS, "application/json", &body.to_string());
            if status == 201 {
                acknowledged.insert(name_of(&made));
            }
            std::thread::sleep(std::time::Duration::from_millis(rng.random_range(0..120)));
        }
        let writing: Vec<_> = (0..4)
            .map(|i| create_until_failure(running.cluster.api(0).to_owned(), round * 10 + i))
            .collect();
        std::thread::sleep(std::time::Duration::from_millis(rng.random_range(50..200)));
        cut_power(&mut running);
        acknowledged.extend(
            writing
                .into_iter()
                .flat_map(|writing| writing.join().unwrap()),
        );
        let (status, list) = running.send("GET", JOBS, "application/json", "");
        assert_eq!(status, 200, "seed {seed}, cut {round}");
        let listed: BTreeSet<String> = list["items"]
            .as_array()
            .unwrap()
            .iter()
            .map(name_of)
            .collect();
        let lost: Vec<_> = acknowledged.difference(&listed).collect();
        assert!(
            lost.is_empty(),
            "seed {seed}, cut {round}: {lost:?} were acknowledged and then lost"
        );
    }
    assert!(acknowledged.len() >= 30);
    let jobs = running.jobs();
    running.wait_for("all Jobs are complete", async || {
        let list = jobs.list(&Default::default()).await.ok()?;
        let open = |job: &&Job| {
            job.metadata
                .name
                .as_deref()
                .is_some_and(|name| name.starts_with('w'))
        };
        list.items
            .iter()
            .filter(open)
            .all(is_complete)
            .then_some(())
    });
    let starts = starts(&running);
    assert!(!starts.is_empty());
    for (key, times) in starts {
        assert!(times <= 1, "seed {seed}: {key} was started {times} times");
    }
}

#[test]
fn a_watch_resumed_after_a_power_loss_must_list_again() {
    let mut running = start_cluster(2, 1, set_data_directory);
    let body = job_json("web", "termin-web", 1, 60.0).to_string();
    let path = "/apis/batch/v1/namespaces/default/jobs";
    assert_eq!(running.send("POST", path, "application/json", &body).0, 201);
    let (_, list) = running.send("GET", path, "application/json", "");
    let version = list["metadata"]["resourceVersion"]
        .as_str()
        .unwrap()
        .to_owned();
    cut_power(&mut running);
    let (status, told) = running.send(
        "GET",
        &format!("{path}?watch=true&resourceVersion={version}"),
        "application/json",
        "",
    );
    assert_eq!(
        (status, told["reason"].as_str()),
        (410, Some("Expired")),
        "{told}"
    );
    let (_, again) = running.send("GET", path, "application/json", "");
    let later = again["metadata"]["resourceVersion"].as_str().unwrap();
    assert!(later.parse::<u64>().unwrap() > version.parse::<u64>().unwrap());
    assert_eq!(name_of(&again["items"][0]), "web");
}

#[test]
fn an_edge_does_not_start_with_a_data_directory_of_another_process() {
    let running = start_cluster(1, 1, set_data_directory);
    let folder = running.directory.path().join("data");
    let register = running.cluster.registry.addresses[0].clone();
    let try_one = |name: &str| {
        let log = running.directory.path().join("refused.log");
        let line = format!(
            "edge --api 127.0.0.1:0 --link 127.0.0.1:0 --register {register} --name {name} --data {}",
            folder.display()
        );
        let arguments = line.split(' ').map(str::to_owned).collect();
        let program = env!("CARGO_BIN_EXE_tidespur").into();
        let started = tidespur_testbed::process::Process::start(
            name,
            program,
            arguments,
            Some(log.clone()),
            true,
        );
        assert!(started.is_err(), "{name} has started");
        std::fs::read_to_string(log).unwrap()
    };
    assert!(try_one("edge-0").contains("another process has it open"));
    let log = try_one("planner-0");
    assert!(
        log.contains("another process has it open") || log.contains("is the store of"),
        "{log}"
    );
}
