//! The preferred machines of a service, which are the same at all schedulers, so that these share programs in
//! caches without knowledge of each other; and what is known of programs in caches.

use super::Scheduler;
use crate::interface::{MachineId, Seconds, ServiceId};

/// The number of preferred machines of a service.
pub(super) const PREFERRED_MACHINES: usize = 2;

/// The probability that a preferred machine, or one that is known to have the program, has it in its cache.
pub(super) const CACHED_PROBABILITY: f64 = 0.9;

/// The probability falls by this factor with each machine after the preferred ones.
pub(super) const CACHED_PROBABILITY_DECAY: f64 = 0.7;

/// The smallest uniform hash whose logarithm is taken, so that ranks stay finite.
const MIN_HASH: f64 = 1e-12;

/// The fewest cores that are divided by, so that ranks stay finite.
const MIN_CORES: f64 = 1e-6;

impl Scheduler {
    /// Whether the machine is believed to have the service's program in its cache.
    pub(super) fn has_cached_program(
        &self,
        now: Seconds,
        service: ServiceId,
        machine: MachineId,
    ) -> bool {
        self.placement_counts.contains(service, machine)
            || self.programs.contains(now, service, machine)
    }

    /// Whether the programs of a service are known: all its tasks come to this scheduler, or all schedulers gossip.
    pub(super) fn knows_all_programs(&self) -> bool {
        self.settings.single_scheduler_per_service
            || self.settings.scheduler_count == 1
            || self.is_gossip_enabled()
    }
}

/// The place of a machine in a service's order of preference; less is earlier. The same at every scheduler.
///
/// A weighted rendezvous hash: a machine with more cores is preferred by more services, and when a machine comes or
/// goes the order of all other machines stays.
pub(super) fn preference_rank(service: ServiceId, machine: MachineId, cores: f64) -> f64 {
    let hash = (service.0 ^ machine.0.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let hash = (hash ^ (hash >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    let uniform = (hash >> 11) as f64 / (1u64 << 53) as f64;
    -uniform.max(MIN_HASH).ln() / cores.max(MIN_CORES)
}
