//! Running means of one quantity or of one quantity per resource.

use crate::interface::Resources;

/// The number of observations that an assumed initial value counts as.
const PRIOR_OBSERVATIONS: f64 = 3.0;

/// A mean that starts as the arithmetic mean of all observations, and becomes an exponentially weighted moving average
/// once the weight of one observation would fall below the minimum that the caller gives.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunningMean {
    value: f64,
    observations: f64,
}

impl RunningMean {
    /// Creates a mean with an assumed initial value.
    pub(crate) const fn with_prior(value: f64) -> Self {
        Self {
            value,
            observations: PRIOR_OBSERVATIONS,
        }
    }

    /// Adds an observation with a weight of at least `min_weight`.
    pub(crate) fn record(&mut self, observed: f64, min_weight: f64) {
        self.observations += 1.0;
        let weight = (1.0 / self.observations).max(min_weight);
        self.value += (observed - self.value) * weight;
    }

    /// The mean; 0 before the first observation.
    pub(crate) const fn value(&self) -> f64 {
        self.value
    }

    /// The mean, or `default` before the first observation.
    pub(crate) fn value_or(&self, default: f64) -> f64 {
        if self.observations > 0.0 {
            self.value
        } else {
            default
        }
    }
}

/// A running mean for each resource.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ResourceMeans {
    pub(crate) cpu: RunningMean,
    pub(crate) memory: RunningMean,
}

impl ResourceMeans {
    /// Creates means with assumed initial values.
    pub(crate) const fn with_prior(value: Resources) -> Self {
        Self {
            cpu: RunningMean::with_prior(value.cpu),
            memory: RunningMean::with_prior(value.memory),
        }
    }

    /// Adds an observation of both resources.
    pub(crate) fn record(&mut self, observed: Resources, min_weight: f64) {
        self.cpu.record(observed.cpu, min_weight);
        self.memory.record(observed.memory, min_weight);
    }

    /// The means; 0 for a resource without observations.
    pub(crate) const fn value(&self) -> Resources {
        Resources::new(self.cpu.value(), self.memory.value())
    }

    /// The means, with the value of `default` for a resource without observations.
    pub(crate) fn value_or(&self, default: Resources) -> Resources {
        Resources::new(
            self.cpu.value_or(default.cpu),
            self.memory.value_or(default.memory),
        )
    }
}
