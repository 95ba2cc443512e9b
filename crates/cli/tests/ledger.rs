//! Three edges keep the ledger as processes, with a relay on each stream between them; kills, stops, cuts, one-way holds,
//! slowness and a cut of the power by seed.

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

/// Drawn from this; LEDGER_ROUNDS plays more, outside CI.
const SEED: u64 = 1_202;

/// Which start of which edge was given which token, by the logs of all. One whose term ran out before its renewal was
/// heard may hold the same token again.
fn tokens(folder: &Path) -> Vec<(u64, String)> {
    let mut all = Vec::new();
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
                all.extend(token.map(|token: u64| (token, format!("edge-{i}, start {start}"))));
            }
        }
    }
    all.sort_unstable();
    all.dedup();
    all
}

#[test]
fn whatever_breaks_between_the_voters_one_acts_at_a_time_and_tokens_rise_over_a_power_cut() {
    let running = start(1, 1, |_, _| {});
    let mut fleet = fleet(&running);
    all_vote_and_one_acts(&running, &fleet, "all vote at first");
    let mut rng = rand_pcg::Pcg32::seed_from_u64(SEED);
    let pairs: Vec<(usize, usize)> = fleet.relays.keys().copied().collect();
    let mut highest = 0;
    let rounds = std::env::var("LEDGER_ROUNDS")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(4);
    println!("seed {SEED}");
    for round in 0..rounds {
        // Whoever acts now meets it, where one does.
        let holder = fleet.edges.iter().position(|edge| acts(edge).is_some());
        let i = holder.unwrap_or_else(|| rng.random_range(0..3));
        let ways = [
            RelayMode::Cut,
            RelayMode::StallFromClient,
            RelayMode::StallToClient,
            RelayMode::Delay(0.3),
            RelayMode::Throttle(400.0),
        ];
        let pair = pairs[rng.random_range(0..pairs.len())];
        fleet.relays[&pair].set_mode(ways[rng.random_range(0..ways.len())]);
        match round % 4 {
            0 => fleet.edges[i].kill(),
            1 => fleet.edges[i].set_paused(true),
            2 => fleet.edges.iter_mut().for_each(Process::kill),
            _ => fleet.relays.values().for_each(Relay::close_connections),
        }
        // Seen from outside, at any time: no two of them, whichever is asked first.
        for _ in 0..15 {
            let asked: Vec<Option<u64>> = fleet
                .edges
                .iter()
                .map(|edge| {
                    if edge.id().is_some() {
                        acts(edge)
                    } else {
                        None
                    }
                })
                .collect();
            let newest = asked.iter().flatten().max().copied().unwrap_or(0);
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
            .relays
            .values()
            .for_each(|relay| relay.set_mode(RelayMode::Forward));
        all_vote_and_one_acts(
            &running,
            &fleet,
            &format!("seed {SEED}, round {round} is over"),
        );
    }
    let tokens = tokens(fleet.folder.path());
    // All were killed at once in one round, so nobody holds what was held before it.
    assert!(tokens.len() >= 2, "{tokens:?}");
    for two in tokens.windows(2) {
        assert!(
            two[0].0 < two[1].0,
            "seed {SEED}: a token was given twice: {tokens:?}"
        );
    }
}

#[test]
fn an_edge_with_a_restored_disk_says_that_it_does_not_vote_until_an_operator_takes_it_in_again() {
    let running = start(1, 1, |_, _| {});
    let mut fleet = fleet(&running);
    all_vote_and_one_acts(&running, &fleet, "all vote at first");
    let file = fleet.folder.path().join("data/edge-2/memory.redb");
    fleet.edges[2].kill();
    let older = std::fs::read(&file).unwrap();
    fleet.edges[2].restart(&[], true).unwrap();
    all_vote_and_one_acts(&running, &fleet, "it is back");
    fleet.edges[2].kill();
    std::fs::write(&file, older).unwrap();
    fleet.edges[2].restart(&[], true).unwrap();
    running.until("it is barred", async || {
        (ledger(&fleet.edges[2])["standing"] == "barred").then_some(())
    });
    let (status, told) = ask(&fleet.edges[2], Method::GET, "/readyz?verbose").unwrap();
    assert!(
        status == 200 && told.contains("[-]ledger") && told.contains("taken in again"),
        "{told}"
    );
    // The others go on without it, and know of it.
    running.until("the others know", async || {
        (ledger(&fleet.edges[0])["asking"][0] == "edge-2").then_some(())
    });
    assert_eq!(
        ask(
            &fleet.edges[0],
            Method::POST,
            "/debug/ledger/readmit/edge-2"
        )
        .unwrap()
        .0,
        200
    );
    all_vote_and_one_acts(&running, &fleet, "it votes again");
}
