//! The slow-start limit over a fleet of schedulers that don't communicate and share one endpoint list.

mod common;
mod fleet;

use common::{endpoint, idempotent_settings, task};
use fleet::{Fleet, RunResult, max_in_window};
use rand::Rng;
use tidespur_policy::Scheduler;
use tidespur_policy::interface::{
    Action, AttemptOutcome, Endpoint, Event, Resources, Seconds, Settings, Task,
};

/// The number of runs of each check.
const SEEDS: u64 = 150;

/// The times of a run, in seconds.
const START: Seconds = 1001.0;
const END: Seconds = 1008.0;

/// Runs this many schedulers with more tasks than machines in slow start can take. They share the endpoint list, but
/// act at different times. With `restarts`, schedulers are restarted at random, and once all at the same time.
fn run(schedulers: usize, seed: u64, restarts: bool) -> RunResult {
    let mut fleet = Fleet::new(schedulers, seed);
    let mut now = START;
    // Schedulers must not all spend at once the budget that they accrue while they have no tasks.
    let idle_until = if fleet.rng.random_bool(0.5) {
        now + fleet.rng.random_range(1.0..5.0)
    } else {
        now
    };
    // All schedulers restart after the first offers, and so lose track of the budget they have spent.
    let mut restart_all = restarts;
    let safe_offers = fleet.settings.safety_limits.slow_start_offers as usize;
    while now < END {
        now += fleet.rng.random_range(0.0..0.1) / schedulers as f64;
        let member = fleet.rng.random_range(0..schedulers);
        if restarts && fleet.rng.random_bool(0.02) {
            fleet.members[member] = fleet.start(member);
        }
        if restart_all && fleet.total() >= schedulers.min(safe_offers) {
            restart_all = false;
            fleet.members = fleet.start_all();
        }
        if now >= idle_until {
            fleet.submit_tasks(member, now);
        }
        fleet.step(member, now);
    }
    fleet.result()
}

fn check_runs(schedulers: usize, restarts: bool) {
    let mut highest = 0.0f64;
    let mut total = 0;
    for seed in 0..SEEDS {
        let result = run(schedulers, seed, restarts);
        let max_in_window = result.max_in_window as f64;
        assert!(
            max_in_window <= result.allowed,
            "{schedulers} schedulers, seed {seed}: {max_in_window} offers in a window, {:.1} allowed",
            result.allowed
        );
        highest = highest.max(max_in_window / result.allowed);
        total += result.total;
    }
    println!("{schedulers} schedulers: at most {highest:.2} of the allowed offers, {total} offers");
    assert!(
        total > 150 * 10,
        "too few offers during slow start: {total}"
    );
}

#[test]
fn one_scheduler_keeps_the_slow_start_limit() {
    check_runs(1, false);
}

#[test]
fn sixteen_schedulers_keep_the_slow_start_limit_together() {
    check_runs(16, false);
}

#[test]
fn twenty_schedulers_keep_the_slow_start_limit_together() {
    check_runs(20, false);
}

#[test]
fn thirty_schedulers_keep_the_slow_start_limit_together() {
    check_runs(30, false);
}

#[test]
fn restarted_schedulers_keep_the_slow_start_limit() {
    for schedulers in [1, 3, 16, 30] {
        check_runs(schedulers, true);
    }
}

/// The offer times of a scheduler that starts with a count of `ordinal + 1` schedulers and is notified of sixteen.
fn offers_after_count_change(settings: Settings) -> Vec<Seconds> {
    let ordinal = settings.ordinal;
    let restarted = Endpoint {
        started_at: Some(999.5),
        ..endpoint(7)
    };
    let mut scheduler = Scheduler::new(settings, ordinal as u64).expect("valid settings");
    let mut times = Vec::new();
    let mut now = 1000.0;
    let mut events = vec![
        Event::EndpointsListed(vec![restarted]),
        Event::SchedulerCountChanged(16),
    ];
    while now < 1006.0 {
        let id = (ordinal * 10_000) as u64 + (now * 100.0) as u64 % 10_000;
        events.push(Event::TaskSubmitted(Task {
            request: Resources::new(0.1, 0.1),
            expected_duration: Some(0.5),
            ..task(id, 0, now + 3.0)
        }));
        let mut actions = Vec::new();
        scheduler.step(now, std::mem::take(&mut events), &mut actions);
        for action in actions {
            let Action::Offer { task, .. } = action else {
                continue;
            };
            times.push(now);
            events.push(Event::AttemptConfirmed { task, attempt: 0 });
            events.push(Event::AttemptEnded {
                task,
                attempt: 0,
                outcome: AttemptOutcome::Finished,
                closed: true,
                report: None,
            });
        }
        now += 0.05;
    }
    times
}

/// Once all of sixteen schedulers are notified of the others, their offers together stay within the limit.
#[test]
fn a_higher_scheduler_count_reduces_the_budget_of_each() {
    let mut settings = idempotent_settings();
    settings.safety_limits.slow_start_offers = 16.0;
    let mut times = Vec::new();
    for ordinal in 0..16 {
        settings.ordinal = ordinal;
        settings.scheduler_count = ordinal + 1;
        times.extend(offers_after_count_change(settings.clone()));
    }
    times.sort_by(f64::total_cmp);
    let max_in_window = max_in_window(&times, settings.safety_limits.overload_window);
    assert!(
        (16..=26).contains(&max_in_window),
        "{max_in_window} offers in a window of sixteen schedulers, 16 to 26 expected"
    );
}
