//! Publication of the reasons why tasks are pending.

#[path = "common/core.rs"]
mod core_simulation;

use core_simulation::{EDGE, SimulatedPlanner, node, published_reasons, request};
use serde_json::json;
use tidespur_api::task::PlacementRequest;
use tidespur_planner::core::Input;
use tidespur_planner_protocol::ToPlanner;

#[test]
fn pending_reasons_are_published_and_published_again_when_they_change() {
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
    let updates = published_reasons(&planner.step(vec![Input::Tick]));
    assert_eq!(
        updates
            .iter()
            .map(|update| update.uid.as_str())
            .collect::<Vec<_>>(),
        ["x", "y"]
    );
    assert!(
        std::sync::Arc::ptr_eq(&updates[0].diagnosis, &updates[1].diagnosis),
        "tasks of the same shape share a diagnosis"
    );
    assert_eq!(updates[0].codes(), [ReasonCode::Cores]);
    assert_eq!(
        updates[0].diagnosis.message(),
        "0/1 nodes are available: 1 no cores"
    );
    // 24 cores, the CPU overcommit of 2.5, and the fraction 0.97 of it that the policy plans with.
    let nearest = updates[0].diagnosis.nearest.clone().unwrap();
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
    let mut draining = node("a");
    draining["spec"] = json!({"unschedulable": true});
    planner.step(vec![Input::NodeUpdated(draining)]);
    planner.now += 0.3;
    let updates = published_reasons(&planner.step(vec![Input::Tick]));
    assert_eq!(
        updates
            .iter()
            .map(tidespur_pending::ReasonUpdate::codes)
            .collect::<Vec<_>>(),
        [[ReasonCode::Draining]; 2]
    );
    // A reconnected edge has lost all reasons, so those of its new tasks are published in full.
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
            .map(|update| update.uid.as_str())
            .collect::<Vec<_>>(),
        ["z"]
    );
}
