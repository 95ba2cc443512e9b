//! Records of why work waits: what travels, what is kept, what is written.

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
fn a_message_counts_nodes_by_what_ruled_them_out_and_the_nearest_tells_what_would_help() {
    let mut found = Diagnosis {
        node_count: 6,
        ..Diagnosis::default()
    };
    found.add_rejection("n1", "a", ReasonCode::Draining, 0.0);
    found.add_rejection("n2", "a", ReasonCode::Memory, 2.5);
    found.add_rejection("n3", "b", ReasonCode::Memory, 7.0);
    found.add_rejection("n4", "b", ReasonCode::Spread, 0.0);
    found.spread_limit = Some(SpreadLimit {
        domain: "rack".into(),
        max_tasks: 3,
    });
    assert_eq!(
        found.message(),
        "2/6 nodes are available: 2 no memory, 1 draining, 1 rack limit of the service (3)"
    );
    assert_eq!(
        found.hint().unwrap(),
        "2.5 memory units more free on n2 in a"
    );
    assert_eq!(found.codes().first(), Some(&ReasonCode::Memory));
    assert_eq!(
        found.zones_of(ReasonCode::Memory).collect::<Vec<_>>(),
        ["a", "b"]
    );
    assert_eq!(
        found.zones_of(ReasonCode::Spread).collect::<Vec<_>>(),
        ["b"]
    );
    found.blocker = Some(ReasonCode::MayHaveRun);
    assert!(found.message().starts_with("can't be sent"));
}

#[test]
fn a_rack_that_fills_frees_and_fills_again_within_a_second_is_one_span_seen_twice() {
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
    // One write at first, then not again within a second.
    assert_eq!(records.due_updates(0.7).len(), 1);
    records.apply_update(0.9, update("u", &diagnosis(4, &[(ReasonCode::Cores, 4)])));
    assert_eq!(records.due_updates(1.0), []);
    let write = &records.due_updates(1.8)[0];
    assert_eq!((write.code, write.count), (ReasonCode::Cores, 2));
    assert_eq!(records.due_updates(9.0), [], "nothing has changed");
}

#[test]
fn a_nodes_refusal_stands_beside_the_policys_choice_and_is_told_apart() {
    let mut records = records();
    records.open(0.0, "u", record("p"));
    let mut told = update(
        "u",
        &diagnosis(2, &[(ReasonCode::Memory, 1), (ReasonCode::SetAside, 1)]),
    );
    told.node_answers.push(("n1".into(), "OutOfcpu".into()));
    records.apply_update(0.5, told);
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
fn a_planner_that_is_lost_leaves_no_reason_of_its_own_behind() {
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
fn what_waits_no_longer_can_still_be_asked_about_and_bounds_hold() {
    let mut records = records();
    for uid in ["a", "b", "c", "d"] {
        records.open(0.0, uid, record(uid));
    }
    assert_eq!((records.len(), records.unrecorded_count()), (3, 1));
    let shared = diagnosis(2, &[(ReasonCode::Cores, 2)]);
    for uid in ["a", "b", "c", "d"] {
        records.apply_update(0.5, update(uid, &shared));
    }
    let fleet = records.totals();
    let held = &fleet[&(
        "termin-web".to_owned(),
        "default".to_owned(),
        String::new(),
        ReasonCode::Cores,
    )];
    assert_eq!((held.tasks, held.cores, held.memory), (3, 3.0, 6.0));
    records.close("a");
    let past = records.find("default", "a").unwrap();
    assert!(past.codes.is_empty() && past.spans[0].is_over);
    assert_eq!(records.totals().values().next().unwrap().tasks, 2);
    // A deletion while it is being explained: late words on it change nothing.
    records.apply_update(0.6, update("a", &shared));
    assert_eq!(records.len(), 2);
}

proptest! {
    /// Whatever waits and changes: what is told is bounded, in time a reader knows the present reasons of every task
    /// that still waits, and nothing is told of one that does not.
    #[test]
    fn every_present_reason_is_told_in_time(
        changes in proptest::collection::vec((0usize..30, 0usize..4, any::<bool>()), 1..200),
    ) {
        let codes = [ReasonCode::Cores, ReasonCode::Memory, ReasonCode::Spread, ReasonCode::Draining];
        let mut publisher = ReasonPublisher::new(0.5, 2.0, 8);
        let mut waits: std::collections::BTreeMap<String, ReasonUpdate> = Default::default();
        let mut reader: std::collections::BTreeMap<String, ReasonUpdate> = Default::default();
        let mut now = 0.0;
        let mut step = |now: f64, waits: &std::collections::BTreeMap<String, ReasonUpdate>| {
            let told = publisher.step(now, waits.values().map(draft));
            assert!(told.len() <= 8);
            for update in told {
                assert!(waits.contains_key(&update.uid));
                reader.insert(update.uid.clone(), update);
            }
            reader.clone()
        };
        for (task, code, stays) in changes {
            now += 0.05;
            let uid = format!("t{task}");
            match stays {
                true => drop(waits.insert(uid.clone(), update(&uid, &diagnosis(3, &[(codes[code], 3)])))),
                false => drop(waits.remove(&uid)),
            }
            step(now, &waits);
        }
        // 30 tasks at 8 a look.
        for _ in 0..8 {
            now += 0.5;
            step(now, &waits);
        }
        let reader = step(now + 0.5, &waits);
        for (uid, update) in &waits {
            prop_assert!(reader.get(uid).is_some_and(|told| told.diagnosis.is_equivalent(&update.diagnosis)), "{}", uid);
        }
    }
}
