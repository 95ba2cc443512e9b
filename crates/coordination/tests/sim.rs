//! Voters in simulated time under drawn faults: at most one may act, tokens rise, and once all is well someone acts.

mod common;

use common::*;
use tidespur_coordination::{Input, VoterStatus};

/// Drawn runs; more by LEDGER_SEEDS, outside CI.
fn seeds() -> u64 {
    std::env::var("LEDGER_SEEDS")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(60)
}

#[test]
fn under_drawn_faults_at_most_one_may_act_tokens_rise_and_it_goes_on_afterwards() {
    let mut changes = 0;
    for seed in 0..seeds() {
        let mut world = World::new(seed, if seed % 3 == 0 { 5 } else { 3 }, 0.01);
        world.trouble(40.0);
        let healed = world.now;
        world.run(25.0);
        assert!(world.wrong.is_empty(), "seed {seed}: {}", told(&world));
        assert!(
            world
                .carried
                .last()
                .is_some_and(|(at, _)| *at > healed + 10.0),
            "seed {seed}: {}",
            told(&world)
        );
        assert_eq!(
            world.voting(),
            world.voters.len(),
            "seed {seed}: {}",
            told(&world)
        );
        changes += world.holders.len();
    }
    assert!(
        changes as u64 > seeds(),
        "the faults change holders, {changes} in {} runs",
        seeds()
    );
}

#[test]
fn clocks_further_apart_than_the_bound_may_overlap_but_no_older_token_is_carried_out_after_a_newer()
{
    let mut overlaps = 0;
    for seed in 0..20 {
        let mut world = World::new(seed, 3, 0.3);
        world.trouble(40.0);
        overlaps += world
            .wrong
            .iter()
            .filter(|what| what.contains("at once"))
            .count();
        let others: Vec<&String> = world
            .wrong
            .iter()
            .filter(|what| !what.contains("at once"))
            .collect();
        assert!(others.is_empty(), "seed {seed}: {others:?}");
    }
    // Else this says nothing of the bound.
    assert!(
        overlaps > 0,
        "clocks that far apart break the terms, which is why there are fences"
    );
}

#[test]
fn a_voter_with_an_older_disk_does_not_vote_until_it_is_taken_in_again() {
    let mut world = World::new(7, 3, 0.0);
    world.run(3.0);
    let older = world.voters[1].disk.clone();
    world.run(20.0);
    world.kill(1);
    world.voters[1].disk = older;
    world.start(1);
    world.run(10.0);
    let standing = |world: &World| world.voters[1].ledger.as_ref().unwrap().status().clone();
    assert!(
        matches!(standing(&world), VoterStatus::Quarantined { .. }),
        "{}",
        told(&world)
    );
    // It says so, and the other two go on.
    assert_eq!(world.voting(), 2);
    assert!(world.carried.last().unwrap().0 > world.now - 1.0);
    // Nor does another start of it help, nor the loss of the others' memory in their processes.
    for i in [1, 0, 2] {
        world.kill(i);
        world.start(i);
        world.run(4.0);
    }
    assert!(
        matches!(standing(&world), VoterStatus::Quarantined { .. }),
        "{}",
        told(&world)
    );
    world.run(8.0);
    world.tell(0, Input::ReadmitVoter("edge-1".into()));
    world.run(10.0);
    assert_eq!(
        (standing(&world), world.voting()),
        (VoterStatus::Voting, 3),
        "{}",
        told(&world)
    );
    // It carries a majority again, with one of the others.
    let from = world.now;
    world.kill(0);
    world.run(20.0);
    assert!(
        world.carried.last().unwrap().0 > from + 10.0 && world.wrong.is_empty(),
        "{}",
        told(&world)
    );
}

#[test]
fn a_voter_with_no_disk_left_is_barred_too_and_a_fresh_fleet_is_not() {
    let mut world = World::new(8, 3, 0.0);
    world.run(10.0);
    assert_eq!(world.voting(), 3);
    world.kill(2);
    world.voters[2].disk = tidespur_persistence::LoadedRecords {
        created_at: 77,
        ..Default::default()
    };
    world.start(2);
    world.run(10.0);
    assert_eq!(world.voting(), 2, "{}", told(&world));
    world.tell(0, Input::ReadmitVoter("edge-2".into()));
    world.run(10.0);
    assert_eq!(world.voting(), 3, "{}", told(&world));
}

#[test]
fn without_a_majority_nobody_acts_and_a_leader_is_kept_where_only_some_pairs_hear_each_other() {
    let mut world = World::new(9, 5, 0.0);
    world.run(10.0);
    let ring = |world: &mut World, seconds| {
        // Each hears only one that all hear: without OmniPaxos' rule leaders change without end here.
        for i in 0..5 {
            for j in 0..5 {
                if i != j && i != 2 && j != 2 {
                    world.cut(i, j, seconds);
                }
            }
        }
    };
    ring(&mut world, 40.0);
    world.run(20.0);
    let from = world.now;
    world.run(20.0);
    assert!(
        world.longest_gap(from) < 2.0 * TERM,
        "{} {}",
        world.longest_gap(from),
        told(&world)
    );
    world.run(5.0);
    (0..3).for_each(|i| world.kill(i));
    world.run(2.0 * TERM);
    assert!(
        (0..5).all(|i| world.may_act(i).is_none()),
        "two of five are no majority"
    );
    (0..3).for_each(|i| world.start(i));
    world.run(15.0);
    assert!(
        (0..5).any(|i| world.may_act(i).is_some()) && world.wrong.is_empty(),
        "{}",
        told(&world)
    );
}

#[test]
fn one_voter_alone_keeps_its_tokens_rising_over_its_own_ends() {
    let mut world = World::new(10, 1, 0.0);
    let mut last = 0;
    for _ in 0..4 {
        world.run(3.0 * TERM);
        let token = world.may_act(0).expect("it holds");
        assert!(token > last, "{token} after {last}: {}", told(&world));
        last = token;
        world.kill(0);
        world.start(0);
    }
    // Long enough that the log is folded many times over.
    world.run(1_500.0);
    let entries = world.voters[0].disk.records_of_kind("ledger.entry").count();
    assert!(entries < 600 && world.wrong.is_empty(), "{entries} entries");
    world.kill(0);
    world.start(0);
    world.run(3.0 * TERM);
    assert!(
        world.may_act(0).is_some_and(|token| token > last),
        "{}",
        told(&world)
    );
}

#[test]
fn a_lease_that_is_given_back_goes_to_another_at_once_and_notes_live_under_it() {
    let mut world = World::new(11, 3, 0.0);
    world.run(10.0);
    let holder = (0..3).find(|i| world.may_act(*i).is_some()).unwrap();
    let note = |key: &str| Input::Put {
        lease: "l".into(),
        key: key.into(),
        value: b"x".to_vec(),
    };
    world.tell(holder, note("kept"));
    // Others may not write under it.
    world.tell((holder + 1) % 3, note("foreign"));
    world.run(2.0);
    world.tell(holder, Input::ReleaseLease("l".into()));
    let from = world.now;
    world.run(1.5);
    assert!(
        world.longest_gap(from) < 1.2,
        "{} {}",
        world.longest_gap(from),
        told(&world)
    );
    for voter in &world.voters {
        let notes: Vec<&str> = voter
            .ledger
            .as_ref()
            .unwrap()
            .state()
            .values
            .keys()
            .map(String::as_str)
            .collect();
        assert_eq!(notes, ["kept"]);
    }
}
