//! Which machines are idle capacity: not needed for what tasks use now. Where machines in use are charged, the
//! loss estimate keeps tasks away from them, so that they run empty. Owned by the scheduler.

use super::loss::{COMFORTABLE_USE, PLANNED_ADMISSION_FRACTION};
use super::machine_state::{MachineState, MachineTable, OBSERVATION_LAG};
use crate::interface::{MachineId, Resources, Seconds, Settings};
use crate::running_mean::ResourceMeans;

/// Needed machines are filled up to this fraction of comfortable use.
const FILL_FRACTION: f64 = 0.9;

/// The required capacity falls by this factor at each update at most: lost tasks come again.
const REQUIRED_DECAY: f64 = 0.98;

/// Needed machines count as fuller by this fraction, so that the set changes rarely.
const NEEDED_BONUS: f64 = 0.2;

/// The time between two updates, in seconds: observations tell nothing new before.
const UPDATE_INTERVAL: Seconds = OBSERVATION_LAG / 2.0;

/// What tasks need of machines, and when the marks are updated next.
#[derive(Debug, Default)]
pub(super) struct IdleCapacity {
    /// Cores and memory that all tasks use, with a slow decay.
    required: Resources,
    next_update_at: Seconds,
}

impl IdleCapacity {
    /// Marks the machines that are not needed, the emptiest first, so that the same ones run empty at all
    /// schedulers. `mean_usage` is the ratio of use to requests over all machines.
    pub(super) fn update(
        &mut self,
        now: Seconds,
        settings: &Settings,
        mean_usage: &ResourceMeans,
        machines: &mut MachineTable,
    ) {
        if settings.costs.idle_machines <= 0.0 || now < self.next_update_at {
            return;
        }
        self.next_update_at = now + UPDATE_INTERVAL;
        self.required = used_by_all(machines, mean_usage).max(self.required * REQUIRED_DECAY);
        let usable_fraction = usable_fraction(settings, mean_usage);
        let mut unmet = self.required;
        for id in fullest_first(machines) {
            let Some(machine) = machines.get_mut(&id) else {
                continue;
            };
            machine.is_idle_capacity = unmet.fits_in(Resources::ZERO);
            if !machine.is_leaving {
                unmet -= machine.capacity * usable_fraction;
            }
        }
    }
}

/// What the tasks on all listed machines use.
fn used_by_all(machines: &MachineTable, mean_usage: &ResourceMeans) -> Resources {
    let mut total = Resources::ZERO;
    for machine in machines.values().filter(|m| m.endpoint.is_some()) {
        total += machine.requested() * machine.usage.value_or(mean_usage.value());
    }
    total
}

/// The fraction of a machine that is planned to be in use: up to comfort, and no more than admission lets in where
/// tasks use much less than they request.
fn usable_fraction(settings: &Settings, mean_usage: &ResourceMeans) -> Resources {
    let admitted_use = settings.overcommit * PLANNED_ADMISSION_FRACTION * mean_usage.value();
    COMFORTABLE_USE.min(admitted_use) * FILL_FRACTION
}

/// The listed machines by how full they are, then by their ids.
fn fullest_first(machines: &MachineTable) -> Vec<MachineId> {
    let mut order: Vec<(f64, MachineId)> = machines
        .iter()
        .filter(|(_, machine)| machine.endpoint.is_some())
        .map(|(&id, machine)| (fullness(machine), id))
        .collect();
    order.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    order.into_iter().map(|(_, id)| id).collect()
}

fn fullness(machine: &MachineState) -> f64 {
    let requested_fraction = (machine.requested() / machine.capacity).max_component();
    let bonus = if machine.is_idle_capacity {
        0.0
    } else {
        NEEDED_BONUS
    };
    requested_fraction + bonus
}
