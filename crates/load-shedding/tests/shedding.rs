//! A loop with a modelled speed, under more work than it can do, and after that.

use tidespur_load_shedding::LoadShedder;

/// Plays `rate(t)` pieces of work a second, each worth by turns 1 and 5, to a loop that does `speed` a second
/// and turns away those that `shedding` does not admit. Tells by second: the lateness at its end, the share shed,
/// and how many of each worth were turned away.
fn play(rate: impl Fn(f64) -> f64, speed: f64, seconds: usize) -> Vec<(f64, f64, [u32; 2])> {
    let mut shedder = LoadShedder::new(0.5, vec![1.0, 5.0]);
    let (mut queue, mut due, mut count) = (0.0_f64, 0.0, 0usize);
    let mut told = Vec::new();
    for second in 0..seconds {
        let mut shed = [0, 0];
        for step in 0..100 {
            let now = second as f64 + f64::from(step) / 100.0;
            due += rate(now) / 100.0;
            while due >= 1.0 {
                due -= 1.0;
                count += 1;
                let class = count % 2;
                if shedder.admit(class) {
                    queue += 1.0;
                } else {
                    shed[class] += 1;
                }
            }
            queue = (queue - speed / 100.0).max(0.0);
            shedder.observe_lag(now, queue / speed);
        }
        told.push((queue / speed, shedder.shed_fraction(), shed));
    }
    told
}

#[test]
fn a_loop_in_time_turns_nothing_away() {
    assert!(
        play(|_| 90.0, 100.0, 30)
            .iter()
            .all(|second| second.2 == [0, 0])
    );
}

#[test]
fn a_burst_that_is_worked_off_in_a_window_sheds_nothing() {
    let burst = |t: f64| {
        if (3.0..3.05).contains(&t) {
            400.0
        } else {
            50.0
        }
    };
    assert!(
        play(burst, 100.0, 10)
            .iter()
            .all(|second| second.2 == [0, 0])
    );
}

#[test]
fn under_twice_its_speed_a_loop_stays_near_its_aim_and_sheds_the_least_worth_first() {
    let told = play(|_| 200.0, 100.0, 60);
    for (second, (late, _, shed)) in told.iter().enumerate().skip(20) {
        assert!(*late < 1.5, "{late} s late after {second} s");
        assert!(shed[0] > 3 * shed[1], "second {second}: {shed:?}");
    }
    // It does not swing: the share that is shed stays within a band.
    let shares: Vec<f64> = told.iter().skip(20).map(|second| second.1).collect();
    let (least, most) = shares
        .iter()
        .fold((1.0_f64, 0.0_f64), |(a, b), s| (a.min(*s), b.max(*s)));
    assert!(most - least <= 0.5, "from {least} to {most}");
}

#[test]
fn once_the_cause_is_over_it_takes_all_again() {
    let told = play(|t| if t < 10.0 { 300.0 } else { 50.0 }, 100.0, 30);
    assert!(told[9].1 > 0.5);
    assert!(
        told.iter()
            .skip(20)
            .all(|second| second.2 == [0, 0] && second.1 == 0.0)
    );
}
