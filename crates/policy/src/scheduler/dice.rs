//! Dice, the dispatching rule by which one of the best candidates is chosen.
//!
//! Source: Xie, Hyytiä, Righter, "Size-Aware Dispatching to Fluid Queues". Short work goes to the least backlog
//! while backlog plus work is under a threshold; longer work goes to the longest backlog among a few, which keeps
//! other machines free for short work. What differs from the paper is in `docs/design.md`.

use rand::Rng;

/// Backlog plus work is short under this many mean works, as in the paper.
const THRESHOLD: f64 = 6.0;

/// Backlogs within this many mean works of the best are alike, and one of them is drawn.
const MARGIN: f64 = 0.15;

/// Longer work considers this many machines, which are drawn.
const SAMPLE_SIZE: usize = 4;

/// Chooses an index of `backlogs` for a task of this `work`; 0 where there are none. All are in the same unit of
/// work.
pub(super) fn choose(backlogs: &[f64], work: f64, mean_work: f64, rng: &mut impl Rng) -> usize {
    let margin = MARGIN * mean_work;
    let least = backlogs.iter().copied().fold(f64::INFINITY, f64::min);
    let mut alike: Vec<usize> = (0..backlogs.len()).collect();
    if least + work < THRESHOLD * mean_work {
        alike.retain(|&i| backlogs[i] <= least + margin);
    } else {
        draw_sample(&mut alike, rng);
        let longest = alike.iter().map(|&i| backlogs[i]).fold(0.0, f64::max);
        alike.retain(|&i| backlogs[i] >= longest - margin);
    }
    if alike.is_empty() {
        0
    } else {
        alike[rng.random_range(0..alike.len())]
    }
}

/// Keeps [`SAMPLE_SIZE`] random elements: the first steps of a Fisher-Yates shuffle.
fn draw_sample(indices: &mut Vec<usize>, rng: &mut impl Rng) {
    for i in 0..SAMPLE_SIZE.min(indices.len()) {
        let j = rng.random_range(i..indices.len());
        indices.swap(i, j);
    }
    indices.truncate(SAMPLE_SIZE);
}
