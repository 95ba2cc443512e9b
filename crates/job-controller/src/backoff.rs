//! Backoff between attempts to run a Pod.

use rand::Rng;

/// Cap of the exponent; larger ones would reach only the maximum backoff, too.
const MAX_BACKOFF_EXPONENT: u32 = 30;

/// Parameters of the backoff between attempts, in seconds.
#[derive(Clone, Debug)]
pub struct Backoff {
    /// Backoff after the first consecutive failure; doubles with each further one.
    pub initial: f64,
    /// Upper bound of the backoff.
    pub max: f64,
    /// Backoff after the loss of a node or a migration, which are no reason to delay the next attempt.
    pub node_lost: f64,
}

impl Backoff {
    /// Exponential backoff after this many earlier consecutive failures, in seconds. Drawn uniformly from the upper
    /// half of the interval, so that owners that failed together do not retry together. The cost is that a single task
    /// may wait up to twice as long as necessary.
    pub fn after_failures(&self, failures: u32, rng: &mut impl Rng) -> f64 {
        let exponent = failures.min(MAX_BACKOFF_EXPONENT) as i32;
        (self.initial * 2f64.powi(exponent)).min(self.max) * rng.random_range(0.5..=1.0)
    }

    /// Backoff after the loss of a node or a migration, in seconds, with the same jitter.
    pub fn after_node_loss(&self, rng: &mut impl Rng) -> f64 {
        self.node_lost * rng.random_range(0.5..=1.0)
    }
}
