//! Diagnoses, the publisher's updates, and the edge's records and status updates.

use proptest::prelude::*;
use std::sync::Arc;
use tidespur_pending::{
    Diagnosis, PendingRecord, PendingRecords, ReasonCode, ReasonDraft, ReasonPublisher,
    ReasonSource, ReasonUpdate, Settings, SpreadLimit,
};
use tidespur_units::Resources;

fn diagnosis(nodes: u32, rejections: &[(ReasonCode, u32)]) -> Arc<Diagnosis> {
    Arc::new(Diagnosis {
        node_count: nodes,
        rejections: rejections.iter().copied().collect(),
        ..Diagnosis::default()
    })
}

fn update(uid: &str, diagnosis: &Arc<Diagnosis>) -> ReasonUpdate {
    ReasonUpdate {
        uid: uid.into(),
        diagnosis: diagnosis.clone(),
        offered_to: None,
        node_answers: vec![],
        sendable_for: 5.0,
        next_attempt_in: 0.05,
    }
}

fn draft(update: &ReasonUpdate) -> ReasonDraft<'_> {
    ReasonDraft {
        uid: &update.uid,
        diagnosis: &update.diagnosis,
        offered_to: update.offered_to.as_deref(),
        node_answers: &update.node_answers,
        sendable_for: update.sendable_for,
        next_attempt_in: update.next_attempt_in,
    }
}

fn record(pod: &str) -> PendingRecord {
    PendingRecord {
        namespace: "default".into(),
        pod: pod.into(),
        service: "default/job".into(),
        class: "termin-web".into(),
        requested: Resources::new(1.0, 2.0),
        since: 0.0,
        updated_at: 0.0,
        codes: vec![],
        message: String::new(),
        hint: None,
        last_update: None,
        spans: Default::default(),
    }
}

fn records() -> PendingRecords {
    PendingRecords::new(Settings {
        max_records: 3,
        ..Settings::default()
    })
}

#[test]
fn message_counts_rejections_by_reason_and_hint_names_the_nearest_node() {
    let mut diagnosis = Diagnosis {
        node_count: 6,
        ..Diagnosis::default()
    };
    diagnosis.add_rejection("n1", "a", ReasonCode::Draining, 0.0);
    diagnosis.add_rejection("n2", "a", ReasonCode::Memory, 2.5);
    diagnosis.add_rejection("n3", "b", ReasonCode::Memory, 7.0);
    diagnosis.add_rejection("n4", "b", ReasonCode::Spread, 0.0);
    diagnosis.spread_limit = Some(SpreadLimit {
        domain: "rack".into(),
        max_tasks: 3,
    });
    assert_eq!(
        diagnosis.message(),
        "2/6 nodes are available: 2 no memory, 1 draining, 1 rack limit of the service (3)"
    );
    assert_eq!(
        diagnosis.hint().unwrap(),
        "2.5 memory units more free on n2 in a"
    );
    assert_eq!(diagnosis.codes().first(), Some(&ReasonCode::Memory));
    assert_eq!(
        diagnosis.zones_of(ReasonCode::Memory).collect::<Vec<_>>(),
        ["a", "b"]
    );
    assert_eq!(
        diagnosis.zones_of(ReasonCode::Spread).collect::<Vec<_>>(),
        ["b"]
    );
    diagnosis.blocker = Some(ReasonCode::MayHaveRun);
    assert!(diagnosis.message().starts_with("can't be sent"));
}

/// A rack that fills, frees and fills again within a second must not add a span or a status update each time.
#[test]
fn recurring_reason_extends_its_span_and_status_updates_are_rate_limited() {
    let mut records = records();
    records.open(0.0, "u", record("p"));
    for (at, code) in [
        (0.1, ReasonCode::Spread),
        (0.4, ReasonCode::Memory),
        (0.7, ReasonCode::Spread),
    ] {
        records.apply_update(at, update("u", &diagnosis(4, &[(code, 4)])));
    }
    let record = records.find("default", "p").unwrap();
    assert_eq!(record.codes, [ReasonCode::Spread]);
    let spread = record
        .spans
        .iter()
        .find(|span| span.code == ReasonCode::Spread)
        .unwrap();
    assert_eq!(
        (
            spread.count,
            spread.first_seen,
            spread.last_seen,
            spread.is_over
        ),
        (2, 0.1, 0.7, false)
    );
    let memory = record
        .spans
        .iter()
        .find(|span| span.code == ReasonCode::Memory)
        .unwrap();
    assert!(memory.is_over && memory.last_seen == 0.4);
    // After the first status update the next one is due no earlier than a second later.
    assert_eq!(records.due_updates(0.7).len(), 1);
    records.apply_update(0.9, update("u", &diagnosis(4, &[(ReasonCode::Cores, 4)])));
    assert_eq!(records.due_updates(1.0), []);
    let write = &records.due_updates(1.8)[0];
    assert_eq!((write.code, write.count), (ReasonCode::Cores, 2));
    assert_eq!(records.due_updates(9.0), [], "nothing has changed");
}

