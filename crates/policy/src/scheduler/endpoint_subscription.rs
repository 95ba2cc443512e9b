//! The subscription to the endpoint list: whether it is established, whether a request is in flight, and when to retry
//! after failures. Owned by the scheduler.

use crate::backoff::{Backoff, MAX_COUNTED_FAILURES};
use crate::interface::{SafetyLimits, Seconds};
use rand::Rng;

/// The backoff after the first failure, in seconds, before jitter shortens it by up to half.
const INITIAL_BACKOFF: Seconds = 0.8;

/// A request that brings no list within this many seconds has failed.
const REQUEST_TIMEOUT: Seconds = 6.0;

/// The wakeup for a request timeout is this many seconds after it, so that the timeout has surely elapsed.
const TIMEOUT_WAKEUP_MARGIN: Seconds = 0.01;

/// The state of the subscription.
#[derive(Debug)]
pub(super) struct EndpointSubscription {
    /// Whether updates require a subscription. If not, they arrive without one.
    is_required: bool,
    is_subscribed: bool,
    /// When the request in flight was sent, if there is one.
    requested_at: Option<Seconds>,
    /// The earliest time of the next request.
    retry_at: Seconds,
    /// Failures since the last list or update, at most [`MAX_COUNTED_FAILURES`].
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

    /// Records that a list or an update has arrived.
    pub(super) const fn record_success(&mut self) {
        self.requested_at = None;
        self.failures = 0;
    }

    /// Records that a request or the subscription failed.
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

    /// Returns whether to send a request now, and if so records it as in flight.
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

    /// When the next step is needed; infinite if none is.
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
