//! End-to-end measurements over sockets: time from the acceptance of a Pod at the API to its placement, placements per
//! second, fan-out of one change to many watchers, and memory of an idle watch.

use crate::{Cluster, Layout};
use bytes::Bytes;
use hdrhistogram::Histogram;
use hyper::Method;
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tidespur_api::meta;
use tidespur_net::{Client, clock};

/// Results. Field names are keys of the printed JSON; times are in milliseconds.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Measurements {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of planners.
    pub planners: usize,
    /// Median time from the response of the API to the watch event of the placement, with one Pod at a time.
    pub alone_p50_ms: f64,
    /// 99th percentile of the same.
    pub alone_p99_ms: f64,
    /// Median of the same time with 16 concurrent clients.
    pub busy_p50_ms: f64,
    /// 99th percentile of the same.
    pub busy_p99_ms: f64,
    /// Placements per second with 16 concurrent clients.
    pub placements_per_s: f64,
    /// Disk syncs of the edge per Pod, with one client and with 16; 0 without persistence.
    pub syncs_each: [f64; 2],
    /// Number of idle watchers in the fan-out measurement.
    pub watchers: usize,
    /// Time from the response to a write until half of the watchers have received the change.
    pub fan_out_p50_ms: f64,
    /// Time until the last watcher has received it.
    pub fan_out_last_ms: f64,
    /// Resident memory of the edge per idle watch, including its connection, in bytes.
    pub idle_watch_bytes: f64,
}

const PODS: &str = "/api/v1/namespaces/default/pods";

fn pod(name: &str) -> Bytes {
    json!({"metadata": {"name": name, "annotations": {"placement.tidespur.dev/expected-seconds": "0.5"}},
        "spec": {"containers": [{"name": "m", "resources": {"requests": {"cpu": "100m", "memory": "64Mi"}}}]}})
    .to_string()
    .into_bytes()
    .into()
}

/// Creates Pods one after the other and sends the seconds until each was placed.
async fn place_pods(
    address: String,
    prefix: String,
    count: usize,
    times: async_channel::Sender<f64>,
) -> Result<(), String> {
    let client = Client::new(&address, 2, vec![]);
    let path =
        format!("{PODS}?watch=true&resourceVersion=0&fieldSelector=metadata.namespace%3Ddefault");
    let mut lines = client
        .stream_lines(&path, 5.0)
        .await
        .map_err(|e| e.to_string())?;
    for i in 0..count {
        let name = format!("{prefix}-{i}");
        let reply = client
            .send(Method::POST, PODS, "application/json", pod(&name), 10.0)
            .await;
        let reply = reply.map_err(|e| e.to_string())?;
        let at = clock::now();
        if !reply.status.is_success() {
            return Err(format!("{name}: {}", reply.status));
        }
        loop {
            let line = lines
                .next()
                .await
                .map_err(|e| e.to_string())?
                .ok_or("the watch was closed")?;
            // Most lines are about Pods of other clients; only lines with this name are parsed.
            if !line.windows(name.len()).any(|part| part == name.as_bytes()) {
                continue;
            }
            let event: Value = serde_json::from_slice(&line).map_err(|e| e.to_string())?;
            let object = &event["object"];
            if meta::name(object) == name
                && !meta::text_at(object, &["spec", "nodeName"]).is_empty()
            {
                break;
            }
        }
        let _ = times.send(clock::now() - at).await;
    }
    Ok(())
}

async fn run_clients(
    address: &str,
    clients: usize,
    each: usize,
    prefix: &str,
) -> Result<(Histogram<u64>, f64), String> {
    let (send, receive) = async_channel::unbounded();
    let start = clock::now();
    let tasks: Vec<_> = (0..clients)
        .map(|i| {
            smol::spawn(place_pods(
                address.to_owned(),
                format!("{prefix}-{i}"),
                each,
                send.clone(),
            ))
        })
        .collect();
    drop(send);
    let mut times = Histogram::new_with_bounds(1, 60_000_000, 3).map_err(|e| e.to_string())?;
    while let Ok(seconds) = receive.recv().await {
        times.saturating_record((seconds * 1e6) as u64);
    }
    for task in tasks {
        task.await?;
    }
    Ok((times, (clients * each) as f64 / (clock::now() - start)))
}

