//! The first act under the lease of the fleet, with several processes: whoever acts counts the planners in the ledger and
//! tells each how many share what cold nodes bear. A word that comes late is refused by name; nobody is forgotten for
//! being silent; all of it stands again after a cut of the power.

mod common;
#[path = "common/fleet.rs"]
mod fleet;

use common::*;
use fleet::*;
use tidespur_testbed::process::Process;
use tidespur_testbed::relay::RelayMode;

/// What a planner goes by now: how many share, and the token under which that was said.
fn shares(fleet: &Fleet, planner: usize) -> Option<(u32, u64)> {
    let log = fleet.log(&format!("planner-{planner}"));
    let line = log
        .lines()
        .rev()
        .find(|line| line.contains("shares the slow-start budget with all of "))?;
    let number = |after: &str| {
        line.split(after)
            .nth(1)?
            .split(' ')
            .next()?
            .parse::<u64>()
            .ok()
    };
    Some((number("all of ")? as u32, number("token ")?))
}

fn holder(fleet: &Fleet) -> Option<(usize, u64)> {
    fleet
        .edges
        .iter()
        .enumerate()
        .find_map(|(i, edge)| Some((i, acts(edge)?)))
}

#[test]
fn planners_are_counted_under_the_lease_and_refuse_the_word_of_who_held_it_before() {
    let running = start(1, 1, |_, _| {});
    let mut fleet = fleet(&running);
    all_vote_and_one_acts(&running, &fleet, "all vote at first");
    fleet.planner();
    fleet.planner();
    let both = |fleet: &Fleet, planners| {
        let told = [shares(fleet, 0)?, shares(fleet, 1)?];
        (told[0].0 == planners && told[1].0 == planners).then_some(())
    };
    running.until("both know of two", async || both(&fleet, 2));
    let (old, token) = running.until("one acts", async || holder(&fleet));
    // What the holder says to the first planner from now on is on its way for long.
    fleet.links[&(0, old)].set_mode(RelayMode::StallToClient);
    fleet.planner();
    running.until("the second knows of the third", async || {
        (shares(&fleet, 1)? == (3, token) && shares(&fleet, 2)? == (3, token)).then_some(())
    });
    assert_eq!(
        shares(&fleet, 0),
        Some((2, token)),
        "that word is on its way"
    );
    for (_, relay) in fleet
        .relays
        .iter()
        .filter(|((i, j), _)| *i == old || *j == old)
    {
        relay.set_mode(RelayMode::Cut);
    }
    let newer = running.until("another acts, and has told the first", async || {
        let (who, newer) = holder(&fleet)?;
        (who != old && shares(&fleet, 0)? == (3, newer)).then_some(newer)
    });
    assert!(newer > token);
    fleet.links[&(0, old)].set_mode(RelayMode::Forward);
    let refused = format!("fencing token {token} is stale, token {newer} was seen before");
    running.until("the late word is refused by name", async || {
        fleet.log("planner-0").contains(&refused).then_some(())
    });
    assert_eq!(shares(&fleet, 0), Some((3, newer)), "and changes nothing");
    running.until("its sender is told", async || {
        fleet
            .log(&format!("edge-{old}"))
            .contains("a planner rejected a message with a stale fencing token")
            .then_some(())
    });
    // A planner is killed and power is lost everywhere else: who is away goes on counting, and tokens go on rising.
    fleet
        .relays
        .values()
        .for_each(|relay| relay.set_mode(RelayMode::Forward));
    fleet.planners[2].kill();
    fleet
        .edges
        .iter_mut()
        .chain(&mut fleet.planners[..2])
        .for_each(Process::kill);
    for edge in &mut fleet.edges {
        edge.restart(&[], true).unwrap();
    }
    for planner in &mut fleet.planners[..2] {
        planner.restart(&[], false).unwrap();
    }
    running.until("both are told anew", async || {
        let told = [shares(&fleet, 0)?, shares(&fleet, 1)?];
        told.iter()
            .all(|(planners, token)| *planners == 3 && *token > newer)
            .then_some(())
    });
}
