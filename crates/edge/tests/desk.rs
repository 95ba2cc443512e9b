//! The desk: one answer for each task, whatever planners do.

use proptest::prelude::*;
use std::collections::BTreeMap;
use tidespur_api::task::PlacementRequest;
use tidespur_edge::desk::*;
use tidespur_planner_protocol::{Location, TerminationReason, ToEdge, ToPlanner};

fn desk() -> Desk {
    Desk::new(Settings {
        planner_most: 3,
        one_home: false,
        answer_slack: 0.05,
        locate_for: 1.0,
        take_within: 0.5,
    })
}

fn ask(uid: &str) -> PlacementRequest {
    PlacementRequest {
        uid: uid.into(),
        service: format!("s/{uid}"),
        ..PlacementRequest::default()
    }
}

fn step(desk: &mut Desk, now: f64, events: Vec<Event>) -> Vec<Action> {
    let mut out = Vec::new();
    desk.step(now, events, &mut out);
    out
}

fn submit(uid: &str, deadline: f64) -> Event {
    Event::Submit(ask(uid), deadline, false)
}

fn taken(uid: &str) -> ToEdge {
    ToEdge::Acknowledged { uid: uid.into() }
}

/// The planner takes these and is told to go.
fn take(desk: &mut Desk, now: f64, planner: u64, uids: &[&str]) {
    let events = uids
        .iter()
        .map(|uid| Event::Said(planner, taken(uid)))
        .collect();
    let out = step(desk, now, events);
    let gone = out
        .iter()
        .filter(|a| matches!(a, Action::Tell(p, ToPlanner::Commit { .. }) if *p == planner));
    assert_eq!(gone.count(), uids.len(), "{out:?}");
}

fn placed(uid: &str) -> ToEdge {
    ToEdge::Placed {
        uid: uid.into(),
        node: "n1".into(),
    }
}

#[test]
fn tasks_of_a_lost_planner_fail_and_what_runs_goes_to_another() {
    let mut desk = desk();
    step(
        &mut desk,
        0.0,
        vec![Event::PlannerUp(1), submit("a", 5.0), submit("b", 5.0)],
    );
    take(&mut desk, 0.05, 1, &["a", "b"]);
    step(
        &mut desk,
        0.1,
        vec![Event::Said(1, placed("a")), Event::PlannerUp(2)],
    );
    let out = step(&mut desk, 0.2, vec![Event::PlannerLost(1)]);
    assert!(
        out.iter()
            .any(|a| matches!(a, Action::Failed(uid, _) if uid == "b")),
        "{out:?}"
    );
    assert!(out.iter().any(
        |a| matches!(a, Action::Tell(2, ToPlanner::Adopt { request: ask, node }) if ask.uid == "a" && node == "n1")
    ));
    let out = step(
        &mut desk,
        1.0,
        vec![Event::Said(
            2,
            ToEdge::Ended {
                uid: "a".into(),
                reason: TerminationReason::Succeeded,
            },
        )],
    );
    assert_eq!(
        out,
        [Action::Ended("a".into(), TerminationReason::Succeeded)]
    );
}

#[test]
fn what_runs_waits_for_a_planner_where_there_is_none() {
    let mut desk = desk();
    step(&mut desk, 0.0, vec![Event::PlannerUp(1), submit("a", 5.0)]);
    take(&mut desk, 0.05, 1, &["a"]);
    step(&mut desk, 0.1, vec![Event::Said(1, placed("a"))]);
    assert_eq!(step(&mut desk, 0.2, vec![Event::PlannerLost(1)]), []);
    let out = step(&mut desk, 9.0, vec![Event::PlannerUp(2)]);
    assert!(
        matches!(&out[..], [Action::Tell(2, ToPlanner::Adopt { .. })]),
        "{out:?}"
    );
}

#[test]
fn a_planner_that_hangs_is_answered_for_and_its_late_placement_is_stopped() {
    let mut desk = desk();
    step(&mut desk, 0.0, vec![Event::PlannerUp(1), submit("a", 1.0)]);
    take(&mut desk, 0.05, 1, &["a"]);
    assert_eq!(desk.next_wake(), Some(1.05));
    let out = step(&mut desk, 1.05, vec![]);
    assert!(
        matches!(
            &out[..],
            [
                Action::Tell(1, ToPlanner::Cancel { .. }),
                Action::Failed(..)
            ]
        ),
        "{out:?}"
    );
    let out = step(&mut desk, 1.2, vec![Event::Said(1, placed("a"))]);
    assert_eq!(
        out,
        [Action::Tell(1, ToPlanner::Cancel { uid: "a".into() })]
    );
}

