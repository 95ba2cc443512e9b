//! Determines which machines are idle capacity, that is not needed for the current usage. If machines in use have a
//! price, the loss estimate steers tasks away from them, so that they become empty. Owned by the scheduler.

use super::loss::{PLANNED_ADMISSION_FRACTION, TARGET_UTILIZATION};
use super::machine_state::{MachineState, MachineTable, OBSERVATION_LAG};
use crate::interface::{MachineId, Resources, Seconds, Settings};
use crate::running_mean::ResourceMeans;

/// Needed machines are filled up to this fraction of their target utilization.
const FILL_FRACTION: f64 = 0.9;

/// The required capacity falls at most by this factor per update, as lost tasks are resubmitted.
const REQUIRED_DECAY: f64 = 0.98;

/// Machines that were needed before are ranked as fuller by this fraction, so that the set changes rarely.
const NEEDED_BONUS: f64 = 0.2;

/// The time between two updates, in seconds; no newer observations are available earlier.
const UPDATE_INTERVAL: Seconds = OBSERVATION_LAG / 2.0;

/// The required capacity, and when machines are marked next.
#[derive(Debug, Default)]
pub(super) struct IdleCapacity {
    /// The resources that all tasks use, with a slow decay.
    required: Resources,
    next_update_at: Seconds,
}

impl IdleCapacity {
    /// Marks machines that are not needed, starting with the emptiest, so that all schedulers mark the same ones.
    /// `mean_usage` is the ratio of used to requested resources over all machines.
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
        self.required = total_usage(machines, mean_usage).max(self.required * REQUIRED_DECAY);
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

/// The resources that tasks use on all listed machines.
fn total_usage(machines: &MachineTable, mean_usage: &ResourceMeans) -> Resources {
    let mut total = Resources::ZERO;
    for machine in machines.values().filter(|m| m.endpoint.is_some()) {
        total += machine.requested() * machine.usage.value_or(mean_usage.value());
    }
    total
}

/// The fraction of a machine's capacity that tasks are planned to use: the target utilization, or less if admission
/// limits it because tasks use much less than they request.
fn usable_fraction(settings: &Settings, mean_usage: &ResourceMeans) -> Resources {
    let admitted_use = settings.overcommit * PLANNED_ADMISSION_FRACTION * mean_usage.value();
    TARGET_UTILIZATION.min(admitted_use) * FILL_FRACTION
}

/// The listed machines in descending order of fullness, then by id.
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
