//! Membership of a fleet of real processes, two edges and four planners, that are killed and paused in turn.

use bytes::Bytes;
use hyper::Method;
use serde_json::Value;
use std::collections::BTreeMap;
use std::path::PathBuf;
use tidespur_net::{Client, clock};
use tidespur_testbed::process::Process;

/// Limit for each wait, long enough for slow machines.
const TIMEOUT_SECONDS: f64 = 40.0;

struct Fleet {
    _register: Process,
    all: BTreeMap<String, Process>,
    /// The API of each edge.
    apis: BTreeMap<String, String>,
    seeds: String,
    register: String,
    logs: tempfile::TempDir,
}

impl Fleet {
    fn start(edges: usize, planners: usize) -> Self {
        let logs = tempfile::tempdir().unwrap();
        let program = PathBuf::from(env!("CARGO_BIN_EXE_tidespur"));
        let line = "standin-register --listen 127.0.0.1:0 --delay 0.1";
        let arguments = line.split(' ').map(str::to_owned).collect();
        let log = Some(logs.path().join("register.log"));
        let register = Process::start("register", program, arguments, log, true).unwrap();
        let at = register.addresses[0].clone();
        let (all, apis) = (BTreeMap::new(), BTreeMap::new());
        let mut fleet = Self {
            _register: register,
            all,
            apis,
            seeds: String::new(),
            register: at,
            logs,
        };
        for i in 0..edges {
            fleet.launch(&format!("edge-{i}"));
        }
        for i in 0..planners {
            fleet.launch(&format!("planner-{i}"));
        }
        fleet
    }

    /// Starts a member. Its only seeds are the fleet addresses of the first two edges.
    fn launch(&mut self, name: &str) {
        let edge = name.starts_with("edge");
        let number = name.rsplit('-').next().unwrap();
        let line = if edge {
            "edge --api 127.0.0.1:0 --link 127.0.0.1:0 --fleet-listen 127.0.0.1:0".to_owned()
        } else {
            format!("planner --ordinal {number} --planners 4")
        };
        let line = format!(
            "{line} --name {name} --register {}{}",
            self.register, self.seeds
        );
        let arguments = line.split(' ').map(str::to_owned).collect();
        let log = Some(self.logs.path().join(format!("{name}.log")));
        let program = PathBuf::from(env!("CARGO_BIN_EXE_tidespur"));
        let process = Process::start(name, program, arguments, log, edge).unwrap();
        if edge {
            self.apis.insert(name.into(), process.addresses[0].clone());
            if self.apis.len() <= 2 {
                self.seeds += &format!(" --fleet-join {}", process.addresses[2]);
            }
        }
        self.all.insert(name.into(), process);
    }

    fn request(&self, edge: &str, path: &str) -> Option<tidespur_net::Reply> {
        let client = Client::new(&self.apis[edge], 1, vec![]);
        smol::block_on(client.send(Method::GET, path, "", Bytes::new(), 2.0)).ok()
    }

    /// Waits until each of `edges` lists exactly `live` and reports that all members agree; panics with the last views.
    fn wait_settled(&self, edges: &[&str], live: &[&str]) {
        let until = clock::now() + TIMEOUT_SECONDS;
        loop {
            let views: Vec<Value> = edges
                .iter()
                .filter_map(|edge| Some(self.request(edge, "/debug/fleet")?.json()))
                .collect();
            let names = |view: &Value| -> Vec<String> {
                let members = view["members"].as_array().cloned().unwrap_or_default();
                let live = members
                    .iter()
                    .filter(|m| m["state"] == "live" || m["state"] == "doubted");
                live.map(|m| m["name"].as_str().unwrap_or("").to_owned())
                    .collect()
            };
            let good = |view: &Value| view["settled"] == true && names(view) == live;
            if views.len() == edges.len() && views.iter().all(good) {
                return;
            }
            assert!(clock::now() < until, "wanted {live:?}, have {views:#?}");
            smol::block_on(clock::sleep(0.1));
        }
    }

    /// Waits until `planners` planners are connected to `edge`.
    fn wait_connected(&self, edge: &str, planners: usize) {
        let (until, wanted) = (
            clock::now() + TIMEOUT_SECONDS,
            format!("ok, planners: {planners}"),
        );
        while self
            .request(edge, "/readyz")
            .is_none_or(|reply| reply.body != wanted.as_bytes())
        {
            assert!(clock::now() < until, "{edge} has not {planners} planners");
            smol::block_on(clock::sleep(0.1));
        }
    }
}

