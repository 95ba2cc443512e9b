//! The parts of Job and Pod objects that the controller uses. No other module of it looks into objects.

use serde::{Deserialize, Serialize};
use tidespur_api::{Object, meta, names};

/// Failed runs that a Job tolerates where it sets no limit, as in the published API.
const DEFAULT_BACKOFF_LIMIT: u32 = 6;

/// The specification of a Job.
#[derive(Clone, Debug, PartialEq)]
pub struct JobView {
    /// Uid.
    pub uid: String,
    /// Namespace.
    pub namespace: String,
    /// Name.
    pub name: String,
    /// Priority class of its Pods, "" for the default.
    pub class: String,
    /// Pods that run at the same time.
    pub parallelism: u32,
    /// Pods that have to succeed; `None`: one is enough, and no new Pods are created after it.
    pub completions: Option<u32>,
    /// Failed runs that it tolerates.
    pub backoff_limit: u32,
    /// It fails once it has been active for this long, in seconds.
    pub active_deadline: Option<f64>,
    /// It is deleted this long after its end, in seconds.
    pub time_to_live: Option<f64>,
    /// None of its Pods may run.
    pub is_suspended: bool,
    /// It has a deletion timestamp.
    pub is_being_deleted: bool,
}

impl JobView {
    /// Reads a validated Job.
    pub fn read(job: &Object) -> Self {
        let spec = meta::value_at(job, &["spec"]);
        let number = |key: &str| {
            let value = spec.get(key)?.as_i64()?;
            Some(value.max(0) as u32)
        };
        let default_completions = || number("parallelism").is_none().then_some(1);
        let is_suspended = spec.get("suspend").and_then(|value| value.as_bool());
        Self {
            uid: meta::uid(job).to_owned(),
            namespace: meta::namespace(job).to_owned(),
            name: meta::name(job).to_owned(),
            class: meta::text_at(spec, &["template", "spec", "priorityClassName"]).to_owned(),
            parallelism: number("parallelism").unwrap_or(1),
            completions: number("completions").or_else(default_completions),
            backoff_limit: number("backoffLimit").unwrap_or(DEFAULT_BACKOFF_LIMIT),
            active_deadline: number("activeDeadlineSeconds").map(f64::from),
            time_to_live: number("ttlSecondsAfterFinished").map(f64::from),
            is_suspended: is_suspended.unwrap_or(false),
            is_being_deleted: !meta::value_at(job, &["metadata", "deletionTimestamp"]).is_null(),
        }
    }
}

/// How a Pod ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PodOutcome {
    /// Its program succeeded.
    Succeeded,
    /// Its program failed.
    Failed,
    /// It was not placed and never ran.
    #[serde(rename = "Refused")]
    Rejected,
    /// It may have run, or may still run.
    Unknown,
    /// It was evicted, preempted or drained.
    Evicted,
    /// Its node was lost.
    #[serde(rename = "Lost")]
    NodeLost,
    /// It was stopped to be placed at another node.
    #[serde(rename = "Moved")]
    Migrated,
}

/// Phase of a Pod.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PodPhase {
    /// It is not placed yet.
    #[serde(rename = "Waiting")]
    Pending,
    /// A node has accepted it.
    Placed,
    /// It runs.
    Running,
    /// It has ended.
    Ended(PodOutcome),
}

/// The parts of a Pod that the controller uses.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PodView {
    /// Uid.
    pub uid: String,
    /// Namespace.
    pub namespace: String,
    /// Name.
    pub name: String,
    /// Its name at nodes: another one where it took over what an earlier Pod had started.
    #[serde(rename = "known_as")]
    pub name_at_node: String,
    /// Its phase.
    pub phase: PodPhase,
}

/// Reasons in the status of failed Pods, and the outcome that each stands for. Any other reason is a failed program.
pub const POD_FAILURE_REASONS: [(&str, PodOutcome); 8] = [
    (names::PLACEMENT_REFUSED, PodOutcome::Rejected),
    (names::PLACEMENT_UNKNOWN, PodOutcome::Unknown),
    ("Evicted", PodOutcome::Evicted),
    ("Preempting", PodOutcome::Evicted),
    ("NodeShutdown", PodOutcome::Evicted),
    ("Terminated", PodOutcome::Evicted),
    ("NodeLost", PodOutcome::NodeLost),
    ("Moved", PodOutcome::Migrated),
];

fn failure_outcome(reason: &str) -> PodOutcome {
    POD_FAILURE_REASONS
        .iter()
        .find(|(name, _)| *name == reason)
        .map_or(PodOutcome::Failed, |(_, outcome)| *outcome)
}

impl PodView {
    /// Reads a Pod.
    pub fn read(pod: &Object) -> Self {
        let phase = match meta::text_at(pod, &["status", "phase"]) {
            "Succeeded" => PodPhase::Ended(PodOutcome::Succeeded),
            "Failed" => {
                let reason = meta::text_at(pod, &["status", "reason"]);
                PodPhase::Ended(failure_outcome(reason))
            }
            "Running" => PodPhase::Running,
            _ if meta::text_at(pod, &["spec", "nodeName"]).is_empty() => PodPhase::Pending,
            _ => PodPhase::Placed,
        };
        let name = meta::name(pod);
        let name_at_node = meta::annotation(pod, names::ADOPTED_POD_NAME).unwrap_or(name);
        Self {
            uid: meta::uid(pod).to_owned(),
            namespace: meta::namespace(pod).to_owned(),
            name: name.to_owned(),
            name_at_node: name_at_node.to_owned(),
            phase,
        }
    }
}
