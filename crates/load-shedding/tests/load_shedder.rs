//! The load shedder on a loop with a modelled speed, under more work than the loop can do, and after that.

use tidespur_load_shedding::LoadShedder;

/// Latency objective of the modelled loop, in seconds.
const LATENCY_OBJECTIVE: f64 = 0.5;
/// Steps of a second of the model.
const STEPS_PER_SECOND: u32 = 100;

/// What a second of the model looked like.
struct Second {
    /// Lag at its end, in seconds.
    lag: f64,
    shed_fraction: f64,
    /// Pieces of work that were rejected, of weight 1 and of weight 5.
    rejected: [u32; 2],
}

impl Second {
    fn rejected_nothing(&self) -> bool {
        self.rejected == [0, 0]
    }
}

/// Plays `rate(t)` pieces of work a second, of weight 1 and 5 by turns, to a loop that does `speed` pieces a second and
/// rejects those that the shedder does not admit.
fn play(rate: impl Fn(f64) -> f64, speed: f64, seconds: u32) -> Vec<Second> {
    let mut shedder = LoadShedder::new(LATENCY_OBJECTIVE, vec![1.0, 5.0]);
    let mut queue = 0.0_f64;
    let mut due = 0.0;
    let mut count = 0_usize;
    let mut played = Vec::new();
    for second in 0..seconds {
        let mut rejected = [0, 0];
        for step in 0..STEPS_PER_SECOND {
            let now = f64::from(second) + f64::from(step) / f64::from(STEPS_PER_SECOND);
            due += rate(now) / f64::from(STEPS_PER_SECOND);
            while due >= 1.0 {
                due -= 1.0;
                count += 1;
                let class = count % 2;
                if shedder.admit(class) {
                    queue += 1.0;
                } else {
                    rejected[class] += 1;
                }
            }
            queue = (queue - speed / f64::from(STEPS_PER_SECOND)).max(0.0);
            shedder.observe_lag(now, queue / speed);
        }
        played.push(Second {
            lag: queue / speed,
            shed_fraction: shedder.shed_fraction(),
            rejected,
        });
    }
    played
}

#[test]
fn nothing_is_shed_when_the_loop_keeps_up() {
    let played = play(|_| 90.0, 100.0, 30);
    assert!(played.iter().all(Second::rejected_nothing));
}

#[test]
fn nothing_is_shed_when_a_burst_is_worked_off_within_a_window() {
    let burst = |t: f64| {
        if (3.0..3.05).contains(&t) {
            400.0
        } else {
            50.0
        }
    };
    let played = play(burst, 100.0, 10);
    assert!(played.iter().all(Second::rejected_nothing));
}

#[test]
fn lag_stays_bounded_and_light_work_goes_first_under_twice_the_loops_speed() {
    let played = play(|_| 200.0, 100.0, 60);
    for (number, second) in played.iter().enumerate().skip(20) {
        let (lag, rejected) = (second.lag, second.rejected);
        assert!(lag < 1.5, "{lag} s of lag after {number} s");
        assert!(
            rejected[0] > 3 * rejected[1],
            "second {number}: {rejected:?}"
        );
    }
    // It does not oscillate: the shed fraction stays within a band.
    let fractions = played.iter().skip(20).map(|second| second.shed_fraction);
    let least = fractions.clone().fold(1.0_f64, f64::min);
    let most = fractions.fold(0.0_f64, f64::max);
    assert!(most - least <= 0.5, "from {least} to {most}");
}

#[test]
fn everything_is_admitted_again_once_the_overload_is_over() {
    let played = play(|t| if t < 10.0 { 300.0 } else { 50.0 }, 100.0, 30);
    assert!(played[9].shed_fraction > 0.5);
    let recovered = played.iter().skip(20);
    assert!(
        recovered
            .into_iter()
            .all(|second| second.rejected_nothing() && second.shed_fraction == 0.0)
    );
}
