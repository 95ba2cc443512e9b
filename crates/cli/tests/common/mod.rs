//! Starts a cluster on the loopback interface for end-to-end tests, and calls its API with the public `kube` client.
#![allow(dead_code, reason = "each test file uses a part")]

use k8s_openapi::api::batch::v1::Job;
use k8s_openapi::api::core::v1::Pod;
use kube::{Api, Client};
use serde_json::{Value, json};
use std::path::PathBuf;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tidespur_testbed::{Cluster, Layout};

/// Held while a cluster runs: one at a time, so that results don't depend on the size of the machine.
static CLUSTER_LOCK: Mutex<()> = Mutex::new(());

pub struct RunningCluster {
    pub cluster: Cluster,
    pub directory: tempfile::TempDir,
    pub runtime: tokio::runtime::Runtime,
    _lock: MutexGuard<'static, ()>,
}

/// Starts a cluster and waits until it is ready; `configure` may change its layout and is given a directory for files.
pub fn start_cluster(
    nodes: usize,
    planners: usize,
    configure: impl FnOnce(&mut Layout, &std::path::Path),
) -> RunningCluster {
    let lock = CLUSTER_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let directory = tempfile::tempdir().unwrap();
    let mut layout = Layout::new(
        PathBuf::from(env!("CARGO_BIN_EXE_tidespur")),
        nodes,
        planners,
        5,
    );
    layout.recordings = Some(directory.path().join("records"));
    layout.log_dir = Some(directory.path().join("logs"));
    layout.registry_delay = 0.1;
    configure(&mut layout, directory.path());
    let cluster = Cluster::start(layout).unwrap();
    smol::block_on(cluster.wait_ready(60.0)).unwrap();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    RunningCluster {
        cluster,
        directory,
        runtime,
        _lock: lock,
    }
}

impl RunningCluster {
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

    /// All recorded events of all processes, ordered by time.
    pub fn records(&self) -> Vec<Value> {
        let mut lines = Vec::new();
        for entry in std::fs::read_dir(self.directory.path().join("records")).unwrap() {
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

    /// Polls until `condition` returns a value; panics after a minute, which is far longer than any of the tests needs.
    pub fn wait_for<T>(&self, what: &str, mut condition: impl AsyncFnMut() -> Option<T>) -> T {
        let start = Instant::now();
        loop {
            if let Some(found) = self.runtime.block_on(condition()) {
                return found;
            }
            assert!(
                start.elapsed() < Duration::from_secs(60),
                "timed out: {what}"
            );
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Sends bytes over a new connection and returns the whole answer, or what came of it before the connection closed.
    pub fn send_raw(&self, bytes: &[u8]) -> String {
        use std::io::{Read, Write};
        let mut socket = std::net::TcpStream::connect(self.cluster.api(0)).unwrap();
        socket
            .set_read_timeout(Some(Duration::from_secs(30)))
            .unwrap();
        // The edge may close the connection before it has read all of an invalid request.
        let _ = socket.write_all(bytes);
        let mut answer = Vec::new();
        let mut buffer = [0; 4096];
        loop {
            match socket.read(&mut buffer) {
                Ok(0) | Err(_) => break,
                Ok(n) => answer.extend_from_slice(&buffer[..n]),
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

    pub fn send(&self, method: &str, path: &str, content_type: &str, body: &str) -> (u16, Value) {
        let text = self.send_raw(
            format!(
                "{method} {path} HTTP/1.1\r\nhost: x\r\ncontent-type: {content_type}\r\ncontent-length: {}\r\n\r\n{body}",
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
    serde_json::from_value(job_json(name, class, pods, seconds)).unwrap()
}

pub fn job_json(name: &str, class: &str, pods: i32, seconds: f64) -> Value {
    json!({"apiVersion": "batch/v1", "kind": "Job", "metadata": {"name": name},
        "spec": {"parallelism": pods, "completions": pods, "template": {
            "metadata": {"annotations": {"placement.tidespur.dev/expected-seconds": format!("{seconds}")}},
            "spec": {"restartPolicy": "Never", "priorityClassName": class, "containers": [{"name": "main",
                "resources": {"requests": {"cpu": "500m", "memory": "1Gi"}}}]}}}})
}

pub fn is_complete(job: &Job) -> bool {
    let conditions = job.status.as_ref().and_then(|s| s.conditions.as_ref());
    conditions.is_some_and(|list| {
        list.iter()
            .any(|c| c.type_ == "Complete" && c.status == "True")
    })
}

/// The outcome of a Pod's placement: `None` while it has none.
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
