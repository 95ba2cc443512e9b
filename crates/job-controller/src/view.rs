//! Jobs and Pods as the controller reads them. The one place where it looks into objects.

use serde::{Deserialize, Serialize};
use tidespur_api::{Object, meta, names};

/// What a Job's owner wants.
#[derive(Clone, Debug, PartialEq)]
pub struct JobView {
    /// Uid.
    pub uid: String,
    /// Namespace.
    pub namespace: String,
    /// Name.
    pub name: String,
    /// Class of its Pods, "" for the default.
    pub class: String,
    /// Pods at a time.
    pub parallelism: u32,
    /// Good ends wanted; `None`: one is enough, and no new Pods after it.
    pub completions: Option<u32>,
    /// Runs that may fail.
    pub backoff_limit: u32,
    /// The Job's time from its start.
    pub active_deadline: Option<f64>,
    /// It is deleted so long after its end.
    pub ttl: Option<f64>,
    /// Nothing of it may run.
    pub suspend: bool,
    /// It is being deleted.
    pub deleting: bool,
}

impl JobView {
    /// Reads a checked Job.
    pub fn read(job: &Object) -> Self {
        let spec = meta::value_at(job, &["spec"]);
        let number = |key: &str| {
            spec.get(key)
                .and_then(|v| v.as_i64())
                .map(|n| n.max(0) as u32)
        };
        Self {
            uid: meta::uid(job).to_owned(),
            namespace: meta::namespace(job).to_owned(),
            name: meta::name(job).to_owned(),
            class: meta::text_at(spec, &["template", "spec", "priorityClassName"]).to_owned(),
            parallelism: number("parallelism").unwrap_or(1),
            completions: number("completions")
                .or_else(|| number("parallelism").is_none().then_some(1)),
            backoff_limit: number("backoffLimit").unwrap_or(6),
            active_deadline: number("activeDeadlineSeconds").map(f64::from),
            ttl: number("ttlSecondsAfterFinished").map(f64::from),
            suspend: spec
                .get("suspend")
                .and_then(|v| v.as_bool())
                .unwrap_or(false),
            deleting: !meta::value_at(job, &["metadata", "deletionTimestamp"]).is_null(),
        }
    }
}

/// How a Pod ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PodEnd {
    /// Its program finished.
    Succeeded,
    /// Its program failed.
    Failed,
    /// It was not placed and never ran.
    Refused,
    /// It may have run, or run still.
    Unknown,
    /// It was evicted, pushed out or sent away.
    Evicted,
    /// It was lost with its node.
    Lost,
    /// It was moved.
    Moved,
}

/// How far a Pod is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PodPhase {
    /// No answer yet.
    Waiting,
    /// A node took it.
    Placed,
    /// It runs.
    Running,
    /// It has ended.
    Ended(PodEnd),
}

/// A Pod.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PodView {
    /// Uid.
    pub uid: String,
    /// Namespace.
    pub namespace: String,
    /// Name.
    pub name: String,
    /// Its name at nodes: another where it took over what an earlier Pod had started.
    pub known_as: String,
    /// How far it is.
    pub phase: PodPhase,
}

/// Reasons in the status of failed Pods, and what they mean to the owner.
pub const REASONS: [(&str, PodEnd); 8] = [
    (names::PLACEMENT_REFUSED, PodEnd::Refused),
    (names::PLACEMENT_UNKNOWN, PodEnd::Unknown),
    ("Evicted", PodEnd::Evicted),
    ("Preempting", PodEnd::Evicted),
    ("NodeShutdown", PodEnd::Evicted),
    ("Terminated", PodEnd::Evicted),
    ("NodeLost", PodEnd::Lost),
    ("Moved", PodEnd::Moved),
];

impl PodView {
    /// Reads a Pod.
    pub fn read(pod: &Object) -> Self {
        let reason = meta::text_at(pod, &["status", "reason"]);
        let phase = match meta::text_at(pod, &["status", "phase"]) {
            "Succeeded" => PodPhase::Ended(PodEnd::Succeeded),
            "Failed" => {
                let known = REASONS.iter().find(|(name, _)| *name == reason);
                PodPhase::Ended(known.map_or(PodEnd::Failed, |(_, end)| *end))
            }
            "Running" => PodPhase::Running,
            _ if meta::text_at(pod, &["spec", "nodeName"]).is_empty() => PodPhase::Waiting,
            _ => PodPhase::Placed,
        };
        Self {
            uid: meta::uid(pod).to_owned(),
            namespace: meta::namespace(pod).to_owned(),
            name: meta::name(pod).to_owned(),
            known_as: meta::annotation(pod, names::ADOPTED_POD_NAME)
                .unwrap_or(meta::name(pod))
                .to_owned(),
            phase,
        }
    }
}
