//! Creates the Pods of Jobs, and writes placements, rejections and terminations into the status of Pods. No other
//! module writes the status of a Pod.

use serde_json::{Value, json};
use tidespur_api::{Object, meta, names};
use tidespur_job_controller::{Adoption, SlotId};
use tidespur_planner_protocol::TerminationReason;

/// A copy of the map at `path`; empty if there is none.
fn map_at(object: &Object, path: &[&str]) -> serde_json::Map<String, Value> {
    meta::value_at(object, path)
        .as_object()
        .cloned()
        .unwrap_or_default()
}

/// Creates the Pod for a slot of a Job.
pub(crate) fn pod_of_job(
    job: &Object,
    name: &str,
    slot: &SlotId,
    is_retry: bool,
    adoption: Option<&Adoption>,
) -> Object {
    let template = meta::value_at(job, &["spec", "template"]);
    let mut labels = map_at(template, &["metadata", "labels"]);
    labels.insert(names::JOB_NAME.into(), meta::name(job).into());
    labels.insert(names::JOB_UID.into(), meta::uid(job).into());
    let mut annotations = map_at(template, &["metadata", "annotations"]);
    for key in [names::EXPECTED_SECONDS, names::GIVE_UP_SECONDS] {
        if let Some(text) = meta::annotation(job, key) {
            annotations.entry(key).or_insert_with(|| text.into());
        }
    }
    let idempotency_key = format!("{}/{}", slot.job, slot.number);
    annotations.insert(names::IDEMPOTENCY_KEY.into(), idempotency_key.into());
    if is_retry {
        annotations.insert(names::RESUBMITTED.into(), "true".into());
    }
    let mut spec = meta::value_at(template, &["spec"]).clone();
    if let Some(adoption) = adoption {
        let adopted_name = adoption.name.clone();
        annotations.insert(names::ADOPTED_POD_NAME.into(), adopted_name.into());
        spec["nodeName"] = adoption.node.clone().into();
    }
    json!({"kind": "Pod", "apiVersion": "v1",
        "metadata": {"name": name, "namespace": meta::namespace(job), "labels": labels, "annotations": annotations,
            "ownerReferences": [{"apiVersion": "batch/v1", "kind": "Job", "name": meta::name(job),
                "uid": meta::uid(job), "controller": true, "blockOwnerDeletion": true}]},
        "spec": spec, "status": {"phase": "Pending"}})
}

/// Creates a condition of a Pod or Job; empty reasons and messages are left out.
pub(crate) fn condition(
    condition_type: &str,
    is_true: bool,
    now: f64,
    reason: &str,
    message: &str,
) -> Value {
    let status = if is_true { "True" } else { "False" };
    let mut condition = json!({"type": condition_type, "status": status,
        "lastTransitionTime": meta::timestamp(now)});
    if !reason.is_empty() {
        condition["reason"] = reason.into();
    }
    if !message.is_empty() {
        condition["message"] = message.into();
    }
    condition
}

/// Records that a node has accepted the Pod.
pub(crate) fn set_placed(pod: &mut Object, node: &str, now: f64) {
    meta::map_mut(pod, "spec").insert("nodeName".into(), node.into());
    meta::map_mut(pod, "status").insert("phase".into(), "Pending".into());
    meta::set_condition(pod, condition("PodScheduled", true, now, "", ""));
}

/// Records that the Pod runs.
pub(crate) fn set_running(pod: &mut Object, now: f64) {
    let status = meta::map_mut(pod, "status");
    status.insert("phase".into(), "Running".into());
    status.insert("startTime".into(), meta::timestamp(now).into());
    for condition_type in ["Initialized", "ContainersReady", "Ready"] {
        meta::set_condition(pod, condition(condition_type, true, now, "", ""));
    }
}

/// Records why the Pod is pending.
pub(crate) fn set_unschedulable(pod: &mut Object, message: &str, now: f64) {
    let unschedulable = condition("PodScheduled", false, now, "Unschedulable", message);
    meta::set_condition(pod, unschedulable);
}

/// Records that the Pod was not placed, or that it is unknown whether it was.
pub(crate) fn set_unplaced(pod: &mut Object, reason: &str, message: &str, now: f64) {
    let status = meta::map_mut(pod, "status");
    status.insert("phase".into(), "Failed".into());
    status.insert("reason".into(), reason.into());
    status.insert("message".into(), message.into());
    meta::set_condition(pod, condition("PodScheduled", false, now, reason, message));
}

/// Phase, reason and message of a terminated Pod in the API.
struct TerminationStatus {
    phase: &'static str,
    reason: &'static str,
    message: &'static str,
}

fn failed(reason: &'static str, message: &'static str) -> TerminationStatus {
    let phase = "Failed";
    TerminationStatus {
        phase,
        reason,
        message,
    }
}

fn termination_status(reason: TerminationReason) -> TerminationStatus {
    match reason {
        TerminationReason::Succeeded => TerminationStatus {
            phase: "Succeeded",
            reason: "",
            message: "",
        },
        TerminationReason::Failed => failed("Error", "the program failed"),
        TerminationReason::Evicted => failed("Evicted", "the node was low on memory"),
        TerminationReason::Preempted => {
            failed("Preempting", "a Pod of higher priority took its place")
        }
        TerminationReason::Drained => failed("Terminated", "the node drains"),
        TerminationReason::NodeLost => failed("NodeLost", "the node is gone"),
        TerminationReason::Stopped => failed("Moved", "it was stopped to be placed anew"),
    }
}

/// Records that the Pod has ended.
pub(crate) fn set_ended(pod: &mut Object, end: TerminationReason, now: f64) {
    let TerminationStatus {
        phase,
        reason,
        message,
    } = termination_status(end);
    let status = meta::map_mut(pod, "status");
    status.insert("phase".into(), phase.into());
    if !reason.is_empty() {
        status.insert("reason".into(), reason.into());
        status.insert("message".into(), message.into());
    }
    let ended_by_itself = matches!(
        end,
        TerminationReason::Succeeded | TerminationReason::Failed
    );
    if !ended_by_itself {
        let disrupted = condition("DisruptionTarget", true, now, reason, message);
        meta::set_condition(pod, disrupted);
    }
    let ready_reason = if end == TerminationReason::Succeeded {
        "PodCompleted"
    } else {
        reason
    };
    meta::set_condition(pod, condition("Ready", false, now, ready_reason, ""));
}
