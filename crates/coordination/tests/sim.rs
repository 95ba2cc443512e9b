//! Simulates voters under random faults: at most one voter holds the lease at a time, fencing tokens increase, and the
//! lease is acquired again once the faults have ended.

mod common;

use common::{LEASE, Simulation, TERM};
use tidespur_coordination::{Input, VoterStatus};

/// Number of random runs. Set LEDGER_SEEDS for more runs outside CI.
fn seeds() -> u64 {
    std::env::var("LEDGER_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(60)
}

#[test]
fn lease_has_one_holder_and_rising_tokens_under_random_faults_and_is_held_again_afterwards() {
    let mut holder_changes = 0;
    for seed in 0..seeds() {
        let mut simulation = Simulation::new(seed, if seed % 3 == 0 { 5 } else { 3 }, 0.01);
        simulation.inject_faults(40.0);
        let healed_at = simulation.now;
        simulation.run(25.0);
        assert!(
            simulation.safety.violations.is_empty(),
            "seed {seed}: {}",
            simulation.describe()
        );
        assert!(
            simulation.last_execution_at() > healed_at + 10.0,
            "seed {seed}: {}",
            simulation.describe()
        );
        assert_eq!(
            simulation.voting_count(),
            simulation.voters.len(),
            "seed {seed}: {}",
            simulation.describe()
        );
        holder_changes += simulation.safety.holders.len();
    }
    assert!(
        holder_changes as u64 > seeds(),
        "the faults must change the holder, but only {holder_changes} tokens were issued in {} runs",
        seeds()
    );
}

#[test]
fn no_older_token_is_executed_after_a_newer_one_when_clocks_drift_more_than_is_allowed() {
    let mut overlaps = 0;
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed, 3, 0.3);
        simulation.inject_faults(40.0);
        overlaps += simulation.safety.overlaps.len();
        let others: Vec<&String> = simulation
            .safety
            .violations
            .iter()
            .filter(|violation| !simulation.safety.overlaps.contains(violation))
            .collect();
        assert!(others.is_empty(), "seed {seed}: {others:?}");
    }
    // Without an overlap, these runs would not test the fence.
    assert!(
        overlaps > 0,
        "no two voters held the lease at once, so the fence was not tested"
    );
}

#[test]
fn voter_with_an_older_disk_is_quarantined_until_it_is_readmitted() {
    let mut simulation = Simulation::new(7, 3, 0.0);
    simulation.run(3.0);
    let older = simulation.voters[1].disk.clone();
    simulation.run(20.0);
    simulation.kill(1);
    simulation.voters[1].disk = older;
    simulation.start(1);
    simulation.run(10.0);
    assert!(
        matches!(simulation.status(1), VoterStatus::Quarantined { .. }),
        "{}",
        simulation.describe()
    );
    // The other two voters continue to work.
    assert_eq!(simulation.voting_count(), 2);
    assert!(simulation.last_execution_at() > simulation.now - 1.0);
    // Restarting it or the other voters does not end the quarantine.
    for i in [1, 0, 2] {
        simulation.kill(i);
        simulation.start(i);
        simulation.run(4.0);
    }
    assert!(
        matches!(simulation.status(1), VoterStatus::Quarantined { .. }),
        "{}",
        simulation.describe()
    );
    simulation.run(8.0);
    simulation.send_input(0, Input::ReadmitVoter("edge-1".into()));
    simulation.run(10.0);
    assert_eq!(
        (simulation.status(1), simulation.voting_count()),
        (VoterStatus::Voting, 3),
        "{}",
        simulation.describe()
    );
    // The readmitted voter and one other voter form a majority.
    let start = simulation.now;
    simulation.kill(0);
    simulation.run(20.0);
    assert!(
        simulation.last_execution_at() > start + 10.0 && simulation.safety.violations.is_empty(),
        "{}",
        simulation.describe()
    );
}

