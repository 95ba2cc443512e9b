//! The dispatcher: one answer for each task, whatever planners do.

use proptest::prelude::*;
use std::collections::BTreeMap;
use tidespur_api::task::PlacementRequest;
use tidespur_edge::dispatcher::{Action, Dispatcher, Event, Settings};
use tidespur_planner_protocol::{Location, TerminationReason, ToEdge, ToPlanner};

fn dispatcher() -> Dispatcher {
    Dispatcher::new(Settings {
        max_tasks_per_planner: 3,
        single_planner_per_service: false,
        answer_slack: 0.05,
        locate_timeout: 1.0,
        acknowledge_timeout: 0.5,
    })
}

fn request(uid: &str) -> PlacementRequest {
    PlacementRequest {
        uid: uid.into(),
        service: format!("s/{uid}"),
        ..PlacementRequest::default()
    }
}

fn step(dispatcher: &mut Dispatcher, now: f64, events: Vec<Event>) -> Vec<Action> {
    let mut out = Vec::new();
    dispatcher.step(now, events, &mut out);
    out
}

fn submit(uid: &str, deadline: f64) -> Event {
    Event::TaskSubmitted {
        request: request(uid),
        deadline,
        is_idempotent: false,
    }
}

fn acknowledged(uid: &str) -> ToEdge {
    ToEdge::Acknowledged { uid: uid.into() }
}

/// The planner acknowledges these tasks and gets the commit for each.
fn acknowledge(dispatcher: &mut Dispatcher, now: f64, planner: u64, uids: &[&str]) {
    let events = uids
        .iter()
        .map(|uid| Event::MessageReceived {
            planner,
            message: acknowledged(uid),
        })
        .collect();
    let out = step(dispatcher, now, events);
    let commits = out
        .iter()
        .filter(|a| matches!(a, Action::SendToPlanner { planner: p, message: ToPlanner::Commit { .. } } if *p == planner));
    assert_eq!(commits.count(), uids.len(), "{out:?}");
}

fn placed(uid: &str) -> ToEdge {
    ToEdge::Placed {
        uid: uid.into(),
        node: "n1".into(),
    }
}

#[test]
fn tasks_of_a_lost_planner_fail_and_what_runs_goes_to_another() {
    let mut dispatcher = dispatcher();
    step(
        &mut dispatcher,
        0.0,
        vec![
            Event::PlannerConnected(1),
            submit("a", 5.0),
            submit("b", 5.0),
        ],
    );
    acknowledge(&mut dispatcher, 0.05, 1, &["a", "b"]);
    step(
        &mut dispatcher,
        0.1,
        vec![
            Event::MessageReceived {
                planner: 1,
                message: placed("a"),
            },
            Event::PlannerConnected(2),
        ],
    );
    let out = step(&mut dispatcher, 0.2, vec![Event::PlannerLost(1)]);
    assert!(
        out.iter()
            .any(|a| matches!(a, Action::MarkFailed { uid, .. } if uid == "b")),
        "{out:?}"
    );
    assert!(out.iter().any(
        |a| matches!(a, Action::SendToPlanner { planner: 2, message: ToPlanner::Adopt { request, node } } if request.uid == "a" && node == "n1")
    ));
    let out = step(
        &mut dispatcher,
        1.0,
        vec![Event::MessageReceived {
            planner: 2,
            message: ToEdge::Ended {
                uid: "a".into(),
                reason: TerminationReason::Succeeded,
            },
        }],
    );
    assert_eq!(
        out,
        [Action::MarkEnded {
            uid: "a".into(),
            reason: TerminationReason::Succeeded
        }]
    );
}

#[test]
fn what_runs_waits_for_a_planner_where_there_is_none() {
    let mut dispatcher = dispatcher();
    step(
        &mut dispatcher,
        0.0,
        vec![Event::PlannerConnected(1), submit("a", 5.0)],
    );
    acknowledge(&mut dispatcher, 0.05, 1, &["a"]);
    step(
        &mut dispatcher,
        0.1,
        vec![Event::MessageReceived {
            planner: 1,
            message: placed("a"),
        }],
    );
    assert_eq!(step(&mut dispatcher, 0.2, vec![Event::PlannerLost(1)]), []);
    let out = step(&mut dispatcher, 9.0, vec![Event::PlannerConnected(2)]);
    assert!(
        matches!(
            &out[..],
            [Action::SendToPlanner {
                planner: 2,
                message: ToPlanner::Adopt { .. }
            }]
        ),
        "{out:?}"
    );
}

#[test]
fn a_planner_that_hangs_is_answered_for_and_its_late_placement_is_stopped() {
    let mut dispatcher = dispatcher();
    step(
        &mut dispatcher,
        0.0,
        vec![Event::PlannerConnected(1), submit("a", 1.0)],
    );
    acknowledge(&mut dispatcher, 0.05, 1, &["a"]);
    assert_eq!(dispatcher.next_wake(), Some(1.05));
    let out = step(&mut dispatcher, 1.05, vec![]);
    assert!(
        matches!(
            &out[..],
            [
                Action::SendToPlanner {
                    planner: 1,
                    message: ToPlanner::Cancel { .. }
                },
                Action::MarkFailed { .. }
            ]
        ),
        "{out:?}"
    );
    let out = step(
        &mut dispatcher,
        1.2,
        vec![Event::MessageReceived {
            planner: 1,
            message: placed("a"),
        }],
    );
    assert_eq!(
        out,
        [Action::SendToPlanner {
            planner: 1,
            message: ToPlanner::Cancel { uid: "a".into() }
        }]
    );
}

