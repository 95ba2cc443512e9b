//! A fleet of schedulers that don't communicate, and their offers to machines in slow start.

use crate::common::{class, endpoint, settings, task};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use tidespur_policy::Scheduler;
use tidespur_policy::interface::{
    Action, AttemptOutcome, Endpoint, Event, FailureCause, MachineId, Resources, RetrySafety,
    Seconds, Settings, Task, TaskId,
};

/// A scheduler and the events for its next step.
type Member = (Scheduler, Vec<Event>);

/// The result of a run.
pub struct RunResult {
    /// The most offers that any machine got within any overload window.
    pub max_in_window: usize,
    /// The maximum permitted number of these offers.
    pub allowed: f64,
    /// The number of all offers.
    pub total: usize,
}

/// Schedulers that share an endpoint list.
pub struct Fleet {
    pub rng: Pcg32,
    pub settings: Settings,
    endpoints: Vec<Endpoint>,
    pub members: Vec<Member>,
    /// The times of all offers, by machine.
    offers: BTreeMap<MachineId, Vec<Seconds>>,
    attempts: BTreeMap<TaskId, u32>,
    last_task: u64,
}

impl Fleet {
    /// Creates a fleet with random machines and limits.
    pub fn new(schedulers: usize, seed: u64) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut settings = settings(vec![
            class(RetrySafety::Idempotent),
            class(RetrySafety::NonIdempotent),
        ]);
        settings.scheduler_count = schedulers;
        settings.safety_limits.slow_start_offers = rng.random_range(1.0..40.0);
        settings.safety_limits.overload_window = rng.random_range(0.5..2.0);
        let machines = rng.random_range(1..5);
        let restarted = |machine: u64| Endpoint {
            started_at: Some(999.0 + rng.random_range(0.0..2.0)),
            ..endpoint(machine * 7_919 + seed)
        };
        let endpoints = (0..machines).map(restarted).collect();
        let mut fleet = Self {
            rng,
            settings,
            endpoints,
            members: Vec::new(),
            offers: BTreeMap::new(),
            attempts: BTreeMap::new(),
            last_task: 0,
        };
        fleet.members = fleet.start_all();
        fleet
    }

    /// Creates a new scheduler with this ordinal.
    pub fn start(&mut self, ordinal: usize) -> Member {
        let settings = Settings {
            ordinal,
            ..self.settings.clone()
        };
        let scheduler = Scheduler::new(settings, self.rng.random()).expect("valid settings");
        (
            scheduler,
            vec![Event::EndpointsListed(self.endpoints.clone())],
        )
    }

    /// Creates new schedulers for all ordinals.
    pub fn start_all(&mut self) -> Vec<Member> {
        (0..self.settings.scheduler_count)
            .map(|ordinal| self.start(ordinal))
            .collect()
    }

    /// The number of offers so far.
    pub fn total(&self) -> usize {
        self.offers.values().map(Vec::len).sum()
    }

    /// Submits up to three tasks to a scheduler, for its next step.
    pub fn submit_tasks(&mut self, member: usize, now: Seconds) {
        for _ in 0..self.rng.random_range(0..4) {
            self.last_task += 1;
            let submitted = Task {
                request: Resources::new(0.1, 0.1),
                expected_duration: Some(0.5),
                class: self.rng.random_range(0..2),
                ..task(self.last_task, 0, now + 3.0)
            };
            self.members[member].1.push(Event::TaskSubmitted(submitted));
        }
    }

    /// Steps a scheduler and responds to its offers.
    pub fn step(&mut self, member: usize, now: Seconds) {
        let (scheduler, events) = &mut self.members[member];
        let mut actions = Vec::new();
        scheduler.step(now, std::mem::take(events), &mut actions);
        for action in actions {
            if let Action::Offer { task, machine, .. } = action {
                self.offers.entry(machine).or_default().push(now);
                self.respond(member, task);
            }
        }
    }

    /// Responds to an offer by the next step, and ends accepted tasks at once, so that only slow start limits offers.
    fn respond(&mut self, member: usize, task: TaskId) {
        let attempt = *self
            .attempts
            .entry(task)
            .and_modify(|attempt| *attempt += 1)
            .or_insert(0);
        let ended = |outcome, closed| Event::AttemptEnded {
            task,
            attempt,
            outcome,
            closed,
            report: None,
        };
        let events = &mut self.members[member].1;
        if self.rng.random_range(0..4) == 0 {
            let rejected = AttemptOutcome::Rejected(FailureCause::QueueFull);
            events.push(ended(rejected, false));
        } else {
            events.push(Event::AttemptConfirmed { task, attempt });
            events.push(ended(AttemptOutcome::Finished, true));
        }
    }

    /// Summarizes the run.
    pub fn result(&self) -> RunResult {
        let window = self.settings.safety_limits.overload_window;
        let safe_offers = self.settings.safety_limits.slow_start_offers;
        let counts = self
            .offers
            .values()
            .map(|times| max_in_window(times, window));
        RunResult {
            max_in_window: counts.max().unwrap_or(0),
            allowed: safe_offers + 2.0 * safe_offers.sqrt() + 2.0,
            total: self.total(),
        }
    }
}

/// The maximum number of `times`, which must be ascending, within any window of this length.
pub fn max_in_window(times: &[Seconds], window: Seconds) -> usize {
    let in_window = |start: usize| {
        let end = times[start] + window;
        times[start..].iter().take_while(|&&at| at < end).count()
    };
    (0..times.len()).map(in_window).max().unwrap_or(0)
}
