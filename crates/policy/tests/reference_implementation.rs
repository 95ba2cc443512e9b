//! The scheduler examines machines once for all tasks of a step. Each choice, random draws included, must match that of
//! a reference implementation that examines all machines for each task.

mod common;
mod reference;

use common::{class, settings};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use reference::ReferenceCheck;
use std::collections::BTreeMap;
use tidespur_policy::Scheduler;
use tidespur_policy::interface::{
    Action, AttemptOutcome, Class, CostModel, Endpoint, EndpointStatus, Event, FailureCause,
    FailureDomain, MachineId, MachineType, Resources, RetrySafety, SafetyLimits, Seconds,
    ServiceId, Settings, Task, TaskId,
};

const MACHINES: u64 = 24;
const STEPS: usize = 400;

/// One class for each kind of retry safety, and machines with few resources.
fn random_settings(rng: &mut Pcg32) -> Settings {
    let domains = [
        FailureDomain::All,
        FailureDomain::Zone,
        FailureDomain::Cell,
        FailureDomain::Machine,
    ];
    let keyed = RetrySafety::IdempotencyKeyed {
        domain: domains[rng.random_range(0..4)],
        window: 2.0,
    };
    let retry_safeties = [RetrySafety::Idempotent, keyed, RetrySafety::NonIdempotent];
    let classes = retry_safeties.map(|retry_safety| Class {
        deadline: 4.0,
        priority_weight: rng.random_range(1..4).into(),
        machine_type: rng.random_bool(0.2).then_some(0),
        spread_domain: [None, Some(domains[1]), Some(domains[2]), Some(domains[3])]
            [rng.random_range(0..4)],
        max_per_spread_domain: 2,
        ..class(retry_safety)
    });
    let base = settings(classes.to_vec());
    Settings {
        machine_types: vec![
            MachineType {
                capacity: Resources::new(4.0, 8.0),
            },
            MachineType {
                capacity: Resources::new(8.0, 16.0),
            },
        ],
        overcommit: Resources::new(1.5, 1.2),
        single_scheduler_per_service: rng.random_bool(0.5),
        safety_limits: SafetyLimits {
            answer_slack: 0.05,
            slow_start_duration: 3.0,
            ..base.safety_limits
        },
        costs: CostModel {
            idle_machines: if rng.random_bool(0.5) { 0.1 } else { 0.0 },
            ..CostModel::default()
        },
        ..base
    }
}

fn random_endpoint(rng: &mut Pcg32, machine: u64, now: Seconds) -> Endpoint {
    let status = match rng.random_range(0..12) {
        0 => EndpointStatus::Draining,
        1 => EndpointStatus::Gone,
        _ => EndpointStatus::Ready,
    };
    Endpoint {
        machine: MachineId(machine),
        machine_type: (machine % 2) as usize,
        cell: (machine / 4) as usize,
        zone: (machine / 8) as usize,
        status,
        started_at: rng
            .random_bool(0.2)
            .then(|| now - rng.random_range(0.0..3.0)),
        unclaimed: Resources::new(rng.random_range(0.0..4.0), rng.random_range(0.0..8.0)),
    }
}

fn random_task(rng: &mut Pcg32, id: u64, now: Seconds) -> Task {
    let amount = |rng: &mut Pcg32| f64::from(rng.random_range(1..5)) / 2.0;
    Task {
        deadline: now + rng.random_range(0.0..4.0),
        request: Resources::new(amount(rng), amount(rng)),
        expected_duration: rng.random_bool(0.8).then(|| rng.random_range(0.0..8.0)),
        class: rng.random_range(0..3),
        service: ServiceId(rng.random_range(0..4)),
        id: TaskId(id),
        tenant: rng.random_range(0..2),
        is_resubmission: rng.random_bool(0.2),
    }
}

