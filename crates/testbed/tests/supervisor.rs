//! Children that exit are restarted with exponential backoff, until the supervisor gives up.

use tidespur_testbed::supervisor::{Action, Settings, Supervisor};

#[test]
fn restarts_back_off_until_the_supervisor_gives_up() {
    let mut supervisor = Supervisor::new(Settings::default(), ["edge-0".to_owned()], 0.0);
    let exited = ["edge-0".to_owned()];
    let (mut now, mut delays, mut starts) = (1.0, Vec::new(), 0);
    let gave_up = loop {
        now += 0.25;
        match supervisor.step(now, &exited).pop() {
            Some(Action::Backoff(_, delay)) => delays.push(delay),
            Some(Action::Start(_)) => starts += 1,
            Some(Action::GiveUp(name)) => break name,
            None => {}
        }
        assert!(now < 100.0, "never gives up");
    };
    assert_eq!((gave_up.as_str(), starts), ("edge-0", 5));
    assert_eq!(delays, [0.5, 1.0, 2.0, 4.0, 8.0]);
}

#[test]
fn a_stable_child_resets_its_backoff_and_others_are_not_affected() {
    let mut supervisor =
        Supervisor::new(Settings::default(), ["a".to_owned(), "b".to_owned()], 0.0);
    let a = ["a".to_owned()];
    for at in [1.0, 1.5, 2.0] {
        supervisor.step(at, &a);
    }
    assert_eq!(supervisor.step(60.0, &a), [Action::Start("a".into())]);
    assert_eq!(supervisor.step(61.0, &[]), []);
    assert_eq!(
        supervisor.step(100.0, &a),
        [Action::Backoff("a".into(), 0.5)],
        "after 40 s of uptime"
    );
}
