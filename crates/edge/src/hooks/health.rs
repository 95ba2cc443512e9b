//! Readiness of the edge and its components, and waiting for the durability of answers.

use super::EdgeHooks;
use std::sync::atomic::Ordering;
use tidespur_api::ApiError;

/// How long an answer waits until the state that it shows is durable, in seconds.
const DURABILITY_TIMEOUT: f64 = 10.0;
/// Retry-After while the disk fails, in seconds.
const DISK_RETRY_AFTER_SECONDS: u32 = 5;
/// Retry-After while no planner is connected, in seconds.
const PLANNER_RETRY_AFTER_SECONDS: u32 = 1;

/// Name of a component, and its status: a summary if it is ready, else the problem and what an operator can do.
type ComponentStatus = (&'static str, Result<String, String>);

/// Why the disk cannot be written to; `None` if it can, or without persistence.
fn disk_error(edge: &EdgeHooks) -> Option<String> {
    edge.storage.as_ref()?.disk.error()
}

/// Fails with 503 while the disk cannot be written to.
pub(super) fn check_disk(edge: &EdgeHooks) -> Result<(), ApiError> {
    match disk_error(edge) {
        None => Ok(()),
        Some(error) => {
            let message = format!("nothing can be kept now: {error}");
            Err(ApiError::unavailable(message, DISK_RETRY_AFTER_SECONDS))
        }
    }
}

pub(super) fn ready(edge: &EdgeHooks) -> Result<String, ApiError> {
    check_disk(edge)?;
    match edge.connected_planners.load(Ordering::Relaxed) {
        0 => Err(ApiError::unavailable(
            "no planner is connected",
            PLANNER_RETRY_AFTER_SECONDS,
        )),
        planners => Ok(format!("ok, planners: {planners}")),
    }
}

/// Status of each component of this edge; the voter is omitted if it does not run one.
pub(super) fn components(edge: &EdgeHooks) -> Vec<ComponentStatus> {
    let mut components = vec![planners_status(edge), storage_status(edge)];
    if let Some(voter) = &edge.voter {
        let readiness = voter.readiness();
        let status = readiness
            .map(|ready| ready.to_string())
            .map_err(|reason| reason.to_string());
        components.push(("ledger", status));
    }
    components
}

fn planners_status(edge: &EdgeHooks) -> ComponentStatus {
    let status = match edge.connected_planners.load(Ordering::Relaxed) {
        0 => Err(
            "no planner is connected: nothing is placed; start planners, or look at their --edge or fleet"
                .into(),
        ),
        planners => Ok(planners.to_string()),
    };
    ("planners", status)
}

fn storage_status(edge: &EdgeHooks) -> ComponentStatus {
    let status = match &edge.storage {
        None => Ok("none: all ends with this process".into()),
        Some(storage) => match storage.disk.error() {
            Some(error) => Err(error),
            None => Ok(format!("{} syncs", storage.disk.syncs())),
        },
    };
    ("memory", status)
}

/// Waits until all changes up to this version are durable. While the disk fails, a read does not wait; returns the text
/// of a warning for its answer instead.
///
/// # Errors
/// 504 for a write that does not become durable in time.
pub(super) async fn wait_durable(
    edge: &EdgeHooks,
    version: u64,
    is_write: bool,
) -> Result<Option<String>, ApiError> {
    let Some(storage) = &edge.storage else {
        return Ok(None);
    };
    let timeout = if is_write || storage.disk.error().is_none() {
        DURABILITY_TIMEOUT
    } else {
        0.0
    };
    if storage.wait_durable(version, timeout).await {
        return Ok(None);
    }
    let reason = disk_error(edge).unwrap_or_else(|| "the disk is slow".into());
    if is_write {
        let message = format!("the write is not safe yet: {reason}; look later whether it stands");
        return Err(ApiError::new(504, "Timeout", message));
    }
    Ok(Some(format!(
        "some of this is not safe yet and may be gone after a power loss: {reason}"
    )))
}
