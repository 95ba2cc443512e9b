//! What was observed, taken in: tasks, answers, endings, reports, lists.

use super::*;

const MEAN_WEIGHT: f64 = 0.01; // Running means move by this much for one observation,
const ANSWER_WEIGHT: f64 = 0.05; // those of answers and starts by this much,
const RATE_OVER: Seconds = 5.0; // The rate of tasks is taken over about this long.
const SETTLED: Seconds = 4.0; // Memory of what a task uses grows for some seconds after its start.
const HEARD_FOR: Seconds = 30.0; // What others told of a program holds for this long,
const GONE_MOST: usize = 100; // and machines that have gone with more of them than this.
const ASIDE: Seconds = 1.0; // A failure sets a machine aside until the next visit, for this long at least,
const ASIDE_MOST: Seconds = 12.0; // then doubling, and for this long at most.
const FULL_FOR: Seconds = 0.5; // A refusal tells that a machine is full for about this long, doubling,
const FULL_MOST: Seconds = 4.0; // and for at most this long.
const LINE_FOR: Seconds = 0.05; // A full line of offers holds for about this long at first.

impl Scheduler {
    pub(super) fn observe(&mut self, now: Seconds, event: Event) {
        match event {
            Event::Submit(task) => self.take_task(now, task, None),
            Event::InPlace(task, machine) => self.take_task(now, task, Some(machine)),
            Event::Confirmed { task, attempt } => self.confirmed(now, task, attempt),
            Event::Note { task, note } => self.note(now, task, note),
            Event::Outcome {
                task,
                attempt,
                ending,
                closed,
                report,
            } => {
                let machine = self.jobs.get(&task).map(|job| job.machine);
                self.take_report(now, machine, report);
                self.outcome(now, task, attempt, ending, closed);
            }
            Event::Dropped(id) => match self.jobs.get_mut(&id) {
                Some(job) if job.state == State::Held => drop(self.jobs.remove(&id)),
                Some(job) => job.state = State::Over,
                None => {}
            },
            Event::Timer(_) => self.next_wake = f64::INFINITY,
            Event::ListChanges(list) => self.take_list(now, list, false),
            Event::ListWhole(list) => self.take_list(now, list, true),
            Event::ListFailed => {
                let most = (self.settings.safety.ask_within / 2.0).max(ASK_AGAIN);
                let pause =
                    doubled(ASK_AGAIN, self.list.fails, most) * self.rng.random_range(0.5..1.0);
                let fails = (self.list.fails + 1).min(STRIKES_MOST);
                let subscribed = !self.settings.subscribe;
                self.list = List {
                    subscribed,
                    asked_at: None,
                    ask_at: now + pause,
                    fails,
                };
            }
            Event::Heard(bytes) => {
                for told in bytes.chunks_exact(8) {
                    let half =
                        |i: usize| (0..4).rev().fold(0, |x, k| x << 8 | u32::from(told[i + k]));
                    let (pair, gone) = ((half(0), half(4) & !GONE), half(4) & GONE != 0);
                    self.programs
                        .insert(pair, now + if gone { KEPT_FOR } else { HEARD_FOR });
                }
            }
            Event::Sharers(all) => self.settings.schedulers = all.max(self.settings.ordinal + 1),
            Event::Probed { machine, report } => {
                self.machines
                    .get_mut(&machine)
                    .into_iter()
                    .for_each(|machine| machine.probe_at = now);
                self.take_report(now, Some(machine), report);
            }
        }
    }

    fn take_task(&mut self, now: Seconds, task: Task, machine: Option<MachineId>) {
        if self.jobs.contains_key(&task.id) {
            return;
        }
        let life = task.life.unwrap_or(self.life.value);
        self.life.learn(life, MEAN_WEIGHT);
        self.work.learn(life * task.cores, MEAN_WEIGHT);
        self.sizes[0].learn(task.cores, MEAN_WEIGHT);
        self.sizes[1].learn(task.memory, MEAN_WEIGHT);
        let (rate, at) = self.rate;
        self.rate = (
            1.0 / RATE_OVER + rate * (-(now - at) / RATE_OVER).exp(),
            now,
        );
        let (id, mut job) = (
            task.id,
            Job {
                task,
                sent_at: now,
                ..Job::default()
            },
        );
        if let Some(machine) = machine {
            (job.machine, job.state, job.sends) = (machine, State::Bound, 1);
            self.jobs.insert(id, job);
            self.count(now, id);
        } else {
            self.jobs.insert(id, job);
            self.fresh.push(id);
        }
    }

