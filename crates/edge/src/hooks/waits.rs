//! Why work waits, as it is told at `/debug/waits`.

use super::RECORDS_MOST;
use serde_json::json;
use tidespur_api::{ApiError, Object};
use tidespur_pending::{PendingRecord, PendingRecords, PendingTotals, ReasonCode};

pub(super) fn told(ledger: &PendingRecords, rest: &[&str]) -> Result<Object, ApiError> {
    match rest {
        [] => {
            let line = |((class, namespace, zone, code), held): (_, PendingTotals)| {
                let code: ReasonCode = code;
                json!({"class": class, "namespace": namespace, "zone": zone, "reason": code, "source": code.source(),
                    "words": code.description(), "tasks": held.tasks, "cores": held.cores, "memory": held.memory,
                    "oldest": held.oldest})
            };
            Ok(
                json!({"reasons": ledger.totals().into_iter().map(line).collect::<Vec<_>>(),
                "waiting": ledger.len(), "withoutRecord": ledger.unrecorded_count()}),
            )
        }
        [space] => {
            let mut all: Vec<&PendingRecord> =
                ledger.iter(space).map(|(_, record)| record).collect();
            all.sort_by(|a, b| a.since.total_cmp(&b.since));
            let remaining = all.len().saturating_sub(RECORDS_MOST);
            all.truncate(RECORDS_MOST);
            Ok(json!({"items": all, "remaining": remaining}))
        }
        [space, pod] => match ledger.find(space, pod) {
            Some(record) => Ok(json!(record)),
            None => Err(ApiError::not_found("waits", pod)),
        },
        _ => Err(ApiError::no_such_path()),
    }
}
