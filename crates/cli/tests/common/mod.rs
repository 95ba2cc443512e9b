//! A cluster on loopback for whole-path tests, and the public client `kube` against it.
#![allow(dead_code, reason = "each test file uses a part")]

use k8s_openapi::api::batch::v1::Job;
use k8s_openapi::api::core::v1::Pod;
use kube::{Api, Client};
use serde_json::{Value, json};
use std::path::PathBuf;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tidespur_testbed::{Cluster, Layout};

/// Clusters run one after the other, so that a small machine gives the same verdict.
static ONE: Mutex<()> = Mutex::new(());

pub struct Running {
    pub cluster: Cluster,
    pub folder: tempfile::TempDir,
    pub runtime: tokio::runtime::Runtime,
    _one: MutexGuard<'static, ()>,
}

pub fn start(
    nodes: usize,
    planners: usize,
    change: impl FnOnce(&mut Layout, &std::path::Path),
) -> Running {
    let one = ONE.lock().unwrap_or_else(PoisonError::into_inner);
    let folder = tempfile::tempdir().unwrap();
    let mut layout = Layout::new(
        PathBuf::from(env!("CARGO_BIN_EXE_tidespur")),
        nodes,
        planners,
        5,
    );
    layout.recordings = Some(folder.path().join("records"));
    layout.log_dir = Some(folder.path().join("logs"));
    layout.registry_delay = 0.1;
    change(&mut layout, folder.path());
    let cluster = Cluster::start(layout).unwrap();
    smol::block_on(cluster.wait_ready(60.0)).unwrap();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    Running {
        cluster,
        folder,
        runtime,
        _one: one,
    }
}

impl Running {
    pub fn client(&self) -> Client {
        let uri = format!("http://{}", self.cluster.api(0)).parse().unwrap();
        let _inside = self.runtime.enter();
        Client::try_from(kube::Config::new(uri)).unwrap()
    }

    pub fn jobs(&self) -> Api<Job> {
        Api::namespaced(self.client(), "default")
    }

    pub fn pods(&self) -> Api<Pod> {
        Api::namespaced(self.client(), "default")
    }

    /// One line a recorded thing.
    pub fn records(&self) -> Vec<Value> {
        let mut lines = Vec::new();
        for entry in std::fs::read_dir(self.folder.path().join("records")).unwrap() {
            let text = std::fs::read_to_string(entry.unwrap().path()).unwrap();
            lines.extend(
                text.lines()
                    .filter_map(|line| serde_json::from_str(line).ok()),
            );
        }
        lines.sort_by(|a: &Value, b: &Value| {
            a["t"]
                .as_f64()
                .unwrap()
                .total_cmp(&b["t"].as_f64().unwrap())
        });
        lines
    }

    /// Asks again until it holds; a minute is far beyond what any of it takes.
    pub fn until<T>(&self, what: &str, mut holds: impl AsyncFnMut() -> Option<T>) -> T {
        let start = Instant::now();
        loop {
            if let Some(found) = self.runtime.block_on(holds()) {
                return found;
            }
            assert!(
                start.elapsed() < Duration::from_secs(60),
                "still not so: {what}"
            );
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// A plain request over a socket of its own; the whole answer.
    pub fn raw(&self, bytes: &[u8]) -> String {
        use std::io::{Read, Write};
        let mut socket = std::net::TcpStream::connect(self.cluster.api(0)).unwrap();
        socket
            .set_read_timeout(Some(Duration::from_secs(30)))
            .unwrap();
        // The edge may close before it has read all of a bad request.
        let _ = socket.write_all(bytes);
        let mut answer = Vec::new();
        let mut part = [0; 4096];
        loop {
            match socket.read(&mut part) {
                Ok(0) | Err(_) => break,
                Ok(n) => answer.extend_from_slice(&part[..n]),
            }
            let text = String::from_utf8_lossy(&answer);
            if let Some((head, body)) = text.split_once("\r\n\r\n") {
                let length = head.lines().find_map(|l| {
                    l.to_ascii_lowercase()
                        .strip_prefix("content-length: ")
                        .map(|n| n.parse::<usize>().unwrap())
                });
                if length.is_some_and(|length| body.len() >= length) {
                    break;
                }
            }
        }
        String::from_utf8_lossy(&answer).into_owned()
    }

    pub fn send(&self, method: &str, path: &str, media: &str, body: &str) -> (u16, Value) {
        let text = self.raw(
            format!(
                "{method} {path} HTTP/1.1\r\nhost: x\r\ncontent-type: {media}\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            )
            .as_bytes(),
        );
        let status = text
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0);
        let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
        (status, serde_json::from_str(body).unwrap_or(Value::Null))
    }
}

pub fn job(name: &str, class: &str, pods: i32, seconds: f64) -> Job {
    serde_json::from_value(job_value(name, class, pods, seconds)).unwrap()
}

pub fn job_value(name: &str, class: &str, pods: i32, seconds: f64) -> Value {
    json!({"apiVersion": "batch/v1", "kind": "Job", "metadata": {"name": name},
        "spec": {"parallelism": pods, "completions": pods, "template": {
            "metadata": {"annotations": {"placement.tidespur.dev/expected-seconds": format!("{seconds}")}},
            "spec": {"restartPolicy": "Never", "priorityClassName": class, "containers": [{"name": "main",
                "resources": {"requests": {"cpu": "500m", "memory": "1Gi"}}}]}}}})
}

pub fn complete(job: &Job) -> bool {
    let conditions = job.status.as_ref().and_then(|s| s.conditions.as_ref());
    conditions.is_some_and(|list| {
        list.iter()
            .any(|c| c.type_ == "Complete" && c.status == "True")
    })
}

/// How a Pod was answered: `None` where it was not yet.
pub fn outcome(pod: &Pod) -> Option<&'static str> {
    let reason = pod
        .status
        .as_ref()
        .and_then(|s| s.reason.as_deref())
        .unwrap_or("");
    match reason {
        "PlacementRefused" => Some("refused"),
        "PlacementUnknown" => Some("failed"),
        _ => pod
            .spec
            .as_ref()
            .and_then(|s| s.node_name.as_ref())
            .map(|_| "placed"),
    }
}