fn resident_bytes(id: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().split(' ').next()?.parse::<f64>().ok())
        .unwrap_or(f64::NAN)
        * 1024.0
}

/// Number of disk syncs of the edge so far.
async fn sync_count(address: &str) -> f64 {
    let client = Client::new(address, 1, vec![]);
    let reply = client
        .send(Method::GET, "/metrics", "", Bytes::new(), 2.0)
        .await;
    let text = reply
        .map(|reply| String::from_utf8_lossy(&reply.body).into_owned())
        .unwrap_or_default();
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("tidespur_memory_syncs "));
    line.and_then(|number| number.trim().parse().ok())
        .unwrap_or(0.0)
}

/// Starts a cluster and runs all measurements, with `watchers` idle watchers and `each` Pods per client.
pub fn measure(layout: Layout, watchers: usize, each: usize) -> Result<Measurements, String> {
    let (nodes, planners) = (layout.nodes, layout.planners);
    let cluster = Cluster::start(layout)?;
    smol::block_on(async {
        cluster.wait_ready(60.0).await?;
        let address = cluster.api(0).to_owned();
        let ms = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1e3;
        run_clients(&address, 1, 20, "warm").await?;
        let before = sync_count(&address).await;
        let (alone, _) = run_clients(&address, 1, each, "alone").await?;
        let between = sync_count(&address).await;
        let (busy, rate) = run_clients(&address, 16, each, "busy").await?;
        let after = sync_count(&address).await;
        let syncs_each = [
            (between - before) / each as f64,
            (after - between) / (16 * each) as f64,
        ];
        clock::sleep(2.0).await;

        let edge = cluster.edges[0].id().ok_or("the edge has exited")?;
        let before = resident_bytes(edge);
        let (seen, last) = (
            Arc::new(AtomicUsize::new(0)),
            Arc::new(std::sync::Mutex::new(Vec::new())),
        );
        let client = Client::new(&address, 4, vec![]);
        let mut tasks = Vec::new();
        for _ in 0..watchers {
            let path = "/api/v1/namespaces?watch=true&resourceVersion=0";
            let mut lines = client
                .stream_lines(path, 10.0)
                .await
                .map_err(|e| e.to_string())?;
            let (seen, last) = (seen.clone(), last.clone());
            tasks.push(smol::spawn(async move {
                while let Ok(Some(line)) = lines.next().await {
                    if line.windows(5).any(|part| part == b"burst") {
                        if let Ok(mut last) = last.lock() {
                            last.push(clock::now());
                        }
                        seen.fetch_add(1, Ordering::Relaxed);
                    }
                }
            }));
        }
        clock::sleep(1.0).await;
        let idle = (resident_bytes(edge) - before) / watchers as f64;
        let body = Bytes::from_static(br#"{"metadata":{"name":"burst"}}"#);
        let sent = client
            .send(
                Method::POST,
                "/api/v1/namespaces",
                "application/json",
                body,
                10.0,
            )
            .await;
        let at = clock::now();
        sent.map_err(|e| e.to_string())?;
        let until = at + 30.0;
        while seen.load(Ordering::Relaxed) < watchers {
            if clock::now() > until {
                return Err(format!(
                    "only {} of {watchers} watchers received the change",
                    seen.load(Ordering::Relaxed)
                ));
            }
            clock::sleep(0.005).await;
        }
        let mut times = last.lock().map_err(|e| e.to_string())?.clone();
        times.sort_by(f64::total_cmp);
        Ok(Measurements {
            nodes,
            planners,
            alone_p50_ms: ms(&alone, 0.5),
            alone_p99_ms: ms(&alone, 0.99),
            busy_p50_ms: ms(&busy, 0.5),
            busy_p99_ms: ms(&busy, 0.99),
            placements_per_s: rate,
            syncs_each,
            watchers,
            fan_out_p50_ms: (times[times.len() / 2] - at).max(0.0) * 1e3,
            fan_out_last_ms: (times[times.len() - 1] - at).max(0.0) * 1e3,
            idle_watch_bytes: idle,
        })
    })
}
