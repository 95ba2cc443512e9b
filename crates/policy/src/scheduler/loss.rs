//! The loss estimate: the expected cost of placing a task on a machine, in seconds of the task's full service.
//!
//! The loss is the sum of the cost of a late start, the cost of CPU and memory contention over the task's run time, and
//! the price of keeping a machine in use that is not needed. Called for each candidate that passed the filters.

use super::Scheduler;
use super::filters::requested_fraction;
use super::machine_state::{MachineState, Reservation};
use super::task_record::TaskRecord;
use crate::interface::{Class, Resources, Seconds, Task};

/// The target utilization of a machine's cores and memory, as a fraction. CPU has some headroom for fluctuations; above
/// this memory utilization machines soon slow down and evict tasks.
pub(super) const TARGET_UTILIZATION: Resources = Resources::new(0.95, 0.80);

/// The fraction of a machine's admission limit that placement fills. Observations lag, and rejections have a price.
pub(super) const PLANNED_ADMISSION_FRACTION: f64 = 0.97;

/// Lower bound of the ratio of used to requested resources.
const MIN_ASSUMED_USAGE_RATIO: f64 = 0.05;

/// The cost of CPU utilization above target, in run times of the task that it and other tasks lose together, for an
/// excess of one whole machine.
const CPU_CONTENTION_FACTOR: f64 = 3.0;

/// The same for memory utilization.
const MEMORY_CONTENTION_FACTOR: f64 = 15.0;

/// Lower bound of the degradation range, to avoid a division by zero.
const MIN_DEGRADATION_RANGE: f64 = 0.01;

/// The price of using idle capacity for a mean run time, as a multiple of the price of all idle machines.
const IDLE_CAPACITY_FACTOR: f64 = 1.6;

/// The factor by which that price is higher for a machine on which nothing runs.
const EMPTY_MACHINE_FACTOR: f64 = 2.0;

/// The cost of each second of start time, in seconds of full service, since a start delays other starts.
const START_TIME_FACTOR: f64 = 3.0;

/// The fraction of the latency objective from which a start may be late.
const LATE_FROM_FRACTION: f64 = 0.7;

/// The further fraction of the latency objective after which a start is certainly late.
const LATE_RANGE_FRACTION: f64 = 0.6;

/// Lower bound of the latency objective, in seconds, to avoid a division by zero.
const MIN_LATENCY_OBJECTIVE: Seconds = 1e-3;

/// Lower bound of the resources that a mean task uses, to avoid a division by zero.
const MIN_TASK_USAGE: f64 = 1e-6;

impl Scheduler {
    /// The expected loss, in seconds of the task's full service, if the machine has the program in its cache with
    /// probability `cached_probability`; `None` if the machine would not admit the task.
    pub(super) fn loss(
        &self,
        now: Seconds,
        record: &TaskRecord,
        machine: &MachineState,
        cached_probability: f64,
    ) -> Option<f64> {
        let task = &record.task;
        let class = &self.settings.classes[task.class];
        if self.filter_capacity(task, machine).is_some() {
            return None;
        }
        let late_start = self.late_start_loss(now, task, class, machine, cached_probability);
        let contention = self.contention(task, class, machine);
        let duration = self.estimates.duration_of(task);
        let idle_capacity = self.idle_capacity_price(machine);
        Some(late_start + duration * contention + idle_capacity * self.estimates.duration.value())
    }

    /// The cost of contention for cores and memory to this task and others, as a fraction of full service.
    fn contention(&self, task: &Task, class: &Class, machine: &MachineState) -> f64 {
        let usage = machine.usage.value_or(self.estimates.usage.value());
        let used = requested_fraction(task, machine)
            * usage.map(|ratio| ratio.max(MIN_ASSUMED_USAGE_RATIO));
        let degradation = (used.cpu - class.full_service_utilization)
            / class.degradation_range.max(MIN_DEGRADATION_RANGE);
        let excess = (used - TARGET_UTILIZATION).max(Resources::ZERO);
        degradation.clamp(0.0, 1.0)
            + CPU_CONTENTION_FACTOR * excess.cpu
            + MEMORY_CONTENTION_FACTOR * excess.memory
    }

    /// The price per second of keeping a machine in use that is not needed.
    fn idle_capacity_price(&self, machine: &MachineState) -> f64 {
        if !machine.is_idle_capacity {
            return 0.0;
        }
        let is_in_use = machine.requested().cpu > 0.0;
        let factor = if is_in_use { 1.0 } else { EMPTY_MACHINE_FACTOR };
        self.settings.costs.idle_machines * IDLE_CAPACITY_FACTOR * factor
    }

    /// The expected cost of a late start, and of the start time itself.
    fn late_start_loss(
        &self,
        now: Seconds,
        task: &Task,
        class: &Class,
        machine: &MachineState,
        cached_probability: f64,
    ) -> f64 {
        // A resubmitted task is already late or has had its first start, so only the start time itself matters.
        let waited = if task.is_resubmission {
            class.deadline
        } else {
            now + class.deadline - task.deadline
        };
        let queue = StartQueue::of(now, machine, self.estimates.start_time.cached());
        let loss = |start_work: f64| {
            let start_time = queue.seconds_per_start * (queue.work + start_work);
            let objective = class.latency_objective.max(MIN_LATENCY_OBJECTIVE);
            let lateness =
                ((waited + start_time) / objective - LATE_FROM_FRACTION) / LATE_RANGE_FRACTION;
            class.start_weight * lateness.clamp(0.0, 1.0) + START_TIME_FACTOR * start_time
        };
        let cached = loss(1.0);
        let uncached = loss(self.estimates.start_time.uncached_work());
        cached_probability * cached + (1.0 - cached_probability) * uncached
    }

    /// The backlog for Dice: the known remaining work, divided by the number of tasks that the machine can run in
    /// parallel.
    pub(super) fn backlog(&self, now: Seconds, machine: &MachineState) -> f64 {
        let estimates = &self.estimates;
        let mut own_work = 0.0;
        for reservation in machine.reservations.values() {
            own_work += (reservation.expected_end - now).max(0.0) * reservation.request.cpu;
        }
        let other_work = machine.other_requests.cpu * estimates.duration.value();
        let mean_task_usage = estimates.usage.value() * estimates.request.value();
        let parallel_tasks =
            machine.capacity / mean_task_usage.map(|amount| amount.max(MIN_TASK_USAGE));
        let parallel_tasks = parallel_tasks
            .cpu
            .min(TARGET_UTILIZATION.memory * parallel_tasks.memory)
            .max(1.0);
        (own_work + other_work) / parallel_tasks
    }
}

/// The unfinished starts of this scheduler on a machine. They show if the machine has become slower.
struct StartQueue {
    /// The work of the starts, in units of one start with a cached program.
    work: f64,
    /// The start time with a cached program, in seconds.
    seconds_per_start: Seconds,
}

impl StartQueue {
    fn of(now: Seconds, machine: &MachineState, mean_seconds_per_start: Seconds) -> Self {
        let is_starting = |reservation: &&Reservation| !reservation.is_running;
        let mut queue = Self {
            work: 0.0,
            seconds_per_start: mean_seconds_per_start,
        };
        for reservation in machine.reservations.values().filter(is_starting) {
            let seconds_per_start = (now - reservation.sent_at) / reservation.start_work;
            queue.work += reservation.start_work;
            queue.seconds_per_start = queue.seconds_per_start.max(seconds_per_start);
        }
        queue
    }
}
