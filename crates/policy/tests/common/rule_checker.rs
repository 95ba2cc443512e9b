//! A scheduler with independent checks of the five rules: each step asserts them using only its events and actions.

use super::observed_task::{Attempt, ObservedTask};
use std::collections::BTreeMap;
use tidespur_policy::Scheduler;
use tidespur_policy::interface::{
    Action, Class, Endpoint, EndpointStatus, Event, FailureDomain, MachineId, RetrySafety, Seconds,
    Settings, TaskId,
};

/// A scheduler, and the state of tasks and machines derived from its events and actions.
pub struct CheckedScheduler {
    pub scheduler: Scheduler,
    settings: Settings,
    pub tasks: BTreeMap<TaskId, ObservedTask>,
    pub endpoints: BTreeMap<MachineId, Endpoint>,
    slow_start_offers: Vec<(Seconds, MachineId)>,
}

impl CheckedScheduler {
    pub fn new(settings: Settings, seed: u64) -> Self {
        let scheduler = Scheduler::new(settings.clone(), seed).expect("valid settings");
        Self {
            scheduler,
            settings,
            tasks: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            slow_start_offers: Vec::new(),
        }
    }

    pub fn step(&mut self, now: Seconds, events: Vec<Event>) -> Vec<Action> {
        for event in &events {
            self.observe(event, now);
        }
        let mut actions = Vec::new();
        self.scheduler.step(now, events, &mut actions);
        for action in &actions {
            self.check(now, action);
        }
        for (id, task) in &self.tasks {
            let is_late = now > task.task.deadline + self.settings.safety_limits.answer_slack;
            assert!(
                task.answered || !is_late,
                "{id:?} has no final answer at {now}: {task:?}"
            );
        }
        actions
    }

    fn observe(&mut self, event: &Event, now: Seconds) {
        match event {
            Event::TaskSubmitted(task) => {
                let observed = ObservedTask::new(task);
                self.tasks.entry(task.id).or_insert(observed);
            }
            Event::TaskAdopted(task, machine) => {
                let observed = ObservedTask::adopted(task, *machine, now);
                self.tasks.entry(task.id).or_insert(observed);
            }
            Event::TaskMoved { task, machine } => {
                if let Some(attempt) = self
                    .tasks
                    .get_mut(task)
                    .and_then(|task| task.attempts.last_mut())
                {
                    attempt.machine = *machine;
                }
            }
            Event::AttemptConfirmed { task, .. } => {
                let task = self.tasks.get_mut(task).unwrap();
                task.answered = true;
                task.confirmed = true;
            }
            Event::AttemptEnded {
                task,
                attempt,
                outcome,
                closed,
                ..
            } => {
                if let Some(task) = self.tasks.get_mut(task) {
                    task.attempts[*attempt as usize].outcome = Some(*outcome);
                    task.answered |= closed;
                }
            }
            Event::TaskCancelled(task) => {
                if let Some(task) = self.tasks.get_mut(task) {
                    task.answered = true;
                }
            }
            Event::EndpointsChanged(endpoints) => self
                .endpoints
                .extend(endpoints.iter().map(|e| (e.machine, e.clone()))),
            Event::EndpointsListed(endpoints) => {
                self.endpoints = endpoints.iter().map(|e| (e.machine, e.clone())).collect();
            }
            _ => {}
        }
    }

    fn check(&mut self, now: Seconds, action: &Action) {
        match action {
            Action::Offer { task, machine, .. } => self.check_offer(now, *task, *machine),
            Action::Reject { task, .. } => {
                let observed = self.tasks.get_mut(task).unwrap();
                let is_safe = match self.settings.classes[observed.task.class].retry_safety {
                    RetrySafety::Idempotent => true,
                    RetrySafety::IdempotencyKeyed {
                        domain: FailureDomain::All,
                        ..
                    } => true,
                    _ => observed.first_possible_run().is_none(),
                };
                observed.answer();
                assert!(is_safe, "{task:?} may have run and was rejected");
            }
            Action::Fail(task) => self.tasks.get_mut(task).unwrap().answer(),
            _ => {}
        }
    }

