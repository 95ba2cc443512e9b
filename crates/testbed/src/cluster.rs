//! A cluster of processes on loopback: the node registry, nodes, edges and planners.

use crate::layout::{Layout, NodeLocation, node_location, zone};
use crate::process::Process;
use bytes::Bytes;
use hyper::Method;
use std::path::Path;
use tidespur_emulator::Fault;
use tidespur_net::{Client, clock};

/// Warm-up time of a node that starts cold, in seconds.
const WARM_UP_TIME: f64 = 18.0;

/// A running cluster. Dropping it kills all its processes.
#[derive(Debug)]
pub struct Cluster {
    layout: Layout,
    /// The emulated node registry.
    pub registry: Process,
    /// Nodes, in the order of `node_locations`.
    pub nodes: Vec<Process>,
    /// Edges, by number; their addresses are those of the API, of the planner links and, where `fleet` is set, of the
    /// membership protocol.
    pub edges: Vec<Process>,
    /// Planners, by number.
    pub planners: Vec<Process>,
    /// Name, zone, rack and machine type of each node.
    pub node_locations: Vec<NodeLocation>,
}

impl Cluster {
    /// Starts all processes. Returns before the nodes are listed; see [`Self::wait_ready`].
    pub fn start(layout: Layout) -> Result<Self, String> {
        for folder in [&layout.recordings, &layout.log_dir].into_iter().flatten() {
            std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        }
        let node_locations: Vec<NodeLocation> = (0..layout.nodes)
            .map(|i| node_location(i, &layout))
            .collect();
        let launch = |name: &str, mut arguments: Vec<String>| {
            if let Some(folder) = &layout.recordings {
                arguments.extend([
                    "--record".into(),
                    folder.join(format!("{name}.jsonl")).display().to_string(),
                ]);
            }
            let log = layout
                .log_dir
                .as_ref()
                .map(|folder| folder.join(format!("{name}.log")));
            Process::start(
                name,
                layout.program.clone(),
                arguments,
                log,
                !name.starts_with("planner"),
            )
        };
        let split_words = |text: &str| {
            text.split_whitespace()
                .map(str::to_owned)
                .collect::<Vec<_>>()
        };
        let registry = launch(
            "register",
            split_words(&format!(
                "standin-register --listen 127.0.0.1:0 --delay {}",
                layout.registry_delay
            )),
        )?;
        let registry_address = registry.addresses[0].clone();
        let mut config = Vec::new();
        if let Some(path) = &layout.config_file {
            config.extend(["--config".into(), path.display().to_string()]);
        }
        let mut persistent = config.clone();
        if let Some(folder) = &layout.data_dir {
            persistent.extend(["--data".into(), folder.display().to_string()]);
        }
        let mut nodes = Vec::new();
        for (i, location) in node_locations.iter().enumerate() {
            let seed = layout.seed.wrapping_mul(1_000).wrapping_add(i as u64);
            let cold = if layout.cold_start { WARM_UP_TIME } else { 0.0 };
            let line = format!(
                "standin-node --listen 127.0.0.1:0 --register {registry_address} --name {} --zone {} --rack {} --kind {} \
                 --seed {seed} --cold {cold}",
                location.name, location.zone, location.rack, location.kind
            );
            nodes.push(launch(
                &location.name,
                [split_words(&line), config.clone()].concat(),
            )?);
        }
        let mut edges: Vec<Process> = Vec::new();
        // The first two edges are the seeds of all members.
        let join_options = |edges: &[Process]| -> String {
            let seeds = edges
                .iter()
                .take(2)
                .filter_map(|edge| edge.addresses.get(2));
            seeds
                .map(|address| format!(" --fleet-join {address}"))
                .collect()
        };
        for i in 0..layout.edges {
            let api = if i == 0 {
                layout.api_address.as_str()
            } else {
                "127.0.0.1:0"
            };
            let seed = layout.seed.wrapping_add(7_000 + i as u64);
            let line = format!(
                "edge --api {api} --link 127.0.0.1:0 --register {registry_address} --name edge-{i} --seed {seed}"
            );
            let line = match layout.fleet {
                true => format!("{line} --fleet-listen 127.0.0.1:0{}", join_options(&edges)),
                false => line,
            };
            edges.push(launch(
                &format!("edge-{i}"),
                [split_words(&line), persistent.clone()].concat(),
            )?);
        }
        let links: String = match layout.fleet {
            true => join_options(&edges),
            false => edges
                .iter()
                .map(|edge| format!("--edge {} ", edge.addresses[1]))
                .collect(),
        };
        let mut planners = Vec::new();
        for i in 0..layout.planners {
            let zone = zone(i % layout.zones.max(1));
            let seed = layout.seed.wrapping_add(9_000 + i as u64);
            let line = format!(
                "planner {links} --register {registry_address} --zone {zone} --ordinal {i} --seed {seed} --planners {}",
                layout.planners
            );
            planners.push(launch(
                &format!("planner-{i}"),
                [split_words(&line), persistent.clone()].concat(),
            )?);
        }
        Ok(Self {
            layout,
            registry,
            nodes,
            edges,
            planners,
            node_locations,
        })
    }

    /// Address of the API of this edge.
    pub fn api(&self, edge: usize) -> &str {
        &self.edges[edge].addresses[0]
    }

