//! Guards how the Job controller interprets the reasons in the status of failed Pods.

#[path = "../../cli/tests/common/fixture.rs"]
mod fixture;

use fixture::Additions;
use tidespur_api::Object;
use tidespur_job_controller::{PodOutcome, PodPhase, PodView};

const REASONS: [&str; 10] = [
    "Error",
    "Evicted",
    "Moved",
    "NoSuchReason",
    "NodeLost",
    "NodeShutdown",
    "PlacementRefused",
    "PlacementUnknown",
    "Preempting",
    "Terminated",
];

fn meaning(phase: &PodPhase) -> &'static str {
    match phase {
        PodPhase::Ended(PodOutcome::Failed) => "its program failed",
        PodPhase::Ended(PodOutcome::Rejected) => "not placed",
        PodPhase::Ended(PodOutcome::Unknown) => "may have run",
        PodPhase::Ended(PodOutcome::Evicted) => "evicted",
        PodPhase::Ended(PodOutcome::NodeLost) => "lost with its node",
        PodPhase::Ended(PodOutcome::Migrated) => "stopped to be placed anew",
        other => panic!("a failed Pod is read as {other:?}"),
    }
}

#[test]
fn reasons_of_failed_pods_keep_their_meaning() {
    let line = |reason: &str| {
        let pod = format!(
            r#"{{"metadata": {{"name": "p"}}, "status": {{"phase": "Failed", "reason": "{reason}"}}}}"#
        );
        let pod: Object = pod.parse().unwrap();
        format!("{reason}: {}", meaning(&PodView::read(&pod).phase))
    };
    let lines = REASONS.into_iter().map(line);
    fixture::check(
        env!("CARGO_MANIFEST_DIR"),
        "pod_reasons.txt",
        lines,
        Additions::Rejected,
    );
}