#[test]
fn without_room_tasks_queue_and_are_refused_at_their_deadline() {
    let mut dispatcher = dispatcher();
    let events = (0..5)
        .map(|i| submit(&format!("t{i}"), 2.0))
        .chain([Event::PlannerConnected(1)])
        .collect();
    let out = step(&mut dispatcher, 0.0, events);
    assert_eq!(out.len(), 3, "the planner holds three: {out:?}");
    acknowledge(&mut dispatcher, 0.2, 1, &["t0", "t1", "t2"]);
    let out = step(
        &mut dispatcher,
        0.5,
        vec![Event::MessageReceived {
            planner: 1,
            message: placed("t0"),
        }],
    );
    assert!(
        matches!(&out[1], Action::SendToPlanner { planner: 1, message: ToPlanner::Place(request) } if request.uid == "t3" && request.timeout == Some(1.5))
    );
    acknowledge(&mut dispatcher, 0.6, 1, &["t3"]);
    let out = step(&mut dispatcher, 2.0, vec![]);
    assert!(
        matches!(&out[..], [Action::MarkRejected { uid, .. }] if uid == "t4"),
        "{out:?}"
    );
}

#[test]
fn what_a_silent_planner_has_not_taken_goes_to_another_and_what_it_has_is_answered_truthfully() {
    let mut dispatcher = dispatcher();
    let safe = Event::TaskSubmitted {
        request: request("safe"),
        deadline: 6.0,
        is_idempotent: true,
    };
    step(
        &mut dispatcher,
        0.0,
        vec![Event::PlannerConnected(1), safe, submit("unsafe", 6.0)],
    );
    acknowledge(&mut dispatcher, 0.1, 1, &["safe", "unsafe"]);
    // It stands still from here on; what comes now lies in its socket.
    step(&mut dispatcher, 0.2, vec![submit("late", 6.0)]);
    let out = step(&mut dispatcher, 0.7, vec![]);
    assert_eq!(
        out,
        [Action::SendToPlanner {
            planner: 1,
            message: ToPlanner::Cancel { uid: "late".into() }
        }],
        "nobody else is there"
    );
    let out = step(&mut dispatcher, 0.8, vec![Event::PlannerConnected(2)]);
    assert!(
        matches!(&out[..], [Action::SendToPlanner { planner: 2, message: ToPlanner::Place(request) }] if request.uid == "late"),
        "{out:?}"
    );
    // It comes back and reads: its acknowledgement of a task that was withdrawn gets no commit.
    let out = step(
        &mut dispatcher,
        0.9,
        vec![Event::MessageReceived {
            planner: 1,
            message: acknowledged("late"),
        }],
    );
    assert_eq!(
        out,
        [Action::SendToPlanner {
            planner: 1,
            message: ToPlanner::Cancel { uid: "late".into() }
        }]
    );
    let out = step(&mut dispatcher, 1.0, vec![Event::PlannerLost(1)]);
    assert!(
        out.iter()
            .any(|a| matches!(a, Action::MarkRejected { uid, .. } if uid == "safe")),
        "{out:?}"
    );
    assert!(
        out.iter()
            .any(|a| matches!(a, Action::MarkFailed { uid, .. } if uid == "unsafe")),
        "{out:?}"
    );
    let cancel = Action::SendToPlanner {
        planner: 2,
        message: ToPlanner::Cancel { uid: "safe".into() },
    };
    assert!(
        out.contains(&cancel),
        "what may run of it holds no room: {out:?}"
    );
}

#[test]
fn while_all_planners_stand_still_nothing_is_answered_as_unknown_that_was_not_offered() {
    let mut dispatcher = dispatcher();
    let events = (0..3)
        .map(|i| submit(&format!("t{i}"), 2.0))
        .chain([Event::PlannerConnected(1)])
        .collect();
    step(&mut dispatcher, 0.0, events);
    step(&mut dispatcher, 0.6, vec![]);
    step(&mut dispatcher, 1.9, vec![Event::PlannerLost(1)]);
    let out = step(&mut dispatcher, 2.0, vec![]);
    assert_eq!(
        out.iter()
            .filter(|a| matches!(a, Action::MarkRejected { .. }))
            .count(),
        3,
        "{out:?}"
    );
}

