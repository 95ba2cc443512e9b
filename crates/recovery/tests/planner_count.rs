//! The count of planners rises at once, and falls only when a planner has announced its departure.

use std::collections::{BTreeMap, BTreeSet};
use tidespur_recovery::{MAX_NAME_BYTES, Observation, Output, PlannerCounter, Seconds};

#[derive(Default)]
struct Fleet {
    count: PlannerCounter,
    now: Seconds,
    token: Option<u64>,
    connected: BTreeMap<u64, String>,
    counted: BTreeSet<String>,
    departed: BTreeSet<String>,
}

impl Fleet {
    /// A fleet with the token 1 in which these planners are connected, as the connections 1, 2, ...
    fn new(connected: &[&str], counted: &[&str]) -> Self {
        let names = connected.iter().map(|name| (*name).to_owned());
        Self {
            token: Some(1),
            connected: (1..).zip(names).collect(),
            counted: counted.iter().map(|name| (*name).to_owned()).collect(),
            ..Self::default()
        }
    }

    fn step(&mut self, seconds: Seconds) -> Vec<Output> {
        self.now += seconds;
        let observation = Observation {
            token: self.token,
            connected: &self.connected,
            counted: &self.counted,
            departed: &self.departed,
        };
        let mut outputs = Vec::new();
        self.count.step(self.now, &observation, &mut outputs);
        outputs
    }
}

fn notify(connection_id: u64, token: u64, planners: u32) -> Output {
    Output::NotifyPlanner {
        connection_id,
        token,
        planners,
    }
}

#[test]
fn other_planners_are_notified_first_when_a_planner_connects() {
    let mut fleet = Fleet::new(&["a", "b"], &["a"]);
    assert_eq!(
        fleet.step(0.0),
        [Output::AddPlanner("b".into()), notify(1, 1, 2)]
    );
    assert_eq!(fleet.step(0.1), [], "once");
    fleet.counted.insert("b".into());
    assert_eq!(fleet.step(0.1), [notify(2, 1, 2)]);
}

#[test]
fn request_is_repeated_when_the_log_does_not_change() {
    let mut fleet = Fleet::new(&["a"], &[]);
    assert_eq!(fleet.step(0.0), [Output::AddPlanner("a".into())]);
    assert_eq!(fleet.step(0.5), []);
    assert_eq!(fleet.step(0.6), [Output::AddPlanner("a".into())]);
}

#[test]
fn planner_is_still_counted_when_it_is_silent_or_disconnected() {
    let mut fleet = Fleet::new(&["a", "b"], &["a", "b"]);
    assert_eq!(fleet.step(0.0), [notify(1, 1, 2), notify(2, 1, 2)]);
    fleet.connected.remove(&2);
    for _ in 0..100 {
        assert_eq!(fleet.step(10.0), []);
    }
    // So is one that is counted and was never connected here.
    fleet.counted.insert("c".into());
    assert_eq!(fleet.step(1.0), [notify(1, 1, 3)]);
}

#[test]
fn departed_planner_is_removed_unless_it_is_connected_again() {
    let mut fleet = Fleet::new(&["a", "b"], &["a", "b"]);
    fleet.step(0.0);
    fleet.departed.insert("b".into());
    assert_eq!(fleet.step(1.0), [], "it is connected: it has come back");
    fleet.connected.remove(&2);
    assert_eq!(fleet.step(1.0), [Output::RemovePlanner("b".into())]);
    fleet.counted.remove("b");
    assert_eq!(fleet.step(1.0), [notify(1, 1, 1)]);
}

#[test]
fn nothing_is_done_without_a_token_and_all_are_notified_again_with_a_new_one() {
    let mut fleet = Fleet::new(&["a", "b"], &["a"]);
    fleet.token = None;
    assert_eq!(fleet.step(0.0), []);
    fleet.token = Some(7);
    assert_eq!(
        fleet.step(1.0),
        [Output::AddPlanner("b".into()), notify(1, 7, 2)]
    );
    fleet.token = Some(9);
    assert_eq!(fleet.step(0.1), [notify(1, 9, 2)]);
    assert_eq!(fleet.step(0.1), []);
}

#[test]
fn notification_is_repeated_when_it_has_failed() {
    let mut fleet = Fleet::new(&["a"], &["a"]);
    assert_eq!(fleet.step(0.0), [notify(1, 1, 1)]);
    assert_eq!(fleet.step(0.1), []);
    fleet.count.notification_failed(1);
    assert_eq!(
        fleet.step(0.1),
        [notify(1, 1, 1)],
        "the lease had expired when the message was written, and was renewed"
    );
}

#[test]
fn planners_are_not_counted_when_their_names_are_too_long_or_they_are_too_many() {
    let mut fleet = Fleet::new(&["a"], &["a"]);
    fleet.connected.insert(2, "x".repeat(MAX_NAME_BYTES + 1));
    fleet.connected.insert(3, String::new());
    assert_eq!(fleet.step(0.0), [notify(1, 1, 1)]);
    let many = (10..6_000).map(|connection_id| (connection_id, format!("p-{connection_id}")));
    fleet.connected.extend(many);
    let outputs = fleet.step(1.0);
    let added = outputs
        .iter()
        .filter(|output| matches!(output, Output::AddPlanner(_)));
    assert_eq!(added.count(), 4_095);
    assert!(outputs.contains(&notify(1, 1, 4_096)));
}
