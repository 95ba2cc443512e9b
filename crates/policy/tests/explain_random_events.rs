//! `explain` agrees with placement: rejected machines are not chosen, and all machines are rejected for a pending task.

mod common;

use common::{CheckedScheduler, class, endpoint, offers, settings, task};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeSet;
use tidespur_policy::interface::{
    Action, AttemptOutcome, Class, EndpointStatus, Event, FailureCause, FailureDomain,
    FilterReason, PendingDiagnosis, Resources, RetrySafety, Seconds, Settings, TaskId,
};

/// The times of a run, in seconds.
const START: Seconds = 1000.0;
const END: Seconds = 1012.0;

fn random_settings(rng: &mut Pcg32) -> Settings {
    let spread_domains = [
        None,
        Some(FailureDomain::Machine),
        Some(FailureDomain::Cell),
        Some(FailureDomain::Zone),
    ];
    let keyed = RetrySafety::IdempotencyKeyed {
        domain: FailureDomain::Cell,
        window: 2.0,
    };
    let retry_safeties = [RetrySafety::Idempotent, keyed, RetrySafety::NonIdempotent];
    let classes = retry_safeties.map(|retry_safety| Class {
        spread_domain: spread_domains[rng.random_range(0..4)],
        max_per_spread_domain: 1,
        deadline: 20.0,
        ..class(retry_safety)
    });
    settings(classes.to_vec())
}

/// Counters over all runs.
#[derive(Default)]
struct Totals {
    /// The names of all reasons for which machines were rejected.
    reasons: BTreeSet<String>,
    /// Choices of a machine that were compared with a diagnosis.
    choices: usize,
    /// Diagnoses of tasks that stayed pending after a retry.
    waits: usize,
}

/// A run on overloaded machines, so that tasks wait for various reasons.
struct Run<'a> {
    seed: u64,
    rng: Pcg32,
    checked: CheckedScheduler,
    machines: u64,
    now: Seconds,
    next_task: u64,
    totals: &'a mut Totals,
}

impl<'a> Run<'a> {
    fn new(seed: u64, totals: &'a mut Totals) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let settings = random_settings(&mut rng);
        Self {
            seed,
            machines: rng.random_range(2..10),
            rng,
            checked: CheckedScheduler::new(settings, seed),
            now: START,
            next_task: 0,
            totals,
        }
    }

    fn execute(&mut self) {
        let endpoints = (0..self.machines).map(endpoint).collect();
        let mut events = vec![Event::EndpointsListed(endpoints)];
        while self.now < END {
            self.checked.step(self.now, events);
            // Nothing but the time changes, so a machine that is rejected before the step must not be chosen in it.
            self.now += self.rng.random_range(0.01..0.12);
            let before = self.diagnoses();
            let actions = self.checked.step(self.now, vec![Event::TimerFired(0)]);
            self.check_choice(&before, &actions);
            self.check_waits(&before);
            events = self.submissions();
            events.extend(self.attempt_events());
            events.extend(self.endpoint_change());
        }
    }

    fn diagnoses(&self) -> Vec<(TaskId, PendingDiagnosis)> {
        let ids = self.checked.tasks.keys();
        ids.filter_map(|&id| Some((id, self.checked.scheduler.explain(self.now, id)?)))
            .collect()
    }

    /// Checks that the first offer went to a machine that was not rejected.
    fn check_choice(&mut self, before: &[(TaskId, PendingDiagnosis)], actions: &[Action]) {
        let sent = offers(actions);
        let Some((task, machine)) = sent.first() else {
            return;
        };
        let Some((_, diagnosis)) = before.iter().find(|(id, _)| id == task) else {
            return;
        };
        self.totals.choices += 1;
        let rejection = diagnosis.rejections.iter().find(|(id, _)| id == machine);
        // The slow-start budget is refilled within the step itself.
        let is_permitted = rejection.is_none_or(|(_, reason)| *reason == FilterReason::SlowStart);
        assert!(
            is_permitted,
            "seed {}: {task:?} was offered to a rejected machine: {rejection:?}",
            self.seed
        );
    }