#[test]
fn node_rejections_and_policy_reasons_are_reported_with_their_sources() {
    let mut records = records();
    records.open(0.0, "u", record("p"));
    let mut rejected = update(
        "u",
        &diagnosis(2, &[(ReasonCode::Memory, 1), (ReasonCode::SetAside, 1)]),
    );
    rejected.node_answers.push(("n1".into(), "OutOfcpu".into()));
    records.apply_update(0.5, rejected);
    let record = records.find("default", "p").unwrap();
    let source = |code: ReasonCode| {
        record
            .spans
            .iter()
            .find(|span| span.code == code)
            .map(|span| span.source)
    };
    assert_eq!(source(ReasonCode::NodeRefused), Some(ReasonSource::Node));
    assert_eq!(source(ReasonCode::Memory), Some(ReasonSource::Policy));
    assert!(
        record.message.ends_with("n1 answered: OutOfcpu"),
        "{}",
        record.message
    );
}

#[test]
fn reasons_of_a_lost_planner_are_replaced_by_the_edges_reason() {
    let mut records = records();
    records.open(0.0, "u", record("p"));
    records.apply_update(0.5, update("u", &diagnosis(2, &[(ReasonCode::Memory, 2)])));
    records.set_edge_reason(0.8, "u", ReasonCode::NoPlanner);
    let record = records.find("default", "p").unwrap();
    assert_eq!(
        (record.codes.as_slice(), record.last_update.is_none()),
        (&[ReasonCode::NoPlanner][..], true)
    );
    assert_eq!(record.spans.len(), 2, "the history is kept");
}

#[test]
fn closed_records_can_be_queried_and_the_record_limit_holds() {
    let mut records = records();
    for uid in ["a", "b", "c", "d"] {
        records.open(0.0, uid, record(uid));
    }
    assert_eq!((records.len(), records.unrecorded_count()), (3, 1));
    let shared = diagnosis(2, &[(ReasonCode::Cores, 2)]);
    for uid in ["a", "b", "c", "d"] {
        records.apply_update(0.5, update(uid, &shared));
    }
    let all_totals = records.totals();
    let totals = &all_totals[&(
        "termin-web".to_owned(),
        "default".to_owned(),
        String::new(),
        ReasonCode::Cores,
    )];
    assert_eq!((totals.tasks, totals.cores, totals.memory), (3, 3.0, 6.0));
    records.close("a");
    let closed = records.find("default", "a").unwrap();
    assert!(closed.codes.is_empty() && closed.spans[0].is_over);
    assert_eq!(records.totals().values().next().unwrap().tasks, 2);
    // A planner's update that arrives after the record was closed is ignored.
    records.apply_update(0.6, update("a", &shared));
    assert_eq!(records.len(), 2);
}

proptest! {
    /// For any sequence of changes the updates per step are bounded, the reader knows the current reasons of every
    /// pending task within a bounded time, and no update is sent for a task that is no longer pending.
    #[test]
    fn reader_learns_all_current_reasons_in_bounded_time(
        changes in proptest::collection::vec((0usize..30, 0usize..4, any::<bool>()), 1..200),
    ) {
        let codes = [ReasonCode::Cores, ReasonCode::Memory, ReasonCode::Spread, ReasonCode::Draining];
        let mut publisher = ReasonPublisher::new(0.5, 2.0, 8);
        let mut pending: std::collections::BTreeMap<String, ReasonUpdate> = Default::default();
        let mut reader: std::collections::BTreeMap<String, ReasonUpdate> = Default::default();
        let mut now = 0.0;
        let mut step = |now: f64, pending: &std::collections::BTreeMap<String, ReasonUpdate>| {
            let updates = publisher.step(now, pending.values().map(draft));
            assert!(updates.len() <= 8);
            for update in updates {
                assert!(pending.contains_key(&update.uid));
                reader.insert(update.uid.clone(), update);
            }
            reader.clone()
        };
        for (task, code, is_pending) in changes {
            now += 0.05;
            let uid = format!("t{task}");
            match is_pending {
                true => drop(pending.insert(uid.clone(), update(&uid, &diagnosis(3, &[(codes[code], 3)])))),
                false => drop(pending.remove(&uid)),
            }
            step(now, &pending);
        }
        // Four steps send the updates of 30 tasks at 8 per step.
        for _ in 0..8 {
            now += 0.5;
            step(now, &pending);
        }
        let reader = step(now + 0.5, &pending);
        for (uid, update) in &pending {
            prop_assert!(reader.get(uid).is_some_and(|known| known.diagnosis.is_equivalent(&update.diagnosis)), "{}", uid);
        }
    }
}
