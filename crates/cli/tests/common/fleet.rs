//! Three edges that keep the ledger as processes, with a relay on each stream between them, and planners of theirs with a
//! relay on each link.
#![allow(dead_code, reason = "each test file uses a part")]

use super::Running;
use hyper::Method;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::atomic::{AtomicU8, Ordering};
use tidespur_testbed::process::Process;
use tidespur_testbed::relay::Relay;

/// The fleet; it ends with this value.
pub struct Fleet {
    pub edges: Vec<Process>,
    /// By the pair that dials and is dialled.
    pub relays: BTreeMap<(usize, usize), Relay>,
    pub planners: Vec<Process>,
    /// By planner and edge.
    pub links: BTreeMap<(usize, usize), Relay>,
    /// Where the edges listen for planners.
    at: Vec<String>,
    register: String,
    pub folder: tempfile::TempDir,
}

/// An address that no other test gets, in this process or beside it: a port of 127.0.0.1 that was let go may be given to
/// anybody before it is bound again.
fn own_address() -> String {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let (n, process) = (NEXT.fetch_add(1, Ordering::Relaxed), std::process::id());
    let ip = [
        127,
        177 + (process / 250 % 70) as u8,
        n,
        1 + (process % 250) as u8,
    ];
    TcpListener::bind(SocketAddr::from((ip, 0)))
        .unwrap()
        .local_addr()
        .unwrap()
        .to_string()
}

pub fn fleet(running: &Running) -> Fleet {
    let folder = tempfile::tempdir().unwrap();
    let at: Vec<String> = (0..3).map(|_| own_address()).collect();
    let links: Vec<String> = (0..3).map(|_| own_address()).collect();
    let voters: String = at
        .iter()
        .enumerate()
        .map(|(i, at)| format!("    edge-{i} = \"{at}\"\n"))
        .collect();
    let config = folder.path().join("config.hcl");
    let block = format!("ledger {{\n  term = 2\n  voters = {{\n{voters}  }}\n}}\n");
    std::fs::write(
        &config,
        format!("{}\n{block}", patient(tidespur_config::DEFAULT_CONFIG)),
    )
    .unwrap();
    let mut relays = BTreeMap::new();
    for i in 0..3 {
        let mut routes = String::new();
        for (j, at) in at.iter().enumerate().skip(i + 1) {
            let relay = smol::block_on(Relay::start(at)).unwrap();
            routes.push_str(&format!("{at} {}\n", relay.address));
            relays.insert((i, j), relay);
        }
        std::fs::write(folder.path().join(format!("routes-{i}")), routes).unwrap();
    }
    let register = running.cluster.registry.addresses[0].clone();
    let edge = |i: usize| {
        let line = format!(
            "edge --api 127.0.0.1:0 --link {} --register {register}",
            links[i]
        );
        process(
            folder.path(),
            &format!("edge-{i}"),
            &line,
            &format!("routes-{i}"),
            true,
        )
    };
    let edges = (0..3).map(edge).collect();
    let (planners, of_planners) = (Vec::new(), BTreeMap::new());
    Fleet {
        edges,
        relays,
        planners,
        links: of_planners,
        at: links,
        register,
        folder,
    }
}

/// Links bear silence for half a minute: a word that a relay holds comes late and not never.
fn patient(settings: &str) -> String {
    let patience = |line: &str| match line.trim_start().split_once(' ') {
        Some((key @ ("planner_patience" | "edge_patience"), _)) => format!("  {key} = 30"),
        _ => line.to_owned(),
    };
    settings
        .lines()
        .map(patience)
        .collect::<Vec<_>>()
        .join("\n")
}

fn process(folder: &Path, name: &str, line: &str, routes: &str, ready: bool) -> Process {
    let at = |name: &str| folder.join(name).display().to_string();
    let rest = format!(
        "--name {name} --config {} --data {} --routes {}",
        at("config.hcl"),
        at("data"),
        at(routes)
    );
    let words = format!("{line} {rest}")
        .split_whitespace()
        .map(str::to_owned)
        .collect();
    let log = Some(folder.join(format!("{name}.log")));
    Process::start(
        name,
        env!("CARGO_BIN_EXE_tidespur").into(),
        words,
        log,
        ready,
    )
    .unwrap()
}

impl Fleet {
    /// Starts one more planner, with a relay on its link to each edge.
    pub fn planner(&mut self) {
        let n = self.planners.len();
        let (mut routes, mut line) = (
            String::new(),
            format!("planner --register {} --ordinal {n}", self.register),
        );
        for (j, at) in self.at.iter().enumerate() {
            let relay = smol::block_on(Relay::start(at)).unwrap();
            routes.push_str(&format!("{at} {}\n", relay.address));
            line.push_str(&format!(" --edge {at}"));
            self.links.insert((n, j), relay);
        }
        let file = format!("planner-routes-{n}");
        std::fs::write(self.folder.path().join(&file), routes).unwrap();
        self.planners.push(process(
            self.folder.path(),
            &format!("planner-{n}"),
            &line,
            &file,
            false,
        ));
    }

    /// What a process has logged.
    pub fn log(&self, name: &str) -> String {
        std::fs::read_to_string(self.folder.path().join(format!("{name}.log"))).unwrap_or_default()
    }
}

pub fn ask(edge: &Process, method: Method, path: &str) -> Option<(u16, String)> {
    let client = tidespur_net::Client::new(edge.addresses.first()?, 1, vec![]);
    let reply = smol::block_on(client.send(method, path, "", Default::default(), 2.0)).ok()?;
    Some((
        reply.status.as_u16(),
        String::from_utf8_lossy(&reply.body).into_owned(),
    ))
}

pub fn ledger(edge: &Process) -> Value {
    let told = ask(edge, Method::GET, "/debug/ledger")
        .map(|(_, text)| text)
        .unwrap_or_default();
    serde_json::from_str(&told).unwrap_or(Value::Null)
}

pub fn acts(edge: &Process) -> Option<u64> {
    ledger(edge)["leases"][0]["mayActHere"].as_u64()
}

pub fn all_vote_and_one_acts(running: &Running, fleet: &Fleet, what: &str) {
    running.until(what, async || {
        let votes = fleet
            .edges
            .iter()
            .all(|edge| ledger(edge)["standing"] == "voting");
        (votes && fleet.edges.iter().filter_map(acts).count() == 1).then_some(())
    });
}
