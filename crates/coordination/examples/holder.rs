//! How long nobody holds a lease after its holder is killed, suspended or partitioned, and what idle voters send:
//! `cargo run --release -p tidespur-coordination --example holder`. Simulated time and network; the term is 3 s.

#[allow(unused, reason = "the simulation of the tests; each user needs a part")]
#[path = "../tests/common/mod.rs"]
mod common;

use common::{LEASE, STEP, TERM, World};
use tidespur_coordination::Input;

fn main() {
    println!(
        "{:>8} {:>18} {:>8} {:>8} {:>8}",
        "voters", "holder", "median", "p90", "max"
    );
    for voters in [3, 5] {
        for fault in ["killed", "suspended", "partitioned", "releases"] {
            let mut gaps: Vec<f64> = (0..200).map(|seed| gap(seed, voters, fault)).collect();
            gaps.sort_by(f64::total_cmp);
            let quantile = |fraction: f64| gaps[((gaps.len() - 1) as f64 * fraction) as usize];
            println!(
                "{voters:>8} {fault:>18} {:>8.2} {:>8.2} {:>8.2}",
                quantile(0.5),
                quantile(0.9),
                quantile(1.0)
            );
        }
    }
    println!("term {TERM} s");
    for voters in [3, 5] {
        let mut world = World::new(1, voters, 0.01);
        world.run(20.0);
        world.network.messages = 0;
        world.network.bytes = 0;
        world.run(60.0);
        let voter_seconds = 60.0 * voters as f64;
        println!(
            "{voters} voters, one lease, idle: {:.1} messages and {:.0} bytes a second and voter, {:.2} syncs",
            world.network.messages as f64 / voter_seconds,
            world.network.bytes as f64 / voter_seconds,
            world.syncs as f64 / (80.0 * voters as f64)
        );
    }
}

/// Seconds until another voter may act under the lease after this fault of its holder.
fn gap(seed: u64, voters: usize, fault: &str) -> f64 {
    let mut world = World::new(seed, voters, 0.01);
    world.run(10.0 + seed as f64 * 0.037);
    let Some(holder) = (0..voters).find(|index| world.valid_token(*index).is_some()) else {
        return f64::NAN;
    };
    let start = world.now;
    match fault {
        "killed" => world.kill(holder),
        "suspended" => world.suspend(holder, 30.0),
        "partitioned" => {
            for peer in (0..voters).filter(|peer| *peer != holder) {
                world.partition(holder, peer, 30.0);
                world.partition(peer, holder, 30.0);
            }
        }
        _ => world.send_input(holder, Input::ReleaseLease(LEASE.into())),
    }
    while world.now < start + 60.0 {
        let mut others = (0..voters).filter(|index| *index != holder);
        if others.any(|index| world.valid_token(index).is_some()) {
            break;
        }
        world.run(STEP);
    }
    world.now - start
}