    /// Waits until every edge lists all nodes and is connected to all planners.
    ///
    /// # Errors
    /// When `seconds` have passed before that.
    pub async fn wait_ready(&self, seconds: f64) -> Result<(), String> {
        let until = clock::now() + seconds;
        for edge in 0..self.edges.len() {
            let client = Client::new(self.api(edge), 1, vec![]);
            loop {
                let ready = client
                    .send(Method::GET, "/readyz", "", Bytes::new(), 2.0)
                    .await;
                let nodes = client
                    .send(Method::GET, "/api/v1/nodes", "", Bytes::new(), 2.0)
                    .await;
                let listed = nodes.map_or(0, |n| n.json()["items"].as_array().map_or(0, Vec::len));
                let ready_body = format!("ok, planners: {}", self.layout.planners);
                if ready.is_ok_and(|r| r.body == ready_body.as_bytes())
                    && listed >= self.layout.nodes
                {
                    break;
                }
                if clock::now() > until {
                    return Err(format!(
                        "edge-{edge}: {listed} of {} nodes are listed",
                        self.layout.nodes
                    ));
                }
                clock::sleep(0.05).await;
            }
        }
        // Planners list the nodes themselves, at most this much later than the edges.
        clock::sleep(0.2).await;
        Ok(())
    }

    /// The process of this name; `None` if there is none.
    pub fn process(&mut self, name: &str) -> Option<&mut Process> {
        let processes = self
            .nodes
            .iter_mut()
            .chain(&mut self.edges)
            .chain(&mut self.planners);
        processes
            .chain([&mut self.registry])
            .find(|process| process.name == name)
    }

    /// Restarts a killed node cold, on the same address.
    pub fn restart_node(&mut self, name: &str) -> Result<(), String> {
        let node = self
            .nodes
            .iter_mut()
            .find(|node| node.name == name)
            .ok_or(format!("{name}: no such node"))?;
        let listen = node.addresses[0].clone();
        node.restart(
            &[("--listen", listen), ("--cold", WARM_UP_TIME.to_string())],
            true,
        )
    }

    /// Restarts a killed edge on the same addresses.
    pub fn restart_edge(&mut self, name: &str) -> Result<(), String> {
        let edge = self
            .edges
            .iter_mut()
            .find(|edge| edge.name == name)
            .ok_or(format!("{name}: no such edge"))?;
        let mut change = vec![
            ("--api", edge.addresses[0].clone()),
            ("--link", edge.addresses[1].clone()),
        ];
        change.extend(
            edge.addresses
                .get(2)
                .map(|address| ("--fleet-listen", address.clone())),
        );
        edge.restart(&change, true)
    }

    /// Restarts a killed planner.
    pub fn restart_planner(&mut self, name: &str) -> Result<(), String> {
        let planner = self
            .planners
            .iter_mut()
            .find(|p| p.name == name)
            .ok_or(format!("{name}: no such planner"))?;
        planner.restart(&[], false)
    }

    /// Name and address of each node.
    pub fn node_addresses(&self) -> Vec<(String, String)> {
        self.nodes
            .iter()
            .map(|node| (node.name.clone(), node.addresses[0].clone()))
            .collect()
    }

    /// CPU and memory overcommit of the nodes, from the configuration file or the defaults.
    pub fn overcommit(&self) -> [f64; 2] {
        let text = self
            .layout
            .config_file
            .as_ref()
            .and_then(|path| std::fs::read_to_string(path).ok());
        let settings: serde_json::Value = text
            .and_then(|text| hcl::from_str(&text).ok())
            .unwrap_or(serde_json::Value::Null);
        let value = |key: &str, default: f64| settings["nodes"][key].as_f64().unwrap_or(default);
        [value("admit_cores", 2.5), value("admit_memory", 1.2)]
    }

    /// Names of the processes that do not run, with the exit status or another reason.
    pub fn exited(&mut self) -> Vec<(String, String)> {
        let processes = self
            .nodes
            .iter_mut()
            .chain(&mut self.edges)
            .chain(&mut self.planners);
        let processes = processes.chain([&mut self.registry]);
        processes
            .filter_map(|process| Some((process.name.clone(), process.exit_reason()?)))
            .collect()
    }

    /// Name and process id of each running process.
    pub fn process_ids(&self) -> Vec<(String, u32)> {
        let processes = self
            .nodes
            .iter()
            .chain(&self.edges)
            .chain(&self.planners)
            .chain([&self.registry]);
        processes
            .filter_map(|process| Some((process.name.clone(), process.id()?)))
            .collect()
    }

    /// Restarts a process of any role on the same addresses.
    pub fn restart(&mut self, name: &str) -> Result<(), String> {
        match name.split_once('-').map_or(name, |(kind, _)| kind) {
            "edge" => self.restart_edge(name),
            "planner" => self.restart_planner(name),
            "node" => self.restart_node(name),
            _ => {
                let listen = self.registry.addresses[0].clone();
                self.registry.restart(&[("--listen", listen)], true)
            }
        }
    }

    /// Injects a fault into the node of this name.
    pub async fn inject_fault(&self, node: &str, fault: &Fault) -> Result<(), String> {
        let process = self
            .nodes
            .iter()
            .find(|p| p.name == node)
            .ok_or(format!("{node}: no such node"))?;
        inject_fault_at(&process.addresses[0], fault)
            .await
            .map_err(|error| format!("{node}: {error}"))
    }

    /// Directory of the recordings; `None` if nothing is recorded.
    pub fn recordings(&self) -> Option<&Path> {
        self.layout.recordings.as_deref()
    }
}

/// Injects a fault into the node at this address.
pub(crate) async fn inject_fault_at(address: &str, fault: &Fault) -> Result<(), String> {
    let client = Client::new(address, 1, vec![]);
    let body = serde_json::to_vec(fault).map_err(|e| e.to_string())?.into();
    match client
        .send(
            Method::POST,
            "/standin/fault",
            "application/json",
            body,
            2.0,
        )
        .await
    {
        Ok(reply) if reply.status.is_success() => Ok(()),
        Ok(reply) => Err(reply.status.to_string()),
        Err(error) => Err(error.to_string()),
    }
}
