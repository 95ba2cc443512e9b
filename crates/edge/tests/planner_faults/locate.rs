//! Queries for the location of a task, which are sent to all planners.

use crate::common::{new_dispatcher, received, step};
use tidespur_edge::dispatcher::{Action, Dispatcher, Event};
use tidespur_planner_protocol::{Location, ToEdge};

/// Sends a query to two planners, and delivers these answers.
fn locate(dispatcher: &mut Dispatcher, answers: Vec<(u64, Location)>) -> Vec<Action> {
    let query = Event::LocateRequested {
        uid: "x".into(),
        tenant: "t".into(),
        name: "n".into(),
    };
    let events = vec![
        Event::PlannerConnected(1),
        Event::PlannerConnected(2),
        query,
    ];
    step(dispatcher, 0.0, events);
    let mut events = Vec::new();
    for (planner, location) in answers {
        let uid = "x".into();
        events.push(received(planner, ToEdge::Located { uid, location }));
    }
    step(dispatcher, 0.1, events)
}

fn located(location: Location) -> Action {
    let uid = "x".into();
    Action::ReportLocation { uid, location }
}

#[test]
fn a_task_is_not_found_only_if_every_planner_answers_so() {
    let not_found = |planner| (planner, Location::NotFound);
    let at_node = Location::At("n1".into());

    let both = locate(&mut new_dispatcher(), vec![not_found(1), not_found(2)]);
    assert_eq!(both, [located(Location::NotFound)]);

    let one = locate(&mut new_dispatcher(), vec![(1, at_node.clone())]);
    assert_eq!(one, [located(at_node)]);

    let answers = vec![(1, Location::Unknown), not_found(2)];
    let uncertain = locate(&mut new_dispatcher(), answers);
    assert_eq!(uncertain, [located(Location::Unknown)]);

    let mut silent = new_dispatcher();
    assert_eq!(locate(&mut silent, vec![not_found(1)]), []);
    assert_eq!(step(&mut silent, 1.0, vec![]), [located(Location::Unknown)]);
}