#[test]
fn voter_with_a_new_disk_is_quarantined_and_a_new_fleet_is_not() {
    let mut simulation = Simulation::new(8, 3, 0.0);
    simulation.run(10.0);
    assert_eq!(simulation.voting_count(), 3);
    simulation.kill(2);
    simulation.voters[2].disk = tidespur_persistence::LoadedRecords {
        created_at: 77,
        ..Default::default()
    };
    simulation.start(2);
    simulation.run(10.0);
    assert_eq!(simulation.voting_count(), 2, "{}", simulation.describe());
    simulation.send_input(0, Input::ReadmitVoter("edge-2".into()));
    simulation.run(10.0);
    assert_eq!(simulation.voting_count(), 3, "{}", simulation.describe());
}

#[test]
fn no_lease_is_held_without_a_majority_and_a_leader_is_kept_when_only_some_pairs_are_connected() {
    let mut simulation = Simulation::new(9, 5, 0.0);
    simulation.run(10.0);
    let connect_only_through_one = |simulation: &mut Simulation, seconds| {
        // Every voter is connected to voter 2 only. Protocols without quorum-connected leader election would change the
        // leader endlessly.
        for i in 0..5 {
            for j in 0..5 {
                if i != j && i != 2 && j != 2 {
                    simulation.partition(i, j, seconds);
                }
            }
        }
    };
    connect_only_through_one(&mut simulation, 40.0);
    simulation.run(20.0);
    let start = simulation.now;
    simulation.run(20.0);
    assert!(
        simulation.longest_gap(start) < 2.0 * TERM,
        "{} {}",
        simulation.longest_gap(start),
        simulation.describe()
    );
    simulation.run(5.0);
    for i in 0..3 {
        simulation.kill(i);
    }
    simulation.run(2.0 * TERM);
    assert!(
        !simulation.is_lease_held(),
        "a lease is held although two of five voters are not a majority"
    );
    for i in 0..3 {
        simulation.start(i);
    }
    simulation.run(15.0);
    assert!(
        simulation.is_lease_held() && simulation.safety.violations.is_empty(),
        "{}",
        simulation.describe()
    );
}

#[test]
fn tokens_of_a_single_voter_increase_when_it_restarts() {
    let mut simulation = Simulation::new(10, 1, 0.0);
    let mut last = 0;
    for _ in 0..4 {
        simulation.run(3.0 * TERM);
        let token = simulation
            .valid_token(0)
            .expect("the voter holds the lease");
        assert!(
            token > last,
            "{token} after {last}: {}",
            simulation.describe()
        );
        last = token;
        simulation.kill(0);
        simulation.start(0);
    }
    // Long enough for the log to be compacted many times.
    simulation.run(1_500.0);
    let entries = simulation.voters[0]
        .disk
        .records_of_kind("ledger.entry")
        .count();
    assert!(
        entries < 600 && simulation.safety.violations.is_empty(),
        "{entries} stored entries: {}",
        simulation.describe()
    );
    simulation.kill(0);
    simulation.start(0);
    simulation.run(3.0 * TERM);
    assert!(
        simulation.valid_token(0).is_some_and(|token| token > last),
        "{}",
        simulation.describe()
    );
}

#[test]
fn released_lease_is_acquired_at_once_and_values_are_stored_by_its_holder_only() {
    let mut simulation = Simulation::new(11, 3, 0.0);
    simulation.run(10.0);
    let holder = (0..3)
        .find(|i| simulation.valid_token(*i).is_some())
        .unwrap();
    let put = |key: &str| Input::Put {
        lease: LEASE.into(),
        key: key.into(),
        value: b"x".to_vec(),
    };
    simulation.send_input(holder, put("kept"));
    // A voter that does not hold the lease may not store values.
    simulation.send_input((holder + 1) % 3, put("foreign"));
    simulation.run(2.0);
    simulation.send_input(holder, Input::ReleaseLease(LEASE.into()));
    let start = simulation.now;
    simulation.run(1.5);
    assert!(
        simulation.longest_gap(start) < 1.2,
        "{} {}",
        simulation.longest_gap(start),
        simulation.describe()
    );
    for voter in &simulation.voters {
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
