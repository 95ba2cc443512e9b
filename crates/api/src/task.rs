//! Converts Pods to placement requests. No other module interprets Pods as tasks.

use crate::{Object, meta, names, quantity};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A request to place one Pod, as sent from an edge to a planner.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// Uid of the Pod, which identifies the request.
    pub uid: String,
    /// Namespace of the Pod, which is the tenant.
    pub tenant: String,
    /// Name of the Pod at nodes.
    pub name: String,
    /// The service that the task belongs to: the owning Job, or the Pod itself.
    pub service: String,
    /// Class of the settings; empty for the first class.
    pub class: String,
    /// CPU request, in cores.
    pub cores: f64,
    /// Memory request, in memory units.
    pub memory: f64,
    /// Expected run time, in seconds; `None` if its owner doesn't say.
    #[serde(rename = "life")]
    pub expected_duration: Option<f64>,
    /// How long its owner waits for a placement, in seconds from now; `None` for the deadline of the class.
    #[serde(rename = "within")]
    pub timeout: Option<f64>,
    /// Whether an earlier Pod of the task was rejected, failed or lost.
    #[serde(rename = "returned")]
    pub is_resubmission: bool,
    /// Idempotency key, the same for all retries of the task; the uid if the Pod has none.
    #[serde(rename = "key")]
    pub idempotency_key: String,
    /// The Pod's spec as its owner wrote it, in JSON, for the node.
    pub spec: Arc<str>,
}

/// Total requests of a Pod's containers: CPU in cores and memory in memory units. Requests that are missing or
/// malformed count as 0.
pub fn resource_requests(pod: &Object) -> (f64, f64) {
    let containers = meta::value_at(pod, &["spec", "containers"]).as_array();
    let sum = |key: &str| -> f64 {
        let parse =
            |c| quantity::parse(meta::text_at(c, &["resources", "requests", key])).unwrap_or(0.0);
        containers.into_iter().flatten().map(parse).sum()
    };
    (sum("cpu"), sum("memory") / names::MEMORY_UNIT)
}

/// Whether a Pod is pending and has no node.
pub fn is_unscheduled(pod: &Object) -> bool {
    meta::text_at(pod, &["spec", "nodeName"]).is_empty()
        && meta::text_at(pod, &["status", "phase"]) == "Pending"
}

/// The placement request of a validated Pod.
pub fn placement_request(pod: &Object) -> PlacementRequest {
    let (cores, memory) = resource_requests(pod);
    let seconds = |key| meta::annotation(pod, key).and_then(|text| text.parse::<f64>().ok());
    let job = meta::label(pod, names::JOB_NAME);
    let service = format!(
        "{}/{}",
        meta::namespace(pod),
        job.unwrap_or(meta::name(pod))
    );
    let name_at_node = meta::annotation(pod, names::ADOPTED_POD_NAME).unwrap_or(meta::name(pod));
    PlacementRequest {
        uid: meta::uid(pod).to_owned(),
        tenant: meta::namespace(pod).to_owned(),
        name: name_at_node.to_owned(),
        service,
        class: meta::text_at(pod, &["spec", "priorityClassName"]).to_owned(),
        cores,
        memory,
        expected_duration: seconds(names::EXPECTED_SECONDS),
        timeout: seconds(names::GIVE_UP_SECONDS),
        is_resubmission: meta::annotation(pod, names::RESUBMITTED).is_some(),
        idempotency_key: meta::annotation(pod, names::IDEMPOTENCY_KEY)
            .unwrap_or(meta::uid(pod))
            .to_owned(),
        spec: meta::value_at(pod, &["spec"]).to_string().into(),
    }
}
