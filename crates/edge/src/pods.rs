//! Answers and ends as published Pod and Job status. The one place for this direction.

use serde_json::{Value, json};
use tidespur_api::{Object, meta, names};
use tidespur_job_controller::{Adopt, JobStatus, Phase, SlotId};
use tidespur_planner_protocol::TerminationReason;

/// A Pod of a Job's slot.
pub(crate) fn make(
    job: &Object,
    name: &str,
    slot: &SlotId,
    returned: bool,
    adopt: Option<&Adopt>,
) -> Object {
    let template = meta::value_at(job, &["spec", "template"]);
    let mut labels = meta::value_at(template, &["metadata", "labels"])
        .as_object()
        .cloned()
        .unwrap_or_default();
    labels.insert(names::JOB_NAME.into(), meta::name(job).into());
    labels.insert(names::JOB_UID.into(), meta::uid(job).into());
    let mut annotations = meta::value_at(template, &["metadata", "annotations"])
        .as_object()
        .cloned()
        .unwrap_or_default();
    for key in [names::EXPECTED_SECONDS, names::GIVE_UP_SECONDS] {
        if let Some(text) = meta::annotation(job, key) {
            annotations.entry(key).or_insert_with(|| text.into());
        }
    }
    annotations.insert(
        names::IDEMPOTENCY_KEY.into(),
        format!("{}/{}", slot.job, slot.number).into(),
    );
    if returned {
        annotations.insert(names::RESUBMITTED.into(), "true".into());
    }
    let mut spec = meta::value_at(template, &["spec"]).clone();
    if let Some(adopt) = adopt {
        annotations.insert(names::ADOPTED_POD_NAME.into(), adopt.name.clone().into());
        spec["nodeName"] = adopt.node.clone().into();
    }
    json!({"kind": "Pod", "apiVersion": "v1",
        "metadata": {"name": name, "namespace": meta::namespace(job), "labels": labels, "annotations": annotations,
            "ownerReferences": [{"apiVersion": "batch/v1", "kind": "Job", "name": meta::name(job),
                "uid": meta::uid(job), "controller": true, "blockOwnerDeletion": true}]},
        "spec": spec, "status": {"phase": "Pending"}})
}

fn condition(kind: &str, on: bool, now: f64, reason: &str, message: &str) -> Value {
    let mut condition = json!({"type": kind, "status": if on { "True" } else { "False" },
        "lastTransitionTime": meta::timestamp(now)});
    if !reason.is_empty() {
        condition["reason"] = reason.into();
    }
    if !message.is_empty() {
        condition["message"] = message.into();
    }
    condition
}

/// A node has it.
pub(crate) fn placed(pod: &mut Object, node: &str, now: f64) {
    meta::map_mut(pod, "spec").insert("nodeName".into(), node.into());
    meta::map_mut(pod, "status").insert("phase".into(), "Pending".into());
    meta::set_condition(pod, condition("PodScheduled", true, now, "", ""));
}

/// It runs.
pub(crate) fn runs(pod: &mut Object, now: f64) {
    let status = meta::map_mut(pod, "status");
    status.insert("phase".into(), "Running".into());
    status.insert("startTime".into(), meta::timestamp(now).into());
    for kind in ["Initialized", "ContainersReady", "Ready"] {
        meta::set_condition(pod, condition(kind, true, now, "", ""));
    }
}

/// It waits, for this reason.
pub(crate) fn waits(pod: &mut Object, message: &str, now: f64) {
    meta::set_condition(
        pod,
        condition("PodScheduled", false, now, "Unschedulable", message),
    );
}

/// It was not placed.
pub(crate) fn unplaced(pod: &mut Object, reason: &str, message: &str, now: f64) {
    let status = meta::map_mut(pod, "status");
    status.insert("phase".into(), "Failed".into());
    status.insert("reason".into(), reason.into());
    status.insert("message".into(), message.into());
    meta::set_condition(pod, condition("PodScheduled", false, now, reason, message));
}

