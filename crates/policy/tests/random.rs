//! Seeded random event sequences; `Watched` asserts all five rules from outside.

mod common;
use common::*;
use rand::{Rng, SeedableRng};
use tidespur_policy::interface::*;

fn play(seed: u64) -> (usize, Vec<Action>) {
    let mut rng = rand_pcg::Pcg32::seed_from_u64(seed);
    let keyed = RetrySafety::IdempotencyKeyed {
        domain: [
            FailureDomain::All,
            FailureDomain::Zone,
            FailureDomain::Cell,
            FailureDomain::Machine,
        ][rng.random_range(0..4)],
        window: 2.0,
    };
    let spread = [
        None,
        Some(FailureDomain::Machine),
        Some(FailureDomain::Cell),
        Some(FailureDomain::Zone),
    ];
    let classes = [RetrySafety::Idempotent, keyed, RetrySafety::NonIdempotent].map(|e| Class {
        spread_domain: spread[rng.random_range(0..4)],
        max_per_spread_domain: 3,
        ..class(e)
    });
    let mut set = settings(classes.to_vec());
    set.scheduler_count = rng.random_range(1..4);
    set.allows_load_polls = rng.random_bool(0.5);
    set.requires_subscription = rng.random_bool(0.5);
    set.lists_unclaimed = rng.random_bool(0.5);
    let machines = rng.random_range(1..16);
    let mut w = Watched::new(set, seed);
    let (mut now, mut next, mut all) = (1000.0, 0, Vec::new());
    let mut timers: Vec<Seconds> = Vec::new();
    let mut events = vec![Event::EndpointsListed((0..machines).map(entry).collect())];
    while now < 1030.0 {
        let actions = w.step(now, std::mem::take(&mut events));
        for action in &actions {
            if let Action::SetTimer { after, .. } = action {
                timers.push(now + after);
            }
        }
        all.extend(actions);
        let due = timers.iter().copied().fold(f64::INFINITY, f64::min);
        now = (now + rng.random_range(0.001..0.1)).min(due.max(now + 0.001));
        if due <= now {
            timers.retain(|&t| t > now);
            events.push(Event::TimerFired(0));
        }
        if now < 1022.0 && rng.random_bool(0.7) {
            let mut new = task(
                next,
                rng.random_range(0..3),
                now + rng.random_range(0.0..6.0),
            );
            new.expected_duration = rng.random_bool(0.8).then(|| rng.random_range(0.0..8.0));
            events.push(Event::TaskSubmitted(new));
            next += 1;
        }
        for (&id, seen) in &w.tasks {
            let Some((n, last)) = seen.attempts.iter().enumerate().next_back() else {
                continue;
            };
            let attempt = n as u32;
            if last.2.is_some() {
                continue;
            }
            let closed = seen.confirmed;
            let ending = match rng.random_range(0..60) {
                0..4 if !seen.answered => {
                    events.push(Event::AttemptConfirmed { task: id, attempt });
                    continue;
                }
                4 => AttemptOutcome::Rejected(FailureCause::InsufficientCpu),
                5 => AttemptOutcome::TimedOut,
                6 => AttemptOutcome::Failed,
                7 => AttemptOutcome::ConnectFailed,
                8 => AttemptOutcome::Interrupted(FailureCause::Unspecified),
                9 => AttemptOutcome::Interrupted(FailureCause::Drained),
                10 if closed => AttemptOutcome::Finished,
                11 if rng.random_bool(0.1) => {
                    events.push(Event::TaskCancelled(id));
                    continue;
                }
                _ if !seen.answered && now >= seen.task.deadline - 0.02 => AttemptOutcome::TimedOut,
                _ => continue,
            };
            events.push(Event::AttemptEnded {
                task: id,
                attempt,
                outcome: ending,
                closed,
                report: None,
            });
        }
        if rng.random_bool(0.05) {
            let mut changed = entry(rng.random_range(0..machines));
            match rng.random_range(0..4) {
                0 => changed.status = EndpointStatus::Draining,
                1 => changed.status = EndpointStatus::Gone,
                2 => changed.started_at = Some(now - rng.random_range(0.0..3.0)),
                _ => {}
            }
            events.push(Event::EndpointsChanged(vec![changed]));
        } else if rng.random_bool(0.01) {
            events.push(Event::EndpointListFailed);
        }
    }
    assert!(w.tasks.values().all(|t| t.answered));
    (sends(&all).len(), all)
}

#[test]
fn rules_hold_on_random_sequences() {
    let sent: usize = (0..30).map(|seed| play(seed).0).sum();
    assert!(sent > 1500, "only {sent} sends: the sequences test nothing");
}

#[test]
fn the_same_events_give_the_same_actions() {
    assert_eq!(play(7).1, play(7).1);
}
