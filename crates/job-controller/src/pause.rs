//! How long an owner waits before it asks again.

use rand::Rng;

/// Pauses, in seconds.
#[derive(Clone, Debug)]
pub struct Pauses {
    /// After the first refusal, failure or eviction; then doubling.
    pub first: f64,
    /// The longest.
    pub most: f64,
    /// After a loss of the node or a move, which say nothing against asking at once.
    pub lost: f64,
}

impl Pauses {
    /// A pause after so many troubles in a row, drawn from half to the whole: owners that were struck together
    /// must not come back together. Harm: a task alone in its trouble waits up to twice as long as it had to.
    pub fn draw(&self, troubles: u32, rng: &mut impl Rng) -> f64 {
        (self.first * 2f64.powi(troubles.min(30) as i32)).min(self.most)
            * rng.random_range(0.5..=1.0)
    }

    /// A pause after a loss or move.
    pub fn draw_lost(&self, rng: &mut impl Rng) -> f64 {
        self.lost * rng.random_range(0.5..=1.0)
    }
}
