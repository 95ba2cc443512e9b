//! The ramp of cold machines over a whole fleet: schedulers that know nothing of each other, against one list.

mod common;
use common::*;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use tidespur_policy::Scheduler;
use tidespur_policy::interface::*;

/// Plays this many schedulers under more tasks than cold machines bear, for a while; the list is the same for all, the
/// moments at which they act are not. With `restarts`, one after the other ends and starts anew, and once all do.
/// Gives the most offers that a machine got in any window, what is allowed, and the offers in all.
fn play(schedulers: usize, seed: u64, restarts: bool) -> (usize, f64, usize) {
    let mut rng = rand_pcg::Pcg32::seed_from_u64(seed);
    let mut set = settings(vec![
        class(RetrySafety::Idempotent),
        class(RetrySafety::NonIdempotent),
    ]);
    set.scheduler_count = schedulers;
    set.safety_limits.slow_start_offers = rng.random_range(1.0..40.0);
    set.safety_limits.overload_window = rng.random_range(0.5..2.0);
    let machines = rng.random_range(1..5);
    let up: Vec<Seconds> = (0..machines)
        .map(|_| 999.0 + rng.random_range(0.0..2.0))
        .collect();
    let list: Vec<Endpoint> = (0..machines)
        .map(|m| Endpoint {
            started_at: Some(up[m as usize]),
            ..entry(m * 7_919 + seed)
        })
        .collect();
    let bears = set.safety_limits.slow_start_offers;
    let start = |ordinal, seed| {
        let set = Settings {
            ordinal,
            ..set.clone()
        };
        let scheduler = Scheduler::new(set, seed).expect("settings are sound");
        (scheduler, vec![Event::EndpointsListed(list.clone())])
    };
    let mut fleet: Vec<(Scheduler, Vec<Event>)> =
        (0..schedulers).map(|n| start(n, rng.random())).collect();
    let mut sends: BTreeMap<MachineId, Vec<Seconds>> = BTreeMap::new();
    let mut attempts: BTreeMap<TaskId, u32> = BTreeMap::new();
    let (mut now, mut next) = (1001.0, 0);
    let quiet = now
        + if rng.random_bool(0.5) {
            rng.random_range(1.0..5.0)
        } else {
            0.0
        };
    // Right after the first offer: all that a fleet may have used up is forgotten then.
    let mut all_at_once = restarts;
    while now < 1008.0 {
        now += rng.random_range(0.0..0.1) / schedulers as f64;
        let turn = rng.random_range(0..schedulers);
        if restarts && rng.random_bool(0.02) {
            fleet[turn] = start(turn, rng.random());
        }
        if all_at_once
            && sends.values().map(Vec::len).sum::<usize>()
                >= schedulers.min(set.safety_limits.slow_start_offers as usize)
        {
            all_at_once = false;
            fleet = (0..schedulers).map(|n| start(n, rng.random())).collect();
        }
        let (scheduler, events) = &mut fleet[turn];
        // What a scheduler may save while it has nothing to place must not come out of all of them at once.
        for _ in 0..if now < quiet {
            0
        } else {
            rng.random_range(0..4)
        } {
            next += 1;
            let work = Task {
                request: Resources::new(0.1, 0.1),
                expected_duration: Some(0.5),
                ..task(next, 0, now + 3.0)
            };
            events.push(Event::TaskSubmitted(Task {
                class: rng.random_range(0..2),
                ..work
            }));
        }
        let mut actions = Vec::new();
        scheduler.step(now, std::mem::take(events), &mut actions);
        for action in actions {
            let Action::Offer { task, machine, .. } = action else {
                continue;
            };
            sends.entry(machine).or_default().push(now);
            // Answered by the next step, and over soon, so that nothing but the ramp holds offers back.
            let attempt = *attempts.entry(task).and_modify(|n| *n += 1).or_insert(0);
            let ends = |ending, closed| Event::AttemptEnded {
                task,
                attempt,
                outcome: ending,
                closed,
                report: None,
            };
            match rng.random_range(0..4) {
                0 => events.push(ends(
                    AttemptOutcome::Rejected(FailureCause::QueueFull),
                    false,
                )),
                _ => events.extend([
                    Event::AttemptConfirmed { task, attempt },
                    ends(AttemptOutcome::Finished, true),
                ]),
            }
        }
    }
    let window = set.safety_limits.overload_window;
    let in_window = |times: &Vec<Seconds>| {
        let from = |i: usize| {
            times[i..]
                .iter()
                .take_while(|&&at| at < times[i] + window)
                .count()
        };
        (0..times.len()).map(from).max().unwrap_or(0)
    };
    let most = sends.values().map(in_window).max().unwrap_or(0);
    (
        most,
        bears + 2.0 * bears.sqrt() + 2.0,
        sends.values().map(Vec::len).sum(),
    )
}

