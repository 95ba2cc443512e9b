//! How long nobody holds a lease after its holder is killed, stands still or is cut off, and what an idle ledger says:
//! `cargo run --release -p tidespur-coordination --example holder`. Simulated time and network; the term is 3 s.

#[allow(unused, reason = "the tests' world; each user takes a part")]
#[path = "../tests/common/mod.rs"]
mod common;

use common::{TERM, World};

fn main() {
    println!(
        "{:>8} {:>18} {:>8} {:>8} {:>8}",
        "voters", "holder", "median", "p90", "most"
    );
    for voters in [3, 5] {
        for what in ["killed", "stands still", "cut off", "gives back"] {
            let mut gaps: Vec<f64> = (0..200).map(|seed| gap(seed, voters, what)).collect();
            gaps.sort_by(f64::total_cmp);
            let at = |q: f64| gaps[((gaps.len() - 1) as f64 * q) as usize];
            println!(
                "{voters:>8} {what:>18} {:>8.2} {:>8.2} {:>8.2}",
                at(0.5),
                at(0.9),
                at(1.0)
            );
        }
    }
    println!("term {TERM} s");
    for voters in [3, 5] {
        let mut world = World::new(1, voters, 0.01);
        world.run(20.0);
        (world.words, world.bytes) = (0, 0);
        world.run(60.0);
        let each = 60.0 * voters as f64;
        println!(
            "{voters} voters, one lease, idle: {:.1} words and {:.0} bytes a second and voter, {:.2} syncs",
            world.words as f64 / each,
            world.bytes as f64 / each,
            world.syncs as f64 / (80.0 * voters as f64)
        );
    }
}

/// Seconds until another may act under the lease, once its holder met that.
fn gap(seed: u64, voters: usize, what: &str) -> f64 {
    let mut world = World::new(seed, voters, 0.01);
    world.run(10.0 + seed as f64 * 0.037);
    let Some(holder) = (0..voters).find(|i| world.may_act(*i).is_some()) else {
        return f64::NAN;
    };
    let from = world.now;
    match what {
        "killed" => world.kill(holder),
        "stands still" => world.voters[holder].still = world.now + 30.0,
        "cut off" => (0..voters).filter(|i| *i != holder).for_each(|i| {
            world.cut(holder, i, 30.0);
            world.cut(i, holder, 30.0);
        }),
        _ => world.tell(
            holder,
            tidespur_coordination::Input::ReleaseLease("l".into()),
        ),
    }
    while world.now < from + 60.0 && !(0..voters).any(|i| i != holder && world.may_act(i).is_some())
    {
        world.run(common::STEP);
    }
    world.now - from
}
