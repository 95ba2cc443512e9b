//! The state of one machine: its entry in the endpoint list, the resources that tasks request and use on it, and its
//! circuit breakers. Owned by the scheduler; updated by event handlers and placement, read by filters and the loss
//! estimate.

use super::circuit_breakers::CircuitBreakers;
use crate::interface::{
    Endpoint, EndpointStatus, MachineId, Resources, SafetyLimits, Seconds, TaskId,
};
use crate::running_mean::ResourceMeans;
use std::collections::BTreeMap;

/// The approximate age of the information in endpoint lists and load reports, in seconds.
pub(super) const OBSERVATION_LAG: Seconds = 1.0;

/// The minimum weight of one observation in means that track the state of a machine.
const USAGE_WEIGHT: f64 = 0.25;

/// The ratio of used to requested resources is recorded only if tasks request more than this fraction of the machine,
/// as it is too uncertain otherwise.
const MIN_REQUESTED_FRACTION: f64 = 0.1;

/// Lower bound of the recorded ratio of used to requested resources of a machine.
const MIN_USAGE_RATIO: f64 = 0.1;

/// Upper bound of the recorded ratio of used to requested resources of a machine.
const MAX_USAGE_RATIO: f64 = 2.0;

/// All machines, in order of their ids.
pub(super) type MachineTable = BTreeMap<MachineId, MachineState>;

/// The resources reserved on a machine for an offered or placed task of this scheduler, and the progress of the task.
#[derive(Debug)]
pub(super) struct Reservation {
    pub(super) request: Resources,
    /// When the task is expected to end.
    pub(super) expected_end: Seconds,
    pub(super) sent_at: Seconds,
    pub(super) is_confirmed: bool,
    pub(super) is_running: bool,
    /// The work of the start, in units of one start with a cached program.
    pub(super) start_work: f64,
    /// Whether no other start of this scheduler was in progress on the machine when the offer was sent.
    pub(super) starts_alone: bool,
}

/// Reported amounts of resources; `None` for a resource that is not reported.
#[derive(Clone, Copy, Debug)]
pub(super) struct PartialResources {
    pub(super) cpu: Option<f64>,
    pub(super) memory: Option<f64>,
}

impl PartialResources {
    /// Applies `function` to each reported amount and the corresponding amount of `other`.
    pub(super) fn zip_with(self, other: Resources, function: impl Fn(f64, f64) -> f64) -> Self {
        Self {
            cpu: self.cpu.map(|amount| function(amount, other.cpu)),
            memory: self.memory.map(|amount| function(amount, other.memory)),
        }
    }
}

impl From<Resources> for PartialResources {
    fn from(amounts: Resources) -> Self {
        Self {
            cpu: Some(amounts.cpu),
            memory: Some(amounts.memory),
        }
    }
}

/// The state of a machine as known to this scheduler.
#[derive(Debug, Default)]
pub(super) struct MachineState {
    /// The last entry of the endpoint list for this machine.
    pub(super) endpoint: Option<Endpoint>,
    /// Whether the machine is draining or gone from the list.
    pub(super) is_leaving: bool,
    pub(super) capacity: Resources,
    /// After a detected failure the machine is in slow start until this time, whatever the list shows.
    pub(super) slow_start_until: Seconds,
    /// Offered and placed tasks of this scheduler on the machine.
    pub(super) reservations: BTreeMap<TaskId, Reservation>,
    /// The total requests of `reservations`.
    own_requests: Resources,
    /// `own_requests` as a lagging observation would show it, at the time `observable_at`.
    observable_own_requests: Resources,
    observable_at: Seconds,
    /// The total requests of tasks of other schedulers.
    pub(super) other_requests: Resources,
    /// The ratio of used to requested resources.
    pub(super) usage: ResourceMeans,
    pub(super) circuit_breakers: CircuitBreakers,
    /// When the last offer during slow start was made.
    pub(super) last_slow_start_offer_at: Seconds,
    pub(super) last_report_at: Seconds,
    pub(super) last_poll_at: Seconds,
    /// Whether the machine is not needed for the current usage. Only set if idle machines have a price.
    pub(super) is_idle_capacity: bool,
}

