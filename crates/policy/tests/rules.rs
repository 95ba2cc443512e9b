//! Tests of each of the five rules, and of each outcome by retry safety, with scripted events.

mod common;

use common::{
    CheckedScheduler, class, ended, endpoint, endpoints_listed, idempotent_settings, offers,
    settings, submitted, task,
};
use tidespur_policy::interface::{
    Action, AttemptOutcome, Class, Endpoint, EndpointStatus, Event, FailureCause, FailureDomain,
    MachineId, Resources, RetrySafety, ServiceId, Task, TaskId,
};

const KEYED: RetrySafety = RetrySafety::IdempotencyKeyed {
    domain: FailureDomain::Cell,
    window: 3.0,
};

#[test]
fn tasks_without_machines_are_rejected() {
    let mut checked = CheckedScheduler::new(idempotent_settings(), 1);
    assert!(offers(&checked.step(1.0, vec![submitted(1, 3.0)])).is_empty());
    let actions = checked.step(2.98, vec![Event::TimerFired(0)]);
    assert!(matches!(actions[0], Action::Reject { .. }), "{actions:?}");
}

#[test]
fn pending_tasks_set_a_timer_before_their_deadline() {
    let mut checked = CheckedScheduler::new(idempotent_settings(), 1);
    let actions = checked.step(1.0, vec![submitted(1, 1.04)]);
    assert!(
        actions
            .iter()
            .any(|action| matches!(action, Action::SetTimer { after, .. } if *after < 0.04))
    );
}

/// What happens to a task after its first attempt has ended.
#[derive(Debug, PartialEq)]
enum Consequence {
    Retried,
    Failed,
}

fn consequence_of(retry_safety: RetrySafety, outcome: AttemptOutcome) -> Consequence {
    let mut checked = CheckedScheduler::new(settings(vec![class(retry_safety)]), 1);
    let first = checked.step(1.0, vec![endpoints_listed(8), submitted(1, 7.0)]);
    assert_eq!(offers(&first).len(), 1);
    let actions = checked.step(1.5, vec![ended(1, 0, outcome)]);
    match &actions[..] {
        [Action::Offer { .. }, ..] => Consequence::Retried,
        [Action::Fail(_), ..] => Consequence::Failed,
        other => panic!("{retry_safety:?} after {outcome:?}: {other:?}"),
    }
}

const INTERRUPTED: AttemptOutcome = AttemptOutcome::Interrupted(FailureCause::Unspecified);

#[test]
fn idempotent_and_keyed_tasks_are_retried() {
    for retry_safety in [RetrySafety::Idempotent, KEYED] {
        for outcome in [
            AttemptOutcome::Rejected(FailureCause::QueueFull),
            AttemptOutcome::Rejected(FailureCause::InsufficientCpu),
            AttemptOutcome::TimedOut,
            AttemptOutcome::Failed,
            INTERRUPTED,
            AttemptOutcome::ConnectFailed,
        ] {
            let consequence = consequence_of(retry_safety, outcome);
            assert_eq!(
                consequence,
                Consequence::Retried,
                "{retry_safety:?} after {outcome:?}"
            );
        }
    }
}

#[test]
fn non_idempotent_tasks_are_retried_only_if_they_did_not_run() {
    for (outcome, expected) in [
        (
            AttemptOutcome::Rejected(FailureCause::InsufficientMemory),
            Consequence::Retried,
        ),
        (AttemptOutcome::ConnectFailed, Consequence::Retried),
        (AttemptOutcome::NeverSent, Consequence::Retried),
        (AttemptOutcome::TimedOut, Consequence::Failed),
        (AttemptOutcome::Failed, Consequence::Failed),
        (AttemptOutcome::Cancelled, Consequence::Failed),
        (INTERRUPTED, Consequence::Failed),
    ] {
        let consequence = consequence_of(RetrySafety::NonIdempotent, outcome);
        assert_eq!(consequence, expected, "after {outcome:?}");
    }
}

#[test]
fn keyed_tasks_are_not_retried_after_the_deduplication_window() {
    let mut checked = CheckedScheduler::new(settings(vec![class(KEYED)]), 1);
    checked.step(1.0, vec![endpoints_listed(8), submitted(1, 7.0)]);
    let actions = checked.step(4.5, vec![ended(1, 0, AttemptOutcome::TimedOut)]);
    assert!(matches!(actions[0], Action::Fail(_)), "{actions:?}");
}

#[test]
fn drains_apply_to_offers_of_the_same_step() {
    let mut checked = CheckedScheduler::new(idempotent_settings(), 1);
    checked.step(1.0, vec![endpoints_listed(2)]);
    let draining = Endpoint {
        status: EndpointStatus::Draining,
        ..endpoint(0)
    };
    let mut events: Vec<Event> = (0..6).map(|id| submitted(id, 9.0)).collect();
    events.push(Event::EndpointsChanged(vec![draining]));
    let sent = offers(&checked.step(2.0, events));
    assert!(
        !sent.is_empty() && sent.iter().all(|offer| offer.1 == MachineId(1)),
        "{sent:?}"
    );
}

