//! Prints the convergence time and the traffic of a simulated fleet by its size, as a table for `docs/measurements.md`.

use tidespur_testbed::simnet::{Fault, Script, SimulatedNetwork};

const SEEDS: u64 = 10;

/// Median and maximum of the seconds from the end of the last fault until all views have converged.
fn convergence_times(members: usize, faults: &[(f64, Fault)]) -> String {
    let mut times: Vec<f64> = (0..SEEDS)
        .map(|seed| {
            let mut net = SimulatedNetwork::new(Script {
                seed,
                members,
                faults: faults.to_vec(),
            });
            net.run_until(net.faults_end() + 1e-3);
            net.run_until_converged(60.0).unwrap_or(f64::INFINITY)
        })
        .collect();
    times.sort_by(f64::total_cmp);
    format!(
        "{:.2}, {:.2}",
        times[times.len() / 2],
        times[times.len() - 1]
    )
}

fn main() {
    println!(
        "| members | join | crash | halves after 30 s | datagrams a second | bytes a second | lost wrongly in 60 s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for members in [16, 32, 64] {
        let half = |odd: usize| {
            (0..members)
                .filter(|who| who % 2 == odd)
                .collect::<Vec<_>>()
        };
        let cut = |odd| {
            (
                20.0,
                Fault::Cut {
                    from: half(odd),
                    to: half(1 - odd),
                    lasts: 30.0,
                },
            )
        };
        let join = convergence_times(members, &[(20.0, Fault::Join { who: members })]);
        let crash = convergence_times(
            members,
            &[(
                20.0,
                Fault::Kill {
                    who: members / 2,
                    lasts: f64::INFINITY,
                },
            )],
        );
        let heal = convergence_times(members, &[cut(0), cut(1)]);
        // Traffic without faults for 60 s, then false failures under 10 % datagram loss.
        let loss = Fault::Loss {
            share: 0.1,
            lasts: 60.0,
        };
        let mut net = SimulatedNetwork::new(Script {
            seed: 1,
            members,
            faults: vec![(80.0, loss)],
        });
        net.run_until(20.0);
        let before = net.observations.sent;
        net.run_until(80.0);
        let each = |after: u64, before: u64| (after - before) as f64 / 60.0 / members as f64;
        let (datagrams, bytes) = (
            each(net.observations.sent.0, before.0),
            each(net.observations.sent.1, before.1),
        );
        net.run_until(140.0);
        let wrong = net.observations.false_failures.len();
        println!(
            "| {members} | {join} | {crash} | {heal} | {datagrams:.1} | {bytes:.0} | {wrong} |"
        );
    }
}
