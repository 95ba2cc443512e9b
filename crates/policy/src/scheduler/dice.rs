//! Dice, the dispatching rule that chooses among the candidates with the least loss.
//!
//! Source: Xie, Hyytiä, Righter, "Size-Aware Dispatching to Fluid Queues". A task goes to the shortest backlog while
//! backlog plus work is below a threshold. Otherwise it goes to the longest backlog of a small random sample, which
//! keeps other machines free for short tasks. `docs/design.md` lists the differences from the paper.

use rand::Rng;

/// The threshold of backlog plus work, in multiples of the mean work. The value is that of the paper.
const SHORT_BACKLOG_THRESHOLD: f64 = 6.0;

/// Backlogs that differ from the best by at most this multiple of the mean work are tied.
const TIE_MARGIN: f64 = 0.15;

/// The number of machines that are sampled for a task above the threshold.
const SAMPLE_SIZE: usize = 4;

/// Chooses an index into `backlogs` for a task of this `work`, with ties broken at random; 0 if `backlogs` is empty.
/// All amounts are in the same unit of work.
pub(super) fn choose(backlogs: &[f64], work: f64, mean_work: f64, rng: &mut impl Rng) -> usize {
    let margin = TIE_MARGIN * mean_work;
    let least = backlogs.iter().copied().fold(f64::INFINITY, f64::min);
    let mut tied: Vec<usize> = (0..backlogs.len()).collect();
    if least + work < SHORT_BACKLOG_THRESHOLD * mean_work {
        tied.retain(|&i| backlogs[i] <= least + margin);
    } else {
        draw_sample(&mut tied, rng);
        let longest = tied.iter().map(|&i| backlogs[i]).fold(0.0, f64::max);
        tied.retain(|&i| backlogs[i] >= longest - margin);
    }
    if tied.is_empty() {
        0
    } else {
        tied[rng.random_range(0..tied.len())]
    }
}

/// Keeps [`SAMPLE_SIZE`] random elements, by a partial Fisher-Yates shuffle.
fn draw_sample(indices: &mut Vec<usize>, rng: &mut impl Rng) {
    for i in 0..SAMPLE_SIZE.min(indices.len()) {
        let j = rng.random_range(i..indices.len());
        indices.swap(i, j);
    }
    indices.truncate(SAMPLE_SIZE);
}
