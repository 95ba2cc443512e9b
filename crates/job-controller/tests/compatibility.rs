//! What an edge stores of a Job's slots stays as an earlier version wrote it.

use tidespur_fixtures::{Codec, assert_compatible, fixture_path};
use tidespur_job_controller::{Adopt, Kept, PodEnd, PodPhase, PodView};

fn pod(phase: PodPhase) -> PodView {
    PodView {
        uid: "6d0f0000-0001".into(),
        namespace: "default".into(),
        name: "job-abcde".into(),
        known_as: "job-fghij".into(),
        phase,
    }
}

fn settling(phase: PodPhase) -> Kept {
    Kept::Settling {
        pod: pod(phase),
        unwanted: phase == PodPhase::Waiting,
        troubles: 3,
    }
}

/// A new variant fails to compile here until it has a name; add a sample of it to [`ends`] as well.
fn end_name(end: PodEnd) -> &'static str {
    match end {
        PodEnd::Succeeded => "settling, ended succeeded",
        PodEnd::Failed => "settling, ended failed",
        PodEnd::Refused => "settling, ended refused",
        PodEnd::Unknown => "settling, ended unknown",
        PodEnd::Evicted => "settling, ended evicted",
        PodEnd::Lost => "settling, ended lost",
        PodEnd::Moved => "settling, ended moved",
    }
}

fn ends() -> [PodEnd; 7] {
    [
        PodEnd::Succeeded,
        PodEnd::Failed,
        PodEnd::Refused,
        PodEnd::Unknown,
        PodEnd::Evicted,
        PodEnd::Lost,
        PodEnd::Moved,
    ]
}

fn phase_name(phase: PodPhase) -> &'static str {
    match phase {
        PodPhase::Waiting => "settling, waiting",
        PodPhase::Placed => "settling, placed",
        PodPhase::Running => "settling, running",
        PodPhase::Ended(end) => end_name(end),
    }
}

fn kept_name(kept: &Kept) -> &'static str {
    match kept {
        Kept::Again { adopt: None, .. } => "again",
        Kept::Again { adopt: Some(_), .. } => "again, with something to take over",
        Kept::Settling { pod, .. } => phase_name(pod.phase),
    }
}

#[test]
fn slots_keep_their_json_when_stored() {
    let adopt = Adopt {
        node: "node-0".into(),
        name: "job-fghij".into(),
    };
    let mut all = vec![
        Kept::Again {
            at: 1_000_000_000.25,
            adopt: None,
            troubles: 0,
        },
        Kept::Again {
            at: 0.0,
            adopt: Some(adopt),
            troubles: 2,
        },
    ];
    all.extend([PodPhase::Waiting, PodPhase::Placed, PodPhase::Running].map(settling));
    all.extend(ends().map(|end| settling(PodPhase::Ended(end))));
    let samples: Vec<(&str, Kept)> = all
        .into_iter()
        .map(|kept| (kept_name(&kept), kept))
        .collect();
    let encode = |kept: &Kept| serde_json::to_string(kept).unwrap();
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
