//! Zone failure and overload at full size, including the time that the gateway's own work takes.

mod common;
#[path = "common/simulation.rs"]
mod simulation;

use simulation::*;

#[test]
fn after_a_zone_failure_ends_are_reported_in_time_and_pending_requests_are_placed() {
    let mut simulation = Simulation::new();
    simulation.run_until(FAILURE_TIME - 0.01);
    assert_eq!(simulation.placed.len(), 300);
    // The schedulers of that zone have failed too, so their owners submit to this one.
    simulation.schedule_submissions(0.02, 420, 3.0);
    simulation.run_until(RECOVERY_TIME - 0.01);
    assert!(
        simulation.unreported_ends.is_empty(),
        "{} ends were never reported",
        simulation.unreported_ends.len()
    );
    assert!(
        simulation.max_report_delay < 1.0,
        "an end was reported after {} s",
        simulation.max_report_delay
    );
    assert!(
        simulation.gateway.sizes().pending > 600,
        "{} requests are pending",
        simulation.gateway.sizes().pending
    );
    assert!(
        simulation.max_lag_since(FAILURE_TIME + 2.0) < 0.3,
        "lag of {} s",
        simulation.max_lag_since(FAILURE_TIME + 2.0)
    );
    simulation.run_until(RECOVERY_TIME + 4.0);
    assert_eq!(
        (simulation.gateway.sizes().pending, simulation.pending.len()),
        (0, 0),
        "no request is pending"
    );
    assert!(
        simulation.max_lag_since(RECOVERY_TIME + 3.0) < 0.05,
        "the event loop is idle again"
    );
}

#[test]
fn under_overload_low_priority_set_ups_are_shed_and_placement_continues() {
    let mut simulation = Simulation::new();
    simulation.run_until(FAILURE_TIME - 1.0);
    let start = simulation.now;
    // There is capacity for all tasks. For eight seconds more are submitted than the loop can place in time, and owners
    // resubmit rejected ones.
    simulation.failed.clear();
    simulation.handle_event(SimulatedEvent::Recovery);
    simulation.events.retain(|_, event| {
        !matches!(
            event,
            SimulatedEvent::ZoneFailure | SimulatedEvent::Recovery
        )
    });
    simulation.congested = [0; 2];
    simulation.schedule_submissions(0.0, 16_000, 8.0);
    simulation.run_until(start + 8.0);
    let [low_priority, high_priority] = simulation.congested;
    assert!(
        low_priority > 1_000 && high_priority < low_priority / 50,
        "{low_priority} and {high_priority} set-ups were shed"
    );
    // Resubmissions must not cause more shedding: the gateway still places nearly as much as it can.
    assert!(
        simulation.accepted_count > 8_000,
        "{} tasks were placed",
        simulation.accepted_count
    );
    assert!(
        simulation.max_lag_since(start + 1.0) < 1.8,
        "lag of {} s",
        simulation.max_lag_since(start + 1.0)
    );
}

#[test]
fn an_idle_second_examines_only_the_connections_of_machines_with_tasks() {
    let mut simulation = Simulation::new();
    simulation.run_until(FAILURE_TIME - 2.0);
    let before = simulation.gateway.examined();
    simulation.run_until(FAILURE_TIME - 1.0);
    let after = simulation.gateway.examined();
    assert_eq!(after.machines - before.machines, 0, "no request is pending");
    // Ten ticks, with up to 140 machines that hold a task, each with one or two connections that are examined a few
    // times.
    assert!(
        simulation.placed.len() == 300 && after.connections - before.connections < 12_000,
        "{} connections examined",
        after.connections - before.connections
    );
}
