//! Admission: what bars a task from a machine, by the five rules, by troubles, by room; and why one waits.

use super::*;

const LINE: usize = 4; // Offers of ours that may be in line at a machine.
const SLACK: f64 = 1.25; // The window in which they bear it is taken this much longer.

impl Scheduler {
    /// Lets this scheduler's part of what cold machines bear grow: what all may offer to all of them, as
    /// schedulers can't agree on one. At first each has a random part of it, else all would offer at once.
    pub(super) fn refill_cold(&mut self, now: Seconds) {
        let safety = &self.settings.safety_limits;
        let cold = self
            .machines
            .values()
            .filter(|m| m.ready() && cold(m, safety, now))
            .count();
        let part = cold as f64 * safety.slow_start_offers / self.settings.scheduler_count as f64;
        let left = match self.cold_offers {
            _ if cold == 0 => None,
            (Some(left), at) => Some(left + part * (now - at) / safety.overload_window.max(1e-3)),
            (None, _) => Some(self.rng.random_range(0.0..part.max(1.0))),
        };
        self.cold_offers = (left.map(|left| left.min(part.max(1.0))), now);
    }

    /// Whether one more offer keeps within this scheduler's part of what cold machines, and this one, bear.
    /// Where more schedulers share it than chance is allowed, groups take turns, at each machine other ones:
    /// a window sees two turns at most, so no more offers than two groups have members, whoever chooses what.
    fn bears(&self, now: Seconds, machine: &Machine) -> bool {
        let (safety, all) = (
            &self.settings.safety_limits,
            self.settings.scheduler_count as u64,
        );
        let (bears, id) = (
            safety.slow_start_offers.max(1.0),
            machine.entry.as_ref().map_or(0, |e| e.machine.0),
        );
        let pause =
            safety.overload_window.max(1e-3) * SLACK / (bears / all as f64).floor().max(1.0);
        let most = (bears + 2.0 * bears.sqrt() + 2.0) as u64; // Chance may add so many to what it bears.
        let groups = if all > most {
            all.div_ceil(most / 2)
        } else {
            1
        };
        let turn = (now / pause) as u64 % groups + id % groups + self.settings.ordinal as u64;
        let left = self.cold_offers.0.is_none_or(|left| left >= 1.0);
        !cold(machine, safety, now)
            || left
                && turn.is_multiple_of(groups)
                && now >= machine.offered_at.max(self.began) + pause
    }

    /// Until when this task may be sent, were a machine found.
    pub(super) fn may_send_until(&self, job: &Job) -> Seconds {
        let repeats = match (
            job.may_run,
            self.settings.classes[job.task.class].retry_safety,
        ) {
            _ if job.sends >= self.settings.max_attempts => 0.0,
            (None, _) | (_, RetrySafety::Idempotent) => f64::INFINITY,
            (_, RetrySafety::NonIdempotent) => 0.0,
            (Some((at, _)), RetrySafety::IdempotencyKeyed { window, .. }) => at + window,
        };
        job.task.deadline.min(repeats) - LEEWAY
    }

