//! How many share what cold nodes bear, as an edge says it under a lease: an older word is refused by name, also over the
//! planner's end, and what is said divides what this planner offers to cold nodes.

use serde_json::json;
use tidespur_api::task::PlacementRequest;
use tidespur_config::{DEFAULT_CONFIG, parse};
use tidespur_coordination::Fence;
use tidespur_persistence::{Batch, LoadedRecords};
use tidespur_planner::attempts::Attempts;
use tidespur_planner::core::{Core, Input, Offer, OfferAnswer, Output};
use tidespur_planner::task_table::EdgeId;
use tidespur_planner_protocol::{ToEdge, ToPlanner};
use tidespur_policy::interface::AttemptOutcome;

const EDGE: EdgeId = EdgeId(1);

fn after(batch: &Batch) -> LoadedRecords {
    let mut back = LoadedRecords {
        generation: 1,
        ..LoadedRecords::default()
    };
    for (record, value) in batch.changes() {
        back.records
            .extend(value.map(|value| (record.clone(), value.to_vec())));
    }
    back
}

/// A planner that comes back with this memory.
fn planner(memory: &LoadedRecords) -> Core {
    let core = Core::new(parse("built-in", DEFAULT_CONFIG).unwrap(), 0, "", 1).unwrap();
    core.with_restored_state(Attempts::load(memory).unwrap(), Fence::load(memory))
}

fn hears(core: &mut Core, lease: &str, token: u64, planners: u32) -> Vec<Output> {
    let word = ToPlanner::PlannerCount {
        lease: lease.into(),
        token,
        planners,
    };
    let mut out = Vec::new();
    core.step(1.0, vec![Input::EdgeMessage(EDGE, word)], &mut out);
    out.retain(|output| matches!(output, Output::SetPlannerCount(_) | Output::SendToEdge(..)));
    out
}

fn stale(token: u64, newest: u64) -> [Output; 1] {
    [Output::SendToEdge(
        EDGE,
        ToEdge::StaleToken {
            lease: "fleet".into(),
            token,
            newest,
        },
    )]
}

#[test]
fn an_older_token_is_refused_by_name_also_after_a_return() {
    let mut core = planner(&LoadedRecords::default());
    assert_eq!(
        hears(&mut core, "fleet", 3, 2),
        [Output::SetPlannerCount(2)]
    );
    let memory = after(&core.take_batch());
    assert_eq!(hears(&mut core, "fleet", 2, 1), stale(2, 3));
    assert_eq!(
        hears(&mut core, "fleet", 3, 4),
        [Output::SetPlannerCount(4)],
        "the same holder goes on"
    );
    assert_eq!(
        hears(&mut core, "another", 1, 4),
        [Output::SetPlannerCount(4)],
        "each lease has tokens of its own"
    );
    let mut back = planner(&memory);
    assert_eq!(
        hears(&mut back, "fleet", 2, 1),
        stale(2, 3),
        "the fence outlives the process"
    );
    assert_eq!(
        hears(&mut back, "fleet", 4, 1),
        [Output::SetPlannerCount(1)]
    );
}

/// Offers to one cold node in three seconds, of a planner that shares with so many; each is over at once.
fn offers(planners: u32) -> usize {
    let mut core = planner(&LoadedRecords::default());
    let cold = json!({"metadata": {"name": "a", "labels": {"node.kubernetes.io/instance-type": "std-24"},
        "annotations": {"node.tidespur.dev/address": "a:1", "node.tidespur.dev/up-since": "999"}},
        "status": {"allocatable": {"cpu": "24", "memory": "48Gi"}}});
    let mut inputs = vec![
        Input::NodesListed(vec![cold]),
        Input::PodsListed {
            node: "a".into(),
            pods: vec![],
        },
    ];
    core.set_planner_count(planners);
    let (mut now, mut offers, mut next) = (1_000.0, 0, 0);
    while now < 1_003.0 {
        let uid = format!("t-{next}");
        next += 1;
        let ask = PlacementRequest {
            uid: uid.clone(),
            name: uid.clone(),
            tenant: "default".into(),
            class: "termin-web".into(),
            service: format!("default/{uid}"),
            cores: 0.1,
            memory: 0.1,
            ..PlacementRequest::default()
        };
        inputs.push(Input::EdgeMessage(EDGE, ToPlanner::Place(ask)));
        inputs.push(Input::EdgeMessage(
            EDGE,
            ToPlanner::Commit { uid, timeout: 5.0 },
        ));
        let mut out = Vec::new();
        core.step(now, std::mem::take(&mut inputs), &mut out);
        for output in out {
            if let Output::Offer(Offer { task, attempt, .. }) = output {
                offers += 1;
                let answer = OfferAnswer::NotAccepted {
                    outcome: AttemptOutcome::NeverSent,
                    message: String::new(),
                    report: None,
                };
                inputs.push(Input::OfferAnswered {
                    task,
                    attempt,
                    answer,
                });
            }
        }
        now += 0.05;
    }
    offers
}

#[test]
fn what_is_said_divides_what_a_planner_offers_to_cold_nodes() {
    let [alone, eight, hundred] = [1, 8, 100].map(offers);
    assert!(
        alone > 2 * eight && eight >= 2 && hundred <= 1,
        "{alone}, {eight}, {hundred} offers"
    );
}
