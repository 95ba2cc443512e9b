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
            Event::TaskSubmitted(task) => self.take_task(now, task, None),
            Event::TaskAdopted(task, machine) => self.take_task(now, task, Some(machine)),
            Event::AttemptConfirmed { task, attempt } => self.confirmed(now, task, attempt),
            Event::AttemptProgressed {
                task,
                progress: note,
            } => self.note(now, task, note),
            Event::AttemptEnded {
                task,
                attempt,
                outcome: ending,
                closed,
                report,
            } => {
                let machine = self.jobs.get(&task).map(|job| job.machine);
                self.take_report(now, machine, report);
                self.outcome(now, task, attempt, ending, closed);
            }
            Event::TaskCancelled(id) => match self.jobs.get_mut(&id) {
                Some(job) if job.state == TaskState::Held => drop(self.jobs.remove(&id)),
                Some(job) => job.state = TaskState::Over,
                None => {}
            },
            Event::TimerFired(_) => self.next_wake = f64::INFINITY,
            Event::EndpointsChanged(list) => self.take_list(now, list, false),
            Event::EndpointsListed(list) => self.take_list(now, list, true),
            Event::EndpointListFailed => {
                let most = (self.settings.safety_limits.max_poll_interval / 2.0).max(ASK_AGAIN);
                let pause =
                    doubled(ASK_AGAIN, self.list.fails, most) * self.rng.random_range(0.5..1.0);
                let fails = (self.list.fails + 1).min(STRIKES_MOST);
                let subscribed = !self.settings.requires_subscription;
                self.list = List {
                    subscribed,
                    asked_at: None,
                    ask_at: now + pause,
                    fails,
                };
            }
            Event::GossipReceived(bytes) => {
                for told in bytes.chunks_exact(8) {
                    let half =
                        |i: usize| (0..4).rev().fold(0, |x, k| x << 8 | u32::from(told[i + k]));
                    let (pair, gone) = ((half(0), half(4) & !GONE), half(4) & GONE != 0);
                    self.programs
                        .insert(pair, now + if gone { KEPT_FOR } else { HEARD_FOR });
                }
            }
            Event::SchedulerCountChanged(all) => {
                self.settings.scheduler_count = all.max(self.settings.ordinal + 1)
            }
            Event::LoadPolled { machine, report } => {
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
        let life = task.expected_duration.unwrap_or(self.life.value);
        self.life.learn(life, MEAN_WEIGHT);
        self.work.learn(life * task.request.cpu, MEAN_WEIGHT);
        self.sizes[0].learn(task.request.cpu, MEAN_WEIGHT);
        self.sizes[1].learn(task.request.memory, MEAN_WEIGHT);
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
            (job.machine, job.state, job.sends) = (machine, TaskState::Bound, 1);
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
        if job.state != TaskState::Out || attempt + 1 != job.sends {
            return;
        }
        job.state = TaskState::Bound;
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

    fn note(&mut self, now: Seconds, id: TaskId, note: AttemptProgress) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let settled = job.state == TaskState::Bound && now - job.sent_at > SETTLED;
        let (i, share) = match note {
            AttemptProgress::Started => return self.started(now, id),
            AttemptProgress::CpuUsage(level) => (0, level / job.task.request.cpu),
            AttemptProgress::MemoryUsage(level) => (1, level / job.task.request.memory),
            AttemptProgress::ServiceLevel(_) | AttemptProgress::MachineMemoryUtilization(_) => {
                return;
            }
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

    fn outcome(
        &mut self,
        now: Seconds,
        id: TaskId,
        attempt: u32,
        ending: AttemptOutcome,
        closed: bool,
    ) {
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
            AttemptOutcome::Finished | AttemptOutcome::Cancelled | AttemptOutcome::NeverSent => {}
            AttemptOutcome::Rejected(FailureCause::QueueFull) => {
                machine.strike(now, None, LINE_FOR, LINE_FOR)
            }
            // Refusals hold a while, longer when they go on: full, leaving before the list tells, or, where
            // the reason is none of the machine's, full for this class or tenant. Harm: one with room waits.
            AttemptOutcome::Rejected(
                FailureCause::InsufficientCpu | FailureCause::InsufficientMemory,
            )
            | AttemptOutcome::Interrupted(FailureCause::Drained) => {
                machine.strike(now, None, FULL_FOR, FULL_MOST);
            }
            AttemptOutcome::Rejected(_) => machine.strike(now, whose, FULL_FOR, FULL_MOST),
            AttemptOutcome::Interrupted(FailureCause::Evicted | FailureCause::Preempted) => {
                machine.strike(now, None, FULL_FOR, FULL_FOR)
            }
            // An error at a second machine is the task's own and strikes neither. Guards against owners
            // of tasks that no machine can start. Harm: where most machines fail, some are found later.
            AttemptOutcome::Failed if own_error => {}
            AttemptOutcome::Failed if failed_at.is_some_and(|first| first != to) => {
                let first = failed_at.and_then(|first| self.machines.get_mut(&first));
                first.into_iter().for_each(|first| first.acquit(whose));
            }
            // Failures before the confirmation: errors, silence, answers lost. Only this class of this tenant
            // is known to be struck. Harm: the task's own first error counts against its machine for a while.
            AttemptOutcome::Failed | AttemptOutcome::TimedOut => {
                machine.strike(now, whose, aside, ASIDE_MOST)
            }
            AttemptOutcome::Interrupted(_) if was == TaskState::Out => {
                machine.strike(now, whose, aside, ASIDE_MOST)
            }
            // It has died or is cut off: the list tells late, so it counts as cold once it answers again.
            AttemptOutcome::ConnectFailed | AttemptOutcome::Interrupted(_) => {
                machine.strike(now, None, aside, ASIDE_MOST);
                machine.cold_until = now + self.settings.safety_limits.slow_start_duration;
                self.programs
                    .retain(|pair, _| pair.1 != to.0 as u32 & !GONE);
            }
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if closed || was != TaskState::Out {
            self.jobs.remove(&id);
            return;
        }
        if matches!(
            ending,
            AttemptOutcome::Failed
                | AttemptOutcome::TimedOut
                | AttemptOutcome::Interrupted(_)
                | AttemptOutcome::Cancelled
        ) {
            job.may_run.get_or_insert((sent_at, to));
        }
        job.own_error |= ending == AttemptOutcome::Failed && *job.failed_at.get_or_insert(to) != to;
        job.state = TaskState::Held;
        self.fresh.push(id);
    }

    fn take_report(&mut self, now: Seconds, id: Option<MachineId>, report: Option<LoadReport>) {
        let machine = id.and_then(|id| self.machines.get_mut(&id));
        let (Some(machine), Some(report)) = (machine, report) else {
            return;
        };
        machine.report_at = now;
        let free = [report.free_cpu, report.free_memory];
        let taken = [0, 1].map(|i| free[i].map(|free| machine.size[i] - free));
        if self.settings.reports_measured_usage {
            machine.add(now, [0.0; 2]);
            for (i, taken) in taken.into_iter().enumerate() {
                let asked = machine.lagged[i] + machine.others[i];
                if let Some(ratio) = taken.and_then(|taken| machine.see_used(i, taken, asked)) {
                    self.used[i].learn(ratio, MEAN_WEIGHT);
                }
            }
        } else {
            machine.see_asked(now, taken);
            if let Some(busy) = report.cpu_utilization {
                machine.see_used(0, busy * machine.size[0], machine.asked(0));
            }
        }
    }

    fn take_list(&mut self, now: Seconds, list: Vec<Endpoint>, whole: bool) {
        (self.list.asked_at, self.list.fails) = (None, 0);
        if whole {
            self.machines
                .values_mut()
                .for_each(|machine| machine.leaving = true);
        }
        for entry in list {
            let Some(kind) = self.settings.machine_types.get(entry.machine_type) else {
                continue;
            };
            let machine = self.machines.entry(entry.machine).or_default();
            if machine
                .entry
                .as_ref()
                .is_some_and(|known| entry.started_at > known.started_at)
            {
                self.programs
                    .retain(|pair, _| pair.1 != entry.machine.0 as u32 & !GONE);
            }
            machine.size = [kind.capacity.cpu, kind.capacity.memory];
            machine.leaving = entry.status != EndpointStatus::Ready;
            if self.settings.lists_unclaimed {
                let asked = [
                    kind.capacity.cpu - entry.unclaimed.cpu,
                    kind.capacity.memory - entry.unclaimed.memory,
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
                .is_some_and(|entry| entry.status == EndpointStatus::Draining);
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
