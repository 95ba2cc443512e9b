//! Three edge processes that vote on the ledger, under random faults: killed and paused processes, cut, one-way and
//! slow connections, and a power loss of all three.

mod common;
#[path = "common/fleet.rs"]
mod fleet;

use common::*;
use fleet::*;
use hyper::Method;
use rand::{Rng, SeedableRng};
use std::path::Path;
use std::time::Duration;
use tidespur_testbed::process::Process;
use tidespur_testbed::relay::{Relay, RelayMode};

/// Random seed; outside CI, LEDGER_ROUNDS sets the number of rounds.
const SEED: u64 = 1_202;

/// Each fencing token in the edges' logs with the edge that acquired it and how often that edge had been started. An
/// edge whose lease expired before its renewal was confirmed may acquire the same token again.
fn tokens(folder: &Path) -> Vec<(u64, String)> {
    let mut acquired = Vec::new();
    for i in 0..3 {
        let log = std::fs::read_to_string(folder.join(format!("edge-{i}.log"))).unwrap();
        let mut start = 0;
        for line in log.lines() {
            start += u32::from(line.contains("voter started"));
            if line.contains("lease acquired voter") {
                let token = line
                    .split("token=")
                    .nth(1)
                    .and_then(|rest| rest.split_whitespace().next()?.parse().ok());
                acquired
                    .extend(token.map(|token: u64| (token, format!("edge-{i}, start {start}"))));
            }
        }
    }
    acquired.sort_unstable();
    acquired.dedup();
    acquired
}

#[test]
fn under_random_faults_one_edge_acts_at_a_time_and_tokens_increase() {
    let running = start_cluster(1, 1, |_, _| {});
    let mut fleet = start_fleet(&running);
    wait_for_one_lease_holder(&running, &fleet, "all vote at first");
    let mut rng = rand_pcg::Pcg32::seed_from_u64(SEED);
    let pairs: Vec<(usize, usize)> = fleet.edge_relays.keys().copied().collect();
    let mut highest = 0;
    let rounds = std::env::var("LEDGER_ROUNDS")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(4);
    println!("seed {SEED}");
    for round in 0..rounds {
        // The process fault hits the current lease holder, or a random edge if there is none.
        let holder = fleet
            .edges
            .iter()
            .position(|edge| acting_token(edge).is_some());
        let i = holder.unwrap_or_else(|| rng.random_range(0..3));
        let ways = [
            RelayMode::Cut,
            RelayMode::StallFromClient,
            RelayMode::StallToClient,
            RelayMode::Delay(0.3),
            RelayMode::Throttle(400.0),
        ];
        let pair = pairs[rng.random_range(0..pairs.len())];
        fleet.edge_relays[&pair].set_mode(ways[rng.random_range(0..ways.len())]);
        match round % 4 {
            0 => fleet.edges[i].kill(),
            1 => fleet.edges[i].set_paused(true),
            2 => fleet.edges.iter_mut().for_each(Process::kill),
            _ => fleet
                .edge_relays
                .values()
                .for_each(Relay::close_connections),
        }
        // The newest token that the edges report never decreases.
        for _ in 0..15 {
            let reported: Vec<Option<u64>> = fleet
                .edges
                .iter()
                .map(|edge| {
                    if edge.id().is_some() {
                        acting_token(edge)
                    } else {
                        None
                    }
                })
                .collect();
            let newest = reported.iter().flatten().max().copied().unwrap_or(0);
            assert!(
                newest >= highest || newest == 0,
                "seed {SEED}, round {round}: {newest} after {highest}"
            );
            highest = highest.max(newest);
            std::thread::sleep(Duration::from_millis(100));
        }
        fleet.edges[i].set_paused(false);
        for edge in &mut fleet.edges {
            if edge.id().is_none() {
                edge.restart(&[], true).unwrap();
            }
        }
        fleet
            .edge_relays
            .values()
            .for_each(|relay| relay.set_mode(RelayMode::Forward));
        wait_for_one_lease_holder(
            &running,
            &fleet,
            &format!("seed {SEED}, round {round} is over"),
        );
    }
    let tokens = tokens(fleet.directory.path());
    // One round kills all edges at once, so no edge still holds its first token and a second one was issued.
    assert!(tokens.len() >= 2, "{tokens:?}");
    for two in tokens.windows(2) {
        assert!(
            two[0].0 < two[1].0,
            "seed {SEED}: a token was acquired twice: {tokens:?}"
        );
    }
}

#[test]
fn an_edge_with_a_restored_disk_does_not_vote_until_an_operator_readmits_it() {
    let running = start_cluster(1, 1, |_, _| {});
    let mut fleet = start_fleet(&running);
    wait_for_one_lease_holder(&running, &fleet, "all vote at first");
    let file = fleet.directory.path().join("data/edge-2/memory.redb");
    fleet.edges[2].kill();
    let older = std::fs::read(&file).unwrap();
    fleet.edges[2].restart(&[], true).unwrap();
    wait_for_one_lease_holder(&running, &fleet, "it is back");
    fleet.edges[2].kill();
    std::fs::write(&file, older).unwrap();
    fleet.edges[2].restart(&[], true).unwrap();
    running.wait_for("it is barred", async || {
        (ledger_status(&fleet.edges[2])["standing"] == "barred").then_some(())
    });
    let (status, told) = request(&fleet.edges[2], Method::GET, "/readyz?verbose").unwrap();
    assert!(
        status == 200 && told.contains("[-]ledger") && told.contains("taken in again"),
        "{told}"
    );
    // The other edges continue without it and list it for readmission.
    running.wait_for("the others know", async || {
        (ledger_status(&fleet.edges[0])["asking"][0] == "edge-2").then_some(())
    });
    assert_eq!(
        request(
            &fleet.edges[0],
            Method::POST,
            "/debug/ledger/readmit/edge-2"
        )
        .unwrap()
        .0,
        200
    );
    wait_for_one_lease_holder(&running, &fleet, "it votes again");
}
