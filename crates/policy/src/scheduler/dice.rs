//! The ordinary path: what each candidate loses, and Dice among those that lose least.

use super::*;

const THRESHOLD: f64 = 6.0; // Dice: backlog plus work under six mean works is short, as in the paper.
const MARGIN: f64 = 0.15; // Dice: backlogs within this many mean works of the best are alike.
const SAMPLE: usize = 4; // Dice: longer work looks at this many machines with room.
pub(super) const MARGIN_LOSS: Seconds = 1.3; // Candidates that lose so much more than the best are alike.
const CROWDING: f64 = 3.0; // Lives of the task lost by it and by others, for each machine's cores beyond,
const CROWDING_MEMORY: f64 = 15.0; // and for each machine's memory beyond.
const IN_USE: f64 = 1.6; // Keeping a machine in use costs this share of the price of all, over a mean life.
const STARTING: f64 = 3.0; // A second of a start costs this much, as it holds up others.
const IN_TIME: f64 = 0.7; // From this share of the aim on a start may be late,
const LATE_OVER: f64 = 0.6; // and over this share more that becomes sure.
pub(super) const HOMES: usize = 2; // Machines that all schedulers take for the homes of a service, by a hash.
pub(super) const AT_HOME: f64 = 0.9; // Each holds the program with this chance,
pub(super) const FALL: f64 = 0.7; // those after them with a chance that falls by this factor.

/// Dice: short work to the least backlog while backlog plus work is under the threshold, longer work to the
/// longest backlog among a few; alike ones are drawn at random. Returns an index of `backlogs`.
pub(super) fn dice(backlogs: &[f64], work: f64, mean_work: f64, rng: &mut impl Rng) -> usize {
    let margin = MARGIN * mean_work;
    let least = backlogs.iter().copied().fold(f64::INFINITY, f64::min);
    let mut near: Vec<usize> = (0..backlogs.len()).collect();
    if least + work < THRESHOLD * mean_work {
        near.retain(|&i| backlogs[i] <= least + margin);
    } else {
        for i in 0..SAMPLE.min(near.len()) {
            let j = rng.random_range(i..near.len());
            near.swap(i, j);
        }
        near.truncate(SAMPLE);
        let longest = near.iter().map(|&i| backlogs[i]).fold(0.0, f64::max);
        near.retain(|&i| backlogs[i] >= longest - margin);
    }
    if near.is_empty() {
        0
    } else {
        near[rng.random_range(0..near.len())]
    }
}

impl Scheduler {
    pub(super) fn warm(&self, now: Seconds, service: ServiceId, id: MachineId) -> bool {
        self.spread.contains_key(&(service, id))
            || self
                .programs
                .get(&pair(service, id))
                .is_some_and(|&until| now < until)
    }

    /// What placing the task there is expected to lose, in seconds of its full service: a late start, crowded
    /// cores or memory over its life, a machine kept in use. `None` where it would not be admitted.
    pub(super) fn loss(
        &self,
        now: Seconds,
        job: &Job,
        machine: &Machine,
        program: f64,
    ) -> Option<f64> {
        let (class, task) = (&self.settings.classes[job.task.class], &job.task);
        let use_of = |i: usize| machine.used[i].or(self.used[i].value).max(0.05);
        let asked = [
            machine.asked(0) + task.request.cpu,
            machine.asked(1) + task.request.memory,
        ];
        let asked = [asked[0] / machine.size[0], asked[1] / machine.size[1]];
        let used = [asked[0] * use_of(0), asked[1] * use_of(1)];
        if self.lacks(task, machine).is_some() {
            return None;
        }
        let own = ((used[0] - class.full_service_utilization) / class.degradation_range.max(0.01))
            .clamp(0.0, 1.0);
        let crowded = own
            + CROWDING * (used[0] - CORES_FULL).max(0.0)
            + CROWDING_MEMORY * (used[1] - MEMORY_FULL).max(0.0);
        let opened = if machine.asked(0) > 0.0 { 1.0 } else { 2.0 };
        let in_use = if machine.spare {
            self.settings.costs.idle_machines * IN_USE * opened
        } else {
            0.0
        };
        let [with, without] = self.starts.map(|start| start.value / self.starts[0].value);
        // What came back was late already, or has had its first start: only the time it waits is lost.
        let waited = if task.is_resubmission {
            class.deadline
        } else {
            now + class.deadline - task.deadline
        };
        // Starts of ours that wait there tell of its pace, where it grows slower.
        let starts = || machine.tasks.values().filter(|load| !load.runs);
        let before: f64 = starts().map(|load| load.start).sum();
        let age = |load: &Reservation| (now - load.sent_at) / load.start;
        let pace = starts().map(age).fold(self.starts[0].value, f64::max);
        let late = |work: f64| {
            let takes = pace * (before + work);
            let late = ((waited + takes) / class.latency_objective.max(1e-3) - IN_TIME) / LATE_OVER;
            class.start_weight * late.clamp(0.0, 1.0) + STARTING * takes
        };
        let late = program * late(with) + (1.0 - program) * late(without);
        let life = task.expected_duration.unwrap_or(self.life.value);
        Some(late + life * crowded + in_use * self.life.value)
    }

