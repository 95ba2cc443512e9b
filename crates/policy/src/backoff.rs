//! The exponential backoff of circuit breakers, attempts and endpoint list requests.

use crate::interface::Seconds;

/// Failures in a row that are counted; above this many the backoff is at its upper bound anyway.
pub(crate) const MAX_COUNTED_FAILURES: i32 = 16;

/// A time that doubles with each failure in a row, up to a bound.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Backoff {
    pub(crate) initial: Seconds,
    pub(crate) max: Seconds,
}

impl Backoff {
    /// The same time after each failure.
    pub(crate) const fn constant(duration: Seconds) -> Self {
        Self {
            initial: duration,
            max: duration,
        }
    }

    /// The time after this many failures in a row before the last one, in seconds.
    pub(crate) fn after(self, failures: i32) -> Seconds {
        (self.initial * 2f64.powi(failures)).min(self.max)
    }
}
