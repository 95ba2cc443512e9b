//! A dispatcher with small limits, and its events in short form.

use tidespur_api::task::PlacementRequest;
use tidespur_edge::dispatcher::{Action, Dispatcher, Event, Settings};
use tidespur_planner_protocol::ToEdge;

pub fn new_dispatcher() -> Dispatcher {
    Dispatcher::new(Settings {
        max_tasks_per_planner: 3,
        single_planner_per_service: false,
        answer_slack: 0.05,
        locate_timeout: 1.0,
        acknowledge_timeout: 0.5,
    })
}

pub fn request(uid: &str) -> PlacementRequest {
    PlacementRequest {
        uid: uid.into(),
        service: format!("s/{uid}"),
        ..PlacementRequest::default()
    }
}

pub fn step(dispatcher: &mut Dispatcher, now: f64, events: Vec<Event>) -> Vec<Action> {
    let mut actions = Vec::new();
    dispatcher.step(now, events, &mut actions);
    actions
}

/// A task that is not idempotent.
pub fn submitted(uid: &str, deadline: f64) -> Event {
    Event::TaskSubmitted {
        request: request(uid),
        deadline,
        is_idempotent: false,
    }
}

pub fn received(planner: u64, message: ToEdge) -> Event {
    Event::MessageReceived { planner, message }
}

pub fn acknowledged(uid: &str) -> ToEdge {
    ToEdge::Acknowledged { uid: uid.into() }
}

pub fn placed(uid: &str) -> ToEdge {
    ToEdge::Placed {
        uid: uid.into(),
        node: "n1".into(),
    }
}
