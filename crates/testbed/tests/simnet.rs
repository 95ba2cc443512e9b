//! Many members of a fleet in simulated time. A run that fails is printed as the shortest script that still does.

use tidespur_testbed::simnet::{Fault, Net, Script};

/// Seconds after the last fault in which all must be settled.
const WITHIN: f64 = 10.0;

fn script(members: usize, faults: Vec<(f64, Fault)>) -> Script {
    Script {
        seed: 7,
        members,
        faults,
    }
}

/// Scripts drawn from these seeds, all settled in time.
fn settle(seeds: std::ops::Range<u64>, members: usize) {
    for seed in seeds {
        let script = Script::draw(seed, members);
        if script.fails(WITHIN).is_some() {
            let shortest = script.shortest(WITHIN);
            let why = shortest.fails(WITHIN).unwrap_or_default();
            panic!(
                "seed {seed}: {why}: {}",
                serde_json::to_string(&shortest).unwrap()
            );
        }
    }
}

/// More seeds by `FLEET_SEEDS=from-to` and `FLEET_MEMBERS=n`.
#[test]
fn drawn_scripts_settle() {
    let number = |text: &str| text.parse().expect("a number");
    let seeds = std::env::var("FLEET_SEEDS").ok();
    let members = std::env::var("FLEET_MEMBERS").ok();
    if let Some((from, to)) = seeds.as_deref().and_then(|seeds| seeds.split_once('-')) {
        return settle(
            number(from)..number(to),
            members.map_or(8, |members| number(&members) as usize),
        );
    }
    settle(0..200, 6);
    settle(200..240, 16);
}

#[test]
fn a_join_is_known_to_all_sixteen_within_a_second() {
    let mut net = Net::new(script(16, vec![(5.0, Fault::Join { who: 16 })]));
    assert!(net.settles(4.0).is_some(), "{:?}", net.unsettled());
    net.play(5.0 + 1e-3);
    assert!(net.settles(1.5).is_some(), "{:?}", net.unsettled());
}

#[test]
fn a_crash_is_known_to_all_sixteen_within_three_seconds() {
    let mut net = Net::new(script(
        16,
        vec![(
            5.0,
            Fault::Kill {
                who: 9,
                lasts: f64::INFINITY,
            },
        )],
    ));
    net.play(5.0 + 1e-3);
    assert!(net.settles(3.0).is_some(), "{:?}", net.unsettled());
}

/// SIGSTOP for ten seconds, then SIGCONT: it must not give up all others before it has read what they sent.
#[test]
fn a_member_that_stood_still_doubts_itself_and_not_the_others() {
    let mut net = Net::new(script(
        12,
        vec![(
            5.0,
            Fault::Stop {
                who: 4,
                lasts: 10.0,
            },
        )],
    ));
    net.play(15.0 + 1e-3);
    assert!(net.settles(5.0).is_some(), "{:?}", net.unsettled());
    let by_it: Vec<_> = net
        .seen
        .lost
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

/// Halves that have given each other up find each other again, with those that joined on both sides meanwhile.
#[test]
fn two_halves_meet_again_after_thirty_seconds() {
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
    let mut net = Net::new(script(10, faults));
    net.play(30.0);
    let halves: Vec<usize> = net
        .views()
        .iter()
        .map(|(_, view)| view.live_members().count())
        .collect();
    assert!(halves.iter().all(|live| *live == 6), "{halves:?}");
    net.play(35.0 + 1e-3);
    assert!(net.settles(10.0).is_some(), "{:?}", net.unsettled());
}

/// A hears B, B does not hear A: others answer for both, and neither is given up.
#[test]
fn a_cut_in_one_direction_between_two_makes_nobody_lost() {
    let faults = vec![(
        5.0,
        Fault::Cut {
            from: vec![3],
            to: vec![5],
            lasts: 60.0,
        },
    )];
    let mut net = Net::new(script(12, faults));
    net.play(65.0 + 1e-3);
    assert!(net.seen.lost.is_empty(), "{:?}", net.seen.lost);
    assert!(net.settles(5.0).is_some(), "{:?}", net.unsettled());
}

/// Nobody hears one member, which hears all: it is given up, and does not come and go by turns.
#[test]
fn a_member_that_nobody_hears_is_given_up_and_does_not_flap() {
    let others: Vec<usize> = (0..12).filter(|who| *who != 3).collect();
    let faults = vec![(
        5.0,
        Fault::Cut {
            from: vec![3],
            to: others,
            lasts: 60.0,
        },
    )];
    let mut net = Net::new(script(12, faults));
    net.play(64.0);
    for (who, view) in net.views().iter().filter(|(who, _)| *who != 3) {
        assert!(
            !view.live_members().any(|seen| seen.id.name == "m003"),
            "m{who:03} sees it"
        );
        assert_eq!(view.live_members().count(), 11);
    }
    let times = net
        .seen
        .lost
        .iter()
        .filter(|(_, who, lost)| *who != 3 && lost == "m003")
        .count();
    assert!(times <= 22, "given up {times} times by eleven");
    net.play(65.0 + 1e-3);
    assert!(net.settles(10.0).is_some(), "{:?}", net.unsettled());
}

#[test]
fn a_third_that_is_killed_and_starts_under_the_same_names_is_back() {
    let kill = |who| {
        (
            5.0,
            Fault::Kill {
                who,
                lasts: 0.3 + who as f64 * 0.1,
            },
        )
    };
    let mut net = Net::new(script(20, (0..6).map(kill).collect()));
    net.play(net.over_at() + 1e-3);
    assert!(net.settles(10.0).is_some(), "{:?}", net.unsettled());
    let back = net.views().iter().all(|(_, view)| {
        view.live_members()
            .filter(|seen| seen.id.incarnation == 2)
            .count()
            == 6
    });
    assert!(back);
}

/// The first seed is gone for good: whoever joins later finds the fleet by the second.
#[test]
fn a_seed_that_is_gone_for_good_keeps_nobody_out() {
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
    let mut net = Net::new(script(8, faults));
    net.play(20.0 + 1e-3);
    assert!(net.settles(3.0).is_some(), "{:?}", net.unsettled());
}

/// A third of all datagrams lost, for a minute: nobody stays lost for five seconds.
#[test]
fn loss_on_all_links_makes_nobody_lost_for_long() {
    let mut net = Net::new(script(
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
        net.play(net.now + 0.1);
        let mut gone = std::collections::BTreeSet::new();
        for (who, view) in net.views() {
            for seen in view.members.iter().filter(|seen| !seen.status.is_alive()) {
                gone.insert((who, seen.id.name.clone()));
            }
        }
        since.retain(|pair, _| gone.contains(pair));
        for pair in gone {
            let at = *since.entry(pair.clone()).or_insert(net.now);
            assert!(net.now - at < 5.0, "{pair:?} since {at}");
        }
    }
}

#[test]
fn two_hundred_that_join_at_once_settle() {
    let mut net = Net::new(script(200, vec![]));
    assert!(net.settles(15.0).is_some(), "{:?}", net.unsettled());
}