    /// Remaining work known there, over the tasks that the machine can run side by side.
    pub(super) fn backlog(&self, now: Seconds, machine: &Machine) -> f64 {
        let side_by_side =
            |i: usize| machine.size[i] / (self.used[i].value * self.sizes[i].value).max(1e-6);
        let own: f64 = machine
            .tasks
            .values()
            .map(|load| (load.ends - now).max(0.0) * load.asked[0])
            .sum();
        (own + machine.others[0] * self.life.value)
            / side_by_side(0).min(MEMORY_FULL * side_by_side(1)).max(1.0)
    }

    /// The machine for one more send of this task, if there is one. Of the tasks that wait only the first of
    /// a shape walks all machines in a look: while they only fill, what takes none takes none that is larger.
    pub(super) fn pick(
        &mut self,
        now: Seconds,
        id: TaskId,
        look: &mut CandidateCache,
    ) -> Option<MachineId> {
        let (job, safety) = (&self.jobs[&id], &self.settings.safety_limits);
        let (service, class) = (job.task.service, &self.settings.classes[job.task.class]);
        let whose = (job.task.class, job.task.tenant);
        if job.state != TaskState::Held {
            return None;
        }
        // What finds no place for one that is bound to a group says nothing of others: they may go elsewhere.
        let bound = job.may_run.is_some()
            && matches!(class.retry_safety, RetrySafety::IdempotencyKeyed { .. });
        let shape = (
            whose.0,
            whose.1,
            if class.spread_domain.is_some() {
                service
            } else {
                ServiceId(0)
            },
        );
        let asks = [job.task.request.cpu, job.task.request.memory];
        let fulls = look.full.get(&shape);
        if fulls.is_some_and(|fulls| {
            fulls
                .iter()
                .any(|full| full[0] <= asks[0] && full[1] <= asks[1])
        }) {
            return None;
        }
        let all = look.open.entry(whose).or_insert_with(|| {
            look.looked += self.machines.len() as u64;
            let open = |machine: &Machine| self.bar_of_all(now, &job.task, machine).is_none();
            self.machines
                .iter()
                .filter(|(_, machine)| open(machine))
                .map(|(&id, _)| id)
                .collect()
        });
        look.looked += all.len() as u64;
        let open = || {
            all.iter()
                .filter_map(|to| Some((*to, self.machines.get(to)?)))
        };
        let takes =
            |&(to, machine): &(MachineId, &Machine)| self.bar_of_own(job, to, machine).is_none();
        if !open().any(|at| self.lacks(&job.task, at.1).is_none() && takes(&at)) {
            if !bound {
                look.full.entry(shape).or_default().push(asks);
            }
            return None;
        }
        let mut candidates: Vec<(MachineId, &Machine, f64)> = open()
            .filter(takes)
            // Cold machines have no programs, and all schedulers must not choose the same one.
            .map(|(to, machine)| {
                let salt = if cold(machine, safety, now) {
                    id.0.rotate_left(17) ^ self.seed
                } else {
                    0
                };
                (to, machine, rank(ServiceId(service.0 ^ salt), to, machine))
            })
            .collect();
        // Where others' programs are not seen, all schedulers prefer the same few machines for a service. If
        // one is barred, the next takes its place. Harm: a popular service fills its homes.
        candidates.sort_by(|a, b| a.1.spare.cmp(&b.1.spare).then(a.2.total_cmp(&b.2)));
        let mut chance = if self.informed() { 0.0 } else { AT_HOME };
        for (place, (to, machine, loss)) in candidates.iter_mut().enumerate() {
            chance *= if place < HOMES { 1.0 } else { FALL };
            let program = match self.warm(now, service, *to) {
                true => AT_HOME,
                false if cold(machine, safety, now) => 0.0,
                false => chance,
            };
            *loss = self
                .loss(now, job, machine, program)
                .unwrap_or(f64::INFINITY);
        }
        let least = candidates.iter().map(|c| c.2).fold(f64::INFINITY, f64::min);
        candidates.retain(|c| c.2.is_finite() && c.2 <= least + MARGIN_LOSS);
        candidates.truncate(if self.informed() {
            candidates.len()
        } else {
            HOMES
        });
        if candidates.is_empty() {
            return None;
        }
        let mut backlogs: Vec<f64> = candidates.iter().map(|c| self.backlog(now, c.1)).collect();
        let mean = backlogs.iter().sum::<f64>() / backlogs.len() as f64;
        for (backlog, (_, machine, _)) in backlogs.iter_mut().zip(&candidates) {
            let new = machine.tasks.is_empty() || cold(machine, safety, now);
            *backlog = if new { mean } else { *backlog };
        }
        let work = job
            .task
            .expected_duration
            .map_or(self.work.value, |life| life * job.task.request.cpu);
        let ids: Vec<MachineId> = candidates.iter().map(|c| c.0).collect();
        Some(ids[dice(&backlogs, work, self.work.value, &mut self.rng)])
    }
}

/// The place of a machine in a service's order of homes, the same at every scheduler: a weighted rendezvous
/// hash, so that larger machines are home to more and others' homes stay when a machine comes or goes.
pub(super) fn rank(service: ServiceId, id: MachineId, machine: &Machine) -> f64 {
    let x = (service.0 ^ id.0.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    -((x >> 11) as f64 / (1u64 << 53) as f64).max(1e-12).ln() / machine.size[0].max(1e-6)
}
