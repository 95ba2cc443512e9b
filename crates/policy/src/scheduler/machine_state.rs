//! What is known of one machine: its line of the endpoint list, what tasks request and use there, and its circuit
//! breakers. Owned by the scheduler; updated by observations and placements, read by filters and loss estimates.

use super::circuit_breakers::CircuitBreakers;
use crate::interface::{
    Endpoint, EndpointStatus, MachineId, Resources, SafetyLimits, Seconds, TaskId,
};
use crate::running_mean::ResourceMeans;
use std::collections::BTreeMap;

/// Endpoint lists and load reports describe a moment about this many seconds ago.
pub(super) const OBSERVATION_LAG: Seconds = 1.0;

/// The least weight of one observation in means that must follow the state of a machine.
const USAGE_WEIGHT: f64 = 0.25;

/// Where tasks request less than this fraction of a machine, the ratio of use to requests is too uncertain.
const MIN_REQUESTED_FRACTION: f64 = 0.1;

/// The smallest ratio of use to requests that is recorded for a machine.
const MIN_USAGE_RATIO: f64 = 0.1;

/// The largest ratio of use to requests that is recorded for a machine.
const MAX_USAGE_RATIO: f64 = 2.0;

/// All machines, in order of their ids.
pub(super) type MachineTable = BTreeMap<MachineId, MachineState>;

/// What an offered or placed task of this scheduler requests of its machine, and how far it has come.
#[derive(Debug)]
pub(super) struct Reservation {
    pub(super) request: Resources,
    /// When its expected duration is over.
    pub(super) expected_end: Seconds,
    pub(super) sent_at: Seconds,
    pub(super) is_confirmed: bool,
    pub(super) is_running: bool,
    /// The work of its start, in starts with a cached program.
    pub(super) start_work: f64,
    /// No other start of this scheduler was under way on the machine when it was sent.
    pub(super) starts_alone: bool,
}

/// Amounts as reported; `None` for a resource that the report leaves out.
#[derive(Clone, Copy, Debug)]
pub(super) struct PartialResources {
    pub(super) cpu: Option<f64>,
    pub(super) memory: Option<f64>,
}

impl PartialResources {
    /// The result of `function` for each resource that is reported, with the amount of `other`.
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

/// A machine as this scheduler knows it.
#[derive(Debug, Default)]
pub(super) struct MachineState {
    /// Its line of the endpoint list.
    pub(super) endpoint: Option<Endpoint>,
    /// It drains, or is gone from the list.
    pub(super) is_leaving: bool,
    pub(super) capacity: Resources,
    /// A machine that was seen to die is in slow start until this time, whatever the list says.
    pub(super) slow_start_until: Seconds,
    /// The tasks of this scheduler that are offered or placed there.
    pub(super) reservations: BTreeMap<TaskId, Reservation>,
    /// What these tasks request.
    own_requests: Resources,
    /// What these tasks request as an observation that lags would show it, and the time of this figure.
    observable_own_requests: Resources,
    observable_at: Seconds,
    /// What tasks of other schedulers request.
    pub(super) other_requests: Resources,
    /// The ratio of use to requests.
    pub(super) usage: ResourceMeans,
    pub(super) circuit_breakers: CircuitBreakers,
    /// The last offer during slow start.
    pub(super) last_slow_start_offer_at: Seconds,
    pub(super) last_report_at: Seconds,
    pub(super) last_poll_at: Seconds,
    /// It is not needed for what runs now, where machines in use are charged.
    pub(super) is_idle_capacity: bool,
}

impl MachineState {
    /// Whether the list shows it as ready.
    pub(super) fn is_ready(&self) -> bool {
        self.endpoint.is_some() && !self.is_leaving
    }

    /// Whether the list shows it as draining.
    pub(super) fn is_draining(&self) -> bool {
        let status = self.endpoint.as_ref().map(|endpoint| endpoint.status);
        status == Some(EndpointStatus::Draining)
    }

    /// Whether it has come up a short time ago, so that it starts tasks more slowly.
    pub(super) fn is_in_slow_start(&self, limits: &SafetyLimits, now: Seconds) -> bool {
        let started_at = self.endpoint.as_ref().and_then(|e| e.started_at);
        started_at.is_some_and(|started_at| now < started_at + limits.slow_start_duration)
            || now < self.slow_start_until
    }

    /// What all tasks on it request, those of other schedulers included.
    pub(super) fn requested(&self) -> Resources {
        self.own_requests + self.other_requests
    }

    /// Offers of this scheduler that the machine has not confirmed.
    pub(super) fn unconfirmed_offers(&self) -> usize {
        let unconfirmed = |reservation: &&Reservation| !reservation.is_confirmed;
        self.reservations.values().filter(unconfirmed).count()
    }

    /// Changes what the tasks of this scheduler request, after the lagging figure has followed until now.
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

    /// Takes `request` from other schedulers' requests: the list counted an adopted task among them.
    pub(super) fn adopt_request(&mut self, request: Resources) {
        self.observable_own_requests = self.own_requests;
        self.other_requests = (self.other_requests - request).max(Resources::ZERO);
    }

    /// Takes in what all tasks on the machine requested a while ago. What goes beyond those of this scheduler
    /// belongs to other schedulers.
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

    /// What all tasks on it requested at the time of which an observation that arrives now tells.
    pub(super) fn observable_requests(&mut self, now: Seconds) -> Resources {
        self.change_own_requests(now, Resources::ZERO);
        self.observable_own_requests + self.other_requests
    }

    /// Takes in what the tasks on it use of what they request. Returns the ratios that were recorded.
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