#[test]
fn edges_and_planners_find_each_other_and_agree_after_kills_and_pauses() {
    let mut fleet = Fleet::start(2, 4);
    let both = ["edge-0", "edge-1"];
    let every_member = [
        "edge-0",
        "edge-1",
        "planner-0",
        "planner-1",
        "planner-2",
        "planner-3",
    ];
    fleet.wait_settled(&both, &every_member);
    // Planners were given no edge addresses: they connect to the edges that they find in the fleet.
    both.iter().for_each(|edge| fleet.wait_connected(edge, 4));

    // A planner is killed.
    fleet.all.get_mut("planner-2").unwrap().kill();
    let without_killed: Vec<&str> = every_member
        .iter()
        .copied()
        .filter(|name| *name != "planner-2")
        .collect();
    fleet.wait_settled(&both, &without_killed);
    both.iter().for_each(|edge| fleet.wait_connected(edge, 3));

    // Another planner is paused, and the killed one restarts under its name meanwhile.
    fleet.all["planner-1"].set_paused(true);
    fleet.launch("planner-2");
    let without_paused: Vec<&str> = every_member
        .iter()
        .copied()
        .filter(|name| *name != "planner-1")
        .collect();
    fleet.wait_settled(&both, &without_paused);
    smol::block_on(clock::sleep(5.0));
    fleet.all["planner-1"].set_paused(false);
    fleet.wait_settled(&both, &every_member);
    both.iter().for_each(|edge| fleet.wait_connected(edge, 4));

    // A planner that is terminated leaves the fleet and is not reported as lost.
    let mut leaves = fleet.all.remove("planner-0").unwrap();
    leaves.terminate();
    let without_terminated: Vec<&str> = every_member
        .iter()
        .copied()
        .filter(|name| *name != "planner-0")
        .collect();
    fleet.wait_settled(&both, &without_terminated);
    for edge in both {
        let view = fleet.request(edge, "/debug/fleet").unwrap().json();
        let members = view["members"].as_array().cloned().unwrap_or_default();
        let state = members
            .iter()
            .find(|member| member["name"] == "planner-0")
            .map(|m| m["state"].clone());
        assert_eq!(state, Some("left".into()), "{view:#?}");
    }
    let until = clock::now() + TIMEOUT_SECONDS;
    let ended = loop {
        assert!(clock::now() < until, "planner-0 goes on");
        match leaves.exit_reason() {
            Some(how) => break how,
            None => smol::block_on(clock::sleep(0.05)),
        }
    };
    assert_eq!(ended, "exit status: 0");
    fleet.launch("planner-0");
    fleet.wait_settled(&both, &every_member);

    // The first seed is killed for good; all planners connect to an edge that joins after that.
    fleet.all.remove("edge-0");
    fleet.launch("edge-2");
    let after = [
        "edge-1",
        "edge-2",
        "planner-0",
        "planner-1",
        "planner-2",
        "planner-3",
    ];
    fleet.wait_settled(&["edge-1", "edge-2"], &after);
    ["edge-1", "edge-2"]
        .iter()
        .for_each(|edge| fleet.wait_connected(edge, 4));
}

#[test]
fn of_two_processes_with_one_name_the_older_ends() {
    let mut fleet = Fleet::start(1, 1);
    fleet.wait_settled(&["edge-0"], &["edge-0", "planner-0"]);
    // Longer than the period after a start in which a member may raise its incarnation.
    smol::block_on(clock::sleep(4.0));
    let mut older = fleet.all.remove("planner-0").unwrap();
    fleet.launch("planner-0");
    let until = clock::now() + TIMEOUT_SECONDS;
    while older.exit_reason().is_none() {
        assert!(clock::now() < until, "the older one goes on");
        smol::block_on(clock::sleep(0.1));
    }
    fleet.wait_settled(&["edge-0"], &["edge-0", "planner-0"]);
    fleet.wait_connected("edge-0", 1);
    assert!(
        fleet
            .all
            .get_mut("planner-0")
            .unwrap()
            .exit_reason()
            .is_none()
    );
}

/// Without the `fleet` block and its flags the edge answers 404, and a planner exits if it is given no edge.
#[test]
fn without_settings_there_is_no_fleet() {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_tidespur"));
    let arguments = |line: &str| line.split(' ').map(str::to_owned).collect();
    let line = "edge --api 127.0.0.1:0 --link 127.0.0.1:0 --register 127.0.0.1:1";
    let edge = Process::start("edge", program.clone(), arguments(line), None, true).unwrap();
    assert_eq!(edge.addresses.len(), 2, "no datagram socket");
    let client = Client::new(&edge.addresses[0], 1, vec![]);
    let reply =
        smol::block_on(client.send(Method::GET, "/debug/fleet", "", Bytes::new(), 5.0)).unwrap();
    assert_eq!(reply.status.as_u16(), 404);
    let mut planner = Process::start(
        "planner",
        program,
        arguments("planner --register 127.0.0.1:1"),
        None,
        false,
    )
    .unwrap();
    let until = clock::now() + TIMEOUT_SECONDS;
    while planner.exit_reason().is_none() {
        assert!(clock::now() < until, "it goes on without an edge");
        smol::block_on(clock::sleep(0.05));
    }
}
