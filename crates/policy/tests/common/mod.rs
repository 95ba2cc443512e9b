//! Settings, short hands and an outside check of the five rules. No model of servers.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeMap;
use tidespur_policy::Scheduler;
use tidespur_policy::interface::*;

pub fn class(effect: RetrySafety) -> Class {
    Class {
        latency_objective: 0.7,
        deadline: 6.0,
        retry_safety: effect,
        priority_weight: 1.0,
        start_weight: 10.0,
        full_service_utilization: 1.0,
        degradation_range: 1.0,
        machine_type: None,
        priority: 0,
        spread_domain: None,
        max_per_spread_domain: 0,
    }
}

pub fn settings(classes: Vec<Class>) -> Settings {
    Settings {
        ordinal: 0,
        scheduler_count: 2,
        zone: 0,
        classes,
        tenants: vec![],
        machine_types: vec![MachineType {
            capacity: Resources::new(32.0, 64.0),
        }],
        overcommit: Resources::new(2.5, 1.5),
        single_scheduler_per_service: false,
        confirm_when_running: false,
        requires_subscription: false,
        lists_unclaimed: true,
        load_reports: LoadReportSource::WithAnswers,
        reports_measured_usage: true,
        allows_load_polls: false,
        allows_gossip: false,
        max_attempts: 4,
        max_retry_after: 0.0,
        over_quota_weight: 0.1,
        safety_limits: SafetyLimits {
            answer_slack: 0.008,
            max_poll_interval: 10.0,
            slow_start_speed: 0.15,
            slow_start_duration: 18.0,
            slow_start_offers: 8.0,
            drain_grace: 0.5,
            overload_ratio: 2.5,
            overload_window: 1.0,
        },
        costs: CostModel::default(),
    }
}

pub fn entry(machine: u64) -> Endpoint {
    Endpoint {
        machine: MachineId(machine),
        machine_type: 0,
        cell: machine as usize / 4,
        zone: machine as usize / 8,
        status: EndpointStatus::Ready,
        started_at: None,
        unclaimed: Resources::new(30.0, 60.0),
    }
}

pub fn task(id: u64, class: usize, deadline: Seconds) -> Task {
    Task {
        id: TaskId(id),
        class,
        tenant: 0,
        service: ServiceId(id % 5),
        deadline,
        expected_duration: Some(12.0),
        request: Resources::new(1.0, 2.0),
        is_resubmission: false,
    }
}

pub fn outcome(task: u64, attempt: u32, ending: AttemptOutcome) -> Event {
    Event::AttemptEnded {
        task: TaskId(task),
        attempt,
        outcome: ending,
        closed: false,
        report: None,
    }
}

/// A scheduler with its rules watched from outside: every step asserts all five.
pub struct Watched {
    pub scheduler: Scheduler,
    set: Settings,
    pub tasks: BTreeMap<TaskId, Seen>,
    pub list: BTreeMap<MachineId, Endpoint>,
    /// Offers to cold machines.
    cold: Vec<(Seconds, MachineId)>,
}

#[derive(Debug)]
pub struct Seen {
    pub task: Task,
    /// Machine, time, and the ending once told.
    pub attempts: Vec<(MachineId, Seconds, Option<AttemptOutcome>)>,
    pub answered: bool,
    pub confirmed: bool,
}

impl Seen {
    fn may_have_run(&self) -> Option<(MachineId, Seconds)> {
        let never = |e: &Option<AttemptOutcome>| {
            matches!(
                e,
                Some(
                    AttemptOutcome::Rejected(_)
                        | AttemptOutcome::ConnectFailed
                        | AttemptOutcome::NeverSent
                )
            )
        };
        self.attempts
            .iter()
            .find(|a| !never(&a.2))
            .map(|a| (a.0, a.1))
    }
}

impl Watched {
    pub fn new(set: Settings, seed: u64) -> Self {
        let scheduler = Scheduler::new(set.clone(), seed).expect("settings are sound");
        Self {
            scheduler,
            set,
            tasks: BTreeMap::new(),
            list: BTreeMap::new(),
            cold: Vec::new(),
        }
    }

    pub fn step(&mut self, now: Seconds, events: Vec<Event>) -> Vec<Action> {
        for event in &events {
            self.note(event, now);
        }
        let mut actions = Vec::new();
        self.scheduler.step(now, events, &mut actions);
        for action in &actions {
            self.check(now, action);
        }
        for (id, seen) in &self.tasks {
            let late = now > seen.task.deadline + self.set.safety_limits.answer_slack;
            assert!(
                seen.answered || !late,
                "{id:?} had no answer by {now}: {seen:?}"
            );
        }
        actions
    }

