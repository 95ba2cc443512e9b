//! Voters in simulated time under random faults: at most one may act, tokens rise, and a lease is held again once the
//! faults have ended.

mod common;

use common::{LEASE, TERM, World};
use tidespur_coordination::{Input, VoterStatus};

/// Number of random runs; LEDGER_SEEDS sets a higher one outside CI.
fn seeds() -> u64 {
    std::env::var("LEDGER_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(60)
}

#[test]
fn at_most_one_voter_may_act_and_tokens_rise_under_random_faults_and_a_lease_is_held_afterwards() {
    let mut holder_changes = 0;
    for seed in 0..seeds() {
        let mut world = World::new(seed, if seed % 3 == 0 { 5 } else { 3 }, 0.01);
        world.inject_faults(40.0);
        let healed_at = world.now;
        world.run(25.0);
        assert!(
            world.safety.violations.is_empty(),
            "seed {seed}: {}",
            world.describe()
        );
        assert!(
            world.last_act_at() > healed_at + 10.0,
            "seed {seed}: {}",
            world.describe()
        );
        assert_eq!(
            world.voting_count(),
            world.voters.len(),
            "seed {seed}: {}",
            world.describe()
        );
        holder_changes += world.safety.holders.len();
    }
    assert!(
        holder_changes as u64 > seeds(),
        "the faults change holders, {holder_changes} in {} runs",
        seeds()
    );
}

#[test]
fn no_older_token_is_executed_after_a_newer_one_when_clocks_drift_more_than_is_allowed() {
    let mut overlaps = 0;
    for seed in 0..20 {
        let mut world = World::new(seed, 3, 0.3);
        world.inject_faults(40.0);
        overlaps += world.safety.overlaps.len();
        let others: Vec<&String> = world
            .safety
            .violations
            .iter()
            .filter(|violation| !world.safety.overlaps.contains(violation))
            .collect();
        assert!(others.is_empty(), "seed {seed}: {others:?}");
    }
    // Without an overlap the runs would not show that the fence is needed.
    assert!(
        overlaps > 0,
        "clocks that drift so much break the terms, which is why there are fences"
    );
}

#[test]
fn voter_with_an_older_disk_is_quarantined_until_it_is_readmitted() {
    let mut world = World::new(7, 3, 0.0);
    world.run(3.0);
    let older = world.voters[1].disk.clone();
    world.run(20.0);
    world.kill(1);
    world.voters[1].disk = older;
    world.start(1);
    world.run(10.0);
    assert!(
        matches!(world.status(1), VoterStatus::Quarantined { .. }),
        "{}",
        world.describe()
    );
    // It reports so, and the other two go on.
    assert_eq!(world.voting_count(), 2);
    assert!(world.last_act_at() > world.now - 1.0);
    // Neither a restart of it helps, nor restarts of the others.
    for i in [1, 0, 2] {
        world.kill(i);
        world.start(i);
        world.run(4.0);
    }
    assert!(
        matches!(world.status(1), VoterStatus::Quarantined { .. }),
        "{}",
        world.describe()
    );
    world.run(8.0);
    world.send_input(0, Input::ReadmitVoter("edge-1".into()));
    world.run(10.0);
    assert_eq!(
        (world.status(1), world.voting_count()),
        (VoterStatus::Voting, 3),
        "{}",
        world.describe()
    );
    // It is a majority again, together with one of the others.
    let start = world.now;
    world.kill(0);
    world.run(20.0);
    assert!(
        world.last_act_at() > start + 10.0 && world.safety.violations.is_empty(),
        "{}",
        world.describe()
    );
}

#[test]
fn voter_with_a_new_disk_is_quarantined_and_a_new_fleet_is_not() {
    let mut world = World::new(8, 3, 0.0);
    world.run(10.0);
    assert_eq!(world.voting_count(), 3);
    world.kill(2);
    world.voters[2].disk = tidespur_persistence::LoadedRecords {
        created_at: 77,
        ..Default::default()
    };
    world.start(2);
    world.run(10.0);
    assert_eq!(world.voting_count(), 2, "{}", world.describe());
    world.send_input(0, Input::ReadmitVoter("edge-2".into()));
    world.run(10.0);
    assert_eq!(world.voting_count(), 3, "{}", world.describe());
}

#[test]
fn nobody_acts_without_a_majority_and_a_leader_is_kept_when_only_some_pairs_are_connected() {
    let mut world = World::new(9, 5, 0.0);
    world.run(10.0);
    let connect_only_through_one = |world: &mut World, seconds| {
        // All are connected to the voter 2 and to no other one: without Omni-Paxos' rule the leader changes endlessly.
        for i in 0..5 {
            for j in 0..5 {
                if i != j && i != 2 && j != 2 {
                    world.partition(i, j, seconds);
                }
            }
        }
    };
    connect_only_through_one(&mut world, 40.0);
    world.run(20.0);
    let start = world.now;
    world.run(20.0);
    assert!(
        world.longest_gap(start) < 2.0 * TERM,
        "{} {}",
        world.longest_gap(start),
        world.describe()
    );
    world.run(5.0);
    for i in 0..3 {
        world.kill(i);
    }
    world.run(2.0 * TERM);
    assert!(!world.is_lease_held(), "two of five are no majority");
    for i in 0..3 {
        world.start(i);
    }
    world.run(15.0);
    assert!(
        world.is_lease_held() && world.safety.violations.is_empty(),
        "{}",
        world.describe()
    );
}

#[test]
fn tokens_of_a_single_voter_rise_when_it_restarts() {
    let mut world = World::new(10, 1, 0.0);
    let mut last = 0;
    for _ in 0..4 {
        world.run(3.0 * TERM);
        let token = world.valid_token(0).expect("it holds the lease");
        assert!(token > last, "{token} after {last}: {}", world.describe());
        last = token;
        world.kill(0);
        world.start(0);
    }
    // Long enough that the log is compacted many times.
    world.run(1_500.0);
    let entries = world.voters[0].disk.records_of_kind("ledger.entry").count();
    assert!(
        entries < 600 && world.safety.violations.is_empty(),
        "{entries} entries"
    );
    world.kill(0);
    world.start(0);
    world.run(3.0 * TERM);
    assert!(
        world.valid_token(0).is_some_and(|token| token > last),
        "{}",
        world.describe()
    );
}

#[test]
fn released_lease_is_acquired_at_once_and_values_are_stored_by_its_holder_only() {
    let mut world = World::new(11, 3, 0.0);
    world.run(10.0);
    let holder = (0..3).find(|i| world.valid_token(*i).is_some()).unwrap();
    let put = |key: &str| Input::Put {
        lease: LEASE.into(),
        key: key.into(),
        value: b"x".to_vec(),
    };
    world.send_input(holder, put("kept"));
    // A voter that does not hold the lease may not store values.
    world.send_input((holder + 1) % 3, put("foreign"));
    world.run(2.0);
    world.send_input(holder, Input::ReleaseLease(LEASE.into()));
    let start = world.now;
    world.run(1.5);
    assert!(
        world.longest_gap(start) < 1.2,
        "{} {}",
        world.longest_gap(start),
        world.describe()
    );
    for voter in &world.voters {
        let keys: Vec<&str> = voter
            .voter
            .as_ref()
            .unwrap()
            .state()
            .values
            .keys()
            .map(String::as_str)
            .collect();
        assert_eq!(keys, ["kept"]);
    }
}
