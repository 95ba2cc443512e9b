//! The parts of Job and Pod objects that the controller uses. No other module of this package reads objects.

use serde::{Deserialize, Serialize};
use tidespur_api::{Object, meta, names};

/// Number of failed runs that a Job tolerates by default, as in the Kubernetes API.
const DEFAULT_BACKOFF_LIMIT: u32 = 6;

/// The specification of a Job.
#[derive(Clone, Debug, PartialEq)]
pub struct JobView {
    /// Uid of the Job, from `metadata.uid`. A Job that is created again under the same name has another one.
    pub uid: String,
    /// Namespace of the Job and its Pods.
    pub namespace: String,
    /// Name of the Job, unique in its namespace.
    pub name: String,
    /// Priority class of its Pods; empty for the default class.
    pub class: String,
    /// Maximum number of Pods that run at the same time.
    pub parallelism: u32,
    /// Number of Pods that must succeed. `None`: one is enough, and no new Pods are created after it.
    pub completions: Option<u32>,
    /// Number of failed runs that the Job tolerates.
    pub backoff_limit: u32,
    /// Time after which an active Job fails, in seconds; `None` for no limit.
    pub active_deadline: Option<f64>,
    /// Time after its end at which the Job is deleted, in seconds; `None` if it is kept.
    pub time_to_live: Option<f64>,
    /// Whether the Job is suspended, so that none of its Pods may run.
    pub is_suspended: bool,
    /// Whether the Job has a deletion timestamp.
    pub is_being_deleted: bool,
}

impl JobView {
    /// Reads a Job object that was validated.
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
    /// The program succeeded.
    Succeeded,
    /// The program failed.
    Failed,
    /// The Pod was not placed and never ran.
    #[serde(rename = "Refused")]
    Rejected,
    /// The Pod may have run, or may still run.
    Unknown,
    /// The Pod was evicted, preempted or drained.
    Evicted,
    /// The node of the Pod was lost.
    #[serde(rename = "Lost")]
    NodeLost,
    /// The Pod was stopped to be placed on another node.
    #[serde(rename = "Moved")]
    Migrated,
}

/// Phase of a Pod.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PodPhase {
    /// The Pod is not placed yet.
    #[serde(rename = "Waiting")]
    Pending,
    /// A node has accepted the Pod.
    Placed,
    /// The program runs.
    Running,
    /// The Pod has ended, with this outcome.
    Ended(PodOutcome),
}

/// The parts of a Pod that the controller uses.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PodView {
    /// Uid of the Pod, from `metadata.uid`. No later Pod of the same name has it.
    pub uid: String,
    /// Namespace of the Pod and its Job.
    pub namespace: String,
    /// Name of the Pod in the API, unique in its namespace.
    pub name: String,
    /// Name of the Pod at nodes. Differs from `name` if the Pod adopted a running one.
    #[serde(rename = "known_as")]
    pub name_at_node: String,
    /// Phase, read from the status and the node name.
    pub phase: PodPhase,
}

/// Reasons in the status of failed Pods, with the outcome that each stands for. Any other reason means that the program
/// failed.
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
    /// Reads a Pod object.
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
