//! What a look at all that waits, an event and a decision cost, by machines and by tasks that wait. Wall time of one
//! thread in microseconds, the least of five; to be read as ratios between builds on one machine:
//! `cargo run --release -p tidespur-policy --example cost`.

use std::time::Instant;
use tidespur_policy::Scheduler;
use tidespur_policy::interface::*;

fn settings() -> Settings {
    let class = |worth| Class {
        aim: 1e6,
        deadline: 1e6,
        effect: Effect::Safe,
        worth,
        start_worth: 10.0,
        calm: 1.0,
        fade: 1.0,
        kind: None,
        priority: 0,
        spread: None,
        spread_most: 0,
    };
    let spread = Class { spread: Some(Place::Machine), spread_most: 2, ..class(3.0) };
    Settings {
        ordinal: 0,
        schedulers: 16,
        zone: 0,
        classes: vec![class(1.0), spread],
        tenants: vec![],
        kinds: vec![Kind { cores: 32.0, memory: 64.0 }],
        admit_cores: 2.5,
        admit_memory: 1.5,
        one_home: false,
        confirm_when_running: false,
        subscribe: false,
        lists_free: true,
        reports: Reports::Answers,
        reports_use: false,
        probes: false,
        messages: false,
        max_attempts: 1_000,
        max_retry_after: 0.0,
        over_share_worth: 0.1,
        safety: Safety {
            answer_slack: 0.05,
            ask_within: 10.0,
            cold_from: 0.15,
            cold: 9.0,
            cold_bears: 8.0,
            drain_grace: 1.0,
            fall_multiple: 3.0,
            overload_for: 1.0,
        },
        prices: Prices::default(),
    }
}

fn entry(machine: u64, free: f64) -> Entry {
    Entry {
        machine: MachineId(machine.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        kind: 0,
        cell: machine as usize / 8,
        zone: machine as usize % 3,
        standing: Standing::Ready,
        up_since: None,
        free_cores: free,
        free_memory: 60.0,
    }
}

fn task(id: u64) -> Task {
    Task {
        id: TaskId(id),
        class: usize::from(id.is_multiple_of(4)),
        tenant: 0,
        service: ServiceId(id % 50),
        deadline: 1e7,
        life: Some(60.0),
        cores: [0.5, 1.0, 2.0][id as usize % 3],
        memory: [1.0, 2.0][id as usize % 2],
        returned: false,
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
            let list = (0..machines).map(|m| entry(m, -45.9)).collect();
            let mut now = 1000.0;
            let mut step = |scheduler: &mut Scheduler, after: f64, events: Vec<Event>| {
                now += after;
                let mut out = Vec::new();
                scheduler.step(now, events, &mut out);
                out
            };
            step(&mut scheduler, 0.0, vec![Event::ListWhole(list)]);
            let submits = (0..waiting).map(|id| Event::Submit(task(id))).collect();
            step(&mut scheduler, 0.1, submits);
            let look = least(|_| drop(step(&mut scheduler, 5.0, vec![Event::Timer(0)])));
            let note = Event::Note { task: TaskId(0), note: Note::Served(1.0) };
            let event = least(|_| drop(step(&mut scheduler, 1e-6, vec![note.clone()])));
            let decision = least(|n| {
                // Too large for what is free elsewhere, and a service of its own.
                let id = TaskId(1_000_000 + n as u64);
                let one = Task { id, service: ServiceId(99), ..task(1) };
                let free = Event::ListChanges(vec![entry(n as u64, 30.0)]);
                let out = step(&mut scheduler, 1e-6, vec![free, Event::Submit(one)]);
                assert!(out.iter().any(|action| matches!(action, Action::Send { .. })), "nothing was sent");
            });
            println!("{machines:8}  {waiting:7}  {look:9.1}  {event:11.2}  {decision:13.1}");
        }
    }
}
