//! Load polling: requests the load of machines whose last report is old, as often as the price allows.

use super::Scheduler;
use crate::interface::{Action, LoadReportSource, Seconds};

/// The most that polls may cost, in points of the score.
const MAX_POLL_COST: f64 = 0.001;

/// The shortest interval between polls of one machine, in seconds; a more recent report is fresh enough.
pub(super) const MIN_POLL_INTERVAL: Seconds = 1.0;

/// Lower bound of the poll rate over all machines, in polls per second, so that the interval stays finite.
const MIN_POLL_RATE: f64 = 0.1;

impl Scheduler {
    pub(super) fn poll_loads(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        let has_reports = self.settings.load_reports != LoadReportSource::None;
        if !self.settings.allows_load_polls || !has_reports {
            return;
        }
        let interval = self.poll_interval();
        for (&id, machine) in &mut self.machines {
            let last_observed_at = machine.last_report_at.max(machine.last_poll_at);
            let is_due = now - last_observed_at >= interval;
            let is_in_slow_start = machine.is_in_slow_start(&self.settings.safety_limits, now);
            if is_due && machine.is_ready() && !is_in_slow_start {
                machine.last_poll_at = now;
                actions.push(Action::PollLoad(id));
            }
        }
    }

    /// The interval between polls of one machine, in seconds.
    fn poll_interval(&self) -> Seconds {
        let price = self.settings.costs.load_poll;
        let polls_per_task = if price > 0.0 {
            MAX_POLL_COST / price
        } else {
            1.0
        };
        let polls_per_second = self.estimates.arrivals.per_second() * polls_per_task;
        let interval = self.machines.len() as f64 / polls_per_second.max(MIN_POLL_RATE);
        interval.max(MIN_POLL_INTERVAL)
    }
}