/// The outcome of an attempt, or `None` if it doesn't end in this step.
fn random_outcome(draw: u32, is_placed: bool) -> Option<AttemptOutcome> {
    match draw {
        3 => Some(AttemptOutcome::Rejected(FailureCause::InsufficientCpu)),
        4 => Some(AttemptOutcome::Rejected(FailureCause::QueueFull)),
        5 => Some(AttemptOutcome::TimedOut),
        6 => Some(AttemptOutcome::Failed),
        7 => Some(AttemptOutcome::ConnectFailed),
        8 => Some(AttemptOutcome::Interrupted(FailureCause::Unspecified)),
        9 => Some(AttemptOutcome::Rejected(FailureCause::NotEligible)),
        10 | 11 if is_placed => Some(AttemptOutcome::Finished),
        _ => None,
    }
}

/// The state of an attempt after a step.
#[derive(Clone, Copy, PartialEq)]
enum AttemptState {
    Offered,
    Placed,
    Ended,
}

/// The last attempt of each offered task.
#[derive(Default)]
struct Attempts(BTreeMap<TaskId, (u32, AttemptState)>);

impl Attempts {
    fn record_offer(&mut self, task: TaskId) {
        let next = |(attempt, state): &mut (u32, AttemptState)| {
            *attempt += 1;
            *state = AttemptState::Offered;
        };
        let first = (0, AttemptState::Offered);
        self.0.entry(task).and_modify(next).or_insert(first);
    }

    /// Random events for all attempts, including those that have ended, which the scheduler must tolerate.
    fn random_events(&mut self, rng: &mut Pcg32) -> Vec<Event> {
        let mut events = Vec::new();
        for (&task, (attempt, state)) in &mut self.0 {
            let attempt = *attempt;
            let is_placed = *state == AttemptState::Placed;
            let draw = rng.random_range(0..60);
            if draw < 3 {
                events.push(Event::AttemptConfirmed { task, attempt });
                if *state == AttemptState::Offered {
                    *state = AttemptState::Placed;
                }
            } else if let Some(outcome) = random_outcome(draw, is_placed) {
                *state = AttemptState::Ended;
                events.push(Event::AttemptEnded {
                    task,
                    attempt,
                    outcome,
                    closed: is_placed,
                    report: None,
                });
            }
        }
        events
    }
}

/// Counters over all runs.
#[derive(Default)]
struct Totals {
    offers: usize,
    /// Unplaced tasks, summed over all steps.
    unplaced: usize,
    /// Choices that were compared.
    compared: usize,
}

/// Runs a scheduler on small machines with more work than they can take, so that most tasks wait.
fn run(seed: u64, totals: &mut Totals) {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut scheduler = Scheduler::new(random_settings(&mut rng), seed).expect("valid settings");
    let mut check = ReferenceCheck::new(seed);
    let mut attempts = Attempts::default();
    let mut now = 1000.0;
    let mut next_task = 0;
    let endpoints = (0..MACHINES).map(|machine| random_endpoint(&mut rng, machine, now));
    let mut events = vec![Event::EndpointsListed(endpoints.collect())];
    for _ in 0..STEPS {
        let mut actions = Vec::new();
        scheduler.step_observed(now, std::mem::take(&mut events), &mut actions, &mut check);
        for action in actions {
            if let Action::Offer { task, .. } = action {
                attempts.record_offer(task);
                totals.offers += 1;
            }
        }
        totals.unplaced += scheduler.unplaced_tasks();
        now += rng.random_range(0.001..0.06);
        for _ in 0..rng.random_range(0..6) {
            events.push(Event::TaskSubmitted(random_task(&mut rng, next_task, now)));
            next_task += 1;
        }
        events.extend(attempts.random_events(&mut rng));
        if rng.random_bool(0.1) {
            let machine = rng.random_range(0..MACHINES);
            events.push(Event::EndpointsChanged(vec![random_endpoint(
                &mut rng, machine, now,
            )]));
        }
    }
    totals.compared += check.compared;
}

#[test]
fn choices_match_the_reference_implementation() {
    let mut totals = Totals::default();
    for seed in 0..30 {
        run(seed, &mut totals);
    }
    assert!(
        totals.offers > 5_000 && totals.unplaced > 50_000,
        "too few cases: {} offers, {} unplaced",
        totals.offers,
        totals.unplaced
    );
    // The observer has seen the choice of each offer.
    assert!(totals.compared >= totals.offers);
    println!(
        "{} choices compared, {} offers, {} unplaced",
        totals.compared, totals.offers, totals.unplaced
    );
}