#[test]
fn without_room_tasks_queue_and_are_refused_at_their_deadline() {
    let mut desk = desk();
    let events = (0..5)
        .map(|i| submit(&format!("t{i}"), 2.0))
        .chain([Event::PlannerUp(1)])
        .collect();
    let out = step(&mut desk, 0.0, events);
    assert_eq!(out.len(), 3, "the planner holds three: {out:?}");
    take(&mut desk, 0.2, 1, &["t0", "t1", "t2"]);
    let out = step(&mut desk, 0.5, vec![Event::Said(1, placed("t0"))]);
    assert!(
        matches!(&out[1], Action::Tell(1, ToPlanner::Place(ask)) if ask.uid == "t3" && ask.timeout == Some(1.5))
    );
    take(&mut desk, 0.6, 1, &["t3"]);
    let out = step(&mut desk, 2.0, vec![]);
    assert!(
        matches!(&out[..], [Action::Refused(uid, _)] if uid == "t4"),
        "{out:?}"
    );
}

#[test]
fn what_a_silent_planner_has_not_taken_goes_to_another_and_what_it_has_is_answered_truthfully() {
    let mut desk = desk();
    let safe = Event::Submit(ask("safe"), 6.0, true);
    step(
        &mut desk,
        0.0,
        vec![Event::PlannerUp(1), safe, submit("unsafe", 6.0)],
    );
    take(&mut desk, 0.1, 1, &["safe", "unsafe"]);
    // It stands still from here on; what comes now lies in its socket.
    step(&mut desk, 0.2, vec![submit("late", 6.0)]);
    let out = step(&mut desk, 0.7, vec![]);
    assert_eq!(
        out,
        [Action::Tell(1, ToPlanner::Cancel { uid: "late".into() })],
        "nobody else is there"
    );
    let out = step(&mut desk, 0.8, vec![Event::PlannerUp(2)]);
    assert!(
        matches!(&out[..], [Action::Tell(2, ToPlanner::Place(ask))] if ask.uid == "late"),
        "{out:?}"
    );
    // It comes back and reads: its word on a task that was taken back gets no Go.
    let out = step(&mut desk, 0.9, vec![Event::Said(1, taken("late"))]);
    assert_eq!(
        out,
        [Action::Tell(1, ToPlanner::Cancel { uid: "late".into() })]
    );
    let out = step(&mut desk, 1.0, vec![Event::PlannerLost(1)]);
    assert!(
        out.iter()
            .any(|a| matches!(a, Action::Refused(uid, _) if uid == "safe")),
        "{out:?}"
    );
    assert!(
        out.iter()
            .any(|a| matches!(a, Action::Failed(uid, _) if uid == "unsafe")),
        "{out:?}"
    );
    let reap = Action::Tell(2, ToPlanner::Cancel { uid: "safe".into() });
    assert!(
        out.contains(&reap),
        "what may run of it holds no room: {out:?}"
    );
}

#[test]
fn while_all_planners_stand_still_nothing_is_answered_as_unknown_that_was_not_offered() {
    let mut desk = desk();
    let events = (0..3)
        .map(|i| submit(&format!("t{i}"), 2.0))
        .chain([Event::PlannerUp(1)])
        .collect();
    step(&mut desk, 0.0, events);
    step(&mut desk, 0.6, vec![]);
    step(&mut desk, 1.9, vec![Event::PlannerLost(1)]);
    let out = step(&mut desk, 2.0, vec![]);
    assert_eq!(
        out.iter()
            .filter(|a| matches!(a, Action::Refused(..)))
            .count(),
        3,
        "{out:?}"
    );
}

#[test]
fn a_task_is_nowhere_only_if_every_planner_is_sure() {
    let located = |desk: &mut Desk, words: Vec<(u64, Location)>| {
        let locate = Event::Locate {
            uid: "x".into(),
            tenant: "t".into(),
            name: "n".into(),
        };
        step(
            desk,
            0.0,
            vec![Event::PlannerUp(1), Event::PlannerUp(2), locate],
        );
        let said = |(p, found)| {
            Event::Said(
                p,
                ToEdge::Located {
                    uid: "x".into(),
                    location: found,
                },
            )
        };
        step(desk, 0.1, words.into_iter().map(said).collect())
    };
    let at = Location::At("n1".into());
    let both = located(
        &mut desk(),
        vec![(1, Location::NotFound), (2, Location::NotFound)],
    );
    assert_eq!(both, [Action::Located("x".into(), Location::NotFound)]);
    assert_eq!(
        located(&mut desk(), vec![(1, at.clone())]),
        [Action::Located("x".into(), at)]
    );
    let doubt = located(
        &mut desk(),
        vec![(1, Location::Unknown), (2, Location::NotFound)],
    );
    assert_eq!(doubt, [Action::Located("x".into(), Location::Unknown)]);
    let mut silent = desk();
    assert_eq!(located(&mut silent, vec![(1, Location::NotFound)]), []);
    assert_eq!(
        step(&mut silent, 1.0, vec![]),
        [Action::Located("x".into(), Location::Unknown)]
    );
}

