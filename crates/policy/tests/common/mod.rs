//! Settings, short hands and an outside check of the five rules. No model of servers.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeMap;
use tidespur_policy::Scheduler;
use tidespur_policy::interface::*;

pub fn class(effect: Effect) -> Class {
    Class {
        aim: 0.7,
        deadline: 6.0,
        effect,
        worth: 1.0,
        start_worth: 10.0,
        calm: 1.0,
        fade: 1.0,
        kind: None,
        priority: 0,
        spread: None,
        spread_most: 0,
    }
}

pub fn settings(classes: Vec<Class>) -> Settings {
    Settings {
        ordinal: 0,
        schedulers: 2,
        zone: 0,
        classes,
        tenants: vec![],
        kinds: vec![Kind {
            cores: 32.0,
            memory: 64.0,
        }],
        admit_cores: 2.5,
        admit_memory: 1.5,
        one_home: false,
        confirm_when_running: false,
        subscribe: false,
        lists_free: true,
        reports: Reports::Answers,
        reports_use: true,
        probes: false,
        messages: false,
        max_attempts: 4,
        max_retry_after: 0.0,
        over_share_worth: 0.1,
        safety: Safety {
            answer_slack: 0.008,
            ask_within: 10.0,
            cold_from: 0.15,
            cold: 18.0,
            cold_bears: 8.0,
            drain_grace: 0.5,
            fall_multiple: 2.5,
            overload_for: 1.0,
        },
        prices: Prices::default(),
    }
}

pub fn entry(machine: u64) -> Entry {
    Entry {
        machine: MachineId(machine),
        kind: 0,
        cell: machine as usize / 4,
        zone: machine as usize / 8,
        standing: Standing::Ready,
        up_since: None,
        free_cores: 30.0,
        free_memory: 60.0,
    }
}

pub fn task(id: u64, class: usize, deadline: Seconds) -> Task {
    Task {
        id: TaskId(id),
        class,
        tenant: 0,
        service: ServiceId(id % 5),
        deadline,
        life: Some(12.0),
        cores: 1.0,
        memory: 2.0,
        returned: false,
    }
}

pub fn outcome(task: u64, attempt: u32, ending: Ending) -> Event {
    Event::Outcome {
        task: TaskId(task),
        attempt,
        ending,
        closed: false,
        report: None,
    }
}

/// A scheduler with its rules watched from outside: every step asserts all five.
pub struct Watched {
    pub scheduler: Scheduler,
    set: Settings,
    pub tasks: BTreeMap<TaskId, Seen>,
    pub list: BTreeMap<MachineId, Entry>,
    /// Offers to cold machines.
    cold: Vec<(Seconds, MachineId)>,
}

#[derive(Debug)]
pub struct Seen {
    pub task: Task,
    /// Machine, time, and the ending once told.
    pub attempts: Vec<(MachineId, Seconds, Option<Ending>)>,
    pub answered: bool,
    pub confirmed: bool,
}

impl Seen {
    fn may_have_run(&self) -> Option<(MachineId, Seconds)> {
        let never = |e: &Option<Ending>| {
            matches!(
                e,
                Some(Ending::Full(_) | Ending::NoConnection | Ending::Void)
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
            let late = now > seen.task.deadline + self.set.safety.answer_slack;
            assert!(
                seen.answered || !late,
                "{id:?} had no answer by {now}: {seen:?}"
            );
        }
        actions
    }

    fn note(&mut self, event: &Event, now: Seconds) {
        match event {
            Event::Submit(task) => {
                let seen = Seen {
                    task: task.clone(),
                    attempts: vec![],
                    answered: false,
                    confirmed: false,
                };
                self.tasks.entry(task.id).or_insert(seen);
            }
            Event::InPlace(task, machine) => {
                let attempts = vec![(*machine, now, None)];
                let seen = Seen {
                    task: task.clone(),
                    attempts,
                    answered: true,
                    confirmed: true,
                };
                self.tasks.entry(task.id).or_insert(seen);
            }
            Event::Confirmed { task, .. } => {
                let seen = self.tasks.get_mut(task).unwrap();
                (seen.answered, seen.confirmed) = (true, true);
            }
            Event::Outcome {
                task,
                attempt,
                ending,
                closed,
                ..
            } => {
                if let Some(seen) = self.tasks.get_mut(task) {
                    seen.attempts[*attempt as usize].2 = Some(*ending);
                    seen.answered |= closed;
                }
            }
            Event::Dropped(task) => {
                if let Some(seen) = self.tasks.get_mut(task) {
                    seen.answered = true;
                }
            }
            Event::ListChanges(list) => {
                self.list
                    .extend(list.iter().map(|e| (e.machine, e.clone())));
            }
            Event::ListWhole(list) => {
                self.list = list.iter().map(|e| (e.machine, e.clone())).collect();
            }
            _ => {}
        }
    }

    fn check(&mut self, now: Seconds, action: &Action) {
        match action {
            Action::Send { task, machine, .. } => self.check_send(now, *task, *machine),
            Action::Refuse { task, .. } => {
                let seen = self.tasks.get_mut(task).unwrap();
                assert!(!seen.answered, "{task:?} was answered twice");
                let harmless = match self.set.classes[seen.task.class].effect {
                    Effect::Safe => true,
                    Effect::Keyed {
                        group: Place::All, ..
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
        assert_eq!(to.standing, Standing::Ready, "sent to a leaving machine");
        let seen = &self.tasks[&id];
        let class = &self.set.classes[seen.task.class];
        assert!(!seen.answered, "{id:?} was sent after its end");
        assert!(
            seen.attempts.iter().all(|a| a.2.is_some()),
            "two attempts of {id:?} are out"
        );
        if let Some((first, at)) = seen.may_have_run() {
            match class.effect {
                Effect::Safe => {}
                Effect::Unsafe => panic!("{id:?} may have run and was sent again"),
                Effect::Keyed { group, window } => {
                    assert!(
                        now < at + window,
                        "{id:?} was sent again outside its window"
                    );
                    let same = match (group, self.list.get(&first)) {
                        (Place::All, _) => true,
                        (Place::Machine, _) => first == machine,
                        (Place::Cell, Some(f)) => f.cell == to.cell,
                        (Place::Zone, Some(f)) => f.zone == to.zone,
                        _ => false,
                    };
                    assert!(same, "{id:?} was sent again outside its group");
                }
            }
        }
        let in_place = |m: &MachineId| match class.spread {
            Some(Place::Machine) => *m == machine,
            Some(Place::Cell) => self.list.get(m).is_some_and(|e| e.cell == to.cell),
            Some(Place::Zone) => self.list.get(m).is_some_and(|e| e.zone == to.zone),
            _ => true,
        };
        if class.spread.is_some() {
            let service = seen.task.service;
            let there = self.tasks.values().filter(|t| t.task.service == service);
            let there = there
                .flat_map(|t| &t.attempts)
                .filter(|a| a.2.is_none() && in_place(&a.0));
            assert!(
                there.count() < class.spread_most as usize,
                "{id:?} breaks the spread"
            );
        }
        if to
            .up_since
            .is_some_and(|up| now < up + self.set.safety.cold)
        {
            self.cold.push((now, machine));
            let from = now - self.set.safety.overload_for;
            let sent = self
                .cold
                .iter()
                .filter(|c| c.1 == machine && c.0 > from)
                .count() as f64;
            let most = (self.set.safety.cold_bears / self.set.schedulers as f64).max(1.0);
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
        Action::Send { task, machine, .. } => Some((*task, *machine)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}