    fn check_offer(&mut self, now: Seconds, id: TaskId, machine: MachineId) {
        let endpoint = self.endpoints.get(&machine);
        let endpoint = endpoint.unwrap_or_else(|| panic!("{machine:?} is not listed"));
        let is_ready = endpoint.status == EndpointStatus::Ready;
        assert!(
            is_ready,
            "{id:?} was offered to a machine that is not ready"
        );
        let observed = &self.tasks[&id];
        assert!(
            !observed.answered,
            "{id:?} was offered after its final answer"
        );
        let has_open_attempt = observed.attempts.iter().any(|a| a.outcome.is_none());
        assert!(!has_open_attempt, "two attempts of {id:?} are in flight");
        let class = &self.settings.classes[observed.task.class];
        if let Some(first) = observed.first_possible_run() {
            self.check_repeat(now, id, class, first, endpoint);
        }
        self.check_spread(id, class, endpoint);
        let slow_start_duration = self.settings.safety_limits.slow_start_duration;
        if endpoint
            .started_at
            .is_some_and(|started_at| now < started_at + slow_start_duration)
        {
            self.check_slow_start(now, machine);
        }
        self.tasks.get_mut(&id).unwrap().attempts.push(Attempt {
            machine,
            sent_at: now,
            outcome: None,
        });
    }

    /// Checks that the task takes no effect twice, where `first` may have run.
    fn check_repeat(
        &self,
        now: Seconds,
        id: TaskId,
        class: &Class,
        first: &Attempt,
        endpoint: &Endpoint,
    ) {
        match class.retry_safety {
            RetrySafety::Idempotent => {}
            RetrySafety::NonIdempotent => panic!("{id:?} may have run and was offered again"),
            RetrySafety::IdempotencyKeyed { domain, window } => {
                let is_in_window = now < first.sent_at + window;
                assert!(
                    is_in_window,
                    "{id:?} was offered again outside its deduplication window"
                );
                let is_in_domain = self.is_in_domain(domain, first.machine, endpoint);
                assert!(
                    is_in_domain,
                    "{id:?} was offered again outside its deduplication domain"
                );
            }
        }
    }

    fn check_spread(&self, id: TaskId, class: &Class, endpoint: &Endpoint) {
        let Some(domain) = class.spread_domain else {
            return;
        };
        let service = self.tasks[&id].task.service;
        let mut in_domain = 0;
        for other in self.tasks.values().filter(|t| t.task.service == service) {
            let open = other.attempts.iter().filter(|a| a.outcome.is_none());
            in_domain += open
                .filter(|attempt| self.is_in_domain(domain, attempt.machine, endpoint))
                .count();
        }
        let is_within_limit = in_domain < class.max_per_spread_domain as usize;
        assert!(is_within_limit, "{id:?} exceeds the spread limit");
    }

    fn is_in_domain(&self, domain: FailureDomain, machine: MachineId, other: &Endpoint) -> bool {
        let endpoint = self.endpoints.get(&machine);
        match domain {
            FailureDomain::All => true,
            FailureDomain::Machine => machine == other.machine,
            FailureDomain::Cell => endpoint.is_some_and(|e| e.cell == other.cell),
            FailureDomain::Zone => endpoint.is_some_and(|e| e.zone == other.zone),
        }
    }

    /// Checks that a machine in slow start gets no more offers within a window than the share of this scheduler.
    fn check_slow_start(&mut self, now: Seconds, machine: MachineId) {
        self.slow_start_offers.push((now, machine));
        let limits = &self.settings.safety_limits;
        let window_start = now - limits.overload_window;
        let in_window = |&&(at, to): &&(Seconds, MachineId)| to == machine && at > window_start;
        let offers = self.slow_start_offers.iter().filter(in_window).count() as f64;
        let quota = limits.slow_start_offers / self.settings.scheduler_count as f64;
        let is_within_quota = offers <= quota.max(1.0);
        assert!(
            is_within_quota,
            "a machine in slow start gets {offers} offers of {quota}"
        );
    }
}
