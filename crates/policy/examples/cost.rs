//! Measures how long a retry of all pending tasks, an event and a placement take, by number of machines and of pending
//! tasks. Prints the minimum wall time of five runs on one thread, in microseconds. Meaningful only as a ratio between
//! builds on one machine: `cargo run --release -p tidespur-policy --example cost`.

use std::time::Instant;
use tidespur_policy::Scheduler;
use tidespur_policy::interface::{
    Action, AttemptProgress, Class, Endpoint, Event, FailureDomain, MachineId, Resources,
    RetrySafety, ServiceId, Settings, Task, TaskId,
};

#[path = "../tests/common/mod.rs"]
mod common;

/// Two classes whose tasks stay pending indefinitely, one of them with a spread limit.
fn settings() -> Settings {
    let class = Class {
        latency_objective: 1e6,
        deadline: 1e6,
        ..common::class(RetrySafety::Idempotent)
    };
    let spread = Class {
        priority_weight: 3.0,
        spread_domain: Some(FailureDomain::Machine),
        max_per_spread_domain: 2,
        ..class.clone()
    };
    let base = common::settings(vec![class, spread]);
    Settings {
        scheduler_count: 16,
        reports_measured_usage: false,
        max_attempts: 1_000,
        ..base
    }
}

fn endpoint(machine: u64, free: f64) -> Endpoint {
    let id = MachineId(machine.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    Endpoint {
        machine: id,
        zone: machine as usize % 3,
        unclaimed: Resources::new(free, 60.0),
        ..common::endpoint(machine)
    }
}

fn task(id: u64) -> Task {
    Task {
        service: ServiceId(id % 50),
        expected_duration: Some(60.0),
        request: Resources::new(
            [0.5, 1.0, 2.0][id as usize % 3],
            [1.0, 2.0][id as usize % 2],
        ),
        ..common::task(id, usize::from(id.is_multiple_of(4)), 1e7)
    }
}

/// The minimum time of five runs of `function`, in microseconds.
fn min_time(mut function: impl FnMut(usize)) -> f64 {
    let times = (0..5).map(|run| {
        let started_at = Instant::now();
        function(run);
        started_at.elapsed().as_secs_f64() * 1e6
    });
    times.fold(f64::INFINITY, f64::min)
}

fn main() {
    println!("machines  pending   retry us     event us   placement us");
    for machines in [72, 400, 5_000] {
        for pending in [0, 500, 5_000] {
            // All machines are full, except for the one that is freed before each placement.
            let mut scheduler = Scheduler::new(settings(), 1).expect("valid settings");
            let endpoints = (0..machines).map(|m| endpoint(m, -45.9)).collect();
            let mut now = 1000.0;
            let mut step = |scheduler: &mut Scheduler, elapsed: f64, events: Vec<Event>| {
                now += elapsed;
                let mut actions = Vec::new();
                scheduler.step(now, events, &mut actions);
                actions
            };
            step(&mut scheduler, 0.0, vec![Event::EndpointsListed(endpoints)]);
            let submissions = (0..pending)
                .map(|id| Event::TaskSubmitted(task(id)))
                .collect();
            step(&mut scheduler, 0.1, submissions);
            let retry = min_time(|_| drop(step(&mut scheduler, 5.0, vec![Event::TimerFired(0)])));
            let progressed = Event::AttemptProgressed {
                task: TaskId(0),
                progress: AttemptProgress::ServiceLevel(1.0),
            };
            let event = min_time(|_| drop(step(&mut scheduler, 1e-6, vec![progressed.clone()])));
            let placement = min_time(|run| {
                // Only the freed machine has capacity for the task, whose service has no other tasks.
                let id = TaskId(1_000_000 + run as u64);
                let task = Task {
                    id,
                    service: ServiceId(99),
                    ..task(1)
                };
                let freed = Event::EndpointsChanged(vec![endpoint(run as u64, 30.0)]);
                let events = vec![freed, Event::TaskSubmitted(task)];
                let actions = step(&mut scheduler, 1e-6, events);
                assert!(
                    actions
                        .iter()
                        .any(|action| matches!(action, Action::Offer { .. })),
                    "no offer was made"
                );
            });
            println!("{machines:8}  {pending:7}  {retry:9.1}  {event:11.2}  {placement:13.1}");
        }
    }
}
