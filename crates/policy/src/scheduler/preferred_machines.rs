//! The preferred machines of a service. They are the same at all schedulers, which thus share cached programs without
//! communicating. Also combines what is known of cached programs.

use super::Scheduler;
use crate::interface::{MachineId, Seconds, ServiceId};

/// The number of preferred machines of a service.
pub(super) const PREFERRED_MACHINES: usize = 2;

/// The probability that a preferred machine, or one that is believed to have the program, has it in its cache.
pub(super) const CACHED_PROBABILITY: f64 = 0.9;

/// The factor by which this probability falls with each machine after the preferred ones.
pub(super) const CACHED_PROBABILITY_DECAY: f64 = 0.7;

/// Lower bound of the uniform hash before its logarithm is taken, so that ranks stay finite.
const MIN_HASH: f64 = 1e-12;

/// Lower bound of the cores of a machine, so that ranks stay finite.
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

    /// Whether all cached programs of a service are known, because all its tasks come to this scheduler or all
    /// schedulers gossip.
    pub(super) fn knows_all_programs(&self) -> bool {
        self.settings.single_scheduler_per_service
            || self.settings.scheduler_count == 1
            || self.is_gossip_enabled()
    }
}

/// The rank of a machine in a service's order of preference; lower is preferred. The same at all schedulers.
///
/// Weighted rendezvous hashing: a machine with more cores is preferred by more services, and adding or removing a
/// machine doesn't change the order of the others.
pub(super) fn preference_rank(service: ServiceId, machine: MachineId, cores: f64) -> f64 {
    let hash = (service.0 ^ machine.0.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let hash = (hash ^ (hash >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    let uniform = (hash >> 11) as f64 / (1u64 << 53) as f64;
    -uniform.max(MIN_HASH).ln() / cores.max(MIN_CORES)
}
