//! The exponential backoff of circuit breakers, attempts and endpoint list requests.

use crate::interface::Seconds;

/// Failures in a row that are counted; above this many the backoff is at its upper bound anyway.
pub(crate) const MAX_COUNTED_FAILURES: i32 = 16;

/// `initial`, doubled for each of the `failures` in a row, and at most `max`.
pub(crate) fn exponential_backoff(initial: Seconds, failures: i32, max: Seconds) -> Seconds {
    (initial * 2f64.powi(failures)).min(max)
}
