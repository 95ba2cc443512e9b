//! What waits is placed, sent, or ended; which machines are spare.

use super::*;

const WORKING: f64 = 0.9; // The working set is filled up to this share of comfort.
const NEED_KEPT: f64 = 0.98; // What was needed falls by this at each look: lost tasks come again.
const KEPT_OPEN: f64 = 0.2; // Machines of it count as this much fuller, so that it changes rarely.
const DEVIATIONS: f64 = 5.0; // An offer that takes the mean and this many mean deviations,
const TIMEOUT_LEAST: Seconds = 0.2; // and this long at least, has timed out.
const AGAIN: Seconds = 0.05; // Held tasks are looked at again at least this often,
const CROWDED: f64 = 200.0; // and more rarely from about this many on.

impl Scheduler {
    /// Where machines in use cost, marks those that are not needed at comfort for what all tasks use now: the
    /// emptiest, so that the same ones run empty at all schedulers.
    pub(super) fn mark_spare(&mut self, now: Seconds) {
        if self.settings.costs.idle_machines <= 0.0 || now < self.spare_at {
            return;
        }
        self.spare_at = now + VIEW_LAG / 2.0;
        let listed = || {
            self.machines
                .iter()
                .filter(|(_, machine)| machine.entry.is_some())
        };
        let in_use =
            |machine: &Machine, i: usize| machine.asked(i) * machine.used[i].or(self.used[i].value);
        let in_use = [0, 1].map(|i| listed().map(|(_, machine)| in_use(machine, i)).sum::<f64>());
        let mut need = [0, 1].map(|i| in_use[i].max(self.need[i] * NEED_KEPT));
        let full = |machine: &Machine| {
            (machine.asked(0) / machine.size[0]).max(machine.asked(1) / machine.size[1])
        };
        let kept = |machine: &Machine| if machine.spare { 0.0 } else { KEPT_OPEN };
        let mut order: Vec<_> = listed()
            .map(|(&id, machine)| (full(machine) + kept(machine), id))
            .collect();
        self.need = need;
        // What a machine holds of them: up to comfort, and no more than it admits.
        let admits = [
            self.settings.overcommit.cpu,
            self.settings.overcommit.memory,
        ];
        let full = [CORES_FULL, MEMORY_FULL];
        let holds =
            [0, 1].map(|i| full[i].min(admits[i] * ADMIT_FULL * self.used[i].value) * WORKING);
        order.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        for (_, id) in order {
            let Some(machine) = self.machines.get_mut(&id) else {
                continue;
            };
            machine.spare = need[0] <= 0.0 && need[1] <= 0.0;
            if !machine.leaving {
                need[0] -= machine.size[0] * holds[0];
                need[1] -= machine.size[1] * holds[1];
            }
        }
    }

    pub(super) fn place(&mut self, now: Seconds, out: &mut Vec<Action>) {
        let mut held = std::mem::take(&mut self.fresh);
        if now >= self.retry_at {
            held.append(&mut self.held);
            self.retry_at = f64::INFINITY;
        }
        let classes = &self.settings.classes;
        let worth = |id: &TaskId| {
            self.jobs
                .get(id)
                .map_or(0.0, |job| classes[job.task.class].priority_weight)
        };
        let mut held: Vec<(f64, TaskId)> = held.into_iter().map(|id| (worth(&id), id)).collect();
        held.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let mut look = CandidateCache::default();
        for (_, id) in held {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            if now >= self.may_send_until(job) {
                self.finish(id, out);
                continue;
            }
            #[cfg(test)]
            let plain = self.plain(now, id);
            let picked = self.pick(now, id, &mut look);
            #[cfg(test)]
            assert_eq!((picked, &self.rng), (plain.0, &plain.1));
            if let Some(machine) = picked {
                self.send(now, id, machine, out);
                self.look_again(now, machine, &mut look);
            } else {
                let pause = AGAIN * (1.0 + self.held.len() as f64 / CROWDED); // Each look costs CPU.
                self.retry_at = self
                    .retry_at
                    .min(now + pause)
                    .min(self.jobs[&id].task.deadline - LEEWAY);
                self.held.push(id);
            }
        }
        self.looked += look.looked;
    }

