//! Load shedding (admission control) by loop lag: how far a loop lags behind its work, and which new work it rejects.
//!
//! A loop that cannot keep up is late with everything it owes: answers, results, updates of the endpoint list. Lateness
//! causes more work (time-outs, new connections, clients that retry), so a short burst can overload a loop for good.
//! [`LoadShedder`] observes the lag of a loop and rejects new work at once, the least weighted first, until the loop has
//! caught up. Work that was accepted is never touched.
//!
//! The lag that counts is the smallest one of a window, as in CoDel (Nichols and Jacobson, "Controlling Queue Delay",
//! 2012): a burst that is worked off within the window sheds nothing.
//!
//! Owns no clock, socket or random numbers: the same observations and questions give the same answers. Called by the
//! gateway, the planner's core and the edge's API hooks.

pub use tidespur_units::Seconds;

/// The loop lags if its smallest lag over a window was above this multiple of the latency objective: whatever it accepts
/// now misses that objective by the wait alone. A lower bound does harm: clients that were rejected come again and
/// rejecting is work too, so shedding feeds itself (at 0.2, a flood of a modelled loop's own speed had two of three
/// requests shed, and without shedding none was lost).
const LAGGING_FRACTION: f64 = 1.0;

/// The loop has caught up if its lag was once below this fraction of the latency objective within a window.
const CAUGHT_UP_FRACTION: f64 = 0.25;

/// Length of a window, as a fraction of the latency objective.
const WINDOW_FRACTION: f64 = 0.2;

/// Shortest length of a window.
const MIN_WINDOW: Seconds = 0.1;

/// In each window in which the loop lags and does not catch up, this fraction more of the new work is shed. The rise is
/// slow because it takes a while to act.
const INCREASE_FRACTION: f64 = 0.02;

/// In each window in which the loop has caught up, this fraction less of the new work is shed. Between both bounds
/// nothing changes; otherwise the fraction would oscillate.
const DECREASE_FRACTION: f64 = 0.1;

/// At most this fraction of the new work is shed: without any new work nothing would show that the loop can do it again.
const MAX_SHED_FRACTION: f64 = 0.95;

/// The estimate of the mix of classes decays by this factor with each piece of new work.
const MIX_DECAY: f64 = 0.995;

/// Sheds the load of one loop.
#[derive(Clone, Debug)]
pub struct LoadShedder {
    latency_objective: Seconds,
    classes: Vec<ClassLoad>,
    window_start: Option<Seconds>,
    /// The smallest lag of this window.
    smallest_lag: Seconds,
    /// The smallest lag of the window before.
    previous_smallest_lag: Seconds,
    shed_fraction: f64,
}

/// What is known of the new work of one class.
#[derive(Clone, Debug)]
struct ClassLoad {
    priority_weight: f64,
    /// Recent share of the new work that belongs to this class.
    mix: f64,
    /// Fractions of pieces of work that were to be shed and have not added up to a whole piece yet.
    pending_shed: f64,
}

impl LoadShedder {
    /// A loop that does not lag. `latency_objective` is the shortest time within which work should be answered, in
    /// seconds; `priority_weights` has the weight of one piece of work of each class.
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
            pending_shed: 0.0,
        };
        Self {
            latency_objective,
            classes: priority_weights.into_iter().map(class).collect(),
            window_start: None,
            smallest_lag: f64::INFINITY,
            previous_smallest_lag: 0.0,
            shed_fraction: 0.0,
        }
    }

    /// A loop that does not lag, over classes given by latency objective, in seconds, and priority weight. The shortest
    /// objective counts.
    pub fn for_classes(classes: impl Iterator<Item = (Seconds, f64)>) -> Self {
        let (objectives, weights): (Vec<Seconds>, Vec<f64>) = classes.unzip();
        let shortest = objectives.into_iter().fold(f64::INFINITY, f64::min);
        Self::new(shortest, weights)
    }

    /// Takes in that something which was due, or arrived, `lag` seconds ago is handled only at `now`.
    pub fn observe_lag(&mut self, now: Seconds, lag: Seconds) {
        let window_start = *self.window_start.get_or_insert(now);
        self.smallest_lag = self.smallest_lag.min(lag.max(0.0));
        let window = (WINDOW_FRACTION * self.latency_objective).max(MIN_WINDOW);
        if now - window_start < window {
            return;
        }
        self.close_window();
        self.window_start = Some(now);
    }

    /// Adjusts the shed fraction by the smallest lag of the window that ends.
    fn close_window(&mut self) {
        if self.smallest_lag > LAGGING_FRACTION * self.latency_objective {
            if self.smallest_lag >= self.previous_smallest_lag {
                self.shed_fraction += INCREASE_FRACTION;
            }
            self.shed_fraction = self.shed_fraction.min(MAX_SHED_FRACTION);
        } else if self.smallest_lag < CAUGHT_UP_FRACTION * self.latency_objective {
            self.shed_fraction = (self.shed_fraction - DECREASE_FRACTION).max(0.0);
        }
        self.previous_smallest_lag = self.smallest_lag;
        self.smallest_lag = f64::INFINITY;
    }

    /// Whether a new piece of work of this class is admitted. Otherwise it is to be rejected at once. Work of an unknown
    /// class is always admitted.
    pub fn admit(&mut self, class: usize) -> bool {
        if class >= self.classes.len() {
            return true;
        }
        for (index, load) in self.classes.iter_mut().enumerate() {
            let arrived = if index == class { 1.0 - MIX_DECAY } else { 0.0 };
            load.mix = load.mix * MIX_DECAY + arrived;
        }
        let fraction = self.class_shed_fraction(class);
        if fraction <= 0.0 {
            return true;
        }
        let load = &mut self.classes[class];
        load.pending_shed += fraction;
        if load.pending_shed < 1.0 {
            return true;
        }
        load.pending_shed -= 1.0;
        false
    }

    /// The fraction of a class that is shed: all classes of less weight are shed before it.
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

    /// The fraction of the new work that is shed now, from 0 to 1.
    #[must_use]
    pub fn shed_fraction(&self) -> f64 {
        self.shed_fraction
    }
}
