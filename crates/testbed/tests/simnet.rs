//! The membership protocol in simulated time. A failing run is printed as the shortest script that still fails.

use tidespur_testbed::simnet::{Fault, Script, SimulatedNetwork};

/// Seconds after the last fault within which all views must converge.
const WITHIN: f64 = 10.0;

fn script(members: usize, faults: Vec<(f64, Fault)>) -> Script {
    Script {
        seed: 7,
        members,
        faults,
    }
}

/// Checks that random scripts with these seeds converge in time.
fn check_random_scripts(seeds: std::ops::Range<u64>, members: usize) {
    for seed in seeds {
        let script = Script::random(seed, members);
        if script.failure(WITHIN).is_some() {
            let reduced = script.reduced(WITHIN);
            let why = reduced.failure(WITHIN).unwrap_or_default();
            panic!(
                "seed {seed}: {why}: {}",
                serde_json::to_string(&reduced).unwrap()
            );
        }
    }
}

/// `FLEET_SEEDS=from-to` and `FLEET_MEMBERS=n` select other seeds and sizes.
#[test]
fn random_scripts_converge() {
    let number = |text: &str| text.parse().expect("a number");
    let seeds = std::env::var("FLEET_SEEDS").ok();
    let members = std::env::var("FLEET_MEMBERS").ok();
    if let Some((from, to)) = seeds.as_deref().and_then(|seeds| seeds.split_once('-')) {
        return check_random_scripts(
            number(from)..number(to),
            members.map_or(8, |members| number(&members) as usize),
        );
    }
    check_random_scripts(0..200, 6);
    check_random_scripts(200..240, 16);
}

#[test]
fn a_join_reaches_all_sixteen_members_in_time() {
    let mut net = SimulatedNetwork::new(script(16, vec![(5.0, Fault::Join { who: 16 })]));
    assert!(
        net.run_until_converged(4.0).is_some(),
        "{:?}",
        net.describe_unconverged()
    );
    net.run_until(5.0 + 1e-3);
    assert!(
        net.run_until_converged(1.5).is_some(),
        "{:?}",
        net.describe_unconverged()
    );
}

#[test]
fn a_crash_is_detected_by_all_sixteen_members_within_three_seconds() {
    let mut net = SimulatedNetwork::new(script(
        16,
        vec![(
            5.0,
            Fault::Kill {
                who: 9,
                lasts: f64::INFINITY,
            },
        )],
    ));
    net.run_until(5.0 + 1e-3);
    assert!(
        net.run_until_converged(3.0).is_some(),
        "{:?}",
        net.describe_unconverged()
    );
}

/// A member that was suspended for ten seconds must read the waiting datagrams before it declares the others failed.
#[test]
fn a_suspended_member_does_not_declare_the_others_failed() {
    let mut net = SimulatedNetwork::new(script(
        12,
        vec![(
            5.0,
            Fault::Stop {
                who: 4,
                lasts: 10.0,
            },
        )],
    ));
    net.run_until(15.0 + 1e-3);
    assert!(
        net.run_until_converged(5.0).is_some(),
        "{:?}",
        net.describe_unconverged()
    );
    let by_it: Vec<_> = net
        .observations
        .failures
        .iter()
        .filter(|(_, who, _)| *who == 4)
        .collect();
    assert!(by_it.is_empty(), "{by_it:?}");
    let (_, view) = net
        .views()
        .into_iter()
        .find(|(who, _)| *who == 4)
        .expect("it runs");
    assert_eq!(view.stalls, 1);
}

/// After a partition, both halves find each other again, including the members that joined on each side meanwhile.
#[test]
fn two_halves_merge_after_a_partition_of_thirty_seconds() {
    let (left, right): (Vec<usize>, Vec<usize>) =
        (vec![0, 2, 4, 6, 8, 10], vec![1, 3, 5, 7, 9, 11]);
    let cut = |from: &Vec<usize>, to: &Vec<usize>| Fault::Cut {
        from: from.clone(),
        to: to.clone(),
        lasts: 30.0,
    };
    let faults = vec![
        (5.0, cut(&left, &right)),
        (5.0, cut(&right, &left)),
        (15.0, Fault::Join { who: 10 }),
        (16.0, Fault::Join { who: 11 }),
    ];
    let mut net = SimulatedNetwork::new(script(10, faults));
    net.run_until(30.0);
    let halves: Vec<usize> = net
        .views()
        .iter()
        .map(|(_, view)| view.live_members().count())
        .collect();
    assert!(halves.iter().all(|live| *live == 6), "{halves:?}");
    net.run_until(35.0 + 1e-3);
    assert!(
        net.run_until_converged(10.0).is_some(),
        "{:?}",
        net.describe_unconverged()
    );
}

