//! Samples the reasons of pending tasks together with the state of the nodes and the registry at the same time.

use bytes::Bytes;
use hyper::Method;
use serde_json::{Value, json};
use tidespur_api::{meta, names, quantity, task};
use tidespur_net::Client;

/// Takes samples from an edge, the registry and all nodes.
pub(crate) struct Sampler {
    edge: Client,
    registry: Client,
    nodes: Vec<(String, Client)>,
    overcommit: [f64; 2],
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
        registry: &str,
        nodes: Vec<(String, String)>,
        overcommit: [f64; 2],
    ) -> Self {
        let client = |address: &str| Client::new(address, 1, vec![]);
        let nodes = nodes
            .iter()
            .map(|(name, address)| (name.clone(), client(address)))
            .collect();
        Self {
            edge: client(edge),
            registry: client(registry),
            nodes,
            overcommit,
        }
    }

    /// Takes one sample; `None` if the edge or the registry does not answer. A node that does not answer is left out,
    /// because its state is unknown.
    pub(crate) async fn take_sample(&mut self) -> Option<Value> {
        let records = read(&self.edge, "/debug/waits/default").await?;
        let pods = read(&self.edge, "/api/v1/namespaces/default/pods").await?;
        let listed = read(&self.registry, "/api/v1/nodes").await?;
        let waiting: Vec<Value> = items(&pods)
            .filter(|pod| meta::text_at(pod, &["status", "phase"]) == "Pending")
            .filter(|pod| meta::text_at(pod, &["spec", "nodeName"]).is_empty())
            .map(|pod| {
                // The timestamp is in whole seconds: the Pod may be up to one second younger.
                let since =
                    meta::parse_timestamp(meta::text_at(pod, &["metadata", "creationTimestamp"]))
                        .map(|t| t + 1.0);
                json!({"name": meta::name(pod), "since": since})
            })
            .collect();
        // In parallel, so that a node that hangs does not delay the samples of the others.
        let read_pods = |(name, client): &(String, Client)| {
            let (name, client) = (name.clone(), client.clone());
            smol::spawn(async move { (name, read(&client, "/api/v1/pods").await) })
        };
        let responses: Vec<_> = self.nodes.iter().map(read_pods).collect();
        let mut nodes = Vec::new();
        for response in responses {
            let (name, pods) = response.await;
            let Some(node) = items(&listed).find(|node| meta::name(node) == name) else {
                continue;
            };
            let Some(pods) = pods else { continue };
            let mut requested = [0.0; 2];
            for pod in items(&pods) {
                if ["Succeeded", "Failed"].contains(&meta::text_at(pod, &["status", "phase"])) {
                    continue;
                }
                let (cores, memory) = task::resource_requests(pod);
                requested = [requested[0] + cores, requested[1] + memory];
            }
            let size = |key, unit: f64| {
                quantity::parse(meta::text_at(node, &["status", "allocatable", key])).unwrap_or(0.0)
                    / unit
            };
            let size = [size("cpu", 1.0), size("memory", names::MEMORY_UNIT)];
            let limits = [size[0] * self.overcommit[0], size[1] * self.overcommit[1]];
            let drains = meta::value_at(node, &["spec", "unschedulable"]) == true;
            nodes.push(
                json!({"name": name, "drains": drains, "asked": requested, "admits": limits}),
            );
        }
        Some(json!({"records": records["items"], "waiting": waiting, "nodes": nodes}))
    }
}
