//! The subscription to the endpoint list: whether it stands, which call is in flight, and when the next one may
//! go after failures. Owned by the scheduler.

use crate::backoff::{Backoff, MAX_COUNTED_FAILURES};
use crate::interface::{SafetyLimits, Seconds};
use rand::Rng;

/// The longest backoff after the first failure, in seconds; the real one is drawn from its upper half.
const INITIAL_BACKOFF: Seconds = 0.8;

/// A call that has brought no list for this many seconds has failed.
const REQUEST_TIMEOUT: Seconds = 6.0;

/// A wakeup for the timeout comes this many seconds after it, so that it is surely over then.
const TIMEOUT_WAKEUP_MARGIN: Seconds = 0.01;

/// The state of the subscription.
#[derive(Debug)]
pub(super) struct EndpointSubscription {
    /// Changes arrive only after a subscription (else unasked).
    is_required: bool,
    is_subscribed: bool,
    /// When the call that is in flight was made.
    requested_at: Option<Seconds>,
    /// The next call is made no earlier than this.
    retry_at: Seconds,
    /// Failures in a row.
    failures: i32,
}

impl EndpointSubscription {
    pub(super) const fn new(is_required: bool) -> Self {
        Self {
            is_required,
            is_subscribed: !is_required,
            requested_at: None,
            retry_at: 0.0,
            failures: 0,
        }
    }

    /// A list or a change of it has arrived.
    pub(super) const fn record_success(&mut self) {
        self.requested_at = None;
        self.failures = 0;
    }

    /// A call failed, or the subscription broke.
    pub(super) fn record_failure(
        &mut self,
        now: Seconds,
        limits: &SafetyLimits,
        rng: &mut impl Rng,
    ) {
        let backoff = Backoff {
            initial: INITIAL_BACKOFF,
            max: (limits.max_poll_interval / 2.0).max(INITIAL_BACKOFF),
        };
        let jitter: f64 = rng.random_range(0.5..1.0);
        self.is_subscribed = !self.is_required;
        self.requested_at = None;
        self.retry_at = now + backoff.after(self.failures) * jitter;
        self.failures = (self.failures + 1).min(MAX_COUNTED_FAILURES);
    }

    /// Whether to subscribe now. If so, the call counts as made.
    pub(super) fn start_request(&mut self, now: Seconds) -> bool {
        if self
            .requested_at
            .is_some_and(|at| now - at > REQUEST_TIMEOUT)
        {
            self.is_subscribed = false;
            self.requested_at = None;
            self.retry_at = now;
        }
        if self.is_subscribed || now < self.retry_at {
            return false;
        }
        self.is_subscribed = true;
        self.requested_at = Some(now);
        true
    }

    /// When it next needs a step; infinite if nothing is to be done.
    pub(super) fn next_wakeup(&self) -> Seconds {
        if let Some(requested_at) = self.requested_at {
            return requested_at + REQUEST_TIMEOUT + TIMEOUT_WAKEUP_MARGIN;
        }
        if self.is_subscribed {
            f64::INFINITY
        } else {
            self.retry_at
        }
    }
}
