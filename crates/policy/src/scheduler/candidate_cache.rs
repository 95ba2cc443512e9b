//! What pending tasks of one step share when machines are examined for them.
//!
//! While tasks are placed in a step machines only fill. So machines that are eligible for one task are examined
//! once for all tasks of its class and tenant, and a task finds no machine where one like it that requests no more
//! found none. Without this a walk over all machines for each pending task costs more time than an overloaded
//! scheduler has. Owned by the placement of one step.

use super::task_record::TrafficClass;
use crate::interface::{MachineId, Resources, ServiceId};
use std::collections::BTreeMap;

/// What decides, besides the requested resources, whether a task finds a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PlacementConstraints {
    pub(super) traffic: TrafficClass,
    /// The service, where the spread rule counts its tasks.
    pub(super) spread_service: Option<ServiceId>,
}

/// The cache of one step.
#[derive(Debug, Default)]
pub(super) struct CandidateCache {
    /// Machines that pass all filters that are the same for a class and tenant, in order of their ids.
    eligible: BTreeMap<TrafficClass, Vec<MachineId>>,
    /// Requests that no machine had room for.
    unplaceable: BTreeMap<PlacementConstraints, Vec<Resources>>,
    /// Machines that were examined, for one task or for many.
    pub(super) machines_examined: u64,
}

impl CandidateCache {
    /// Whether a task with these constraints that requests no more found no machine.
    pub(super) fn is_unplaceable(
        &self,
        constraints: &PlacementConstraints,
        request: Resources,
    ) -> bool {
        let unplaceable = self.unplaceable.get(constraints);
        unplaceable.is_some_and(|requests| requests.iter().any(|known| known.fits_in(request)))
    }

    /// Notes that no machine had room for a task.
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

    /// The machines that are eligible for a class and tenant. `find` examines all `machine_count` machines if they
    /// are not known yet.
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

    /// Forgets all eligible machines.
    pub(super) fn clear_eligible(&mut self) {
        self.eligible.clear();
    }

    /// Removes a machine for each class and tenant for which it `is_filtered` now.
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
