//! Three edges that vote on the ledger and the planners that connect to them, as processes. Each connection between two
//! of them goes through a relay that can disturb it.
#![allow(dead_code, reason = "each test file uses a part")]

use super::RunningCluster;
use hyper::Method;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::atomic::{AtomicU8, Ordering};
use tidespur_testbed::process::Process;
use tidespur_testbed::relay::Relay;

/// The processes and relays of a fleet, which end when this value is dropped.
pub struct Fleet {
    pub edges: Vec<Process>,
    /// Between edges, by the indices of the connecting and the accepting edge.
    pub edge_relays: BTreeMap<(usize, usize), Relay>,
    pub planners: Vec<Process>,
    /// Between planners and edges, by the indices of the planner and the edge.
    pub planner_relays: BTreeMap<(usize, usize), Relay>,
    /// The addresses on which the edges accept planners.
    link_addresses: Vec<String>,
    register: String,
    pub directory: tempfile::TempDir,
}

/// An address that no other test uses, in this process or another one: a released port of 127.0.0.1 may be assigned to
/// any other process before it is bound again, so each call takes an IP address of its own.
fn reserve_address() -> String {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let (n, process_id) = (NEXT.fetch_add(1, Ordering::Relaxed), std::process::id());
    let ip = [
        127,
        177 + (process_id / 250 % 70) as u8,
        n,
        1 + (process_id % 250) as u8,
    ];
    TcpListener::bind(SocketAddr::from((ip, 0)))
        .unwrap()
        .local_addr()
        .unwrap()
        .to_string()
}

/// Starts the three edges, without planners.
pub fn start_fleet(running: &RunningCluster) -> Fleet {
    let directory = tempfile::tempdir().unwrap();
    let voter_addresses: Vec<String> = (0..3).map(|_| reserve_address()).collect();
    let links: Vec<String> = (0..3).map(|_| reserve_address()).collect();
    let voters: String = voter_addresses
        .iter()
        .enumerate()
        .map(|(i, address)| format!("    edge-{i} = \"{address}\"\n"))
        .collect();
    let config = directory.path().join("config.hcl");
    let block = format!("ledger {{\n  term = 2\n  voters = {{\n{voters}  }}\n}}\n");
    std::fs::write(
        &config,
        format!(
            "{}\n{block}",
            with_long_link_timeouts(tidespur_config::DEFAULT_CONFIG)
        ),
    )
    .unwrap();
    let mut relays = BTreeMap::new();
    for i in 0..3 {
        let mut routes = String::new();
        for (j, address) in voter_addresses.iter().enumerate().skip(i + 1) {
            let relay = smol::block_on(Relay::start(address)).unwrap();
            routes.push_str(&format!("{address} {}\n", relay.address));
            relays.insert((i, j), relay);
        }
        std::fs::write(directory.path().join(format!("routes-{i}")), routes).unwrap();
    }
    let register = running.cluster.registry.addresses[0].clone();
    let edge = |i: usize| {
        let line = format!(
            "edge --api 127.0.0.1:0 --link {} --register {register}",
            links[i]
        );
        start_process(
            directory.path(),
            &format!("edge-{i}"),
            &line,
            &format!("routes-{i}"),
            true,
        )
    };
    let edges = (0..3).map(edge).collect();
    Fleet {
        edges,
        edge_relays: relays,
        planners: Vec::new(),
        planner_relays: BTreeMap::new(),
        link_addresses: links,
        register,
        directory,
    }
}

/// Raises the timeouts of links to 30 s, so that a message that a relay delays arrives instead of the link being
/// closed.
fn with_long_link_timeouts(settings: &str) -> String {
    let set_timeout = |line: &str| match line.trim_start().split_once(' ') {
        Some((key @ ("planner_patience" | "edge_patience"), _)) => format!("  {key} = 30"),
        _ => line.to_owned(),
    };
    settings
        .lines()
        .map(set_timeout)
        .collect::<Vec<_>>()
        .join("\n")
}

fn start_process(
    directory: &Path,
    name: &str,
    command: &str,
    routes: &str,
    wait_ready: bool,
) -> Process {
    let path = |name: &str| directory.join(name).display().to_string();
    let options = format!(
        "--name {name} --config {} --data {} --routes {}",
        path("config.hcl"),
        path("data"),
        path(routes)
    );
    let arguments = format!("{command} {options}")
        .split_whitespace()
        .map(str::to_owned)
        .collect();
    let log = Some(directory.join(format!("{name}.log")));
    Process::start(
        name,
        env!("CARGO_BIN_EXE_tidespur").into(),
        arguments,
        log,
        wait_ready,
    )
    .unwrap()
}

impl Fleet {
    /// Starts one more planner, with a relay on its link to each edge.
    pub fn start_planner(&mut self) {
        let n = self.planners.len();
        let (mut routes, mut line) = (
            String::new(),
            format!("planner --register {} --ordinal {n}", self.register),
        );
        for (j, address) in self.link_addresses.iter().enumerate() {
            let relay = smol::block_on(Relay::start(address)).unwrap();
            routes.push_str(&format!("{address} {}\n", relay.address));
            line.push_str(&format!(" --edge {address}"));
            self.planner_relays.insert((n, j), relay);
        }
        let file = format!("planner-routes-{n}");
        std::fs::write(self.directory.path().join(&file), routes).unwrap();
        self.planners.push(start_process(
            self.directory.path(),
            &format!("planner-{n}"),
            &line,
            &file,
            false,
        ));
    }

    /// The log of a process so far; empty if it has none.
    pub fn log(&self, name: &str) -> String {
        std::fs::read_to_string(self.directory.path().join(format!("{name}.log")))
            .unwrap_or_default()
    }
}

/// Sends a request to an edge's API; `None` if there is no answer within 2 s.
pub fn request(edge: &Process, method: Method, path: &str) -> Option<(u16, String)> {
    let client = tidespur_net::Client::new(edge.addresses.first()?, 1, vec![]);
    let reply = smol::block_on(client.send(method, path, "", Default::default(), 2.0)).ok()?;
    Some((
        reply.status.as_u16(),
        String::from_utf8_lossy(&reply.body).into_owned(),
    ))
}

/// The edge's view of the ledger; null if it doesn't answer.
pub fn ledger_status(edge: &Process) -> Value {
    let body = request(edge, Method::GET, "/debug/ledger")
        .map(|(_, text)| text)
        .unwrap_or_default();
    serde_json::from_str(&body).unwrap_or(Value::Null)
}

/// The fencing token under which the edge may act; `None` if it holds no lease.
pub fn acting_token(edge: &Process) -> Option<u64> {
    ledger_status(edge)["leases"][0]["mayActHere"].as_u64()
}

/// Waits until all three edges vote and exactly one of them may act.
pub fn wait_for_one_lease_holder(running: &RunningCluster, fleet: &Fleet, what: &str) {
    running.wait_for(what, async || {
        let votes = fleet
            .edges
            .iter()
            .all(|edge| ledger_status(edge)["standing"] == "voting");
        (votes && fleet.edges.iter().filter_map(acting_token).count() == 1).then_some(())
    });
}
