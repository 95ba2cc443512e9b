//! Backoff between attempts to run a Pod.

use rand::Rng;

/// The largest exponent of the exponential backoff; larger ones only reach the maximum as well.
const MAX_BACKOFF_EXPONENT: u32 = 30;

/// Parameters of the backoff between attempts, in seconds.
#[derive(Clone, Debug)]
pub struct Backoff {
    /// After the first failure in a row; it doubles with each further one.
    pub initial: f64,
    /// Upper bound of the backoff.
    pub max: f64,
    /// After the loss of a node or a migration, which are no reason to delay the next attempt.
    pub node_lost: f64,
}

impl Backoff {
    /// Exponential backoff after so many failures in a row, in seconds. It is drawn uniformly from the upper half of the
    /// interval, so that owners that failed together do not retry together; a single task waits up to twice as long as
    /// it would have to.
    pub fn after_failures(&self, failures: u32, rng: &mut impl Rng) -> f64 {
        let exponent = failures.min(MAX_BACKOFF_EXPONENT) as i32;
        (self.initial * 2f64.powi(exponent)).min(self.max) * rng.random_range(0.5..=1.0)
    }

    /// Backoff after the loss of a node or a migration, in seconds, with the same jitter.
    pub fn after_node_loss(&self, rng: &mut impl Rng) -> f64 {
        self.node_lost * rng.random_range(0.5..=1.0)
    }
}
