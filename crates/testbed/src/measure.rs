//! Measures the whole path through sockets: time from a Pod's acceptance at the API to its placement, placements a
//! second, the fan-out of one change to many watchers, and what an idle watch costs.

use crate::{Cluster, Layout};
use bytes::Bytes;
use hdrhistogram::Histogram;
use hyper::Method;
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tidespur_api::meta;
use tidespur_net::{Client, clock};

/// What was measured. Times are milliseconds.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Measurements {
    /// Nodes and planners.
    pub nodes: usize,
    /// See `nodes`.
    pub planners: usize,
    /// One Pod at a time: from the API's answer to the watch that shows it placed.
    pub alone_p50_ms: f64,
    /// Likewise.
    pub alone_p99_ms: f64,
    /// Many clients at once.
    pub busy_p50_ms: f64,
    /// Likewise.
    pub busy_p99_ms: f64,
    /// Placements a second under them.
    pub placements_per_s: f64,
    /// Syncs of the edge's memory for each Pod placed alone, and under them; 0 without a memory.
    pub syncs_each: [f64; 2],
    /// Watchers.
    pub watchers: usize,
    /// From the write's answer until half of them have the change.
    pub fan_out_p50_ms: f64,
    /// And until the last has it.
    pub fan_out_last_ms: f64,
    /// Resident bytes of the edge for one idle watch and its connection.
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

/// Makes Pods one after the other and returns the times until each was placed.
async fn place(
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
                .ok_or("the watch ended")?;
            // Most lines speak of others' Pods; only this one's need to be read whole.
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

async fn run(
    address: &str,
    clients: usize,
    each: usize,
    prefix: &str,
) -> Result<(Histogram<u64>, f64), String> {
    let (send, receive) = async_channel::unbounded();
    let start = clock::now();
    let tasks: Vec<_> = (0..clients)
        .map(|i| {
            smol::spawn(place(
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

fn resident(id: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().split(' ').next()?.parse::<f64>().ok())
        .unwrap_or(f64::NAN)
        * 1024.0
}

/// How often the edge's memory was synced.
async fn syncs(address: &str) -> f64 {
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

/// Runs all measurements on a fresh cluster.
pub fn measure(layout: Layout, watchers: usize, each: usize) -> Result<Measurements, String> {
    let (nodes, planners) = (layout.nodes, layout.planners);
    let cluster = Cluster::start(layout)?;
    smol::block_on(async {
        cluster.wait_ready(60.0).await?;
        let address = cluster.api(0).to_owned();
        let ms = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1e3;
        run(&address, 1, 20, "warm").await?;
        let before = syncs(&address).await;
        let (alone, _) = run(&address, 1, each, "alone").await?;
        let between = syncs(&address).await;
        let (busy, rate) = run(&address, 16, each, "busy").await?;
        let after = syncs(&address).await;
        let syncs_each = [
            (between - before) / each as f64,
            (after - between) / (16 * each) as f64,
        ];
        clock::sleep(2.0).await;

        let edge = cluster.edges[0].id().ok_or("the edge has ended")?;
        let before = resident(edge);
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
        let idle = (resident(edge) - before) / watchers as f64;
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
                    "{} of {watchers} watchers saw the change",
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
