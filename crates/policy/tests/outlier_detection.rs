//! Offers to machines that reject or fail, have a full queue, or are gone.

mod common;

use common::{
    CheckedScheduler, confirmed, ended, endpoint, endpoints_listed, idempotent_settings, offers,
    submitted, task,
};
use tidespur_policy::interface::{
    AttemptOutcome, Endpoint, EndpointStatus, Event, FailureCause, Resources, Task, TaskId,
};

/// A machine that rejects all offers gets them at increasing intervals, whatever the cause.
#[test]
fn machines_that_keep_rejecting_get_few_offers() {
    let mut checked = CheckedScheduler::new(idempotent_settings(), 1);
    checked.step(1.0, vec![endpoints_listed(1)]);
    let mut now = 1.0;
    let mut total = 0;
    for id in 0..200 {
        now += 0.1;
        let mut events = vec![submitted(id, now + 1.0)];
        loop {
            let sent = offers(&checked.step(now, std::mem::take(&mut events)));
            if sent.is_empty() {
                break;
            }
            total += sent.len();
            for (id, _) in sent {
                let attempt = checked.tasks[&id].attempts.len() as u32 - 1;
                let rejected = AttemptOutcome::Rejected(FailureCause::NotEligible);
                events.push(ended(id.0, attempt, rejected));
            }
        }
    }
    assert!((3..20).contains(&total), "{total} offers in 20 s");
}

/// A burst of tasks must not overflow the offer queue of a machine.
#[test]
fn bursts_do_not_overflow_the_offer_queue() {
    let mut checked = CheckedScheduler::new(idempotent_settings(), 1);
    let mut events = vec![endpoints_listed(1)];
    events.extend((0..40).map(|id| submitted(id, 7.0)));
    let first = offers(&checked.step(1.0, events)).len();
    assert!((1..=8).contains(&first), "{first} offers at once");
    let more = checked.step(1.1, vec![confirmed(0)]);
    assert!(!offers(&more).is_empty());
}

#[test]
fn errors_of_faulty_tasks_count_against_no_machine() {
    // Faulty tasks return an error on every machine.
    let mut checked = CheckedScheduler::new(idempotent_settings(), 1);
    let mut now = 1.0;
    checked.step(now, vec![endpoints_listed(4)]);
    for id in 1..=20 {
        now += 0.01;
        let mut actions = checked.step(now, vec![submitted(id, now + 6.0)]);
        let mut attempt = 0;
        while !offers(&actions).is_empty() {
            now += 0.01;
            actions = checked.step(now, vec![ended(id, attempt, AttemptOutcome::Failed)]);
            attempt += 1;
        }
    }
    // A task without fault is placed at once, well before the minimum backoff of one second has elapsed.
    let actions = checked.step(now + 0.01, vec![submitted(99, now + 6.0)]);
    assert_eq!(offers(&actions).len(), 1, "{actions:?}");
}

#[test]
fn the_state_of_gone_machines_is_bounded() {
    let mut checked = CheckedScheduler::new(idempotent_settings(), 1);
    for id in 0..1_000 {
        let gone = Endpoint {
            status: EndpointStatus::Gone,
            ..endpoint(id)
        };
        let changes = vec![gone, endpoint(id + 1)];
        checked.step(1.0 + id as f64, vec![Event::EndpointsChanged(changes)]);
    }
    checked.step(2_000.0, vec![submitted(1, 1.0)]);
    let too_large = Task {
        request: Resources::new(1e3, 2.0),
        ..task(2, 0, 2_007.0)
    };
    checked.step(2_001.0, vec![Event::TaskSubmitted(too_large)]);
    let diagnosis = checked
        .scheduler
        .explain(2_001.0, TaskId(2))
        .expect("the task is pending");
    assert!(
        diagnosis.machine_count < 200,
        "{} machines are still known",
        diagnosis.machine_count
    );
}