    fn confirmed(&mut self, now: Seconds, id: TaskId, attempt: u32) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.state != State::Out || attempt + 1 != job.sends {
            return;
        }
        job.state = State::Bound;
        let wait = now - job.sent_at;
        if let Some(machine) = self.machines.get_mut(&job.machine) {
            machine
                .tasks
                .entry(id)
                .and_modify(|load| load.answered = true);
            machine.relieve((job.task.class, job.task.tenant));
        }
        if self.settings.confirm_when_running {
            self.started(now, id);
        } else {
            self.deviation
                .learn((wait - self.answer.value).abs(), ANSWER_WEIGHT);
            self.answer.learn(wait, ANSWER_WEIGHT);
        }
    }

    fn note(&mut self, now: Seconds, id: TaskId, note: Note) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let settled = job.state == State::Bound && now - job.sent_at > SETTLED;
        let (i, share) = match note {
            Note::Runs => return self.started(now, id),
            Note::UsesCores(level) => (0, level / job.task.cores),
            Note::UsesMemory(level) => (1, level / job.task.memory),
            Note::Served(_) | Note::MachineMemory(_) => return,
        };
        if settled && share.is_finite() {
            self.used[i].learn(share.clamp(0.0, 3.0), MEAN_WEIGHT);
        }
    }

    /// A task runs: a long start tells of the program's lack where it was not known to be there.
    fn started(&mut self, now: Seconds, id: TaskId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let Some(machine) = self.machines.get_mut(&job.machine) else {
            return;
        };
        let Some(load) = machine.tasks.get_mut(&id).filter(|load| !load.runs) else {
            return;
        };
        load.runs = true;
        let took = (now - load.sent_at).max(0.0);
        if load.alone {
            let between = (self.starts[0].value * self.starts[1].value).sqrt();
            let without = !job.warm && took > between;
            let took = if job.warm { took.min(between) } else { took };
            self.starts[usize::from(without)].learn(took.max(1e-3), ANSWER_WEIGHT);
        }
    }

    fn outcome(&mut self, now: Seconds, id: TaskId, attempt: u32, ending: Ending, closed: bool) {
        let Some(job) = self.jobs.get(&id).filter(|job| attempt + 1 == job.sends) else {
            return;
        };
        let (was, to, sent_at) = (job.state, job.machine, job.sent_at);
        let (failed_at, own_error) = (job.failed_at, job.own_error);
        let whose = Some((job.task.class, job.task.tenant));
        // Evidence must outlast the time to the next visit of the same machine.
        let aside = (self.machines.len() as f64 / self.rate.0.max(1e-3)).clamp(ASIDE, ASIDE_MOST);
        self.uncount(now, id);
        let machine = self.machines.entry(to).or_default();
        match ending {
            Ending::Finished | Ending::Cancelled | Ending::Void => {}
            Ending::Full(Why::Queue) => machine.strike(now, None, LINE_FOR, LINE_FOR),
            // Refusals hold a while, longer when they go on: full, leaving before the list tells, or, where
            // the reason is none of the machine's, full for this class or tenant. Harm: one with room waits.
            Ending::Full(Why::Cores | Why::Memory) | Ending::Broken(Why::SentAway) => {
                machine.strike(now, None, FULL_FOR, FULL_MOST);
            }
            Ending::Full(_) => machine.strike(now, whose, FULL_FOR, FULL_MOST),
            Ending::Broken(Why::Evicted | Why::PushedOut) => {
                machine.strike(now, None, FULL_FOR, FULL_FOR)
            }
            // An error at a second machine is the task's own and strikes neither. Guards against owners
            // of tasks that no machine can start. Harm: where most machines fail, some are found later.
            Ending::Failed if own_error => {}
            Ending::Failed if failed_at.is_some_and(|first| first != to) => {
                let first = failed_at.and_then(|first| self.machines.get_mut(&first));
                first.into_iter().for_each(|first| first.acquit(whose));
            }
            // Failures before the confirmation: errors, silence, answers lost. Only this class of this tenant
            // is known to be struck. Harm: the task's own first error counts against its machine for a while.
            Ending::Failed | Ending::Late => machine.strike(now, whose, aside, ASIDE_MOST),
            Ending::Broken(_) if was == State::Out => machine.strike(now, whose, aside, ASIDE_MOST),
            // It has died or is cut off: the list tells late, so it counts as cold once it answers again.
            Ending::NoConnection | Ending::Broken(_) => {
                machine.strike(now, None, aside, ASIDE_MOST);
                machine.cold_until = now + self.settings.safety.cold;
                self.programs
                    .retain(|pair, _| pair.1 != to.0 as u32 & !GONE);
            }
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if closed || was != State::Out {
            self.jobs.remove(&id);
            return;
        }
        if matches!(
            ending,
            Ending::Failed | Ending::Late | Ending::Broken(_) | Ending::Cancelled
        ) {
            job.may_run.get_or_insert((sent_at, to));
        }
        job.own_error |= ending == Ending::Failed && *job.failed_at.get_or_insert(to) != to;
        job.state = State::Held;
        self.fresh.push(id);
    }

    fn take_report(&mut self, now: Seconds, id: Option<MachineId>, report: Option<Report>) {
        let machine = id.and_then(|id| self.machines.get_mut(&id));
        let (Some(machine), Some(report)) = (machine, report) else {
            return;
        };
        machine.report_at = now;
        let free = [report.free_cores, report.free_memory];
        let taken = [0, 1].map(|i| free[i].map(|free| machine.size[i] - free));
        if self.settings.reports_use {
            machine.add(now, [0.0; 2]);
            for (i, taken) in taken.into_iter().enumerate() {
                let asked = machine.lagged[i] + machine.others[i];
                if let Some(ratio) = taken.and_then(|taken| machine.see_used(i, taken, asked)) {
                    self.used[i].learn(ratio, MEAN_WEIGHT);
                }
            }
        } else {
            machine.see_asked(now, taken);
            if let Some(busy) = report.busy {
                machine.see_used(0, busy * machine.size[0], machine.asked(0));
            }
        }
    }

    fn take_list(&mut self, now: Seconds, list: Vec<Entry>, whole: bool) {
        (self.list.asked_at, self.list.fails) = (None, 0);
        if whole {
            self.machines
                .values_mut()
                .for_each(|machine| machine.leaving = true);
        }
        for entry in list {
            let Some(kind) = self.settings.kinds.get(entry.kind) else {
                continue;
            };
            let machine = self.machines.entry(entry.machine).or_default();
            if machine
                .entry
                .as_ref()
                .is_some_and(|known| entry.up_since > known.up_since)
            {
                self.programs
                    .retain(|pair, _| pair.1 != entry.machine.0 as u32 & !GONE);
            }
            machine.size = [kind.cores, kind.memory];
            machine.leaving = entry.standing != Standing::Ready;
            if self.settings.lists_free {
                let asked = [
                    kind.cores - entry.free_cores,
                    kind.memory - entry.free_memory,
                ];
                machine.see_asked(now, asked.map(Some));
            }
            machine.entry = Some(entry);
        }
        // Of what has gone, what is known of it is kept for its return, unless too many have gone.
        let is_gone = |machine: &Machine| {
            let drains = machine
                .entry
                .as_ref()
                .is_some_and(|entry| entry.standing == Standing::Draining);
            machine.leaving && machine.tasks.is_empty() && !drains
        };
        if self
            .machines
            .values()
            .filter(|machine| is_gone(machine))
            .count()
            > GONE_MOST
        {
            self.machines.retain(|_, machine| !is_gone(machine));
        }
    }
}
