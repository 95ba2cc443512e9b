//! Caches the examination of machines for the pending tasks of one step.
//!
//! While a step places tasks, the free capacity of machines only shrinks. Therefore eligible machines are determined
//! once for all tasks of a class and tenant, and a task can't be placed if a similar task that requests no more could
//! not be placed. Without the cache, an overloaded scheduler spends more time than it has on iterating over all
//! machines for each pending task. Owned by the placement of one step.

use super::task_record::TrafficClass;
use crate::interface::{MachineId, Resources, ServiceId};
use std::collections::BTreeMap;

/// The constraints, besides the requested resources, that determine whether a task can be placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PlacementConstraints {
    pub(super) traffic: TrafficClass,
    /// The service, if the spread rule applies to its tasks.
    pub(super) spread_service: Option<ServiceId>,
}

/// The cached results of one step.
#[derive(Debug, Default)]
pub(super) struct CandidateCache {
    /// Machines that pass all filters of a class and tenant, in order of their ids.
    eligible: BTreeMap<TrafficClass, Vec<MachineId>>,
    /// Requests that no machine had capacity for.
    unplaceable: BTreeMap<PlacementConstraints, Vec<Resources>>,
    /// The number of machines examined, where an examination may serve many tasks.
    pub(super) machines_examined: u64,
}

impl CandidateCache {
    /// Whether a task with the same constraints that requests no more could not be placed.
    pub(super) fn is_unplaceable(
        &self,
        constraints: &PlacementConstraints,
        request: Resources,
    ) -> bool {
        let unplaceable = self.unplaceable.get(constraints);
        unplaceable
            .is_some_and(|requests| requests.iter().any(|unplaced| unplaced.fits_in(request)))
    }

    /// Records that no machine had capacity for a task.
    pub(super) fn mark_unplaceable(
        &mut self,
        constraints: PlacementConstraints,
        request: Resources,
    ) {
        self.unplaceable
            .entry(constraints)
            .or_default()
            .push(request);
    }

    /// The machines that are eligible for a class and tenant. If they are not cached, `find` determines them from all
    /// `machine_count` machines.
    pub(super) fn eligible(
        &mut self,
        traffic: TrafficClass,
        machine_count: usize,
        find: impl FnOnce() -> Vec<MachineId>,
    ) -> &[MachineId] {
        let examined = &mut self.machines_examined;
        let eligible = self.eligible.entry(traffic).or_insert_with(|| {
            *examined += machine_count as u64;
            find()
        });
        *examined += eligible.len() as u64;
        eligible
    }

    /// Discards the eligible machines of all classes and tenants.
    pub(super) fn clear_eligible(&mut self) {
        self.eligible.clear();
    }

    /// Removes a machine from the eligible machines of each class and tenant for which `is_filtered` returns true.
    pub(super) fn remove_filtered(
        &mut self,
        machine: MachineId,
        is_filtered: impl Fn(TrafficClass) -> bool,
    ) {
        for (&traffic, eligible) in &mut self.eligible {
            if is_filtered(traffic) {
                eligible.retain(|&id| id != machine);
            }
        }
    }
}
