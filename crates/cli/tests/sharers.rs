//! The lease holder counts the planners in the ledger and tells each how many of them share the slow-start budget.
//! Planners reject a delayed message with an older fencing token, silent planners stay counted, and all of it survives
//! a power loss.

mod common;
#[path = "common/fleet.rs"]
mod fleet;

use common::*;
use fleet::*;
use tidespur_testbed::process::Process;
use tidespur_testbed::relay::RelayMode;

/// The number of planners that a planner shares the budget with, and the fencing token of the message that set it.
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
        .find_map(|(i, edge)| Some((i, acting_token(edge)?)))
}

#[test]
fn planners_are_counted_under_the_lease_and_reject_messages_of_a_former_holder() {
    let running = start_cluster(1, 1, |_, _| {});
    let mut fleet = start_fleet(&running);
    wait_for_one_lease_holder(&running, &fleet, "all vote at first");
    fleet.start_planner();
    fleet.start_planner();
    let both = |fleet: &Fleet, planners| {
        let reports = [shares(fleet, 0)?, shares(fleet, 1)?];
        (reports[0].0 == planners && reports[1].0 == planners).then_some(())
    };
    running.wait_for("both know of two", async || both(&fleet, 2));
    let (old, token) = running.wait_for("one acts", async || holder(&fleet));
    // Delays all further messages of the holder to the first planner.
    fleet.planner_relays[&(0, old)].set_mode(RelayMode::StallToClient);
    fleet.start_planner();
    running.wait_for("the second knows of the third", async || {
        (shares(&fleet, 1)? == (3, token) && shares(&fleet, 2)? == (3, token)).then_some(())
    });
    assert_eq!(
        shares(&fleet, 0),
        Some((2, token)),
        "the message is still delayed"
    );
    for (_, relay) in fleet
        .edge_relays
        .iter()
        .filter(|((i, j), _)| *i == old || *j == old)
    {
        relay.set_mode(RelayMode::Cut);
    }
    let newer = running.wait_for("another acts, and has told the first", async || {
        let (who, newer) = holder(&fleet)?;
        (who != old && shares(&fleet, 0)? == (3, newer)).then_some(newer)
    });
    assert!(newer > token);
    fleet.planner_relays[&(0, old)].set_mode(RelayMode::Forward);
    let refused = format!("fencing token {token} is stale, token {newer} was seen before");
    running.wait_for("the delayed message is rejected", async || {
        fleet.log("planner-0").contains(&refused).then_some(())
    });
    assert_eq!(shares(&fleet, 0), Some((3, newer)), "and changes nothing");
    running.wait_for("its sender is told", async || {
        fleet
            .log(&format!("edge-{old}"))
            .contains("a planner rejected a message with a stale fencing token")
            .then_some(())
    });
    // One planner is killed for good and all other processes lose power: the absent planner stays counted, and tokens
    // still increase.
    fleet
        .edge_relays
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
    running.wait_for("both are told anew", async || {
        let reports = [shares(&fleet, 0)?, shares(&fleet, 1)?];
        reports
            .iter()
            .all(|(planners, token)| *planners == 3 && *token > newer)
            .then_some(())
    });
}
