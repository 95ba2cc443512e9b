//! The `/debug` endpoints: pending work, the voter of the coordination log, and the fleet.

use super::EdgeHooks;
use serde_json::{Value, json};
use tidespur_api::{ApiError, Object};
use tidespur_coordination_net::VoterHandle;
use tidespur_membership_net::view_to_json;
use tidespur_net::clock;
use tidespur_pending::{PendingRecord, PendingRecords};

/// Maximum number of records in one answer; the ones that have been pending longest come first.
const MAX_RECORDS: usize = 1_000;

/// Handles a request beneath `/debug`; `None` for any other path.
pub(super) fn handle(
    edge: &EdgeHooks,
    method: &str,
    path: &str,
) -> Option<Result<Object, ApiError>> {
    let segments: Vec<&str> = path
        .split('/')
        .filter(|segment| !segment.is_empty())
        .collect();
    match (segments.as_slice(), method) {
        (["debug", "ledger", rest @ ..], _) => {
            let voter = edge.voter.as_ref()?;
            Some(coordination(voter, method, rest))
        }
        (["debug", "fleet"], "GET") => Some(fleet(edge)),
        (["debug", "waits", rest @ ..], "GET") => {
            Some(pending_work(&edge.pending_records.lock(), rest))
        }
        (["debug", "waits", ..], _) => Some(Err(ApiError::method_not_allowed())),
        _ => None,
    }
}

fn coordination(voter: &VoterHandle, method: &str, rest: &[&str]) -> Result<Object, ApiError> {
    match (rest, method) {
        ([], "GET") => Ok(voter.report()),
        (["readmit", name], "POST") => {
            let name = (*name).to_owned();
            voter.send(tidespur_coordination::Input::ReadmitVoter(name));
            Ok(voter.report())
        }
        _ => Err(ApiError::method_not_allowed()),
    }
}

fn fleet(edge: &EdgeHooks) -> Result<Object, ApiError> {
    match &edge.member {
        Some(member) => Ok(view_to_json(&member.view(), clock::now())),
        None => Err(ApiError::not_found(
            "fleet",
            "none: this edge has joined no fleet",
        )),
    }
}

/// Answers `waits/NAMESPACE/POD` with the record of one Pod, `waits/NAMESPACE` with the records of a namespace, and
/// `waits` with totals of the whole edge, which name no Pods: owners see only the names of their own.
fn pending_work(records: &PendingRecords, rest: &[&str]) -> Result<Object, ApiError> {
    match rest {
        [] => Ok(pending_totals(records)),
        [namespace] => Ok(pending_in_namespace(records, namespace)),
        [namespace, pod] => match records.find(namespace, pod) {
            Some(record) => Ok(json!(record)),
            None => Err(ApiError::not_found("waits", pod)),
        },
        _ => Err(ApiError::no_such_path()),
    }
}

fn pending_totals(records: &PendingRecords) -> Object {
    let mut reasons: Vec<Value> = Vec::new();
    for ((class, namespace, zone, code), totals) in records.totals() {
        reasons.push(json!({"class": class, "namespace": namespace, "zone": zone, "reason": code,
            "source": code.source(), "words": code.description(), "tasks": totals.tasks, "cores": totals.cores,
            "memory": totals.memory, "oldest": totals.oldest}));
    }
    json!({"reasons": reasons, "waiting": records.len(), "withoutRecord": records.unrecorded_count()})
}

fn pending_in_namespace(records: &PendingRecords, namespace: &str) -> Object {
    let mut items: Vec<&PendingRecord> =
        records.iter(namespace).map(|(_, record)| record).collect();
    items.sort_by(|first, second| first.since.total_cmp(&second.since));
    let remaining = items.len().saturating_sub(MAX_RECORDS);
    items.truncate(MAX_RECORDS);
    json!({"items": items, "remaining": remaining})
}