    fn note(&mut self, event: &Event, now: Seconds) {
        match event {
            Event::TaskSubmitted(task) => {
                let seen = Seen {
                    task: task.clone(),
                    attempts: vec![],
                    answered: false,
                    confirmed: false,
                };
                self.tasks.entry(task.id).or_insert(seen);
            }
            Event::TaskAdopted(task, machine) => {
                let attempts = vec![(*machine, now, None)];
                let seen = Seen {
                    task: task.clone(),
                    attempts,
                    answered: true,
                    confirmed: true,
                };
                self.tasks.entry(task.id).or_insert(seen);
            }
            Event::AttemptConfirmed { task, .. } => {
                let seen = self.tasks.get_mut(task).unwrap();
                (seen.answered, seen.confirmed) = (true, true);
            }
            Event::AttemptEnded {
                task,
                attempt,
                outcome: ending,
                closed,
                ..
            } => {
                if let Some(seen) = self.tasks.get_mut(task) {
                    seen.attempts[*attempt as usize].2 = Some(*ending);
                    seen.answered |= closed;
                }
            }
            Event::TaskCancelled(task) => {
                if let Some(seen) = self.tasks.get_mut(task) {
                    seen.answered = true;
                }
            }
            Event::EndpointsChanged(list) => {
                self.list
                    .extend(list.iter().map(|e| (e.machine, e.clone())));
            }
            Event::EndpointsListed(list) => {
                self.list = list.iter().map(|e| (e.machine, e.clone())).collect();
            }
            _ => {}
        }
    }

    fn check(&mut self, now: Seconds, action: &Action) {
        match action {
            Action::Offer { task, machine, .. } => self.check_send(now, *task, *machine),
            Action::Reject { task, .. } => {
                let seen = self.tasks.get_mut(task).unwrap();
                assert!(!seen.answered, "{task:?} was answered twice");
                let harmless = match self.set.classes[seen.task.class].retry_safety {
                    RetrySafety::Idempotent => true,
                    RetrySafety::IdempotencyKeyed {
                        domain: FailureDomain::All,
                        ..
                    } => true,
                    _ => seen.may_have_run().is_none(),
                };
                assert!(harmless, "{task:?} may have run and was refused");
                seen.answered = true;
            }
            Action::Fail(task) => {
                let seen = self.tasks.get_mut(task).unwrap();
                assert!(!seen.answered, "{task:?} was answered twice");
                seen.answered = true;
            }
            _ => {}
        }
    }

    fn check_send(&mut self, now: Seconds, id: TaskId, machine: MachineId) {
        let to = self
            .list
            .get(&machine)
            .unwrap_or_else(|| panic!("{machine:?} is not listed"));
        assert_eq!(
            to.status,
            EndpointStatus::Ready,
            "sent to a leaving machine"
        );
        let seen = &self.tasks[&id];
        let class = &self.set.classes[seen.task.class];
        assert!(!seen.answered, "{id:?} was sent after its end");
        assert!(
            seen.attempts.iter().all(|a| a.2.is_some()),
            "two attempts of {id:?} are out"
        );
        if let Some((first, at)) = seen.may_have_run() {
            match class.retry_safety {
                RetrySafety::Idempotent => {}
                RetrySafety::NonIdempotent => panic!("{id:?} may have run and was sent again"),
                RetrySafety::IdempotencyKeyed {
                    domain: group,
                    window,
                } => {
                    assert!(
                        now < at + window,
                        "{id:?} was sent again outside its window"
                    );
                    let same = match (group, self.list.get(&first)) {
                        (FailureDomain::All, _) => true,
                        (FailureDomain::Machine, _) => first == machine,
                        (FailureDomain::Cell, Some(f)) => f.cell == to.cell,
                        (FailureDomain::Zone, Some(f)) => f.zone == to.zone,
                        _ => false,
                    };
                    assert!(same, "{id:?} was sent again outside its group");
                }
            }
        }
        let in_place = |m: &MachineId| match class.spread_domain {
            Some(FailureDomain::Machine) => *m == machine,
            Some(FailureDomain::Cell) => self.list.get(m).is_some_and(|e| e.cell == to.cell),
            Some(FailureDomain::Zone) => self.list.get(m).is_some_and(|e| e.zone == to.zone),
            _ => true,
        };
        if class.spread_domain.is_some() {
            let service = seen.task.service;
            let there = self.tasks.values().filter(|t| t.task.service == service);
            let there = there
                .flat_map(|t| &t.attempts)
                .filter(|a| a.2.is_none() && in_place(&a.0));
            assert!(
                there.count() < class.max_per_spread_domain as usize,
                "{id:?} breaks the spread"
            );
        }
        if to
            .started_at
            .is_some_and(|up| now < up + self.set.safety_limits.slow_start_duration)
        {
            self.cold.push((now, machine));
            let from = now - self.set.safety_limits.overload_window;
            let sent = self
                .cold
                .iter()
                .filter(|c| c.1 == machine && c.0 > from)
                .count() as f64;
            let most = (self.set.safety_limits.slow_start_offers / self.set.scheduler_count as f64)
                .max(1.0);
            assert!(sent <= most, "a cold machine gets {sent} offers");
        }
        self.tasks
            .get_mut(&id)
            .unwrap()
            .attempts
            .push((machine, now, None));
    }
}

pub fn sends(actions: &[Action]) -> Vec<(TaskId, MachineId)> {
    let send = |a: &Action| match a {
        Action::Offer { task, machine, .. } => Some((*task, *machine)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}
