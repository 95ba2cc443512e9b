//! If machines in use have a price, tasks are packed onto as few machines as can admit them.

mod common;

use common::{CheckedScheduler, confirmed, endpoint, idempotent_settings, offers, started, task};
use std::collections::BTreeSet;
use tidespur_policy::interface::{
    AttemptProgress, Endpoint, Event, MachineId, Resources, ServiceId, Task, TaskId,
};

/// Ten machines are full by the admission limit, two are almost full, and twelve have free capacity.
fn partly_full(machine: u64) -> Endpoint {
    let requested_fraction = match machine {
        0..10 => 1.16,
        10..12 => 0.6 + 0.3,
        _ => 0.6,
    };
    Endpoint {
        unclaimed: Resources::new(16.0, 64.0 * (1.0 - requested_fraction)),
        ..endpoint(machine)
    }
}

/// Needed machines must be able to admit the tasks they are needed for, even if tasks use much less than they request.
/// When only usage was counted, all schedulers sent all tasks to the few needed machines with free capacity.
#[test]
fn enough_machines_are_needed_for_admission() {
    let mut settings = idempotent_settings();
    settings.overcommit.memory = 1.2;
    settings.costs.idle_machines = 0.2;
    let mut checked = CheckedScheduler::new(settings, 1);
    let endpoints = (0..24).map(partly_full).collect();
    checked.step(1.0, vec![Event::EndpointsListed(endpoints)]);
    let adopted = (0..20).map(|id| Event::TaskAdopted(task(id, 0, 99.0), MachineId(id % 10)));
    checked.step(1.0, adopted.collect());
    // Tasks use 0.3 of the memory that they request.
    let usage = |id| Event::AttemptProgressed {
        task: TaskId(id),
        progress: AttemptProgress::MemoryUsage(0.6),
    };
    checked.step(8.0, (0..20).map(usage).collect());
    for step in 0..100 {
        checked.step(8.0 + 0.6 * f64::from(step), vec![]);
    }
    let mut used = BTreeSet::new();
    for id in 100..112 {
        let now = 70.0 + 0.01 * id as f64;
        let submitted = Event::TaskSubmitted(Task {
            service: ServiceId(id),
            ..task(id, 0, 79.0)
        });
        let sent = offers(&checked.step(now, vec![submitted]));
        used.extend(sent.iter().map(|offer| offer.1));
        checked.step(now, vec![confirmed(id)]);
        checked.step(now, vec![started(id)]);
    }
    assert!(used.len() >= 5, "{used:?}");
}
