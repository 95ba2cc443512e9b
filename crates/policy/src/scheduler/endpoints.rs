//! Handlers for updates of the endpoint list.

use super::Scheduler;
use super::machine_state::MachineState;
use crate::interface::{Endpoint, EndpointStatus, Seconds};

/// The state of machines that are gone is kept, as they may return, until there are more than this many.
const MAX_GONE_MACHINES: usize = 100;

impl Scheduler {
    /// Processes a complete list. Machines that are missing from it are gone.
    pub(super) fn endpoints_listed(&mut self, now: Seconds, endpoints: Vec<Endpoint>) {
        for machine in self.machines.values_mut() {
            machine.is_leaving = true;
        }
        self.endpoints_changed(now, endpoints);
    }

    /// Processes changed entries of the list.
    pub(super) fn endpoints_changed(&mut self, now: Seconds, endpoints: Vec<Endpoint>) {
        self.endpoint_subscription.record_success();
        for endpoint in endpoints {
            self.update_endpoint(now, endpoint);
        }
        self.remove_gone_machines();
    }

    fn update_endpoint(&mut self, now: Seconds, endpoint: Endpoint) {
        let Some(machine_type) = self.settings.machine_types.get(endpoint.machine_type) else {
            return;
        };
        let machine = self.machines.entry(endpoint.machine).or_default();
        let has_restarted = machine
            .endpoint
            .as_ref()
            .is_some_and(|known| endpoint.started_at > known.started_at);
        if has_restarted {
            self.programs.forget_machine(endpoint.machine);
        }
        machine.capacity = machine_type.capacity;
        machine.is_leaving = endpoint.status != EndpointStatus::Ready;
        if self.settings.lists_unclaimed {
            let requested = machine_type.capacity - endpoint.unclaimed;
            machine.record_requested(now, requested.into());
        }
        machine.endpoint = Some(endpoint);
    }

    fn remove_gone_machines(&mut self) {
        let gone = self.machines.values().filter(|machine| is_gone(machine));
        if gone.count() > MAX_GONE_MACHINES {
            self.machines.retain(|_, machine| !is_gone(machine));
        }
    }
}

/// Whether the machine is no longer listed and has no task of this scheduler.
fn is_gone(machine: &MachineState) -> bool {
    machine.is_leaving && machine.reservations.is_empty() && !machine.is_draining()
}
