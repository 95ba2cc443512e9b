//! The loss estimate: what placing a task on a machine is expected to cost, in seconds of the task's full service.
//!
//! It adds up the worth of a late start, crowded cores and memory over the task's duration, and the price of
//! keeping a machine in use that is not needed. Called for each candidate that passed the filters.

use super::Scheduler;
use super::filters::requested_fraction;
use super::machine_state::{MachineState, Reservation};
use super::task_record::TaskRecord;
use crate::interface::{Class, Resources, Seconds, Task};

/// Comfortable use, as a fraction of a machine's cores and memory. Cores leave some room as use swings; above this
/// use of memory machines soon slow down and evict.
pub(super) const COMFORTABLE_USE: Resources = Resources::new(0.95, 0.80);

/// Admission is planned up to this fraction of what machines admit: observations lag, and a rejection is charged.
pub(super) const PLANNED_ADMISSION_FRACTION: f64 = 0.97;

/// The smallest ratio of use to requests that is reckoned with.
const MIN_USAGE: f64 = 0.05;

/// Durations of the task that it and others lose for each whole machine's cores in use beyond comfort.
const CPU_CROWDING_FACTOR: f64 = 3.0;

/// The same for each whole machine's memory in use beyond comfort.
const MEMORY_CROWDING_FACTOR: f64 = 15.0;

/// The smallest degradation range that is divided by.
const MIN_DEGRADATION_RANGE: f64 = 0.01;

/// Keeping idle capacity in use costs this fraction of the price of all idle machines, over a mean duration.
const IDLE_CAPACITY_FACTOR: f64 = 1.6;

/// Taking a machine into use on which nothing runs costs this many times as much.
const EMPTY_MACHINE_FACTOR: f64 = 2.0;

/// The cost of a second of a start, in seconds of full service, as it holds up other starts.
const START_TIME_FACTOR: f64 = 3.0;

/// From this fraction of the latency objective on a start may be late.
const LATE_FROM_FRACTION: f64 = 0.7;

/// A start that takes this fraction more of the latency objective is surely late.
const LATE_RANGE_FRACTION: f64 = 0.6;

/// The shortest latency objective that is divided by, in seconds.
const MIN_LATENCY_OBJECTIVE: Seconds = 1e-3;

/// The smallest resources of a mean task that are divided by.
const MIN_TASK_USE: f64 = 1e-6;

impl Scheduler {
    /// The expected loss, in seconds of the task's full service, where the machine has the program in its cache
    /// with probability `cached_probability`; `None` where the task would not be admitted.
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
        let crowding = self.crowding(task, class, machine);
        let duration = self.estimates.duration_of(task);
        let idle_capacity = self.idle_capacity_price(machine);
        Some(late_start + duration * crowding + idle_capacity * self.estimates.duration.value())
    }

    /// The fraction of full service that crowded cores and memory take from this task and others.
    fn crowding(&self, task: &Task, class: &Class, machine: &MachineState) -> f64 {
        let usage = machine.usage.value_or(self.estimates.usage.value());
        let used = requested_fraction(task, machine) * usage.map(|ratio| ratio.max(MIN_USAGE));
        let degradation = (used.cpu - class.full_service_utilization)
            / class.degradation_range.max(MIN_DEGRADATION_RANGE);
        let excess = (used - COMFORTABLE_USE).max(Resources::ZERO);
        degradation.clamp(0.0, 1.0)
            + CPU_CROWDING_FACTOR * excess.cpu
            + MEMORY_CROWDING_FACTOR * excess.memory
    }

    /// The price, for each second, of keeping a machine in use that is not needed.
    fn idle_capacity_price(&self, machine: &MachineState) -> f64 {
        if !machine.is_idle_capacity {
            return 0.0;
        }
        let is_in_use = machine.requested().cpu > 0.0;
        let factor = if is_in_use { 1.0 } else { EMPTY_MACHINE_FACTOR };
        self.settings.costs.idle_machines * IDLE_CAPACITY_FACTOR * factor
    }

    /// The worth of a start that will be late, and the time of the start itself.
    fn late_start_loss(
        &self,
        now: Seconds,
        task: &Task,
        class: &Class,
        machine: &MachineState,
        cached_probability: f64,
    ) -> f64 {
        // A task that came back is late already, or has had its first start: it loses only the time that it waits.
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

    /// The backlog of Dice: the remaining work known there, over the tasks that the machine can run side by side.
    pub(super) fn backlog(&self, now: Seconds, machine: &MachineState) -> f64 {
        let estimates = &self.estimates;
        let mut own_work = 0.0;
        for reservation in machine.reservations.values() {
            own_work += (reservation.expected_end - now).max(0.0) * reservation.request.cpu;
        }
        let other_work = machine.other_requests.cpu * estimates.duration.value();
        let mean_task_use = estimates.usage.value() * estimates.request.value();
        let parallel_tasks =
            machine.capacity / mean_task_use.map(|amount| amount.max(MIN_TASK_USE));
        let parallel_tasks = parallel_tasks
            .cpu
            .min(COMFORTABLE_USE.memory * parallel_tasks.memory)
            .max(1.0);
        (own_work + other_work) / parallel_tasks
    }
}

/// Starts of this scheduler that have not finished on a machine. They tell of its pace, where it gets slower.
struct StartQueue {
    /// Their work, in starts with a cached program.
    work: f64,
    /// The time of a start with a cached program, in seconds.
    seconds_per_start: Seconds,
}

impl StartQueue {
    fn of(now: Seconds, machine: &MachineState, usual_seconds_per_start: Seconds) -> Self {
        let is_starting = |reservation: &&Reservation| !reservation.is_running;
        let mut queue = Self {
            work: 0.0,
            seconds_per_start: usual_seconds_per_start,
        };
        for reservation in machine.reservations.values().filter(is_starting) {
            let seconds_per_start = (now - reservation.sent_at) / reservation.start_work;
            queue.work += reservation.start_work;
            queue.seconds_per_start = queue.seconds_per_start.max(seconds_per_start);
        }
        queue
    }
}
