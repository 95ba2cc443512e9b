//! The part of a Pod's state that the planner reads from nodes.

use serde::{Deserialize, Serialize};
use tidespur_api::{Object, meta, names};
use tidespur_planner_protocol::TerminationReason;

/// Namespace and name of a Pod at a node. Serialized as a pair of strings.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(String, String)", into = "(String, String)")]
pub struct PodName {
    /// Namespace, which is the tenant of the task.
    pub namespace: String,
    /// Name within the namespace.
    pub name: String,
}

impl PodName {
    /// Copies the namespace and the name.
    pub fn new(namespace: &str, name: &str) -> Self {
        Self {
            namespace: namespace.to_owned(),
            name: name.to_owned(),
        }
    }
}

impl From<(String, String)> for PodName {
    fn from((namespace, name): (String, String)) -> Self {
        Self { namespace, name }
    }
}

impl From<PodName> for (String, String) {
    fn from(pod: PodName) -> Self {
        (pod.namespace, pod.name)
    }
}

/// The phase of a Pod at a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PodPhase {
    /// The node has accepted the Pod and not started it yet.
    Pending,
    /// The Pod runs.
    Running,
    /// The Pod has ended.
    Terminated(TerminationReason),
}

impl PodPhase {
    /// Reads the phase from the status of a Pod. An unknown phase counts as `Pending`.
    pub fn read(pod: &Object) -> Self {
        let phase = meta::text_at(pod, &["status", "phase"]);
        let reason = meta::text_at(pod, &["status", "reason"]);
        match (phase, reason) {
            ("Running", _) => Self::Running,
            ("Succeeded", _) => Self::Terminated(TerminationReason::Succeeded),
            ("Failed", "Evicted") => Self::Terminated(TerminationReason::Evicted),
            ("Failed", "Preempting") => Self::Terminated(TerminationReason::Preempted),
            ("Failed", "Terminated" | "NodeShutdown") => {
                Self::Terminated(TerminationReason::Drained)
            }
            ("Failed", "Deleted") => Self::Terminated(TerminationReason::Stopped),
            ("Failed", _) => Self::Terminated(TerminationReason::Failed),
            _ => Self::Pending,
        }
    }

    /// Whether the Pod has ended.
    pub fn is_terminated(self) -> bool {
        matches!(self, Self::Terminated(_))
    }
}

/// A Pod that a node has reported.
#[derive(Clone, Debug, PartialEq)]
pub struct ObservedPod {
    /// Uid of the request that the Pod was offered for; empty if the annotation is missing.
    pub request_uid: String,
    /// Uid of the Pod at the node.
    pub pod_uid: String,
    /// Phase as last reported.
    pub phase: PodPhase,
}

impl ObservedPod {
    /// Reads a Pod object of a node's API.
    pub fn read(pod: &Object) -> (PodName, Self) {
        let name = PodName::new(meta::namespace(pod), meta::name(pod));
        let request_uid = meta::annotation(pod, names::EDGE_POD_UID).unwrap_or("");
        let observed = Self {
            request_uid: request_uid.to_owned(),
            pod_uid: meta::uid(pod).to_owned(),
            phase: PodPhase::read(pod),
        };
        (name, observed)
    }
}
