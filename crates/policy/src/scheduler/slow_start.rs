//! The slow-start budget: how many offers this scheduler may make to machines that have just come up.
//!
//! A token bucket for all such machines together, and for each of them a shortest interval between offers and, in
//! large fleets of schedulers, turns. The bound on the offers of all schedulers, and its proof, are in
//! `docs/platform.md`. Owned by the scheduler; refilled at each step, asked by the filters.

use super::machine_state::MachineState;
use crate::interface::{SafetyLimits, Seconds, Settings};
use rand::Rng;

/// The interval between offers is planned with an overload window that is this much longer than the real one.
const WINDOW_MARGIN: f64 = 1.25;

/// The shortest overload window that is divided by, in seconds.
const MIN_OVERLOAD_WINDOW: Seconds = 1e-3;

/// The token bucket, in offers.
#[derive(Debug)]
pub(super) struct SlowStartBudget {
    /// Offers that may yet be made; `None` while no machine is in slow start.
    available_offers: Option<f64>,
    refilled_at: Seconds,
    /// The first step of this scheduler. Until then a predecessor may have spent the same budget.
    first_step_at: Seconds,
}

impl SlowStartBudget {
    pub(super) const fn new() -> Self {
        Self {
            available_offers: None,
            refilled_at: 0.0,
            first_step_at: f64::INFINITY,
        }
    }

    /// Notes that this scheduler acts at this time.
    pub(super) const fn record_step(&mut self, now: Seconds) {
        self.first_step_at = self.first_step_at.min(now);
    }

    /// Adds what has become available since the last call. The budget starts at a random part of its size, since
    /// schedulers can't agree on one: otherwise all of them would make their offers at once.
    pub(super) fn refill(
        &mut self,
        now: Seconds,
        slow_start_machines: usize,
        settings: &Settings,
        rng: &mut impl Rng,
    ) {
        let limits = &settings.safety_limits;
        let quota =
            slow_start_machines as f64 * limits.slow_start_offers / settings.scheduler_count as f64;
        let capacity = quota.max(1.0);
        let elapsed = now - self.refilled_at;
        self.refilled_at = now;
        if slow_start_machines == 0 {
            self.available_offers = None;
            return;
        }
        let available = match self.available_offers {
            Some(available) => available + quota * elapsed / overload_window(limits),
            None => rng.random_range(0.0..capacity),
        };
        self.available_offers = Some(available.min(capacity));
    }

    /// Takes one offer from the budget.
    pub(super) fn spend(&mut self) {
        self.available_offers = self.available_offers.map(|available| available - 1.0);
    }

    /// Whether one more offer to this machine, which is in slow start, keeps within the budget.
    ///
    /// Where more schedulers share the machine than chance may add to what it can take, they take turns in groups,
    /// and the order of the groups differs from machine to machine. An overload window overlaps two turns at most, so a
    /// machine gets no more offers in it than two groups have members.
    pub(super) fn allows_offer(
        &self,
        now: Seconds,
        machine: &MachineState,
        settings: &Settings,
    ) -> bool {
        if self
            .available_offers
            .is_some_and(|available| available < 1.0)
        {
            return false;
        }
        let interval = offer_interval(settings);
        let groups = scheduler_groups(settings);
        let endpoint = machine.endpoint.as_ref();
        let machine_id = endpoint.map_or(0, |endpoint| endpoint.machine.0);
        let turn = (now / interval) as u64 % groups + machine_id % groups + settings.ordinal as u64;
        let last_offer_at = machine.last_slow_start_offer_at.max(self.first_step_at);
        turn.is_multiple_of(groups) && now >= last_offer_at + interval
    }
}

fn overload_window(limits: &SafetyLimits) -> Seconds {
    limits.overload_window.max(MIN_OVERLOAD_WINDOW)
}

/// Offers that one machine in slow start can always take within an overload window.
fn safe_offers(limits: &SafetyLimits) -> f64 {
    limits.slow_start_offers.max(1.0)
}

/// The shortest time between two offers of one scheduler to one machine in slow start, in seconds.
fn offer_interval(settings: &Settings) -> Seconds {
    let limits = &settings.safety_limits;
    let quota = safe_offers(limits) / settings.scheduler_count as f64;
    overload_window(limits) * WINDOW_MARGIN / quota.floor().max(1.0)
}

/// The number of groups of schedulers that take turns at a machine in slow start.
fn scheduler_groups(settings: &Settings) -> u64 {
    let safe_offers = safe_offers(&settings.safety_limits);
    // Chance may add two standard deviations and two offers to what the machine can take.
    let max_offers = (safe_offers + 2.0 * safe_offers.sqrt() + 2.0) as u64;
    let schedulers = settings.scheduler_count as u64;
    if schedulers > max_offers {
        schedulers.div_ceil(max_offers / 2)
    } else {
        1
    }
}
