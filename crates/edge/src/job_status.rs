//! Renders the status of Jobs: counters, phases and conditions.

use crate::pod_status::condition;
use serde_json::{Value, json};
use tidespur_api::{Object, meta, names};
use tidespur_job_controller::{JobPhase, JobStatus};

/// The `status` of a Job in the format of the Kubernetes API. Conditions that the object already has are kept.
pub(crate) fn render(job: &Object, status: &JobStatus, now: f64) -> Value {
    let mut rendered = json!({"status": {"active": status.active, "ready": status.ready,
        "succeeded": status.succeeded, "failed": status.failed, "startTime": meta::timestamp(status.started)}});
    if let Some(conditions) = meta::value_at(job, &["status", "conditions"]).as_array() {
        rendered["status"]["conditions"] = conditions.clone().into();
    }
    set_pending_condition(&mut rendered, job, status, now);
    let ended = status.ended.unwrap_or(now);
    match status.phase {
        JobPhase::Active => {
            if meta::has_condition(job, "Suspended") {
                let resumed = condition("Suspended", false, now, "JobResumed", "Job resumed");
                meta::set_condition(&mut rendered, resumed);
            }
        }
        JobPhase::Suspended => {
            let suspended = condition("Suspended", true, now, "JobSuspended", "Job suspended");
            meta::set_condition(&mut rendered, suspended);
        }
        JobPhase::Complete => {
            rendered["status"]["completionTime"] = meta::timestamp(ended).into();
            let reason = "CompletionsReached";
            let criteria_met = condition("SuccessCriteriaMet", true, ended, reason, "");
            meta::set_condition(&mut rendered, criteria_met);
            meta::set_condition(
                &mut rendered,
                condition("Complete", true, ended, reason, ""),
            );
        }
        JobPhase::BackoffLimitExceeded => {
            let message = "Job has reached the specified backoff limit";
            set_failed(&mut rendered, "BackoffLimitExceeded", message, ended);
        }
        JobPhase::DeadlineExceeded => {
            let message = "Job was active longer than specified deadline";
            set_failed(&mut rendered, "DeadlineExceeded", message, ended);
        }
    }
    rendered["status"].take()
}

fn set_failed(rendered: &mut Object, reason: &str, message: &str, ended: f64) {
    for condition_type in ["FailureTarget", "Failed"] {
        let failed = condition(condition_type, true, ended, reason, message);
        meta::set_condition(rendered, failed);
    }
}

/// Sets the condition that tells whether and why slots of the Job wait. A Job whose slots never waited does not have
/// it.
fn set_pending_condition(rendered: &mut Object, job: &Object, status: &JobStatus, now: f64) {
    let retrying = status.waiting_for_retry;
    let unknown = status.outcome_unknown;
    let is_waiting = retrying + unknown > 0;
    if !is_waiting && !meta::has_condition(job, names::PENDING_CONDITION) {
        return;
    }
    let (reason, message) = if unknown > 0 {
        let message =
            format!("{unknown} Pods may still run and are being looked for; {retrying} pause");
        ("Settling", message)
    } else if retrying > 0 {
        let message = format!("{retrying} Pods are asked for again after a pause");
        ("BackingOff", message)
    } else {
        ("", String::new())
    };
    let pending = condition(names::PENDING_CONDITION, is_waiting, now, reason, &message);
    meta::set_condition(rendered, pending);
}