/// It came to its end.
pub(crate) fn ended(pod: &mut Object, end: TerminationReason, now: f64) {
    let (phase, reason, message) = match end {
        TerminationReason::Succeeded => ("Succeeded", "", ""),
        TerminationReason::Failed => ("Failed", "Error", "the program failed"),
        TerminationReason::Evicted => ("Failed", "Evicted", "the node was low on memory"),
        TerminationReason::Preempted => (
            "Failed",
            "Preempting",
            "a Pod of higher priority took its place",
        ),
        TerminationReason::Drained => ("Failed", "Terminated", "the node drains"),
        TerminationReason::NodeLost => ("Failed", "NodeLost", "the node is gone"),
        TerminationReason::Stopped => ("Failed", "Moved", "it was stopped to be placed anew"),
    };
    let status = meta::map_mut(pod, "status");
    status.insert("phase".into(), phase.into());
    if !reason.is_empty() {
        status.insert("reason".into(), reason.into());
        status.insert("message".into(), message.into());
    }
    if end != TerminationReason::Succeeded && end != TerminationReason::Failed {
        meta::set_condition(
            pod,
            condition("DisruptionTarget", true, now, reason, message),
        );
    }
    let why = if end == TerminationReason::Succeeded {
        "PodCompleted"
    } else {
        reason
    };
    meta::set_condition(pod, condition("Ready", false, now, why, ""));
}

/// A Job's status.
pub(crate) fn job_status(job: &Object, status: &JobStatus, now: f64) -> Value {
    let mut object = json!({"status": {"active": status.active, "ready": status.ready,
        "succeeded": status.succeeded, "failed": status.failed, "startTime": meta::timestamp(status.started)}});
    if let Some(old) = meta::value_at(job, &["status", "conditions"]).as_array() {
        object["status"]["conditions"] = old.clone().into();
    }
    let ended = status.ended.unwrap_or(now);
    let (off, settling) = (status.backing_off, status.settling);
    if off + settling > 0 || meta::has_condition(job, names::PENDING_CONDITION) {
        let reason = match (settling, off) {
            (0, 0) => "",
            (0, _) => "BackingOff",
            _ => "Settling",
        };
        let message = match (settling, off) {
            (0, 0) => String::new(),
            (0, _) => format!("{off} Pods are asked for again after a pause"),
            _ => format!("{settling} Pods may still run and are being looked for; {off} pause"),
        };
        meta::set_condition(
            &mut object,
            condition(
                names::PENDING_CONDITION,
                off + settling > 0,
                now,
                reason,
                &message,
            ),
        );
    }
    match status.phase {
        Phase::Open if meta::has_condition(job, "Suspended") => {
            meta::set_condition(
                &mut object,
                condition("Suspended", false, now, "JobResumed", "Job resumed"),
            );
        }
        Phase::Open => {}
        Phase::Suspended => {
            meta::set_condition(
                &mut object,
                condition("Suspended", true, now, "JobSuspended", "Job suspended"),
            );
        }
        Phase::Complete => {
            object["status"]["completionTime"] = meta::timestamp(ended).into();
            let reason = "CompletionsReached";
            meta::set_condition(
                &mut object,
                condition("SuccessCriteriaMet", true, ended, reason, ""),
            );
            meta::set_condition(&mut object, condition("Complete", true, ended, reason, ""));
        }
        Phase::BackoffLimitExceeded => {
            let (reason, why) = (
                "BackoffLimitExceeded",
                "Job has reached the specified backoff limit",
            );
            meta::set_condition(
                &mut object,
                condition("FailureTarget", true, ended, reason, why),
            );
            meta::set_condition(&mut object, condition("Failed", true, ended, reason, why));
        }
        Phase::DeadlineExceeded => {
            let (reason, why) = (
                "DeadlineExceeded",
                "Job was active longer than specified deadline",
            );
            meta::set_condition(
                &mut object,
                condition("FailureTarget", true, ended, reason, why),
            );
            meta::set_condition(&mut object, condition("Failed", true, ended, reason, why));
        }
    }
    object["status"].take()
}

/// What an Event tells has been seen again.
pub(crate) fn repeat_event(event: &mut Object, message: &str, count: u32, now: f64) {
    event["message"] = message.into();
    event["count"] = count.into();
    event["lastTimestamp"] = meta::timestamp(now).into();
    event["series"] = json!({"count": count, "lastObservedTime": meta::timestamp_micro(now)});
}

/// An Event about a Pod.
pub(crate) fn event(
    pod: &Object,
    name: String,
    kind: &str,
    reason: &str,
    message: &str,
    now: f64,
) -> Object {
    let at = meta::timestamp(now);
    json!({"kind": "Event", "apiVersion": "v1",
        "metadata": {"name": name, "namespace": meta::namespace(pod)},
        "involvedObject": {"kind": "Pod", "apiVersion": "v1", "namespace": meta::namespace(pod),
            "name": meta::name(pod), "uid": meta::uid(pod)},
        "type": kind, "reason": reason, "message": message, "count": 1,
        "firstTimestamp": at, "lastTimestamp": at,
        "source": {"component": "tidespur"}, "reportingComponent": "tidespur", "reportingInstance": ""})
}