#[test]
fn a_task_is_nowhere_only_if_every_planner_is_sure() {
    let located = |dispatcher: &mut Dispatcher, answers: Vec<(u64, Location)>| {
        let locate = Event::LocateRequested {
            uid: "x".into(),
            tenant: "t".into(),
            name: "n".into(),
        };
        step(
            dispatcher,
            0.0,
            vec![
                Event::PlannerConnected(1),
                Event::PlannerConnected(2),
                locate,
            ],
        );
        let located = |(p, found)| Event::MessageReceived {
            planner: p,
            message: ToEdge::Located {
                uid: "x".into(),
                location: found,
            },
        };
        step(dispatcher, 0.1, answers.into_iter().map(located).collect())
    };
    let at = Location::At("n1".into());
    let both = located(
        &mut dispatcher(),
        vec![(1, Location::NotFound), (2, Location::NotFound)],
    );
    assert_eq!(
        both,
        [Action::ReportLocation {
            uid: "x".into(),
            location: Location::NotFound
        }]
    );
    assert_eq!(
        located(&mut dispatcher(), vec![(1, at.clone())]),
        [Action::ReportLocation {
            uid: "x".into(),
            location: at
        }]
    );
    let doubt = located(
        &mut dispatcher(),
        vec![(1, Location::Unknown), (2, Location::NotFound)],
    );
    assert_eq!(
        doubt,
        [Action::ReportLocation {
            uid: "x".into(),
            location: Location::Unknown
        }]
    );
    let mut silent = dispatcher();
    assert_eq!(located(&mut silent, vec![(1, Location::NotFound)]), []);
    assert_eq!(
        step(&mut silent, 1.0, vec![]),
        [Action::ReportLocation {
            uid: "x".into(),
            location: Location::Unknown
        }]
    );
}

#[derive(Clone, Debug)]
enum Step {
    Submit(u8),
    Up(u8),
    Lost(u8),
    Answer(u8, u8, u8),
    Cancel(u8),
    Wait,
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0u8..12).prop_map(Step::Submit),
        (0u8..3).prop_map(Step::Up),
        (0u8..3).prop_map(Step::Lost),
        (0u8..3, 0u8..12, 0u8..7).prop_map(|(p, t, k)| Step::Answer(p, t, k)),
        (0u8..12).prop_map(Step::Cancel),
        Just(Step::Wait),
    ]
}

proptest! {
    /// Planners come, go, answer twice, late, or for what is not theirs: still one answer for each task, none
    /// missing after its deadline, and each task with one planner at a time.
    #[test]
    fn one_answer_for_each_task(steps in proptest::collection::vec(any_step(), 1..80)) {
        let mut dispatcher = dispatcher();
        let mut answers: BTreeMap<String, usize> = BTreeMap::new();
        let mut with: BTreeMap<String, u64> = BTreeMap::new();
        let mut cancelled: Vec<String> = Vec::new();
        let mut connections = [0u64; 3];
        let (mut now, mut next, mut submitted) = (0.0, 0, BTreeMap::new());
        let mut acts = |dispatcher: &mut Dispatcher, now: f64, events: Vec<Event>| {
            for action in step(dispatcher, now, events) {
                match action {
                    Action::MarkPlaced { uid, .. } | Action::MarkRejected { uid, .. } | Action::MarkFailed { uid, .. } => {
                        with.remove(&uid);
                        *answers.entry(uid).or_default() += 1;
                    }
                    Action::SendToPlanner { message: ToPlanner::Place(request), .. } => {
                        assert!(!with.contains_key(&request.uid), "{} is assigned to another planner", request.uid);
                    }
                    Action::SendToPlanner { planner, message: ToPlanner::Commit { uid, .. } } => {
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
                Step::Submit(t) => {
                    let uid = format!("t{t}");
                    if submitted.contains_key(&uid) {
                        continue;
                    }
                    submitted.insert(uid.clone(), now + 1.0);
                    submit(&uid, now + 1.0)
                }
                Step::Up(p) if connections[p as usize] == 0 => {
                    next += 1;
                    connections[p as usize] = next;
                    Event::PlannerConnected(next)
                }
                Step::Lost(p) if connections[p as usize] != 0 => {
                    Event::PlannerLost(std::mem::take(&mut connections[p as usize]))
                }
                Step::Answer(p, t, kind) if connections[p as usize] != 0 => {
                    let uid = format!("t{t}");
                    let message = match kind {
                        0 => placed(&uid),
                        1 => ToEdge::Rejected { uid, reason: String::new(), retry_after: 0.0 },
                        2 => ToEdge::Failed { uid, reason: String::new() },
                        3..=5 => acknowledged(&uid),
                        _ => ToEdge::Ended { uid, reason: TerminationReason::Succeeded },
                    };
                    Event::MessageReceived { planner: connections[p as usize], message }
                }
                Step::Cancel(t) => {
                    cancelled.push(format!("t{t}"));
                    Event::TaskCancelled { uid: format!("t{t}") }
                }
                _ => {
                    acts(&mut dispatcher, now, vec![]);
                    continue;
                }
            };
            acts(&mut dispatcher, now, vec![event]);
        }
        let answers = acts(&mut dispatcher, now + 10.0, vec![]);
        for uid in submitted.keys() {
            let count = answers.get(uid).copied().unwrap_or(0);
            let withdrawn = cancelled.contains(uid);
            prop_assert!(count == 1 || (count == 0 && withdrawn), "{} has {} answers", uid, count);
        }
        prop_assert_eq!(dispatcher.open_tasks(), 0);
    }
}
