//! The five rules hold on seeded random event sequences. [`CheckedScheduler`] asserts them.

mod common;

use common::{CheckedScheduler, class, endpoint, offers, settings, task};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use tidespur_policy::interface::{
    Action, AttemptOutcome, Class, EndpointStatus, Event, FailureCause, FailureDomain, RetrySafety,
    Seconds, Settings,
};

/// The times of a run, in seconds.
const START: Seconds = 1000.0;
const LAST_SUBMISSION: Seconds = 1022.0;
const END: Seconds = 1030.0;

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
    let spread_domains = [
        None,
        Some(FailureDomain::Machine),
        Some(FailureDomain::Cell),
        Some(FailureDomain::Zone),
    ];
    let retry_safeties = [RetrySafety::Idempotent, keyed, RetrySafety::NonIdempotent];
    let classes = retry_safeties.map(|retry_safety| Class {
        spread_domain: spread_domains[rng.random_range(0..4)],
        max_per_spread_domain: 3,
        ..class(retry_safety)
    });
    Settings {
        scheduler_count: rng.random_range(1..4),
        allows_load_polls: rng.random_bool(0.5),
        requires_subscription: rng.random_bool(0.5),
        lists_unclaimed: rng.random_bool(0.5),
        ..settings(classes.to_vec())
    }
}

struct Run {
    rng: Pcg32,
    checked: CheckedScheduler,
    machines: u64,
    now: Seconds,
    next_task: u64,
    timers: Vec<Seconds>,
    actions: Vec<Action>,
}

impl Run {
    fn new(seed: u64) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let settings = random_settings(&mut rng);
        Self {
            machines: rng.random_range(1..16),
            rng,
            checked: CheckedScheduler::new(settings, seed),
            now: START,
            next_task: 0,
            timers: Vec::new(),
            actions: Vec::new(),
        }
    }

    fn execute(&mut self) {
        let endpoints = (0..self.machines).map(endpoint).collect();
        let mut events = vec![Event::EndpointsListed(endpoints)];
        while self.now < END {
            self.step(events);
            events = Vec::new();
            events.extend(self.advance());
            events.extend(self.submission());
            events.extend(self.attempt_events());
            events.extend(self.list_event());
        }
    }

    fn step(&mut self, events: Vec<Event>) {
        let actions = self.checked.step(self.now, events);
        for action in &actions {
            if let Action::SetTimer { after, .. } = action {
                self.timers.push(self.now + after);
            }
        }
        self.actions.extend(actions);
    }

    /// Advances the time, at most to the next timer.
    fn advance(&mut self) -> Option<Event> {
        let due = self.timers.iter().copied().fold(f64::INFINITY, f64::min);
        let next = self.now + self.rng.random_range(0.001..0.1);
        self.now = next.min(due.max(self.now + 0.001));
        if due > self.now {
            return None;
        }
        self.timers.retain(|&at| at > self.now);
        Some(Event::TimerFired(0))
    }

    fn submission(&mut self) -> Option<Event> {
        if self.now >= LAST_SUBMISSION || !self.rng.random_bool(0.7) {
            return None;
        }
        let class = self.rng.random_range(0..3);
        let deadline = self.now + self.rng.random_range(0.0..6.0);
        let mut submitted = task(self.next_task, class, deadline);
        let has_duration = self.rng.random_bool(0.8);
        submitted.expected_duration = has_duration.then(|| self.rng.random_range(0.0..8.0));
        self.next_task += 1;
        Some(Event::TaskSubmitted(submitted))
    }

    fn attempt_events(&mut self) -> Vec<Event> {
        let mut events = Vec::new();
        for (&id, observed) in &self.checked.tasks {
            let Some(attempt) = observed.open_attempt() else {
                continue;
            };
            let is_confirmed = observed.confirmed;
            let is_late = !observed.answered && self.now >= observed.task.deadline - 0.02;
            let outcome = match self.rng.random_range(0..60) {
                0..4 if !observed.answered => {
                    events.push(Event::AttemptConfirmed { task: id, attempt });
                    continue;
                }
                4 => AttemptOutcome::Rejected(FailureCause::InsufficientCpu),
                5 => AttemptOutcome::TimedOut,
                6 => AttemptOutcome::Failed,
                7 => AttemptOutcome::ConnectFailed,
                8 => AttemptOutcome::Interrupted(FailureCause::Unspecified),
                9 => AttemptOutcome::Interrupted(FailureCause::Drained),
                10 if is_confirmed => AttemptOutcome::Finished,
                11 if self.rng.random_bool(0.1) => {
                    events.push(Event::TaskCancelled(id));
                    continue;
                }
                _ if is_late => AttemptOutcome::TimedOut,
                _ => continue,
            };
            events.push(Event::AttemptEnded {
                task: id,
                attempt,
                outcome,
                closed: is_confirmed,
                report: None,
            });
        }
        events
    }

    fn list_event(&mut self) -> Option<Event> {
        if self.rng.random_bool(0.05) {
            let mut changed = endpoint(self.rng.random_range(0..self.machines));
            match self.rng.random_range(0..4) {
                0 => changed.status = EndpointStatus::Draining,
                1 => changed.status = EndpointStatus::Gone,
                2 => changed.started_at = Some(self.now - self.rng.random_range(0.0..3.0)),
                _ => {}
            }
            return Some(Event::EndpointsChanged(vec![changed]));
        }
        self.rng
            .random_bool(0.01)
            .then_some(Event::EndpointListFailed)
    }
}

fn run(seed: u64) -> Vec<Action> {
    let mut run = Run::new(seed);
    run.execute();
    assert!(run.checked.tasks.values().all(|task| task.answered));
    run.actions
}

#[test]
fn rules_hold_on_random_sequences() {
    let sent: usize = (0..30).map(|seed| offers(&run(seed)).len()).sum();
    println!("{sent} offers");
    assert!(sent > 1500, "too few cases: {sent} offers");
}

#[test]
fn the_same_events_give_the_same_actions() {
    assert_eq!(run(7), run(7));
}
