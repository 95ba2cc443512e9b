//! Children that end are started again, more slowly each time, and not for ever.

use tidespur_testbed::supervisor::{Action, Settings, Supervisor};

#[test]
fn a_child_that_ends_is_started_again_after_a_pause_that_grows_until_all_is_given_up() {
    let mut watch = Supervisor::new(Settings::default(), ["edge-0".to_owned()], 0.0);
    let gone = ["edge-0".to_owned()];
    let (mut now, mut pauses, mut starts) = (1.0, Vec::new(), 0);
    let gave_up = loop {
        now += 0.25;
        match watch.step(now, &gone).pop() {
            Some(Action::Backoff(_, pause)) => pauses.push(pause),
            Some(Action::Start(_)) => starts += 1,
            Some(Action::GiveUp(name)) => break name,
            None => {}
        }
        assert!(now < 100.0, "it goes on for ever");
    };
    assert_eq!((gave_up.as_str(), starts), ("edge-0", 5));
    assert_eq!(pauses, [0.5, 1.0, 2.0, 4.0, 8.0]);
}

#[test]
fn one_that_ran_steadily_begins_anew_and_others_are_left_alone() {
    let mut watch = Supervisor::new(Settings::default(), ["a".to_owned(), "b".to_owned()], 0.0);
    let a = ["a".to_owned()];
    for at in [1.0, 1.5, 2.0] {
        watch.step(at, &a);
    }
    assert_eq!(watch.step(60.0, &a), [Action::Start("a".into())]);
    assert_eq!(watch.step(61.0, &[]), []);
    assert_eq!(
        watch.step(100.0, &a),
        [Action::Backoff("a".into(), 0.5)],
        "after 40 steady seconds"
    );
}