/// With a cut in one direction between two members, the indirect probes of others keep both alive.
#[test]
fn a_one_way_cut_between_two_members_causes_no_failures() {
    let faults = vec![(
        5.0,
        Fault::Cut {
            from: vec![3],
            to: vec![5],
            lasts: 60.0,
        },
    )];
    let mut net = SimulatedNetwork::new(script(12, faults));
    net.run_until(65.0 + 1e-3);
    assert!(
        net.observations.failures.is_empty(),
        "{:?}",
        net.observations.failures
    );
    assert!(
        net.run_until_converged(5.0).is_some(),
        "{:?}",
        net.describe_unconverged()
    );
}

/// A member that receives but whose datagrams are all lost is declared failed and does not flap.
#[test]
fn a_member_that_cannot_send_is_declared_failed_and_does_not_flap() {
    let others: Vec<usize> = (0..12).filter(|who| *who != 3).collect();
    let faults = vec![(
        5.0,
        Fault::Cut {
            from: vec![3],
            to: others,
            lasts: 60.0,
        },
    )];
    let mut net = SimulatedNetwork::new(script(12, faults));
    net.run_until(64.0);
    for (who, view) in net.views().iter().filter(|(who, _)| *who != 3) {
        assert!(
            !view.live_members().any(|seen| seen.id.name == "m003"),
            "m{who:03} lists it"
        );
        assert_eq!(view.live_members().count(), 11);
    }
    let times = net
        .observations
        .failures
        .iter()
        .filter(|(_, who, lost)| *who != 3 && lost == "m003")
        .count();
    assert!(
        times <= 22,
        "declared failed {times} times by eleven members"
    );
    net.run_until(65.0 + 1e-3);
    assert!(
        net.run_until_converged(10.0).is_some(),
        "{:?}",
        net.describe_unconverged()
    );
}

#[test]
fn a_third_that_is_killed_and_restarted_under_the_same_names_rejoins() {
    let kill = |who| {
        (
            5.0,
            Fault::Kill {
                who,
                lasts: 0.3 + who as f64 * 0.1,
            },
        )
    };
    let mut net = SimulatedNetwork::new(script(20, (0..6).map(kill).collect()));
    net.run_until(net.faults_end() + 1e-3);
    assert!(
        net.run_until_converged(10.0).is_some(),
        "{:?}",
        net.describe_unconverged()
    );
    let all_restarted = net.views().iter().all(|(_, view)| {
        view.live_members()
            .filter(|seen| seen.id.incarnation == 2)
            .count()
            == 6
    });
    assert!(all_restarted);
}

/// With the first seed gone for good, a later member joins through the second.
#[test]
fn a_member_joins_although_the_first_seed_is_gone() {
    let faults = vec![
        (
            5.0,
            Fault::Kill {
                who: 0,
                lasts: f64::INFINITY,
            },
        ),
        (20.0, Fault::Join { who: 8 }),
    ];
    let mut net = SimulatedNetwork::new(script(8, faults));
    net.run_until(20.0 + 1e-3);
    assert!(
        net.run_until_converged(3.0).is_some(),
        "{:?}",
        net.describe_unconverged()
    );
}

/// With 30 % of all datagrams lost for a minute, no member stays failed in any view for five seconds.
#[test]
fn datagram_loss_causes_no_long_failures() {
    let mut net = SimulatedNetwork::new(script(
        16,
        vec![(
            5.0,
            Fault::Loss {
                share: 0.3,
                lasts: 60.0,
            },
        )],
    ));
    let mut since = std::collections::BTreeMap::new();
    while net.now < 65.0 {
        net.run_until(net.now + 0.1);
        let mut unavailable = std::collections::BTreeSet::new();
        for (who, view) in net.views() {
            for seen in view.members.iter().filter(|seen| !seen.status.is_alive()) {
                unavailable.insert((who, seen.id.name.clone()));
            }
        }
        since.retain(|pair, _| unavailable.contains(pair));
        for pair in unavailable {
            let at = *since.entry(pair.clone()).or_insert(net.now);
            assert!(net.now - at < 5.0, "{pair:?} since {at}");
        }
    }
}

#[test]
fn two_hundred_members_that_join_at_once_converge() {
    let mut net = SimulatedNetwork::new(script(200, vec![]));
    assert!(
        net.run_until_converged(15.0).is_some(),
        "{:?}",
        net.describe_unconverged()
    );
}