    /// What bars a task from a machine: the five rules, then what troubles and offers stand against it.
    pub(super) fn bar(
        &self,
        now: Seconds,
        job: &Job,
        id: MachineId,
        machine: &Machine,
    ) -> Option<FilterReason> {
        let bars = [
            self.bar_of_all(now, &job.task, machine),
            self.bar_of_own(job, id, machine),
        ];
        bars.into_iter()
            .flatten()
            .min_by(|a, b| a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal))
    }

    /// What bars all tasks of its class and tenant alike.
    pub(super) fn bar_of_all(
        &self,
        now: Seconds,
        task: &Task,
        machine: &Machine,
    ) -> Option<FilterReason> {
        let class = &self.settings.classes[task.class];
        let (kind, standing) = machine
            .entry
            .as_ref()
            .map(|entry| (entry.machine_type, entry.status))
            .unzip();
        match () {
            () if !machine.ready() && standing == Some(EndpointStatus::Draining) => {
                Some(FilterReason::Draining)
            }
            () if !machine.ready() => Some(FilterReason::NotListed),
            () if class.machine_type.is_some() && class.machine_type != kind => {
                Some(FilterReason::MachineTypeMismatch)
            }
            () if !self.bears(now, machine) => Some(FilterReason::SlowStart),
            () if !machine.open(now, (task.class, task.tenant)) => {
                Some(FilterReason::CircuitOpen(machine.aside_until(now)))
            }
            () => (machine.unanswered() >= LINE).then_some(FilterReason::TooManyOffersInFlight),
        }
    }

    /// What bars this task, by where it may have run and where its service is.
    pub(super) fn bar_of_own(
        &self,
        job: &Job,
        id: MachineId,
        machine: &Machine,
    ) -> Option<FilterReason> {
        let class = &self.settings.classes[job.task.class];
        let in_group = match (job.may_run, class.retry_safety) {
            (Some((_, first)), RetrySafety::IdempotencyKeyed { domain: group, .. }) => {
                self.same_place(group, id, machine, first)
            }
            _ => true,
        };
        let services = (job.task.service, MachineId(0))..=(job.task.service, MachineId(u64::MAX));
        let there = |place| {
            let near = |other| self.same_place(place, id, machine, other);
            self.spread
                .range(services)
                .filter(|at| near(at.0.1))
                .map(|at| at.1)
                .sum::<u32>()
        };
        let full = class
            .spread_domain
            .filter(|&place| there(place) >= class.max_per_spread_domain);
        if in_group {
            full.map(FilterReason::SpreadLimit)
        } else {
            Some(FilterReason::OutsideDeduplicationDomain)
        }
    }

    /// Why a task waits: what bars it from each machine, by the predicates that decide. Changes nothing.
    pub fn explain(&self, now: Seconds, id: TaskId) -> Option<PendingDiagnosis> {
        let job = self
            .jobs
            .get(&id)
            .filter(|job| job.state == TaskState::Held)?;
        let until = self.may_send_until(job);
        let block = match self.settings.classes[job.task.class].retry_safety {
            _ if now < until => None,
            _ if job.sends >= self.settings.max_attempts => Some(RetryBlocker::AttemptsExhausted),
            RetrySafety::NonIdempotent if job.may_run.is_some() => Some(RetryBlocker::MayHaveRun),
            RetrySafety::IdempotencyKeyed { .. } if now < job.task.deadline - LEEWAY => {
                Some(RetryBlocker::DeduplicationWindowElapsed)
            }
            _ => Some(RetryBlocker::DeadlineExceeded),
        };
        let bar = |(&to, m): (&MachineId, &Machine)| {
            Some((
                to,
                self.bar(now, job, to, m)
                    .or_else(|| self.lacks(&job.task, m))?,
            ))
        };
        Some(PendingDiagnosis {
            rejections: self.machines.iter().filter_map(bar).collect(),
            machine_count: self.machines.len(),
            blocker: block,
            send_deadline: until,
            next_attempt_at: if self.retry_at.is_finite() {
                self.retry_at
            } else {
                now
            },
            attempts: job.sends,
        })
    }

    /// What the machine lacks to admit the task, as far as is known: of cores and memory what lacks more.
    pub(super) fn lacks(&self, task: &Task, machine: &Machine) -> Option<FilterReason> {
        let asked = [
            machine.asked(0) + task.request.cpu,
            machine.asked(1) + task.request.memory,
        ];
        let asked = [asked[0] / machine.size[0], asked[1] / machine.size[1]];
        let admits = [
            self.settings.overcommit.cpu,
            self.settings.overcommit.memory,
        ]
        .map(|most| most * ADMIT_FULL);
        let over = [0, 1].map(|i| (asked[i] - admits[i]) / admits[i]);
        let short = |i: usize| (asked[i] - admits[i]) * machine.size[i];
        match () {
            () if !(0..2).any(|i| asked[i] > admits[i]) => None,
            () if over[0] > over[1] => Some(FilterReason::InsufficientCpu(short(0))),
            () => Some(FilterReason::InsufficientMemory(short(1))),
        }
    }

    fn same_place(
        &self,
        place: FailureDomain,
        id: MachineId,
        machine: &Machine,
        other: MachineId,
    ) -> bool {
        let entry =
            |machine: &Machine| machine.entry.as_ref().map(|entry| (entry.zone, entry.cell));
        let (here, there) = (entry(machine), self.machines.get(&other).and_then(entry));
        match place {
            FailureDomain::All => true,
            FailureDomain::Machine => id == other,
            FailureDomain::Zone => here
                .zip(there)
                .is_some_and(|(here, there)| here.0 == there.0),
            FailureDomain::Cell => here
                .zip(there)
                .is_some_and(|(here, there)| here.1 == there.1),
        }
    }
}
