//! Why tasks are pending, as published to their edge.

#[path = "common/core.rs"]
mod core_simulation;

use core_simulation::{EDGE, SimulatedPlanner, node, published_reasons, request};
use serde_json::json;
use tidespur_api::task::PlacementRequest;
use tidespur_planner::core::Input;
use tidespur_planner_protocol::ToPlanner;

#[test]
fn pending_reasons_are_published_and_published_anew_when_they_change() {
    use tidespur_pending::ReasonCode;
    let mut planner = SimulatedPlanner::new(&["a"]);
    let large = |uid: &str| PlacementRequest {
        cores: 500.0,
        ..request(uid, "termin-web")
    };
    for uid in ["x", "y"] {
        planner.step(vec![Input::EdgeMessage(
            EDGE,
            ToPlanner::Place(PlacementRequest {
                service: "default/s".into(),
                ..large(uid)
            }),
        )]);
        planner.step(vec![Input::EdgeMessage(
            EDGE,
            ToPlanner::Commit {
                uid: uid.into(),
                timeout: 30.0,
            },
        )]);
    }
    planner.now += 0.3;
    let words = published_reasons(&planner.step(vec![Input::Tick]));
    assert_eq!(
        words.iter().map(|w| w.uid.as_str()).collect::<Vec<_>>(),
        ["x", "y"]
    );
    assert!(
        std::sync::Arc::ptr_eq(&words[0].diagnosis, &words[1].diagnosis),
        "equal tasks share one"
    );
    assert_eq!(words[0].codes(), [ReasonCode::Cores]);
    assert_eq!(
        words[0].diagnosis.message(),
        "0/1 nodes are available: 1 no cores"
    );
    // 24 cores, of which 2.5 times 0.97 are planned with.
    let nearest = words[0].diagnosis.nearest.clone().unwrap();
    assert!(
        (nearest.shortfall - (500.0 - 24.0 * 2.5 * 0.97)).abs() < 1e-6,
        "{nearest:?}"
    );
    planner.now += 0.3;
    assert_eq!(
        published_reasons(&planner.step(vec![Input::Tick])),
        [],
        "nothing has changed"
    );
    let mut drains = node("a");
    drains["spec"] = json!({"unschedulable": true});
    planner.step(vec![Input::NodeUpdated(drains)]);
    planner.now += 0.3;
    let words = published_reasons(&planner.step(vec![Input::Tick]));
    assert_eq!(
        words
            .iter()
            .map(tidespur_pending::ReasonUpdate::codes)
            .collect::<Vec<_>>(),
        [[ReasonCode::Draining]; 2]
    );
    // An edge that was lost and is back knows nothing: it is told of its new tasks as if for the first time.
    planner.step(vec![Input::EdgeDisconnected(EDGE)]);
    planner.step(vec![Input::EdgeMessage(EDGE, ToPlanner::Place(large("z")))]);
    planner.step(vec![Input::EdgeMessage(
        EDGE,
        ToPlanner::Commit {
            uid: "z".into(),
            timeout: 30.0,
        },
    )]);
    planner.now += 0.3;
    assert_eq!(
        published_reasons(&planner.step(vec![Input::Tick]))
            .iter()
            .map(|w| w.uid.as_str())
            .collect::<Vec<_>>(),
        ["z"]
    );
}