impl MachineState {
    /// Whether the endpoint list shows the machine as ready.
    pub(super) fn is_ready(&self) -> bool {
        self.endpoint.is_some() && !self.is_leaving
    }

    /// Whether the endpoint list shows the machine as draining.
    pub(super) fn is_draining(&self) -> bool {
        let status = self.endpoint.as_ref().map(|endpoint| endpoint.status);
        status == Some(EndpointStatus::Draining)
    }

    /// Whether the machine started recently, and so starts tasks more slowly.
    pub(super) fn is_in_slow_start(&self, limits: &SafetyLimits, now: Seconds) -> bool {
        let started_at = self.endpoint.as_ref().and_then(|e| e.started_at);
        started_at.is_some_and(|started_at| now < started_at + limits.slow_start_duration)
            || now < self.slow_start_until
    }

    /// The total requests of all tasks on the machine, those of other schedulers included.
    pub(super) fn requested(&self) -> Resources {
        self.own_requests + self.other_requests
    }

    /// The number of offers of this scheduler that the machine has not confirmed.
    pub(super) fn unconfirmed_offers(&self) -> usize {
        let unconfirmed = |reservation: &&Reservation| !reservation.is_confirmed;
        self.reservations.values().filter(unconfirmed).count()
    }

    /// Adds `change` to the requests of this scheduler, after updating the lagging amount until now.
    pub(super) fn change_own_requests(&mut self, now: Seconds, change: Resources) {
        let elapsed = (now - self.observable_at).max(0.0);
        let unobserved_fraction = (-elapsed / OBSERVATION_LAG).exp();
        let unobserved = self.observable_own_requests - self.own_requests;
        self.observable_own_requests = self.own_requests + unobserved * unobserved_fraction;
        self.own_requests = if self.reservations.is_empty() {
            Resources::ZERO
        } else {
            self.own_requests + change
        };
        self.observable_at = now;
    }

    /// Subtracts the request of an adopted task from those of other schedulers, as the endpoint list included it there.
    pub(super) fn adopt_request(&mut self, request: Resources) {
        self.observable_own_requests = self.own_requests;
        self.other_requests = (self.other_requests - request).max(Resources::ZERO);
    }

    /// Records the observed total requests on the machine. The part that exceeds the requests of this scheduler is
    /// attributed to other schedulers.
    pub(super) fn record_requested(&mut self, now: Seconds, observed: PartialResources) {
        self.change_own_requests(now, Resources::ZERO);
        let others = observed.zip_with(self.observable_own_requests, |all, own| {
            (all - own).max(0.0)
        });
        self.other_requests = Resources::new(
            others.cpu.unwrap_or(self.other_requests.cpu),
            others.memory.unwrap_or(self.other_requests.memory),
        );
    }

    /// The total requests on the machine at the time that an observation arriving now describes.
    pub(super) fn observable_requests(&mut self, now: Seconds) -> Resources {
        self.change_own_requests(now, Resources::ZERO);
        self.observable_own_requests + self.other_requests
    }

    /// Records the used resources as a ratio of the requested ones. Returns the recorded ratios.
    pub(super) fn record_usage(
        &mut self,
        used: PartialResources,
        requested: Resources,
    ) -> PartialResources {
        let cpu = used
            .cpu
            .and_then(|used| usage_ratio(used, requested.cpu, self.capacity.cpu));
        let memory = used
            .memory
            .and_then(|used| usage_ratio(used, requested.memory, self.capacity.memory));
        if let Some(ratio) = cpu {
            self.usage.cpu.record(ratio, USAGE_WEIGHT);
        }
        if let Some(ratio) = memory {
            self.usage.memory.record(ratio, USAGE_WEIGHT);
        }
        PartialResources { cpu, memory }
    }
}

fn usage_ratio(used: f64, requested: f64, capacity: f64) -> Option<f64> {
    let is_significant = requested > MIN_REQUESTED_FRACTION * capacity;
    is_significant.then(|| (used / requested).clamp(MIN_USAGE_RATIO, MAX_USAGE_RATIO))
}
