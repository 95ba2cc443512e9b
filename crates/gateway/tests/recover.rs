//! A zone's loss at full size, with the time that the scheduler's own work takes.

mod common;
#[path = "common/world.rs"]
mod world;

use world::*;

#[test]
fn after_a_zones_loss_all_ends_are_told_at_once_and_the_backlog_is_worked_off() {
    let mut world = World::new();
    world.play(LOSS - 0.01);
    assert_eq!(world.standing.len(), 300);
    // The schedulers of that zone are gone too: their owners come here.
    world.asks(0.02, 420, 3.0);
    world.play(ROOM - 0.01);
    assert!(
        world.over.is_empty(),
        "{} ends were never told",
        world.over.len()
    );
    assert!(
        world.told_late < 1.0,
        "an end was told {} s late",
        world.told_late
    );
    assert!(
        world.gateway.sizes().pending > 600,
        "{} wait for room",
        world.gateway.sizes().pending
    );
    assert!(
        world.behind_since(LOSS + 2.0) < 0.3,
        "{} s behind",
        world.behind_since(LOSS + 2.0)
    );
    world.play(ROOM + 4.0);
    assert_eq!(
        (world.gateway.sizes().pending, world.asked.len()),
        (0, 0),
        "all is worked off"
    );
    assert!(
        world.behind_since(ROOM + 3.0) < 0.05,
        "and the loop is idle again"
    );
}

#[test]
fn under_more_set_ups_than_it_can_place_it_turns_away_some_of_what_is_worth_least_and_places_on() {
    let mut world = World::new();
    world.play(LOSS - 1.0);
    let began = world.now;
    // Room for all; more than this loop can place in time, for eight seconds, and owners that come again.
    world.dead.clear();
    world.happens(What::Room);
    world
        .events
        .retain(|_, what| !matches!(what, What::Loss | What::Room));
    world.turned_away = [0; 2];
    world.asks(0.0, 16_000, 8.0);
    world.play(began + 8.0);
    let [less, more] = world.turned_away;
    assert!(
        less > 1_000 && more < less / 50,
        "{less} and {more} were turned away"
    );
    // Turning away does not feed itself: it still places nearly what it can.
    assert!(world.answered > 8_000, "{} were placed", world.answered);
    assert!(
        world.behind_since(began + 1.0) < 1.8,
        "{} s behind",
        world.behind_since(began + 1.0)
    );
}

#[test]
fn a_second_in_which_nothing_comes_looks_at_each_machines_own_connections_only() {
    let mut world = World::new();
    world.play(LOSS - 2.0);
    let before = world.gateway.examined();
    world.play(LOSS - 1.0);
    let after = world.gateway.examined();
    assert_eq!(after.machines - before.machines, 0, "nothing waits");
    // Ten ticks, up to 140 machines that hold a task, each with a line or two that are looked at a few times.
    assert!(
        world.standing.len() == 300 && after.connections - before.connections < 12_000,
        "{} looks",
        after.connections - before.connections
    );
}
