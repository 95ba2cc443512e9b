//! What waiting tasks are told at one moment, beside what nodes and register say of themselves.

use bytes::Bytes;
use hyper::Method;
use serde_json::{Value, json};
use tidespur_api::{meta, names, quantity, task};
use tidespur_net::Client;

/// Reads an edge, the register and all nodes.
pub(crate) struct Sampler {
    edge: Client,
    register: Client,
    nodes: Vec<(String, Client)>,
    admits: [f64; 2],
}

async fn read(client: &Client, path: &str) -> Option<Value> {
    let reply = client
        .send(Method::GET, path, "", Bytes::new(), 0.5)
        .await
        .ok()?;
    reply.status.is_success().then(|| reply.json())
}

fn items(list: &Value) -> impl Iterator<Item = &Value> {
    list["items"].as_array().into_iter().flatten()
}

impl Sampler {
    pub(crate) fn new(
        edge: &str,
        register: &str,
        nodes: Vec<(String, String)>,
        admits: [f64; 2],
    ) -> Self {
        let client = |address: &str| Client::new(address, 1, vec![]);
        let nodes = nodes
            .iter()
            .map(|(name, address)| (name.clone(), client(address)))
            .collect();
        Self {
            edge: client(edge),
            register: client(register),
            nodes,
            admits,
        }
    }

    /// One sample; `None` where the edge or the register does not answer now. A node that does not answer is left
    /// out: its state is open.
    pub(crate) async fn take(&mut self) -> Option<Value> {
        let records = read(&self.edge, "/debug/waits/default").await?;
        let pods = read(&self.edge, "/api/v1/namespaces/default/pods").await?;
        let listed = read(&self.register, "/api/v1/nodes").await?;
        let waiting: Vec<Value> = items(&pods)
            .filter(|pod| meta::text_at(pod, &["status", "phase"]) == "Pending")
            .filter(|pod| meta::text_at(pod, &["spec", "nodeName"]).is_empty())
            .map(|pod| {
                // Written in whole seconds: it may have come up to a second later.
                let since =
                    meta::parse_timestamp(meta::text_at(pod, &["metadata", "creationTimestamp"]))
                        .map(|t| t + 1.0);
                json!({"name": meta::name(pod), "since": since})
            })
            .collect();
        // All at once: a node that hangs must not make the others' word old.
        let ask = |(name, client): &(String, Client)| {
            let (name, client) = (name.clone(), client.clone());
            smol::spawn(async move { (name, read(&client, "/api/v1/pods").await) })
        };
        let asked_of: Vec<_> = self.nodes.iter().map(ask).collect();
        let mut nodes = Vec::new();
        for told in asked_of {
            let (name, held) = told.await;
            let Some(node) = items(&listed).find(|node| meta::name(node) == name) else {
                continue;
            };
            let Some(held) = held else { continue };
            let mut asked = [0.0; 2];
            for pod in items(&held) {
                if ["Succeeded", "Failed"].contains(&meta::text_at(pod, &["status", "phase"])) {
                    continue;
                }
                let (cores, memory) = task::resource_requests(pod);
                asked = [asked[0] + cores, asked[1] + memory];
            }
            let size = |key, unit: f64| {
                quantity::parse(meta::text_at(node, &["status", "allocatable", key])).unwrap_or(0.0)
                    / unit
            };
            let size = [size("cpu", 1.0), size("memory", names::MEMORY_UNIT)];
            let admits = [size[0] * self.admits[0], size[1] * self.admits[1]];
            let drains = meta::value_at(node, &["spec", "unschedulable"]) == true;
            nodes.push(json!({"name": name, "drains": drains, "asked": asked, "admits": admits}));
        }
        Some(json!({"records": records["items"], "waiting": waiting, "nodes": nodes}))
    }
}