    /// Checks that all machines are rejected for tasks that are still pending after a retry.
    fn check_waits(&mut self, before: &[(TaskId, PendingDiagnosis)]) {
        let is_retried = before
            .iter()
            .any(|(_, diagnosis)| self.now >= diagnosis.next_attempt_at);
        if !is_retried {
            return;
        }
        for (id, _) in before {
            let Some(diagnosis) = self.checked.scheduler.explain(self.now, *id) else {
                continue;
            };
            self.totals.waits += 1;
            for (_, reason) in &diagnosis.rejections {
                let text = format!("{reason:?}");
                let name = text.split('(').next().unwrap_or("");
                self.totals.reasons.insert(name.to_owned());
            }
            let is_rejected_by_all = diagnosis.rejections.len() == diagnosis.machine_count;
            assert!(
                is_rejected_by_all || diagnosis.blocker.is_some(),
                "seed {}: {id:?} is pending, but not all machines are rejected: {diagnosis:?}",
                self.seed
            );
        }
    }

    fn submissions(&mut self) -> Vec<Event> {
        let mut events = Vec::new();
        for _ in 0..self.rng.random_range(0..4) {
            let class = self.rng.random_range(0..3);
            let mut submitted = task(self.next_task, class, self.now + 20.0);
            let cpu = self.rng.random_range(1.0..30.0);
            submitted.request = Resources::new(cpu, self.rng.random_range(1.0..40.0));
            events.push(Event::TaskSubmitted(submitted));
            self.next_task += 1;
        }
        events
    }

    fn attempt_events(&mut self) -> Vec<Event> {
        let mut events = Vec::new();
        for (&id, observed) in &self.checked.tasks {
            if observed.attempts.is_empty() {
                continue;
            }
            let draw = self.rng.random_range(0..40);
            let Some(attempt) = observed.open_attempt() else {
                continue;
            };
            let outcome = match draw {
                0..8 if !observed.answered => {
                    events.push(Event::AttemptConfirmed { task: id, attempt });
                    continue;
                }
                8 => AttemptOutcome::Rejected(FailureCause::InsufficientMemory),
                9 => AttemptOutcome::TimedOut,
                10 if observed.confirmed => AttemptOutcome::Finished,
                _ => continue,
            };
            events.push(Event::AttemptEnded {
                task: id,
                attempt,
                outcome,
                closed: observed.confirmed,
                report: None,
            });
        }
        events
    }

    fn endpoint_change(&mut self) -> Option<Event> {
        if !self.rng.random_bool(0.1) {
            return None;
        }
        let mut changed = endpoint(self.rng.random_range(0..self.machines));
        match self.rng.random_range(0..3) {
            0 => changed.status = EndpointStatus::Draining,
            1 => changed.started_at = Some(self.now),
            _ => {}
        }
        Some(Event::EndpointsChanged(vec![changed]))
    }
}

#[test]
fn diagnoses_agree_with_placement() {
    let mut totals = Totals::default();
    for seed in 0..60 {
        Run::new(seed, &mut totals).execute();
    }
    let Totals {
        reasons,
        choices,
        waits,
    } = totals;
    println!("{choices} choices, {waits} waits");
    assert!(
        choices > 300 && waits > 5000,
        "too few cases: {choices} choices, {waits} waits"
    );
    for reason in [
        "Draining",
        "OutsideDeduplicationDomain",
        "SlowStart",
        "SpreadLimit",
        "CircuitOpen",
        "TooManyOffersInFlight",
        "InsufficientCpu",
        "InsufficientMemory",
    ] {
        assert!(
            reasons.contains(reason),
            "{reason} never occurred: {reasons:?}"
        );
    }
}
