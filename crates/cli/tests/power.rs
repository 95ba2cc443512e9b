//! Edges and planners that remember, killed in one instant at drawn moments and started again.

mod common;

use common::*;
use k8s_openapi::api::batch::v1::Job;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// Drawn from this; POWER_SEED and POWER_CUTS draw other and more cuts, outside CI.
const SEED: u64 = 20_261_202;

fn told(name: &str, otherwise: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(otherwise)
}

const JOBS: &str = "/apis/batch/v1/namespaces/default/jobs";

fn remembering(layout: &mut tidespur_testbed::Layout, folder: &Path) {
    layout.data_dir = Some(folder.join("data"));
}

/// Kills all edges and planners at once, and starts them again.
fn cut(running: &mut Running) {
    let names: Vec<String> = running
        .cluster
        .process_ids()
        .into_iter()
        .map(|(name, _)| name)
        .collect();
    let ours: Vec<String> = names
        .into_iter()
        .filter(|n| n.starts_with("edge") || n.starts_with("pl"))
        .collect();
    // First all are killed, then any is waited for: they go in one instant.
    let pid = |id: u32| rustix::process::Pid::from_raw(id as i32).unwrap();
    for (name, id) in running.cluster.process_ids() {
        if ours.contains(&name) {
            rustix::process::kill_process(pid(id), rustix::process::Signal::KILL).unwrap();
        }
    }
    for name in &ours {
        running.cluster.process(name).unwrap().kill();
        running.cluster.restart(name).unwrap();
    }
}

fn name(answer: &Value) -> String {
    answer["metadata"]["name"].as_str().unwrap_or("").to_owned()
}

/// Pods of guarded work that nodes accepted, by the key of the work, as the nodes themselves recorded them; work that
/// came to a bad end at its node may be started again.
fn starts(running: &Running) -> BTreeMap<String, i32> {
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

/// Writes without a pause until the edge is gone: names that were acknowledged, the last ones just before the cut.
fn write_on(at: String, round: usize) -> std::thread::JoinHandle<Vec<String>> {
    std::thread::spawn(move || {
        let client = tidespur_net::Client::new(&at, 2, vec![]);
        let mut acknowledged = Vec::new();
        for i in 0..100_000 {
            let name = format!("s{round}-{i}");
            let mut body = job_value(&name, "termin-web", 1, 1.0);
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
fn what_was_acknowledged_outlives_power_cuts_and_guarded_work_runs_once() {
    let mut running = start(6, 2, remembering);
    let seed = told("POWER_SEED", SEED);
    println!("seed {seed}");
    let mut rng = rand_pcg::Pcg32::seed_from_u64(seed);
    let mut acknowledged = BTreeSet::new();
    for round in 0..told("POWER_CUTS", 5) as usize {
        for i in 0..rng.random_range(3..8) {
            let class = if rng.random_bool(0.5) {
                "slot-abgleich"
            } else {
                "termin-web"
            };
            let body = job_value(&format!("w{round}-{i}"), class, 2, 2.0);
            let (status, made) = running.send("POST", JOBS, "application/json", &body.to_string());
            if status == 201 {
                acknowledged.insert(name(&made));
            }
            std::thread::sleep(std::time::Duration::from_millis(rng.random_range(0..120)));
        }
        let writing: Vec<_> = (0..4)
            .map(|i| write_on(running.cluster.api(0).to_owned(), round * 10 + i))
            .collect();
        std::thread::sleep(std::time::Duration::from_millis(rng.random_range(50..200)));
        cut(&mut running);
        acknowledged.extend(
            writing
                .into_iter()
                .flat_map(|writing| writing.join().unwrap()),
        );
        let (status, list) = running.send("GET", JOBS, "application/json", "");
        assert_eq!(status, 200, "seed {seed}, cut {round}");
        let stand: BTreeSet<String> = list["items"].as_array().unwrap().iter().map(name).collect();
        let lost: Vec<_> = acknowledged.difference(&stand).collect();
        assert!(
            lost.is_empty(),
            "seed {seed}, cut {round}: {lost:?} were acknowledged and are gone"
        );
    }
    assert!(acknowledged.len() >= 30);
    let jobs = running.jobs();
    running.until("all Jobs are complete", async || {
        let list = jobs.list(&Default::default()).await.ok()?;
        let open = |job: &&Job| {
            job.metadata
                .name
                .as_deref()
                .is_some_and(|name| name.starts_with('w'))
        };
        list.items.iter().filter(open).all(complete).then_some(())
    });
    let starts = starts(&running);
    assert!(!starts.is_empty());
    for (key, times) in starts {
        assert!(times <= 1, "seed {seed}: {key} was started {times} times");
    }
}

#[test]
fn a_watch_that_comes_back_after_a_cut_is_told_to_list_anew() {
    let mut running = start(2, 1, remembering);
    let body = job_value("web", "termin-web", 1, 60.0).to_string();
    let path = "/apis/batch/v1/namespaces/default/jobs";
    assert_eq!(running.send("POST", path, "application/json", &body).0, 201);
    let (_, list) = running.send("GET", path, "application/json", "");
    let version = list["metadata"]["resourceVersion"]
        .as_str()
        .unwrap()
        .to_owned();
    cut(&mut running);
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
    assert_eq!(name(&again["items"][0]), "web");
}

#[test]
fn an_edge_whose_folder_is_in_use_or_another_s_does_not_start_and_says_why() {
    let running = start(1, 1, remembering);
    let folder = running.folder.path().join("data");
    let register = running.cluster.registry.addresses[0].clone();
    let try_one = |name: &str| {
        let log = running.folder.path().join("refused.log");
        let line = format!(
            "edge --api 127.0.0.1:0 --link 127.0.0.1:0 --register {register} --name {name} --data {}",
            folder.display()
        );
        let words = line.split(' ').map(str::to_owned).collect();
        let program = env!("CARGO_BIN_EXE_tidespur").into();
        let started = tidespur_testbed::process::Process::start(
            name,
            program,
            words,
            Some(log.clone()),
            true,
        );
        assert!(started.is_err(), "{name} has started");
        std::fs::read_to_string(log).unwrap()
    };
    assert!(try_one("edge-0").contains("another process has it open"));
    let told = try_one("planner-0");
    assert!(
        told.contains("another process has it open") || told.contains("is the store of"),
        "{told}"
    );
}
