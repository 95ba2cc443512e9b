//! Published objects and answers in the policy's words. The one place for this direction.

use std::hash::Hasher;
use tidespur_api::{Object, meta, names, quantity};
use tidespur_config::Config;
use tidespur_policy::interface::{
    AttemptOutcome, Endpoint, EndpointStatus, FailureCause, LoadReport, MachineId, Resources,
    ServiceId,
};

fn hash(text: &str) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(text.as_bytes());
    hasher.finish()
}

/// A node's number, the same at every planner.
pub fn machine(node: &str) -> MachineId {
    MachineId(hash(node))
}

/// A service's number, the same at every planner.
pub fn service(name: &str) -> ServiceId {
    ServiceId(hash(name))
}

/// A zone's or rack's number, the same at every planner.
pub fn place(name: &str) -> usize {
    hash(name) as usize
}

/// What a Node in the register's list says.
#[derive(Clone, Debug)]
pub struct Listed {
    /// Its name.
    pub name: String,
    /// Where it takes Pods.
    pub address: String,
    /// Its zone, for people.
    pub zone: String,
    /// The line of the list.
    pub entry: Endpoint,
}

/// Reads a Node; `None` where its kind is not in the settings or it says nowhere to send to.
pub fn node(object: &Object, config: &Config) -> Option<Listed> {
    let name = meta::name(object).to_owned();
    let kind = config
        .node_types
        .get_index_of(meta::label(object, names::INSTANCE_TYPE)?)?;
    let number = |key| meta::annotation(object, key).and_then(|text| text.parse::<f64>().ok());
    let zone = meta::label(object, names::ZONE).unwrap_or("");
    // Two racks of one name in two zones are two racks.
    let rack = format!("{zone}/{}", meta::label(object, names::RACK).unwrap_or(""));
    let allocatable =
        |key| quantity::parse(meta::text_at(object, &["status", "allocatable", key])).ok();
    let unready = meta::value_at(object, &["status", "conditions"])
        .as_array()
        .is_some_and(|list| {
            list.iter()
                .any(|c| c["type"] == "Ready" && c["status"] != "True")
        });
    let standing = match meta::value_at(object, &["spec", "unschedulable"]).as_bool() {
        _ if unready => EndpointStatus::Gone,
        Some(true) => EndpointStatus::Draining,
        _ => EndpointStatus::Ready,
    };
    let memory = allocatable("memory").map(|bytes| bytes / names::MEMORY_UNIT);
    let entry = Endpoint {
        machine: machine(&name),
        machine_type: kind,
        cell: place(&rack),
        zone: place(zone),
        status: standing,
        started_at: number(names::STARTED_AT),
        unclaimed: Resources::new(
            number(names::UNCLAIMED_CPU)
                .or(allocatable("cpu"))
                .unwrap_or(0.0),
            number(names::UNCLAIMED_MEMORY).or(memory).unwrap_or(0.0),
        ),
    };
    let address = meta::annotation(object, names::ADDRESS)?.to_owned();
    Some(Listed {
        name,
        address,
        zone: zone.to_owned(),
        entry,
    })
}

/// Reads the load header.
pub fn report(header: &str) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for pair in header.split(';') {
        let (key, value) = pair.split_once('=')?;
        let value = value.trim().parse::<f64>().ok().filter(|v| v.is_finite())?;
        match key.trim() {
            "cores" => report.free_cpu = Some(value),
            "memory" => report.free_memory = Some(value),
            "queue" => report.queued = Some(value),
            "util" => report.cpu_utilization = Some(value),
            // A newer node may tell more.
            _ => {}
        }
    }
    Some(report)
}

/// What a node's answer to an offer says: `None` where it was accepted.
pub fn answer(status: u16, body: &Object) -> Option<AttemptOutcome> {
    let cause = meta::value_at(body, &["details", "causes"])
        .get(0)
        .map_or("", |c| meta::text_at(c, &["reason"]));
    Some(match (status, cause) {
        (200..=299, _) => return None,
        (429, _) => AttemptOutcome::Rejected(FailureCause::QueueFull),
        (_, "OutOfcpu") => AttemptOutcome::Rejected(FailureCause::InsufficientCpu),
        (_, "OutOfmemory") => AttemptOutcome::Rejected(FailureCause::InsufficientMemory),
        (400..=499, _) => AttemptOutcome::Rejected(FailureCause::NotEligible),
        _ => AttemptOutcome::Failed,
    })
}

/// What a node's words for why it turned an offer away are, for people.
pub fn refusal(status: u16, body: &Object) -> String {
    let message = meta::text_at(body, &["message"]);
    if message.is_empty() {
        format!("status {status}")
    } else {
        message.chars().take(200).collect()
    }
}

/// How a Pod at a node stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AtNode {
    /// Accepted.
    Waits,
    /// It runs.
    Runs,
    /// It has ended.
    Over(tidespur_planner_protocol::TerminationReason),
}

/// Reads the state of a Pod at a node.
pub fn at_node(pod: &Object) -> AtNode {
    use tidespur_planner_protocol::TerminationReason;
    match (
        meta::text_at(pod, &["status", "phase"]),
        meta::text_at(pod, &["status", "reason"]),
    ) {
        ("Running", _) => AtNode::Runs,
        ("Succeeded", _) => AtNode::Over(TerminationReason::Succeeded),
        ("Failed", "Evicted") => AtNode::Over(TerminationReason::Evicted),
        ("Failed", "Preempting") => AtNode::Over(TerminationReason::Preempted),
        ("Failed", "Terminated" | "NodeShutdown") => AtNode::Over(TerminationReason::Drained),
        ("Failed", "Deleted") => AtNode::Over(TerminationReason::Stopped),
        ("Failed", _) => AtNode::Over(TerminationReason::Failed),
        _ => AtNode::Waits,
    }
}

/// An end in the policy's words.
pub fn ending(end: tidespur_planner_protocol::TerminationReason) -> AttemptOutcome {
    use tidespur_planner_protocol::TerminationReason;
    match end {
        TerminationReason::Succeeded => AttemptOutcome::Finished,
        // The program ran to its own end; that says nothing about the machine.
        TerminationReason::Failed => AttemptOutcome::Finished,
        TerminationReason::Evicted => AttemptOutcome::Interrupted(FailureCause::Evicted),
        TerminationReason::Preempted => AttemptOutcome::Interrupted(FailureCause::Preempted),
        TerminationReason::Drained => AttemptOutcome::Interrupted(FailureCause::Drained),
        TerminationReason::NodeLost => AttemptOutcome::Interrupted(FailureCause::Unspecified),
        TerminationReason::Stopped => AttemptOutcome::Cancelled,
    }
}