fn plays(schedulers: usize, restarts: bool) {
    let (mut highest, mut offers) = (0.0f64, 0);
    for seed in 0..150 {
        let (most, allowed, sent) = play(schedulers, seed, restarts);
        assert!(
            most as f64 <= allowed,
            "{schedulers} schedulers, seed {seed}: {most} of {allowed:.1}"
        );
        highest = highest.max(most as f64 / allowed);
        offers += sent;
    }
    println!("{schedulers} schedulers: at most {highest:.2} of what is allowed, {offers} offers");
    assert!(offers > 150 * 10, "the ramp is used: {offers} offers");
}

#[test]
fn one_scheduler_keeps_the_ramp() {
    plays(1, false);
}

#[test]
fn sixteen_schedulers_keep_the_ramp_together() {
    plays(16, false);
}

#[test]
fn twenty_schedulers_keep_the_ramp_together() {
    plays(20, false);
}

#[test]
fn thirty_schedulers_keep_the_ramp_together() {
    plays(30, false);
}

#[test]
fn a_fleet_that_restarts_keeps_the_ramp() {
    for schedulers in [1, 3, 16, 30] {
        plays(schedulers, true);
    }
}

/// Sixteen schedulers, each counted alone at first, hear of all at drawn moments: from the last of these on the sum holds.
#[test]
fn schedulers_that_hear_of_more_take_a_smaller_part_each() {
    let mut set = settings(vec![class(RetrySafety::Idempotent)]);
    set.safety_limits.slow_start_offers = 16.0;
    let list = vec![Endpoint {
        started_at: Some(999.5),
        ..entry(7)
    }];
    let mut sent = Vec::new();
    for ordinal in 0..16 {
        set.ordinal = ordinal;
        set.scheduler_count = ordinal + 1;
        let mut scheduler =
            Scheduler::new(set.clone(), ordinal as u64).expect("settings are sound");
        let mut now = 1000.0;
        let mut events = vec![
            Event::EndpointsListed(list.clone()),
            Event::SchedulerCountChanged(16),
        ];
        while now < 1006.0 {
            let id = (ordinal * 10_000) as u64 + (now * 100.0) as u64 % 10_000;
            let work = Task {
                request: Resources::new(0.1, 0.1),
                expected_duration: Some(0.5),
                ..task(id, 0, now + 3.0)
            };
            events.push(Event::TaskSubmitted(work));
            let mut actions = Vec::new();
            scheduler.step(now, std::mem::take(&mut events), &mut actions);
            for action in actions {
                let Action::Offer { task, .. } = action else {
                    continue;
                };
                sent.push(now);
                let ends = Event::AttemptEnded {
                    task,
                    attempt: 0,
                    outcome: AttemptOutcome::Finished,
                    closed: true,
                    report: None,
                };
                events.extend([Event::AttemptConfirmed { task, attempt: 0 }, ends]);
            }
            now += 0.05;
        }
    }
    sent.sort_by(f64::total_cmp);
    let window = set.safety_limits.overload_window;
    let most = sent
        .iter()
        .map(|&from| {
            sent.iter()
                .filter(|&&at| at >= from && at < from + window)
                .count()
        })
        .max();
    assert!(
        (16..=26).contains(&most.unwrap_or(0)),
        "{most:?} of 26 offers in a window: sixteen schedulers, one each"
    );
}
