//! The number of tasks of each service that this scheduler has offered to or placed on each machine. Used by the spread
//! rule, and to infer that a machine has the service's program. Owned by the scheduler.

use crate::interface::{MachineId, ServiceId};
use std::collections::BTreeMap;

/// Offers in flight and placed tasks by service and machine. Entries are never 0.
#[derive(Debug, Default)]
pub(super) struct PlacementCounts {
    counts: BTreeMap<(ServiceId, MachineId), u32>,
}

impl PlacementCounts {
    pub(super) fn contains(&self, service: ServiceId, machine: MachineId) -> bool {
        self.counts.contains_key(&(service, machine))
    }

    pub(super) fn increment(&mut self, service: ServiceId, machine: MachineId) {
        *self.counts.entry((service, machine)).or_default() += 1;
    }

    /// Decrements the count. Returns whether it reached 0.
    pub(super) fn decrement(&mut self, service: ServiceId, machine: MachineId) -> bool {
        let Some(count) = self.counts.get_mut(&(service, machine)) else {
            return false;
        };
        *count -= 1;
        if *count > 0 {
            return false;
        }
        self.counts.remove(&(service, machine));
        true
    }

    /// The number of tasks of a service on all machines for which `predicate` holds.
    pub(super) fn count_where(
        &self,
        service: ServiceId,
        predicate: impl Fn(MachineId) -> bool,
    ) -> u32 {
        let machines = (service, MachineId(0))..=(service, MachineId(u64::MAX));
        let mut total = 0;
        for (&(_, machine), count) in self.counts.range(machines) {
            if predicate(machine) {
                total += count;
            }
        }
        total
    }
}
