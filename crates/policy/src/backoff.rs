//! Exponential backoff for circuit breakers, offer timeouts and endpoint list requests.

use crate::interface::Seconds;

/// The highest count of consecutive failures. Backoffs reach their upper bound before it.
pub(crate) const MAX_COUNTED_FAILURES: i32 = 16;

/// A delay that doubles with each consecutive failure, up to a maximum.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Backoff {
    pub(crate) initial: Seconds,
    pub(crate) max: Seconds,
}

impl Backoff {
    /// A delay that is the same after each failure.
    pub(crate) const fn constant(duration: Seconds) -> Self {
        Self {
            initial: duration,
            max: duration,
        }
    }

    /// The delay after the last failure, in seconds, if `failures` consecutive failures preceded it.
    pub(crate) fn after(self, failures: i32) -> Seconds {
        (self.initial * 2f64.powi(failures)).min(self.max)
    }
}
