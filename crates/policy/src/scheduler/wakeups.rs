//! Wakeups: requests a timer for the earliest time at which a step is needed even without events.

use super::Scheduler;
use super::load_polling::MIN_POLL_INTERVAL;
use crate::interface::{Action, Seconds};

/// The shortest delay of a timer, in seconds.
const MIN_TIMER: Seconds = 0.001;

/// Timer tokens are wakeup times in microseconds.
const TOKENS_PER_SECOND: f64 = 1e6;

impl Scheduler {
    /// Requests a timer unless one that fires early enough is already set.
    pub(super) fn set_timer(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        let poll_at = if self.settings.allows_load_polls {
            now + MIN_POLL_INTERVAL / 2.0
        } else {
            f64::INFINITY
        };
        let wakeup_at = poll_at
            .min(self.endpoint_subscription.next_wakeup())
            .min(self.pending.retry_at());
        if !wakeup_at.is_finite() || wakeup_at >= self.next_wakeup_at {
            return;
        }
        self.next_wakeup_at = wakeup_at;
        actions.push(Action::SetTimer {
            after: (wakeup_at - now).max(MIN_TIMER),
            token: (wakeup_at.max(0.0) * TOKENS_PER_SECOND) as u64,
        });
    }
}
