//! The planner count that an edge sends under a lease. A count with an older fencing token is rejected, also after a
//! restart of the planner. The count divides the planner's offers to nodes in slow start.

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

fn stored_records(batch: &Batch) -> LoadedRecords {
    let mut records = LoadedRecords {
        generation: 1,
        ..LoadedRecords::default()
    };
    for (record, value) in batch.changes() {
        records
            .records
            .extend(value.map(|value| (record.clone(), value.to_vec())));
    }
    records
}

/// A planner restarted with these records.
fn restarted_planner(records: &LoadedRecords) -> Core {
    let core = Core::new(parse("built-in", DEFAULT_CONFIG).unwrap(), 0, "", 1).unwrap();
    core.with_restored_state(Attempts::load(records).unwrap(), Fence::load(records))
}

fn receive_count(core: &mut Core, lease: &str, token: u64, planners: u32) -> Vec<Output> {
    let message = ToPlanner::PlannerCount {
        lease: lease.into(),
        token,
        planners,
    };
    let mut outputs = Vec::new();
    core.step(1.0, vec![Input::EdgeMessage(EDGE, message)], &mut outputs);
    outputs.retain(|output| matches!(output, Output::SetPlannerCount(_) | Output::SendToEdge(..)));
    outputs
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
fn an_older_token_is_rejected_also_after_a_restart() {
    let mut core = restarted_planner(&LoadedRecords::default());
    assert_eq!(
        receive_count(&mut core, "fleet", 3, 2),
        [Output::SetPlannerCount(2)]
    );
    let records = stored_records(&core.take_batch());
    assert_eq!(receive_count(&mut core, "fleet", 2, 1), stale(2, 3));
    assert_eq!(
        receive_count(&mut core, "fleet", 3, 4),
        [Output::SetPlannerCount(4)],
        "the holder of the newest token may send again"
    );
    assert_eq!(
        receive_count(&mut core, "another", 1, 4),
        [Output::SetPlannerCount(4)],
        "tokens of different leases are independent"
    );
    let mut restarted = restarted_planner(&records);
    assert_eq!(
        receive_count(&mut restarted, "fleet", 2, 1),
        stale(2, 3),
        "the newest token is restored"
    );
    assert_eq!(
        receive_count(&mut restarted, "fleet", 4, 1),
        [Output::SetPlannerCount(1)]
    );
}

/// Number of offers to one node in slow start within three seconds. Each offer ends without being sent.
fn offer_count(planners: u32) -> usize {
    let mut core = restarted_planner(&LoadedRecords::default());
    let node = json!({"metadata": {"name": "a", "labels": {"node.kubernetes.io/instance-type": "std-24"},
        "annotations": {"node.tidespur.dev/address": "a:1", "node.tidespur.dev/up-since": "999"}},
        "status": {"allocatable": {"cpu": "24", "memory": "48Gi"}}});
    let mut inputs = vec![
        Input::NodesListed(vec![node]),
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
        let request = PlacementRequest {
            uid: uid.clone(),
            name: uid.clone(),
            tenant: "default".into(),
            class: "termin-web".into(),
            service: format!("default/{uid}"),
            cores: 0.1,
            memory: 0.1,
            ..PlacementRequest::default()
        };
        inputs.push(Input::EdgeMessage(EDGE, ToPlanner::Place(request)));
        inputs.push(Input::EdgeMessage(
            EDGE,
            ToPlanner::Commit { uid, timeout: 5.0 },
        ));
        let mut outputs = Vec::new();
        core.step(now, std::mem::take(&mut inputs), &mut outputs);
        for output in outputs {
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
fn the_planner_count_divides_the_offers_to_nodes_in_slow_start() {
    let [one, eight, hundred] = [1, 8, 100].map(offer_count);
    assert!(
        one > 2 * eight && eight >= 2 && hundred <= 1,
        "{one}, {eight}, {hundred} offers"
    );
}
