//! Load shedding for an event loop: measures how far the loop lags behind its inputs, and decides which new work it
//! rejects.
//!
//! A loop that cannot keep up delays everything it produces: answers, results, updates of the endpoint list. The delays
//! cause more work (timeouts, reconnects, retries), so a short burst can leave a loop overloaded for good.
//! [`LoadShedder`] observes the lag of a loop and rejects new work immediately, the classes with the lowest priority
//! weight first, until the loop has caught up. Work that was accepted is never rejected later.
//!
//! The signal is the minimum lag within a window, as in CoDel (Nichols and Jacobson, "Controlling Queue Delay", 2012):
//! a burst that is processed within one window sheds nothing.
//!
//! Uses no clock, I/O or random numbers: the same sequence of calls gives the same results. Called by the gateway, the
//! planner's core and the edge's admission control.

pub use tidespur_units::Seconds;

/// The loop is overloaded if the minimum lag of a window is above this multiple of the latency objective: work accepted
/// now misses the objective by its queueing delay alone. A lower threshold is harmful, because rejected clients retry
/// and rejecting costs work too, so shedding sustains itself: with 0.2, a simulated loop that received work at exactly
/// the rate it can process shed two of three requests, while none was lost without shedding.
const OVERLOAD_LAG_FRACTION: f64 = 1.0;

/// The loop has recovered if the minimum lag of a window is below this fraction of the latency objective.
const RECOVERED_LAG_FRACTION: f64 = 0.25;

/// Length of a window, as a fraction of the latency objective.
const WINDOW_FRACTION: f64 = 0.2;

/// Lower bound of the length of a window, for short latency objectives.
const MIN_WINDOW: Seconds = 0.1;

/// Added to the shed fraction after each window in which the loop is overloaded and its lag does not fall. The step is
/// small because an increase takes a while to have an effect.
const SHED_FRACTION_INCREASE: f64 = 0.02;

/// Subtracted from the shed fraction after each window in which the loop has recovered. Between the two thresholds of
/// the lag the shed fraction stays as it is, since it would oscillate otherwise.
const SHED_FRACTION_DECREASE: f64 = 0.1;

/// Upper bound of the shed fraction: without any new work, nothing would show that the loop can process it again.
const MAX_SHED_FRACTION: f64 = 0.95;

/// The estimated mix of classes decays by this factor with each new work item.
const MIX_DECAY: f64 = 0.995;

/// Decides which new work of one event loop is admitted.
#[derive(Clone, Debug)]
pub struct LoadShedder {
    latency_objective: Seconds,
    classes: Vec<ClassLoad>,
    /// Start of the current window; `None` before the first observation.
    window_start: Option<Seconds>,
    /// Minimum lag of the current window; infinite before the first observation in it.
    min_lag: Seconds,
    /// Minimum lag of the previous window.
    previous_min_lag: Seconds,
    shed_fraction: f64,
}

/// Recent new work of one class.
#[derive(Clone, Debug)]
struct ClassLoad {
    priority_weight: f64,
    /// Share of the recent new work that belongs to this class; the shares add up to 1 only after many work items.
    mix: f64,
    /// Fractions of work items to shed that have not added up to a whole work item yet.
    shed_remainder: f64,
}

impl LoadShedder {
    /// A shedder for a loop that does not lag. `latency_objective` is the shortest time within which work is to be
    /// answered; a value that is not finite counts as one second. `priority_weights` is indexed by class: classes with
    /// a lower weight are shed first.
    #[must_use]
    pub fn new(latency_objective: Seconds, priority_weights: Vec<f64>) -> Self {
        let latency_objective = if latency_objective.is_finite() {
            latency_objective.max(0.0)
        } else {
            1.0
        };
        let class = |priority_weight| ClassLoad {
            priority_weight,
            mix: 0.0,
            shed_remainder: 0.0,
        };
        Self {
            latency_objective,
            classes: priority_weights.into_iter().map(class).collect(),
            window_start: None,
            min_lag: f64::INFINITY,
            previous_min_lag: 0.0,
            shed_fraction: 0.0,
        }
    }

    /// Like [`LoadShedder::new`], for classes that are given by latency objective and priority weight. The shortest
    /// latency objective applies to all of them.
    pub fn for_classes(classes: impl Iterator<Item = (Seconds, f64)>) -> Self {
        let (objectives, weights): (Vec<Seconds>, Vec<f64>) = classes.unzip();
        let shortest = objectives.into_iter().fold(f64::INFINITY, f64::min);
        Self::new(shortest, weights)
    }

    /// Records that the loop handles at `now` what arrived, or was due, `lag` seconds before.
    pub fn observe_lag(&mut self, now: Seconds, lag: Seconds) {
        let window_start = *self.window_start.get_or_insert(now);
        self.min_lag = self.min_lag.min(lag.max(0.0));
        let window = (WINDOW_FRACTION * self.latency_objective).max(MIN_WINDOW);
        if now - window_start < window {
            return;
        }
        self.close_window();
        self.window_start = Some(now);
    }

    /// Adjusts the shed fraction by the minimum lag of the window that ends.
    fn close_window(&mut self) {
        if self.min_lag > OVERLOAD_LAG_FRACTION * self.latency_objective {
            if self.min_lag >= self.previous_min_lag {
                self.shed_fraction += SHED_FRACTION_INCREASE;
            }
            self.shed_fraction = self.shed_fraction.min(MAX_SHED_FRACTION);
        } else if self.min_lag < RECOVERED_LAG_FRACTION * self.latency_objective {
            self.shed_fraction = (self.shed_fraction - SHED_FRACTION_DECREASE).max(0.0);
        }
        self.previous_min_lag = self.min_lag;
        self.min_lag = f64::INFINITY;
    }

    /// Whether a new work item of this class is admitted; the caller rejects it immediately otherwise. Work of an
    /// unknown class is always admitted.
    pub fn admit(&mut self, class: usize) -> bool {
        if class >= self.classes.len() {
            return true;
        }
        for (index, load) in self.classes.iter_mut().enumerate() {
            let increment = if index == class { 1.0 - MIX_DECAY } else { 0.0 };
            load.mix = load.mix * MIX_DECAY + increment;
        }
        let fraction = self.class_shed_fraction(class);
        if fraction <= 0.0 {
            return true;
        }
        let load = &mut self.classes[class];
        load.shed_remainder += fraction;
        if load.shed_remainder < 1.0 {
            return true;
        }
        load.shed_remainder -= 1.0;
        false
    }

    /// The fraction of the new work of a class that is shed: classes with a lower weight are shed first.
    fn class_shed_fraction(&self, class: usize) -> f64 {
        let weight = self.classes[class].priority_weight;
        let mix_of = |selected: &dyn Fn(&ClassLoad) -> bool| -> f64 {
            let selected = self.classes.iter().filter(|load| selected(load));
            selected.map(|load| load.mix).sum()
        };
        let total = mix_of(&|_| true);
        let lighter = mix_of(&|load| load.priority_weight < weight);
        let equal = mix_of(&|load| load.priority_weight == weight);
        if equal <= 0.0 {
            return self.shed_fraction;
        }
        ((self.shed_fraction * total - lighter) / equal).clamp(0.0, MAX_SHED_FRACTION)
    }

    /// The fraction of all new work that is shed at present: 0 while the loop keeps up, and at most 0.95.
    #[must_use]
    pub fn shed_fraction(&self) -> f64 {
        self.shed_fraction
    }
}