#[derive(Clone, Debug)]
enum Do {
    Submit(u8),
    Up(u8),
    Lost(u8),
    Answer(u8, u8, u8),
    Cancel(u8),
    Wait,
}

fn any_do() -> impl Strategy<Value = Do> {
    prop_oneof![
        (0u8..12).prop_map(Do::Submit),
        (0u8..3).prop_map(Do::Up),
        (0u8..3).prop_map(Do::Lost),
        (0u8..3, 0u8..12, 0u8..7).prop_map(|(p, t, k)| Do::Answer(p, t, k)),
        (0u8..12).prop_map(Do::Cancel),
        Just(Do::Wait),
    ]
}

proptest! {
    /// Planners come, go, answer twice, late, or for what is not theirs: still one answer for each task, none
    /// missing after its deadline, and each task with one planner at a time.
    #[test]
    fn one_answer_for_each_task(steps in proptest::collection::vec(any_do(), 1..80)) {
        let mut desk = desk();
        let mut answers: BTreeMap<String, usize> = BTreeMap::new();
        let mut with: BTreeMap<String, u64> = BTreeMap::new();
        let mut cancelled: Vec<String> = Vec::new();
        let mut connections = [0u64; 3];
        let (mut now, mut next, mut submitted) = (0.0, 0, BTreeMap::new());
        let mut acts = |desk: &mut Desk, now: f64, events: Vec<Event>| {
            for action in step(desk, now, events) {
                match action {
                    Action::Placed(uid, _) | Action::Refused(uid, _) | Action::Failed(uid, _) => {
                        with.remove(&uid);
                        *answers.entry(uid).or_default() += 1;
                    }
                    Action::Tell(_, ToPlanner::Place(ask)) => {
                        assert!(!with.contains_key(&ask.uid), "{} was told to go elsewhere", ask.uid);
                    }
                    Action::Tell(planner, ToPlanner::Commit { uid, .. }) => {
                        assert!(with.insert(uid.clone(), planner).is_none(), "{uid} is with two");
                    }
                    _ => {}
                }
            }
            answers.clone()
        };
        for one in steps {
            now += 0.1;
            let event = match one {
                Do::Submit(t) => {
                    let uid = format!("t{t}");
                    if submitted.contains_key(&uid) {
                        continue;
                    }
                    submitted.insert(uid.clone(), now + 1.0);
                    submit(&uid, now + 1.0)
                }
                Do::Up(p) if connections[p as usize] == 0 => {
                    next += 1;
                    connections[p as usize] = next;
                    Event::PlannerUp(next)
                }
                Do::Lost(p) if connections[p as usize] != 0 => {
                    Event::PlannerLost(std::mem::take(&mut connections[p as usize]))
                }
                Do::Answer(p, t, kind) if connections[p as usize] != 0 => {
                    let uid = format!("t{t}");
                    let message = match kind {
                        0 => placed(&uid),
                        1 => ToEdge::Rejected { uid, reason: String::new(), retry_after: 0.0 },
                        2 => ToEdge::Failed { uid, reason: String::new() },
                        3..=5 => taken(&uid),
                        _ => ToEdge::Ended { uid, reason: TerminationReason::Succeeded },
                    };
                    Event::Said(connections[p as usize], message)
                }
                Do::Cancel(t) => {
                    cancelled.push(format!("t{t}"));
                    Event::Cancel(format!("t{t}"))
                }
                _ => {
                    acts(&mut desk, now, vec![]);
                    continue;
                }
            };
            acts(&mut desk, now, vec![event]);
        }
        let answers = acts(&mut desk, now + 10.0, vec![]);
        for uid in submitted.keys() {
            let count = answers.get(uid).copied().unwrap_or(0);
            let withdrawn = cancelled.contains(uid);
            prop_assert!(count == 1 || (count == 0 && withdrawn), "{} has {} answers", uid, count);
        }
        prop_assert_eq!(desk.open(), 0);
    }
}
