//! Converts API objects, answers of nodes and termination reasons to the types of the scheduling policy.

use std::hash::Hasher;
use tidespur_api::{Object, meta, names, quantity};
use tidespur_config::Config;
use tidespur_planner_protocol::TerminationReason;
use tidespur_policy::interface::{
    AttemptOutcome, Endpoint, EndpointStatus, FailureCause, LoadReport, MachineId, Resources,
    ServiceId,
};

fn hash(text: &str) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(text.as_bytes());
    hasher.finish()
}

/// The policy's id of a node: a hash of its name, equal at all planners.
pub fn machine_id(node: &str) -> MachineId {
    MachineId(hash(node))
}

/// The policy's id of a service: a hash of its name, equal at all planners.
pub fn service_id(name: &str) -> ServiceId {
    ServiceId(hash(name))
}

/// The policy's id of a zone or rack: a hash of its name, equal at all planners.
pub fn domain_id(name: &str) -> usize {
    hash(name) as usize
}

/// A Node read from the node list.
#[derive(Clone, Debug)]
pub struct ListedNode {
    /// Name of the Node object.
    pub name: String,
    /// `host:port` of the node's API.
    pub address: String,
    /// Name of its zone; empty without the label.
    pub zone: String,
    /// The node as the policy sees it.
    pub endpoint: Endpoint,
}

/// Reads a Node; `None` if its instance type is not configured or its address is missing.
pub fn read_node(object: &Object, config: &Config) -> Option<ListedNode> {
    let name = meta::name(object).to_owned();
    let machine_type = config
        .node_types
        .get_index_of(meta::label(object, names::INSTANCE_TYPE)?)?;
    let number = |key| meta::annotation(object, key).and_then(|text| text.parse::<f64>().ok());
    let zone = meta::label(object, names::ZONE).unwrap_or("");
    // Racks of the same name in different zones are different racks.
    let rack = format!("{zone}/{}", meta::label(object, names::RACK).unwrap_or(""));
    let allocatable =
        |key| quantity::parse(meta::text_at(object, &["status", "allocatable", key])).ok();
    let memory = allocatable("memory").map(|bytes| bytes / names::MEMORY_UNIT);
    let endpoint = Endpoint {
        machine: machine_id(&name),
        machine_type,
        cell: domain_id(&rack),
        zone: domain_id(zone),
        status: endpoint_status(object),
        started_at: number(names::STARTED_AT),
        unclaimed: Resources::new(
            number(names::UNCLAIMED_CPU)
                .or(allocatable("cpu"))
                .unwrap_or(0.0),
            number(names::UNCLAIMED_MEMORY).or(memory).unwrap_or(0.0),
        ),
    };
    let address = meta::annotation(object, names::ADDRESS)?.to_owned();
    Some(ListedNode {
        name,
        address,
        zone: zone.to_owned(),
        endpoint,
    })
}

fn endpoint_status(node: &Object) -> EndpointStatus {
    let conditions = meta::value_at(node, &["status", "conditions"]).as_array();
    let is_unready = conditions
        .into_iter()
        .flatten()
        .any(|condition| condition["type"] == "Ready" && condition["status"] != "True");
    let is_unschedulable = meta::value_at(node, &["spec", "unschedulable"]).as_bool();
    if is_unready {
        EndpointStatus::Gone
    } else if is_unschedulable == Some(true) {
        EndpointStatus::Draining
    } else {
        EndpointStatus::Ready
    }
}

/// Parses the value of the load report header: `key=number` pairs separated by semicolons. `None` if it is malformed.
pub fn read_load_report(header: &str) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for pair in header.split(';') {
        let (key, value) = pair.split_once('=')?;
        let value = value.trim().parse::<f64>().ok().filter(|v| v.is_finite())?;
        match key.trim() {
            "cores" => report.free_cpu = Some(value),
            "memory" => report.free_memory = Some(value),
            "queue" => report.queued = Some(value),
            "util" => report.cpu_utilization = Some(value),
            // Newer nodes may report other keys.
            _ => {}
        }
    }
    Some(report)
}

/// Maps a node's response to an offer to the outcome of the attempt; `None` if the node accepted it.
pub fn read_offer_outcome(status: u16, body: &Object) -> Option<AttemptOutcome> {
    let cause = meta::value_at(body, &["details", "causes"])
        .get(0)
        .map_or("", |cause| meta::text_at(cause, &["reason"]));
    Some(match (status, cause) {
        (200..=299, _) => return None,
        (429, _) => AttemptOutcome::Rejected(FailureCause::QueueFull),
        (_, "OutOfcpu") => AttemptOutcome::Rejected(FailureCause::InsufficientCpu),
        (_, "OutOfmemory") => AttemptOutcome::Rejected(FailureCause::InsufficientMemory),
        (400..=499, _) => AttemptOutcome::Rejected(FailureCause::NotEligible),
        _ => AttemptOutcome::Failed,
    })
}

/// Maximum length of a node's message, in characters. Longer messages are truncated.
const MAX_MESSAGE_CHARS: usize = 200;

/// The message of a response that rejects an offer, or its status code if it has none.
pub fn read_message(status: u16, body: &Object) -> String {
    let message = meta::text_at(body, &["message"]);
    if message.is_empty() {
        format!("status {status}")
    } else {
        message.chars().take(MAX_MESSAGE_CHARS).collect()
    }
}

/// Maps the reason for a placed task's end to the outcome of its attempt.
pub fn attempt_outcome(reason: TerminationReason) -> AttemptOutcome {
    match reason {
        TerminationReason::Succeeded => AttemptOutcome::Finished,
        // The program has exited. Its exit code says nothing about the health of the machine.
        TerminationReason::Failed => AttemptOutcome::Finished,
        TerminationReason::Evicted => AttemptOutcome::Interrupted(FailureCause::Evicted),
        TerminationReason::Preempted => AttemptOutcome::Interrupted(FailureCause::Preempted),
        TerminationReason::Drained => AttemptOutcome::Interrupted(FailureCause::Drained),
        TerminationReason::NodeLost => AttemptOutcome::Interrupted(FailureCause::Unspecified),
        TerminationReason::Stopped => AttemptOutcome::Cancelled,
    }
}
