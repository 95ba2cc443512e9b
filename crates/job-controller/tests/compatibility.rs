//! Guards the encoding of slots in an edge's storage, so that the records of earlier builds stay readable.

use tidespur_fixtures::{Codec, assert_compatible, fixture_path};
use tidespur_job_controller::{Adoption, PersistedSlot, PodOutcome, PodPhase, PodView};

fn pod(phase: PodPhase) -> PodView {
    PodView {
        uid: "6d0f0000-0001".into(),
        namespace: "default".into(),
        name: "job-abcde".into(),
        name_at_node: "job-fghij".into(),
        phase,
    }
}

fn outcome_unknown(phase: PodPhase) -> PersistedSlot {
    PersistedSlot::OutcomeUnknown {
        pod: pod(phase),
        is_unwanted: phase == PodPhase::Pending,
        failures: 3,
    }
}

/// The name of the sample in the fixture file. A new variant does not compile until it has a name here; it also needs a
/// sample in [`outcomes`].
fn outcome_name(outcome: PodOutcome) -> &'static str {
    match outcome {
        PodOutcome::Succeeded => "settling, ended succeeded",
        PodOutcome::Failed => "settling, ended failed",
        PodOutcome::Rejected => "settling, ended refused",
        PodOutcome::Unknown => "settling, ended unknown",
        PodOutcome::Evicted => "settling, ended evicted",
        PodOutcome::NodeLost => "settling, ended lost",
        PodOutcome::Migrated => "settling, ended moved",
    }
}

fn outcomes() -> [PodOutcome; 7] {
    [
        PodOutcome::Succeeded,
        PodOutcome::Failed,
        PodOutcome::Rejected,
        PodOutcome::Unknown,
        PodOutcome::Evicted,
        PodOutcome::NodeLost,
        PodOutcome::Migrated,
    ]
}

fn phase_name(phase: PodPhase) -> &'static str {
    match phase {
        PodPhase::Pending => "settling, waiting",
        PodPhase::Placed => "settling, placed",
        PodPhase::Running => "settling, running",
        PodPhase::Ended(outcome) => outcome_name(outcome),
    }
}

fn slot_name(slot: &PersistedSlot) -> &'static str {
    match slot {
        PersistedSlot::Retry { adoption: None, .. } => "again",
        PersistedSlot::Retry {
            adoption: Some(_), ..
        } => "again, with something to take over",
        PersistedSlot::OutcomeUnknown { pod, .. } => phase_name(pod.phase),
    }
}

#[test]
fn stored_slots_keep_their_json() {
    let adoption = Adoption {
        node: "node-0".into(),
        name: "job-fghij".into(),
    };
    let mut all = vec![
        PersistedSlot::Retry {
            at: 1_000_000_000.25,
            adoption: None,
            failures: 0,
        },
        PersistedSlot::Retry {
            at: 0.0,
            adoption: Some(adoption),
            failures: 2,
        },
    ];
    all.extend([PodPhase::Pending, PodPhase::Placed, PodPhase::Running].map(outcome_unknown));
    all.extend(outcomes().map(|outcome| outcome_unknown(PodPhase::Ended(outcome))));
    let samples: Vec<(&str, PersistedSlot)> = all
        .into_iter()
        .map(|slot| (slot_name(&slot), slot))
        .collect();
    let encode = |slot: &PersistedSlot| serde_json::to_string(slot).unwrap();
    let decode = |text: &str| serde_json::from_str(text).unwrap();
    let path = fixture_path(env!("CARGO_MANIFEST_DIR"), "slots.txt");
    assert_compatible(
        &path,
        &samples,
        &Codec {
            encode: &encode,
            decode: &decode,
        },
    );
}
