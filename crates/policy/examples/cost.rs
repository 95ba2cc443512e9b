//! What a look at all that waits, an event and a decision cost, by machines and by tasks that wait. Wall time of one
//! thread in microseconds, the least of five; to be read as ratios between builds on one machine:
//! `cargo run --release -p tidespur-policy --example cost`.

use std::time::Instant;
use tidespur_policy::Scheduler;
use tidespur_policy::interface::{
    Action, AttemptProgress, Class, Endpoint, Event, FailureDomain, MachineId, Resources,
    RetrySafety, ServiceId, Settings, Task, TaskId,
};

#[path = "../tests/common/mod.rs"]
mod common;

/// Two classes that wait for ever, one of them spread.
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
    let set = common::settings(vec![class, spread]);
    Settings {
        scheduler_count: 16,
        reports_measured_usage: false,
        max_attempts: 1_000,
        ..set
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

/// The least time of five, in microseconds.
fn least(mut act: impl FnMut(usize)) -> f64 {
    let times = (0..5).map(|n| {
        let began = Instant::now();
        act(n);
        began.elapsed().as_secs_f64() * 1e6
    });
    times.fold(f64::INFINITY, f64::min)
}

fn main() {
    println!("machines  waiting  a look us  an event us  a decision us");
    for machines in [72, 400, 5_000] {
        for waiting in [0, 500, 5_000] {
            // All machines are full but for the one that the decisions go to.
            let mut scheduler = Scheduler::new(settings(), 1).expect("settings are sound");
            let list = (0..machines).map(|m| endpoint(m, -45.9)).collect();
            let mut now = 1000.0;
            let mut step = |scheduler: &mut Scheduler, after: f64, events: Vec<Event>| {
                now += after;
                let mut out = Vec::new();
                scheduler.step(now, events, &mut out);
                out
            };
            step(&mut scheduler, 0.0, vec![Event::EndpointsListed(list)]);
            let submits = (0..waiting)
                .map(|id| Event::TaskSubmitted(task(id)))
                .collect();
            step(&mut scheduler, 0.1, submits);
            let look = least(|_| drop(step(&mut scheduler, 5.0, vec![Event::TimerFired(0)])));
            let note = Event::AttemptProgressed {
                task: TaskId(0),
                progress: AttemptProgress::ServiceLevel(1.0),
            };
            let event = least(|_| drop(step(&mut scheduler, 1e-6, vec![note.clone()])));
            let decision = least(|n| {
                // Too large for what is free elsewhere, and a service of its own.
                let id = TaskId(1_000_000 + n as u64);
                let one = Task {
                    id,
                    service: ServiceId(99),
                    ..task(1)
                };
                let free = Event::EndpointsChanged(vec![endpoint(n as u64, 30.0)]);
                let out = step(&mut scheduler, 1e-6, vec![free, Event::TaskSubmitted(one)]);
                assert!(
                    out.iter()
                        .any(|action| matches!(action, Action::Offer { .. })),
                    "nothing was sent"
                );
            });
            println!("{machines:8}  {waiting:7}  {look:9.1}  {event:11.2}  {decision:13.1}");
        }
    }
}
