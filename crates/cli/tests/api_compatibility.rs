//! Paths, keys of JSON and names of metrics that an edge serves, taken from a cluster with every optional part on: a
//! fleet, a ledger with one voter, and data folders.

mod common;
#[path = "common/fixture.rs"]
mod fixture;

use common::*;
use fixture::Additions;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};
use std::process::Command;
use std::time::{Duration, Instant};

const PACKAGE: &str = env!("CARGO_MANIFEST_DIR");
const JSON: &str = "application/json";
const PODS: &str = "/api/v1/namespaces/default/pods";
const JOBS: &str = "/apis/batch/v1/namespaces/default/jobs";

/// Keys with a fixed set of values, which the fixtures list too.
const ENUM_KEYS: [&str; 9] = [
    "apiVersion",
    "code",
    "kind",
    "phase",
    "reason",
    "role",
    "source",
    "standing",
    "type",
];

/// A loopback address for the voter that no other test binds.
fn reserve_address() -> String {
    let process = std::process::id();
    let ip = [
        127,
        250,
        (process / 250 % 250) as u8,
        1 + (process % 250) as u8,
    ];
    TcpListener::bind(SocketAddr::from((ip, 0)))
        .unwrap()
        .local_addr()
        .unwrap()
        .to_string()
}

fn start_with_all_parts() -> RunningCluster {
    start_cluster(2, 1, |layout, folder| {
        let file = folder.join("all-parts.hcl");
        let ledger = format!(
            "ledger {{\n  voters = {{ edge-0 = \"{}\" }}\n}}\n",
            reserve_address()
        );
        std::fs::write(
            &file,
            format!("{}\n{ledger}", tidespur_config::DEFAULT_CONFIG),
        )
        .unwrap();
        layout.config_file = Some(file);
        layout.fleet = true;
        layout.data_dir = Some(folder.join("data"));
    })
}

/// Adds `PATH: TYPE` of each value beneath `value`, and `PATH = WORD` for keys with a fixed set of values.
fn add_paths(path: &str, value: &Value, paths: &mut BTreeSet<String>) {
    match value {
        Value::Object(map) => {
            for (key, inner) in map {
                let at = format!("{path}.{key}");
                match inner.as_str() {
                    Some(word) if ENUM_KEYS.contains(&key.as_str()) => {
                        paths.insert(format!("{at} = {word}"));
                    }
                    _ => add_paths(&at, inner, paths),
                }
            }
        }
        Value::Array(items) => items
            .iter()
            .for_each(|item| add_paths(&format!("{path}[]"), item, paths)),
        Value::Null => drop(paths.insert(format!("{path}: null"))),
        Value::Bool(_) => drop(paths.insert(format!("{path}: flag"))),
        Value::Number(_) => drop(paths.insert(format!("{path}: number"))),
        Value::String(_) => drop(paths.insert(format!("{path}: text"))),
    }
}

fn paths_of(name: &str, value: &Value) -> BTreeSet<String> {
    let mut paths = BTreeSet::new();
    add_paths(name, value, &mut paths);
    paths
}

fn get(running: &RunningCluster, path: &str) -> Value {
    let (status, value) = running.send("GET", path, "", "");
    assert_eq!(status, 200, "{path}: {value}");
    value
}

/// Repeats the request until the answer has every path of the fixture: reports are incomplete while a cluster starts.
fn check_answer(fixture: &str, ask: impl Fn() -> Value) {
    let name = fixture.trim_end_matches(".txt");
    if fixture::is_update() {
        std::thread::sleep(Duration::from_secs(2));
        return fixture::check(
            PACKAGE,
            fixture,
            paths_of(name, &ask()),
            Additions::Accepted,
        );
    }
    let listed: BTreeSet<String> = fixture::read(PACKAGE, fixture).into_iter().collect();
    let start = Instant::now();
    let mut paths = paths_of(name, &ask());
    while !listed.is_subset(&paths) && start.elapsed() < Duration::from_secs(30) {
        std::thread::sleep(Duration::from_millis(100));
        paths = paths_of(name, &ask());
    }
    fixture::check(PACKAGE, fixture, paths, Additions::Accepted);
}

fn create(running: &RunningCluster, path: &str, object: &Value) {
    let (status, answer) = running.send("POST", path, JSON, &object.to_string());
    assert_eq!(status, 201, "{answer}");
}

/// A Pod that no node has the cores for, a Job that is complete, and one that is suspended.
fn create_work(running: &RunningCluster) {
    let large = json!({"metadata": {"name": "large", "annotations": {"placement.tidespur.dev/give-up-seconds": "600"}},
        "spec": {"priorityClassName": "slot-abgleich", "containers": [{"name": "m",
            "resources": {"requests": {"cpu": "400", "memory": "1Gi"}}}]}});
    create(running, PODS, &large);
    create(running, JOBS, &job_json("done", "termin-web", 1, 0.2));
    let mut suspended = job_json("suspended", "termin-web", 1, 0.2);
    suspended["spec"]["suspend"] = true.into();
    create(running, JOBS, &suspended);
    running.wait_for("the Job is complete", async || {
        let job = get(running, &format!("{JOBS}/done"));
        (job["status"]["succeeded"] == 1).then_some(())
    });
    running.wait_for("the reason of the waiting Pod is reported", async || {
        let (status, record) = running.send("GET", "/debug/waits/default/large", "", "");
        (status == 200 && record["codes"] == json!(["Cores"]) && record["hint"].is_string())
            .then_some(())
    });
}

