//! `explain` tells the truth: what it counts as ruled out is not chosen, and what waits is ruled out everywhere.

mod common;
use common::*;
use rand::{Rng, SeedableRng};
use std::collections::BTreeSet;
use tidespur_policy::interface::*;

/// Crowded machines, so that tasks wait, for one reason or another.
fn play(seed: u64, codes: &mut BTreeSet<String>) -> (usize, usize) {
    let mut rng = rand_pcg::Pcg32::seed_from_u64(seed);
    let spread = [
        None,
        Some(FailureDomain::Machine),
        Some(FailureDomain::Cell),
        Some(FailureDomain::Zone),
    ];
    let keyed = RetrySafety::IdempotencyKeyed {
        domain: FailureDomain::Cell,
        window: 2.0,
    };
    let classes = [RetrySafety::Idempotent, keyed, RetrySafety::NonIdempotent].map(|e| Class {
        spread_domain: spread[rng.random_range(0..4)],
        max_per_spread_domain: 1,
        deadline: 20.0,
        ..class(e)
    });
    let mut w = Watched::new(settings(classes.to_vec()), seed);
    let machines = rng.random_range(2..10);
    let (mut now, mut next) = (1000.0, 0);
    let (mut chosen, mut held) = (0, 0);
    let mut events = vec![Event::EndpointsListed((0..machines).map(entry).collect())];
    while now < 1012.0 {
        w.step(now, std::mem::take(&mut events));
        // Time passes and nothing else happens: what was ruled out at this time must not be chosen now.
        now += rng.random_range(0.01..0.12);
        let before: Vec<_> = w
            .tasks
            .keys()
            .filter_map(|id| Some((*id, w.scheduler.explain(now, *id)?)))
            .collect();
        let look = before
            .iter()
            .any(|(_, waiting)| now >= waiting.next_attempt_at);
        let actions = w.step(now, vec![Event::TimerFired(0)]);
        if let Some((task, machine)) = sends(&actions).first()
            && let Some((_, waiting)) = before.iter().find(|(id, _)| id == task)
        {
            chosen += 1;
            let bar = waiting.rejections.iter().find(|(to, _)| to == machine);
            // What cold machines bear grows within the step itself.
            assert!(
                bar.is_none_or(|(_, bar)| *bar == FilterReason::SlowStart),
                "seed {seed}: {task:?} went to {bar:?}"
            );
        }
        for (id, _) in before.iter().filter(|_| look) {
            let Some(waiting) = w.scheduler.explain(now, *id) else {
                continue;
            };
            held += 1;
            codes.extend(waiting.rejections.iter().map(|(_, bar)| {
                let text = format!("{bar:?}");
                text.split('(').next().unwrap_or("").to_owned()
            }));
            let all =
                waiting.rejections.len() == waiting.machine_count || waiting.blocker.is_some();
            assert!(
                all,
                "seed {seed}: {id:?} waits though a machine is open: {waiting:?}"
            );
        }
        for _ in 0..rng.random_range(0..4) {
            let mut new = task(next, rng.random_range(0..3), now + 20.0);
            (new.request.cpu, new.request.memory) =
                (rng.random_range(1.0..30.0), rng.random_range(1.0..40.0));
            events.push(Event::TaskSubmitted(new));
            next += 1;
        }
        for (&id, seen) in &w.tasks {
            let Some((n, last)) = seen.attempts.iter().enumerate().next_back() else {
                continue;
            };
            let ending = match rng.random_range(0..40) {
                _ if last.2.is_some() => continue,
                0..8 if !seen.answered => {
                    events.push(Event::AttemptConfirmed {
                        task: id,
                        attempt: n as u32,
                    });
                    continue;
                }
                8 => AttemptOutcome::Rejected(FailureCause::InsufficientMemory),
                9 => AttemptOutcome::TimedOut,
                10 if seen.confirmed => AttemptOutcome::Finished,
                _ => continue,
            };
            let (attempt, closed) = (n as u32, seen.confirmed);
            events.push(Event::AttemptEnded {
                task: id,
                attempt,
                outcome: ending,
                closed,
                report: None,
            });
        }
        if rng.random_bool(0.1) {
            let mut changed = entry(rng.random_range(0..machines));
            match rng.random_range(0..3) {
                0 => changed.status = EndpointStatus::Draining,
                1 => changed.started_at = Some(now),
                _ => {}
            }
            events.push(Event::EndpointsChanged(vec![changed]));
        }
    }
    (chosen, held)
}

#[test]
fn what_is_ruled_out_is_not_chosen_and_what_waits_is_ruled_out_everywhere() {
    let mut codes = BTreeSet::new();
    let (mut chosen, mut held) = (0, 0);
    for seed in 0..60 {
        let (c, h) = play(seed, &mut codes);
        (chosen, held) = (chosen + c, held + h);
    }
    assert!(
        chosen > 300 && held > 5000,
        "{chosen} choices and {held} waits test nothing"
    );
    for code in [
        "Draining",
        "OutsideDeduplicationDomain",
        "SlowStart",
        "SpreadLimit",
        "CircuitOpen",
        "TooManyOffersInFlight",
        "InsufficientCpu",
        "InsufficientMemory",
    ] {
        assert!(codes.contains(code), "{code} never came up: {codes:?}");
    }
}

#[test]
fn explaining_changes_nothing() {
    let run = |ask: bool| {
        let mut w = Watched::new(
            settings(vec![Class {
                spread_domain: Some(FailureDomain::Cell),
                max_per_spread_domain: 1,
                ..class(RetrySafety::Idempotent)
            }]),
            3,
        );
        let mut all = Vec::new();
        w.step(
            0.0,
            vec![Event::EndpointsListed((0..6).map(entry).collect())],
        );
        for i in 0..80u64 {
            let now = 0.1 + i as f64 * 0.05;
            all.extend(w.step(
                now,
                vec![
                    Event::TaskSubmitted(task(i, 0, now + 6.0)),
                    Event::TimerFired(0),
                ],
            ));
            if ask {
                (0..=i).for_each(|id| drop(w.scheduler.explain(now, TaskId(id))));
            }
        }
        all
    };
    assert_eq!(run(true), run(false));
}

#[test]
fn a_block_names_what_keeps_it_from_all() {
    let mut set = settings(vec![class(RetrySafety::NonIdempotent)]);
    set.max_attempts = 1;
    let mut w = Watched::new(set, 1);
    w.step(0.0, vec![Event::EndpointsListed(vec![entry(0)])]);
    w.step(0.1, vec![Event::TaskSubmitted(task(1, 0, 6.0))]);
    assert_eq!(
        w.scheduler.explain(0.1, TaskId(1)),
        None,
        "an offer is out: it does not wait"
    );
    assert_eq!(w.scheduler.explain(0.1, TaskId(9)), None, "nobody knows it");
    // With nothing listed a task waits, and no machine was looked at.
    let mut w = Watched::new(settings(vec![class(RetrySafety::Idempotent)]), 1);
    w.step(0.0, vec![Event::TaskSubmitted(task(1, 0, 6.0))]);
    let waiting = w.scheduler.explain(0.01, TaskId(1)).unwrap();
    assert_eq!(
        (
            waiting.machine_count,
            waiting.rejections.len(),
            waiting.blocker
        ),
        (0, 0, None)
    );
    assert!(
        waiting.send_deadline > 5.9 && waiting.send_deadline < 6.0 && waiting.next_attempt_at > 0.0
    );
    assert_eq!(
        w.scheduler.explain(6.0, TaskId(1)).unwrap().blocker,
        Some(RetryBlocker::DeadlineExceeded)
    );
}
