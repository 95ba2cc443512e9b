//! Filters that exclude machines for a task: the five rules, circuit breakers, and capacity.
//!
//! Filters that depend only on class and tenant are separate from those of a single task, so that they are evaluated
//! once for many tasks. Called when candidates are chosen, by the loss estimate, and by `explain`.

use super::Scheduler;
use super::loss::PLANNED_ADMISSION_FRACTION;
use super::machine_state::MachineState;
use super::task_record::{TaskRecord, TrafficClass};
use crate::interface::{
    FailureDomain, FilterReason, MachineId, Resources, RetrySafety, Seconds, Task,
};
use std::cmp::Ordering;

/// The maximum number of unconfirmed offers of this scheduler at one machine.
const MAX_UNCONFIRMED_OFFERS: usize = 4;

impl Scheduler {
    /// The first reason, in declaration order of [`FilterReason`], why the task must not be sent to the machine.
    /// Capacity is not included.
    pub(super) fn filter(
        &self,
        now: Seconds,
        record: &TaskRecord,
        id: MachineId,
        machine: &MachineState,
    ) -> Option<FilterReason> {
        let reasons = [
            self.filter_traffic(now, record.traffic_class(), machine),
            self.filter_task(record, id, machine),
        ];
        let order =
            |a: &FilterReason, b: &FilterReason| a.partial_cmp(b).unwrap_or(Ordering::Equal);
        reasons.into_iter().flatten().min_by(order)
    }

    /// Applies the filters that are the same for all tasks of a class and tenant.
    pub(super) fn filter_traffic(
        &self,
        now: Seconds,
        traffic: TrafficClass,
        machine: &MachineState,
    ) -> Option<FilterReason> {
        let class = &self.settings.classes[traffic.class];
        if !machine.is_ready() {
            return Some(if machine.is_draining() {
                FilterReason::Draining
            } else {
                FilterReason::NotListed
            });
        }
        let machine_type = machine.endpoint.as_ref().map(|e| e.machine_type);
        if class.machine_type.is_some() && class.machine_type != machine_type {
            return Some(FilterReason::MachineTypeMismatch);
        }
        if self.is_in_slow_start(now, machine)
            && !self.slow_start.allows_offer(now, machine, &self.settings)
        {
            return Some(FilterReason::SlowStart);
        }
        let unconfirmed_offers = machine.unconfirmed_offers();
        let breakers = &machine.circuit_breakers;
        if !breakers.allows(now, traffic, unconfirmed_offers > 0) {
            return Some(FilterReason::CircuitOpen(breakers.open_until(now)));
        }
        if unconfirmed_offers >= MAX_UNCONFIRMED_OFFERS {
            return Some(FilterReason::TooManyOffersInFlight);
        }
        None
    }

    /// Applies the filters of a single task: its deduplication domain and the spread limit.
    pub(super) fn filter_task(
        &self,
        record: &TaskRecord,
        id: MachineId,
        machine: &MachineState,
    ) -> Option<FilterReason> {
        if !self.is_in_deduplication_domain(record, id, machine) {
            return Some(FilterReason::OutsideDeduplicationDomain);
        }
        let class = &self.settings.classes[record.task.class];
        let domain = class.spread_domain?;
        let is_in_domain = |other| self.is_same_failure_domain(domain, id, machine, other);
        let count = self
            .placement_counts
            .count_where(record.task.service, is_in_domain);
        (count >= class.max_per_spread_domain).then_some(FilterReason::SpreadLimit(domain))
    }

    fn is_in_deduplication_domain(
        &self,
        record: &TaskRecord,
        id: MachineId,
        machine: &MachineState,
    ) -> bool {
        let Some(run) = record.possible_run else {
            return true;
        };
        match self.settings.classes[record.task.class].retry_safety {
            RetrySafety::IdempotencyKeyed { domain, .. } => {
                self.is_same_failure_domain(domain, id, machine, run.machine)
            }
            RetrySafety::Idempotent | RetrySafety::NonIdempotent => true,
        }
    }

    fn is_same_failure_domain(
        &self,
        domain: FailureDomain,
        id: MachineId,
        machine: &MachineState,
        other: MachineId,
    ) -> bool {
        let endpoint = machine.endpoint.as_ref();
        let other_endpoint = || self.machines.get(&other).and_then(|m| m.endpoint.as_ref());
        match domain {
            FailureDomain::All => true,
            FailureDomain::Machine => id == other,
            FailureDomain::Zone => endpoint
                .zip(other_endpoint())
                .is_some_and(|(a, b)| a.zone == b.zone),
            FailureDomain::Cell => endpoint
                .zip(other_endpoint())
                .is_some_and(|(a, b)| a.cell == b.cell),
        }
    }

    /// Returns the scarcer resource if the machine, as far as is known, lacks the capacity to admit the task.
    pub(super) fn filter_capacity(
        &self,
        task: &Task,
        machine: &MachineState,
    ) -> Option<FilterReason> {
        let requested = requested_fraction(task, machine);
        let admitted = self.settings.overcommit * PLANNED_ADMISSION_FRACTION;
        let is_admitted = !(requested.cpu > admitted.cpu || requested.memory > admitted.memory);
        if is_admitted {
            return None;
        }
        let excess = requested - admitted;
        let relative_excess = excess / admitted;
        let missing = excess * machine.capacity;
        Some(if relative_excess.cpu > relative_excess.memory {
            FilterReason::InsufficientCpu(missing.cpu)
        } else {
            FilterReason::InsufficientMemory(missing.memory)
        })
    }

    /// Whether the machine started recently, and so starts tasks more slowly.
    pub(super) fn is_in_slow_start(&self, now: Seconds, machine: &MachineState) -> bool {
        machine.is_in_slow_start(&self.settings.safety_limits, now)
    }
}

/// The total requests on the machine if the task is added, as a fraction of its capacity.
pub(super) fn requested_fraction(task: &Task, machine: &MachineState) -> Resources {
    (machine.requested() + task.request) / machine.capacity
}
