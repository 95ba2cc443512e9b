//! Measures how long a lease has no valid holder after its holder is killed, suspended or partitioned, or releases it,
//! and how much traffic idle voters send. Time and network are simulated; the term is 3 s. To run it:
//! `cargo run --release -p tidespur-coordination --example holder`.

#[allow(unused, reason = "shared with the tests; the example uses a part")]
#[path = "../tests/common/mod.rs"]
mod common;

use common::{LEASE, STEP, Simulation, TERM};
use tidespur_coordination::Input;

fn main() {
    println!(
        "{:>8} {:>18} {:>8} {:>8} {:>8}",
        "voters", "holder", "median", "p90", "max"
    );
    for voters in [3, 5] {
        for fault in ["killed", "suspended", "partitioned", "releases"] {
            let mut times: Vec<f64> = (0..200)
                .map(|seed| failover_time(seed, voters, fault))
                .collect();
            times.sort_by(f64::total_cmp);
            let quantile = |fraction: f64| times[((times.len() - 1) as f64 * fraction) as usize];
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
        let mut simulation = Simulation::new(1, voters, 0.01);
        simulation.run(20.0);
        simulation.network.messages = 0;
        simulation.network.bytes = 0;
        simulation.run(60.0);
        let voter_seconds = 60.0 * voters as f64;
        println!(
            "{voters} voters, one lease, idle: {:.1} messages and {:.0} bytes per second and voter, {:.2} syncs",
            simulation.network.messages as f64 / voter_seconds,
            simulation.network.bytes as f64 / voter_seconds,
            simulation.syncs as f64 / (80.0 * voters as f64)
        );
    }
}

/// Seconds from this fault of the lease holder until another voter holds the lease. NaN if no voter holds it at first.
fn failover_time(seed: u64, voters: usize, fault: &str) -> f64 {
    let mut simulation = Simulation::new(seed, voters, 0.01);
    simulation.run(10.0 + seed as f64 * 0.037);
    let Some(holder) = (0..voters).find(|index| simulation.valid_token(*index).is_some()) else {
        return f64::NAN;
    };
    let start = simulation.now;
    match fault {
        "killed" => simulation.kill(holder),
        "suspended" => simulation.suspend(holder, 30.0),
        "partitioned" => {
            for peer in (0..voters).filter(|peer| *peer != holder) {
                simulation.partition(holder, peer, 30.0);
                simulation.partition(peer, holder, 30.0);
            }
        }
        _ => simulation.send_input(holder, Input::ReleaseLease(LEASE.into())),
    }
    while simulation.now < start + 60.0 {
        let mut others = (0..voters).filter(|index| *index != holder);
        if others.any(|index| simulation.valid_token(index).is_some()) {
            break;
        }
        simulation.run(STEP);
    }
    simulation.now - start
}
