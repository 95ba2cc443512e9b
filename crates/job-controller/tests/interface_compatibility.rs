//! Reasons in the status of failed Pods that the Job controller reads.

#[path = "../../cli/tests/common/fixture.rs"]
mod fixture;

use fixture::Additions;
use tidespur_api::Object;
use tidespur_job_controller::{PodEnd, PodPhase, PodView};

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
        PodPhase::Ended(PodEnd::Failed) => "its program failed",
        PodPhase::Ended(PodEnd::Refused) => "not placed",
        PodPhase::Ended(PodEnd::Unknown) => "may have run",
        PodPhase::Ended(PodEnd::Evicted) => "evicted",
        PodPhase::Ended(PodEnd::Lost) => "lost with its node",
        PodPhase::Ended(PodEnd::Moved) => "stopped to be placed anew",
        other => panic!("a failed Pod is read as {other:?}"),
    }
}

#[test]
fn reasons_of_failed_pods_mean_what_they_did() {
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
