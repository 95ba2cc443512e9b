//! Two pieces of arithmetic without a decision or a tuned value: a running mean, and a pause that doubles.

use crate::interface::Seconds;

/// A running mean: of all that was seen at first, later of about the last `1 / weight`.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Mean {
    pub(crate) value: f64,
    pub(crate) seen: f64,
}

impl Mean {
    pub(crate) fn learn(&mut self, seen: f64, weight: f64) {
        self.seen += 1.0;
        self.value += (seen - self.value) * (1.0 / self.seen).max(weight);
    }
    pub(crate) fn or(&self, other: f64) -> f64 {
        if self.seen > 0.0 { self.value } else { other }
    }
}

/// A pause that doubles with each failure in a row.
pub(crate) fn doubled(first: Seconds, failures: i32, most: Seconds) -> Seconds {
    (first * 2f64.powi(failures)).min(most)
}
