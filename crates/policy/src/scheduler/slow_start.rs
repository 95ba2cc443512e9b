//! The slow-start budget, which limits the offers of this scheduler to machines that started recently.
//!
//! It consists of a token bucket for all such machines together, a minimum interval between offers to each of them,
//! and, with many schedulers, turns in which they may make offers. The bound on the offers of all schedulers and its
//! proof are in `docs/platform.md`. Owned by the scheduler; refilled at each step, queried by the filters.

use super::machine_state::MachineState;
use crate::interface::{SafetyLimits, Seconds, Settings};
use rand::Rng;

/// The factor by which the overload window is lengthened when the offer interval is derived from it.
const WINDOW_MARGIN: f64 = 1.25;

/// Lower bound of the overload window, in seconds, to avoid a division by zero.
const MIN_OVERLOAD_WINDOW: Seconds = 1e-3;

/// The token bucket, in offers.
#[derive(Debug)]
pub(super) struct SlowStartBudget {
    /// The offers that may still be made; `None` while no machine is in slow start.
    available_offers: Option<f64>,
    refilled_at: Seconds,
    /// The time of the first step. A previous instance of this scheduler may have spent the budget until then.
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

    /// Records the time of a step.
    pub(super) const fn record_step(&mut self, now: Seconds) {
        self.first_step_at = self.first_step_at.min(now);
    }

    /// Adds the tokens accrued since the last call. The bucket starts at a random level, as otherwise all schedulers,
    /// which don't coordinate, would make their offers at once.
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

    /// Whether the budget allows another offer to this machine, which must be in slow start.
    ///
    /// If there are more schedulers than offers permitted within an overload window, they take turns in groups, and the
    /// order of the groups differs by machine. An overload window overlaps at most two turns, so a machine gets at most
    /// as many offers within it as two groups have members.
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

/// The number of offers within an overload window that never overloads a machine in slow start.
fn safe_offers(limits: &SafetyLimits) -> f64 {
    limits.slow_start_offers.max(1.0)
}

/// The minimum interval between offers of one scheduler to one machine in slow start, in seconds.
fn offer_interval(settings: &Settings) -> Seconds {
    let limits = &settings.safety_limits;
    let quota = safe_offers(limits) / settings.scheduler_count as f64;
    overload_window(limits) * WINDOW_MARGIN / quota.floor().max(1.0)
}

/// The number of groups of schedulers that take turns at a machine in slow start.
fn scheduler_groups(settings: &Settings) -> u64 {
    let safe_offers = safe_offers(&settings.safety_limits);
    // Random variation may add two standard deviations and two offers to the safe number.
    let max_offers = (safe_offers + 2.0 * safe_offers.sqrt() + 2.0) as u64;
    let schedulers = settings.scheduler_count as u64;
    if schedulers > max_offers {
        schedulers.div_ceil(max_offers / 2)
    } else {
        1
    }
}
