//! The load shedder on a simulated event loop with a fixed capacity: below capacity, under overload, and after it.

use tidespur_load_shedding::LoadShedder;

/// Latency objective of the simulated loop, in seconds.
const LATENCY_OBJECTIVE: f64 = 0.5;
/// Simulation steps per second.
const STEPS_PER_SECOND: u32 = 100;

/// Result of one simulated second.
struct Sample {
    /// Lag at the end of the second, in seconds.
    lag: f64,
    shed_fraction: f64,
    /// Rejected work items of weight 1 and of weight 5.
    rejected: [u32; 2],
}

impl Sample {
    fn rejected_nothing(&self) -> bool {
        self.rejected == [0, 0]
    }
}

/// Simulates a loop that processes `capacity` work items per second, and to which `rate(t)` work items per second
/// arrive, alternately of weight 1 and 5. The loop rejects what the shedder does not admit.
fn simulate(rate: impl Fn(f64) -> f64, capacity: f64, seconds: u32) -> Vec<Sample> {
    let mut shedder = LoadShedder::new(LATENCY_OBJECTIVE, vec![1.0, 5.0]);
    let mut queue = 0.0_f64;
    // Work items that have arrived and were not offered to the shedder yet; fractional.
    let mut arrivals = 0.0;
    let mut count = 0_usize;
    let mut samples = Vec::new();
    for second in 0..seconds {
        let mut rejected = [0, 0];
        for step in 0..STEPS_PER_SECOND {
            let now = f64::from(second) + f64::from(step) / f64::from(STEPS_PER_SECOND);
            arrivals += rate(now) / f64::from(STEPS_PER_SECOND);
            while arrivals >= 1.0 {
                arrivals -= 1.0;
                count += 1;
                let class = count % 2;
                if shedder.admit(class) {
                    queue += 1.0;
                } else {
                    rejected[class] += 1;
                }
            }
            queue = (queue - capacity / f64::from(STEPS_PER_SECOND)).max(0.0);
            shedder.observe_lag(now, queue / capacity);
        }
        samples.push(Sample {
            lag: queue / capacity,
            shed_fraction: shedder.shed_fraction(),
            rejected,
        });
    }
    samples
}

#[test]
fn nothing_is_shed_when_the_loop_keeps_up() {
    let samples = simulate(|_| 90.0, 100.0, 30);
    assert!(samples.iter().all(Sample::rejected_nothing));
}

#[test]
fn nothing_is_shed_when_a_burst_is_processed_within_a_window() {
    let burst = |t: f64| {
        if (3.0..3.05).contains(&t) {
            400.0
        } else {
            50.0
        }
    };
    let samples = simulate(burst, 100.0, 10);
    assert!(samples.iter().all(Sample::rejected_nothing));
}

#[test]
fn lag_is_bounded_and_low_weight_work_is_shed_first_when_twice_the_capacity_arrives() {
    let samples = simulate(|_| 200.0, 100.0, 60);
    for (second, sample) in samples.iter().enumerate().skip(20) {
        let (lag, rejected) = (sample.lag, sample.rejected);
        assert!(lag < 1.5, "{lag} s of lag after {second} s");
        assert!(
            rejected[0] > 3 * rejected[1],
            "second {second}: {rejected:?}"
        );
    }
    // The shed fraction must not oscillate.
    let fractions = samples.iter().skip(20).map(|sample| sample.shed_fraction);
    let min = fractions.clone().fold(1.0_f64, f64::min);
    let max = fractions.fold(0.0_f64, f64::max);
    assert!(max - min <= 0.5, "from {min} to {max}");
}

#[test]
fn everything_is_admitted_when_the_overload_has_ended() {
    let samples = simulate(|t| if t < 10.0 { 300.0 } else { 50.0 }, 100.0, 30);
    assert!(samples[9].shed_fraction > 0.5);
    let recovered = samples.iter().skip(20);
    assert!(
        recovered
            .into_iter()
            .all(|sample| sample.rejected_nothing() && sample.shed_fraction == 0.0)
    );
}
