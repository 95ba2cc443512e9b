//! Property test of the dispatcher: each task gets exactly one answer, whatever planners do.

#[path = "common/dispatcher.rs"]
mod common;

use common::{acknowledged, new_dispatcher, placed, received, step, submitted};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use tidespur_edge::dispatcher::{Action, Dispatcher, Event};
use tidespur_planner_protocol::{TerminationReason, ToEdge, ToPlanner};

/// How long owners wait for the answer, in seconds.
const TIMEOUT: f64 = 1.0;

#[derive(Clone, Debug)]
enum Step {
    Submit(u8),
    Connect(u8),
    Lose(u8),
    Answer(u8, u8, u8),
    Cancel(u8),
    Wait,
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0u8..12).prop_map(Step::Submit),
        (0u8..3).prop_map(Step::Connect),
        (0u8..3).prop_map(Step::Lose),
        (0u8..3, 0u8..12, 0u8..7)
            .prop_map(|(planner, task, kind)| Step::Answer(planner, task, kind)),
        (0u8..12).prop_map(Step::Cancel),
        Just(Step::Wait),
    ]
}

/// A message of a planner about a task; `kind` ranges from 0 to 6.
fn answer(uid: String, kind: u8) -> ToEdge {
    match kind {
        0 => placed(&uid),
        1 => ToEdge::Rejected {
            uid,
            reason: String::new(),
            retry_after: 0.0,
        },
        2 => ToEdge::Failed {
            uid,
            reason: String::new(),
        },
        3..=5 => acknowledged(&uid),
        _ => ToEdge::Ended {
            uid,
            reason: TerminationReason::Succeeded,
        },
    }
}

/// A dispatcher with planners that connect and get lost, and the actions that it has taken.
struct Scenario {
    dispatcher: Dispatcher,
    now: f64,
    /// Connection of each planner; 0 if it is not connected.
    connections: [u64; 3],
    last_connection: u64,
    submitted: BTreeSet<String>,
    cancelled: BTreeSet<String>,
    /// Number of answers of each task.
    answers: BTreeMap<String, usize>,
    /// Planner with the commit for each task that has no answer yet.
    assigned: BTreeMap<String, u64>,
}

impl Scenario {
    fn new() -> Self {
        Self {
            dispatcher: new_dispatcher(),
            now: 0.0,
            connections: [0; 3],
            last_connection: 0,
            submitted: BTreeSet::new(),
            cancelled: BTreeSet::new(),
            answers: BTreeMap::new(),
            assigned: BTreeMap::new(),
        }
    }

    /// The event of a step; `None` if it does not apply or only lets time pass.
    fn event(&mut self, step: &Step) -> Option<Event> {
        match *step {
            Step::Submit(task) => {
                let uid = format!("t{task}");
                let is_new = self.submitted.insert(uid.clone());
                is_new.then(|| submitted(&uid, self.now + TIMEOUT))
            }
            Step::Connect(planner) if self.connections[planner as usize] == 0 => {
                self.last_connection += 1;
                self.connections[planner as usize] = self.last_connection;
                Some(Event::PlannerConnected(self.last_connection))
            }
            Step::Lose(planner) if self.connections[planner as usize] != 0 => {
                let connection = std::mem::take(&mut self.connections[planner as usize]);
                Some(Event::PlannerLost(connection))
            }
            Step::Answer(planner, task, kind) if self.connections[planner as usize] != 0 => {
                let connection = self.connections[planner as usize];
                Some(received(connection, answer(format!("t{task}"), kind)))
            }
            Step::Cancel(task) => {
                let uid = format!("t{task}");
                self.cancelled.insert(uid.clone());
                Some(Event::TaskCancelled { uid })
            }
            _ => None,
        }
    }

    fn step(&mut self, events: Vec<Event>) {
        for action in step(&mut self.dispatcher, self.now, events) {
            match action {
                Action::MarkPlaced { uid, .. }
                | Action::MarkRejected { uid, .. }
                | Action::MarkFailed { uid, .. } => {
                    self.assigned.remove(&uid);
                    *self.answers.entry(uid).or_default() += 1;
                }
                Action::SendToPlanner {
                    message: ToPlanner::Place(request),
                    ..
                } => {
                    let uid = request.uid;
                    let is_assigned = self.assigned.contains_key(&uid);
                    assert!(!is_assigned, "{uid} is assigned to another planner");
                }
                Action::SendToPlanner {
                    planner,
                    message: ToPlanner::Commit { uid, .. },
                } => {
                    let previous = self.assigned.insert(uid.clone(), planner);
                    assert!(previous.is_none(), "{uid} is committed to two planners");
                }
                _ => {}
            }
        }
    }
}

proptest! {
    /// Planners connect, get lost, and answer twice, late, or for tasks of other planners. Each task must still have
    /// exactly one answer after its deadline, and be with at most one planner at a time.
    #[test]
    fn one_answer_for_each_task(steps in proptest::collection::vec(any_step(), 1..80)) {
        let mut scenario = Scenario::new();
        for step in steps {
            scenario.now += 0.1;
            let event = scenario.event(&step);
            scenario.step(event.into_iter().collect());
        }
        scenario.now += 10.0;
        scenario.step(vec![]);
        for uid in &scenario.submitted {
            let count = scenario.answers.get(uid).copied().unwrap_or(0);
            let is_cancelled = scenario.cancelled.contains(uid);
            prop_assert!(count == 1 || (count == 0 && is_cancelled), "{} has {} answers", uid, count);
        }
        prop_assert_eq!(scenario.dispatcher.open_tasks(), 0);
    }
}