/// `NAME TYPE {LABELS}` of each metric.
fn metrics_of(text: &str) -> BTreeSet<String> {
    let mut metrics = BTreeSet::new();
    for line in text.lines() {
        if let Some(kind) = line.strip_prefix("# TYPE ") {
            metrics.insert(format!("type {kind}"));
        } else if !line.starts_with('#') && line.starts_with("tidespur") {
            let series = line.rsplit_once(' ').unwrap().0;
            let (name, labels) = series.split_once('{').unwrap_or((series, ""));
            let labels = labels
                .split(',')
                .filter_map(|label| label.split_once('='))
                .map(|(label, _)| label);
            metrics.insert(
                format!("series {name} {}", labels.collect::<Vec<_>>().join(","))
                    .trim_end()
                    .to_owned(),
            );
        }
    }
    metrics
}

fn status_of(running: &RunningCluster, method: &str, path: &str) -> u16 {
    running.send(method, path, JSON, "").0
}

/// Requests without a body, and the status that each is answered with.
const REQUESTS: &str = "\
GET /api
GET /api/v1
GET /api/v1/events
GET /api/v1/namespaces
GET /api/v1/namespaces/default
GET /api/v1/namespaces/default/events
GET /api/v1/namespaces/default/pods
GET /api/v1/namespaces/default/pods/large
GET /api/v1/namespaces/default/pods/large/status
GET /api/v1/namespaces/default/status
GET /api/v1/nodes
GET /api/v1/nodes/node-00
GET /api/v1/nodes/node-00/status
GET /api/v1/pods
GET /apis
GET /apis/batch
GET /apis/batch/v1
GET /apis/batch/v1/jobs
GET /apis/batch/v1/namespaces/default/jobs
GET /apis/batch/v1/namespaces/default/jobs/done
GET /apis/batch/v1/namespaces/default/jobs/done/status
GET /debug/fleet
GET /debug/ledger
GET /debug/waits
GET /debug/waits/default
GET /debug/waits/default/large
GET /debug/waits/default/no-such-pod
GET /healthz
GET /livez
GET /metrics
GET /no-such-path
GET /openapi/v3
GET /openapi/v3/api/v1
GET /openapi/v3/apis/batch/v1
GET /readyz
GET /readyz?verbose
GET /version
POST /debug/fleet
POST /debug/ledger/no-such-verb/edge-0
POST /debug/ledger/readmit/edge-0
POST /debug/waits";

fn check_metrics_and_parts(running: &RunningCluster) {
    let text = running.send_raw(b"GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    fixture::check(
        PACKAGE,
        "metrics.txt",
        metrics_of(&text),
        Additions::Accepted,
    );
    let verbose =
        running.send_raw(b"GET /readyz?verbose HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    // `[+]planners ok: 1` is `[+]planners ok`.
    let parts = verbose
        .lines()
        .filter(|line| line.starts_with('[') || line.starts_with("readyz check"));
    let parts = parts.map(|line| line.split(':').next().unwrap().to_owned());
    fixture::check(PACKAGE, "readyz.txt", parts, Additions::Accepted);
}

#[test]
fn paths_keys_and_metrics_of_an_edge_match_the_fixtures() {
    let running = start_with_all_parts();
    create_work(&running);
    let lines = REQUESTS.lines().map(|request| {
        let (method, path) = request.split_once(' ').unwrap();
        format!("{request} -> {}", status_of(&running, method, path))
    });
    fixture::check(PACKAGE, "requests.txt", lines, Additions::Rejected);
    check_metrics_and_parts(&running);
    for (fixture, path) in [
        ("debug_waits.txt", "/debug/waits"),
        ("debug_waits_namespace.txt", "/debug/waits/default"),
        ("debug_waits_pod.txt", "/debug/waits/default/large"),
        ("debug_fleet.txt", "/debug/fleet"),
        ("debug_ledger.txt", "/debug/ledger"),
        ("version.txt", "/version"),
        ("api_groups.txt", "/apis"),
        ("pods.txt", PODS),
        ("jobs.txt", JOBS),
        ("nodes.txt", "/api/v1/nodes"),
        ("events.txt", "/api/v1/namespaces/default/events"),
    ] {
        check_answer(fixture, || get(&running, path));
    }
    let api = running.cluster.api(0).to_owned();
    check_answer("fleet_json.txt", || {
        let output = Command::new(env!("CARGO_BIN_EXE_tidespur"))
            .args(["--server", &api, "fleet", "-o", "json"])
            .output()
            .unwrap();
        assert!(output.status.success());
        serde_json::from_slice(&output.stdout).unwrap()
    });
}