/// The number of offers of one scheduler to machines that started a second ago: in the first step, and within 6 s.
fn slow_start_offers(schedulers: usize, machines: u64, seed: u64) -> (usize, usize) {
    let mut settings = idempotent_settings();
    settings.scheduler_count = schedulers;
    let mut checked = CheckedScheduler::new(settings, seed);
    let restarted = |machine| Endpoint {
        started_at: Some(99.0),
        ..endpoint(machine)
    };
    let endpoints = (0..machines).map(restarted).collect();
    let mut events = vec![Event::EndpointsListed(endpoints)];
    events.extend((0..40).map(|id| submitted(id, 109.0)));
    let in_first_step = offers(&checked.step(100.0, events)).len();
    let mut total = 0;
    for step in 1..60 {
        let actions = checked.step(100.0 + f64::from(step) * 0.1, vec![]);
        total += offers(&actions).len();
    }
    (in_first_step, total)
}

/// All schedulers are notified of a restart at the same time. Their offers to machines in slow start must be staggered
/// and stay within the budget, for one machine and for many.
#[test]
fn offers_to_machines_in_slow_start_stay_within_budget() {
    for (schedulers, machines) in [(2, 1), (2, 4), (100, 1), (100, 30)] {
        let mut in_first_step = 0;
        let mut total = 0;
        for seed in 0..10 {
            let sent = slow_start_offers(schedulers, machines, seed);
            in_first_step += sent.0;
            total += sent.1;
        }
        let in_first_step = in_first_step as f64 / 10.0;
        let total = total as f64 / 10.0;
        // A machine takes 8 offers per second from all schedulers together.
        let quota = 8.0 * machines as f64 / schedulers as f64;
        assert!(
            total <= 6.0 * quota + 1.0 && (total >= 1.0 || quota < 0.3),
            "{schedulers} schedulers, {machines} machines: {total} offers in 6 s"
        );
        assert!(
            in_first_step <= quota.max(0.5),
            "{schedulers} schedulers, {machines} machines: {in_first_step} offers in the first step"
        );
    }
}

#[test]
fn the_spread_limit_counts_placed_tasks_and_attempts() {
    let spread = Class {
        spread_domain: Some(FailureDomain::Cell),
        max_per_spread_domain: 2,
        ..class(RetrySafety::Idempotent)
    };
    let mut checked = CheckedScheduler::new(settings(vec![spread]), 1);
    let of_service = |id| Task {
        service: ServiceId(7),
        ..task(id, 0, 9.0)
    };
    let adopted = Event::TaskAdopted(of_service(1), MachineId(0));
    checked.step(1.0, vec![endpoints_listed(4), adopted]);
    let submitted = (2..6).map(|id| Event::TaskSubmitted(of_service(id)));
    let sent = offers(&checked.step(1.1, submitted.collect()));
    assert_eq!(sent.len(), 1);
}

/// A machine was replaced at its address, and its task is at the successor. If it were still counted at the machine
/// that is gone, the successor's cell would get another one.
#[test]
fn a_moved_task_counts_at_the_machine_that_it_moved_to() {
    let spread = Class {
        spread_domain: Some(FailureDomain::Cell),
        max_per_spread_domain: 1,
        ..class(RetrySafety::Idempotent)
    };
    let mut checked = CheckedScheduler::new(settings(vec![spread]), 1);
    let of_service = |id| Task {
        service: ServiceId(7),
        ..task(id, 0, 9.0)
    };
    let in_cell_0 = MachineId(0);
    let in_cell_1 = MachineId(4);
    let adopted = Event::TaskAdopted(of_service(1), in_cell_0);
    let moved = Event::TaskMoved {
        task: TaskId(1),
        machine: in_cell_1,
    };
    checked.step(1.0, vec![endpoints_listed(8), adopted, moved]);
    let actions = checked.step(1.1, vec![Event::TaskSubmitted(of_service(2))]);
    let machine = actions.iter().find_map(|action| match action {
        Action::Offer { machine, .. } => Some(*machine),
        _ => None,
    });
    assert!(
        machine.is_some_and(|machine| machine < in_cell_1),
        "{machine:?}"
    );
    // Once it has ended, the cell of the machine that it moved to takes a task again.
    let mut closed = ended(1, 0, AttemptOutcome::Finished);
    if let Event::AttemptEnded { closed, .. } = &mut closed {
        *closed = true;
    }
    let actions = checked.step(1.2, vec![closed, Event::TaskSubmitted(of_service(3))]);
    assert_eq!(offers(&actions).len(), 1);
}

/// The endpoint list may already count tasks that are adopted later. When they were counted twice, machines seemed
/// full.
#[test]
fn adopted_tasks_are_not_counted_twice() {
    let mut checked = CheckedScheduler::new(idempotent_settings(), 1);
    let full = Endpoint {
        unclaimed: Resources::new(2.0, 4.0),
        ..endpoint(0)
    };
    let mut events = vec![Event::EndpointsListed(vec![full])];
    events.extend((0..30).map(|id| Event::TaskAdopted(task(id, 0, 1.0), MachineId(0))));
    checked.step(1.0, events);
    let actions = checked.step(1.1, vec![submitted(50, 7.0)]);
    assert_eq!(offers(&actions).len(), 1);
}