    /// After a send: what it bars from now on.
    fn look_again(&mut self, now: Seconds, to: MachineId, look: &mut CandidateCache) {
        let Some(machine) = self.machines.get(&to) else {
            return;
        };
        if cold(machine, &self.settings.safety_limits, now) {
            return look.open.clear(); // It spent of what all cold machines bear.
        }
        for (&(class, tenant), open) in &mut look.open {
            let task = Task {
                class,
                tenant,
                ..Task::default()
            };
            if self.bar_of_all(now, &task, machine).is_some() {
                open.retain(|&id| id != to);
            }
        }
    }

    fn send(&mut self, now: Seconds, id: TaskId, to: MachineId, out: &mut Vec<Action>) {
        let timeout = (self.answer.value + DEVIATIONS * self.deviation.value).max(TIMEOUT_LEAST);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let class = &self.settings.classes[job.task.class];
        let once =
            self.settings.confirm_when_running || class.retry_safety == RetrySafety::NonIdempotent;
        let repeated = doubled(timeout, job.sends as i32, class.deadline);
        let wait = if once { class.deadline / 2.0 } else { repeated };
        let wait = wait.min(job.task.deadline - now - LEEWAY / 2.0);
        (job.state, job.sent_at, job.machine) = (TaskState::Out, now, to);
        job.sends += 1;
        self.count(now, id);
        let safety = &self.settings.safety_limits;
        if let Some(machine) = self
            .machines
            .get_mut(&to)
            .filter(|machine| cold(machine, safety, now))
        {
            self.cold_offers.0 = self.cold_offers.0.map(|left| left - 1.0);
            machine.offered_at = now;
        }
        out.push(Action::Offer {
            task: id,
            machine: to,
            timeout: wait,
        });
    }

    /// The one end of a request that was not placed: a refusal where it is harmless, else a failure.
    fn finish(&mut self, id: TaskId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        let harmless = job.may_run.is_none()
            || match self.settings.classes[job.task.class].retry_safety {
                RetrySafety::Idempotent => true,
                RetrySafety::IdempotencyKeyed { domain: group, .. } => group == FailureDomain::All,
                RetrySafety::NonIdempotent => false,
            };
        out.push(if harmless {
            Action::Reject {
                task: id,
                retry_after: 0.0,
            }
        } else {
            Action::Fail(id)
        });
    }

    /// Counts a send or a task in place against its machine.
    pub(super) fn count(&mut self, now: Seconds, id: TaskId) {
        let mean_life = self.life.value;
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let (service, to) = (job.task.service, job.machine);
        let warm = self.warm(now, service, to);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        *self.spread.entry((service, to)).or_default() += 1;
        self.to_tell.push(pair(service, to));
        let machine = self.machines.entry(to).or_default();
        let (out, asked) = (
            job.state == TaskState::Out,
            [job.task.request.cpu, job.task.request.memory],
        );
        job.warm = warm;
        let start = if warm {
            1.0
        } else {
            self.starts[1].value / self.starts[0].value
        };
        let alone = machine.tasks.values().all(|load| load.runs);
        let ends = now + job.task.expected_duration.unwrap_or(mean_life);
        let load = Reservation {
            asked,
            ends,
            sent_at: now,
            answered: !out,
            runs: !out,
            start,
            alone,
        };
        machine.tasks.insert(id, load);
        machine.add(now, asked);
        if !out {
            // The list that came before told of this task among all others.
            machine.lagged = machine.own;
            machine.others = [0, 1].map(|i| (machine.others[i] - asked[i]).max(0.0));
        }
    }

    /// Takes back all that `count` did.
    pub(super) fn uncount(&mut self, now: Seconds, id: TaskId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let Some(machine) = self.machines.get_mut(&job.machine) else {
            return;
        };
        machine.tasks.remove(&id);
        machine.add(now, [-job.task.request.cpu, -job.task.request.memory]);
        let key = (job.task.service, job.machine);
        let Some(there) = self.spread.get_mut(&key) else {
            return;
        };
        *there -= 1;
        if *there == 0 {
            self.spread.remove(&key);
            let pair = pair(key.0, key.1);
            self.to_tell.push((pair.0, pair.1 | GONE));
            self.programs.insert(pair, now + KEPT_FOR);
        }
    }
}
