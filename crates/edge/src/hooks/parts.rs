//! How the parts of an edge stand, and what an answer waits for.

use super::EdgeHooks;
use std::sync::atomic::Ordering;
use tidespur_api::ApiError;

/// An answer waits this long for what it rests on to be safe, in seconds.
const LASTING: f64 = 10.0;

/// Each part, with how it stands, or what it waits for and what an operator can do.
pub(super) fn all(edge: &EdgeHooks) -> Vec<(&'static str, Result<String, String>)> {
    let planners = edge.planners.load(Ordering::Relaxed);
    let none = "no planner is connected: nothing is placed; start planners, or look at their --edge or fleet";
    let mut parts = vec![(
        "planners",
        if planners > 0 {
            Ok(planners.to_string())
        } else {
            Err(none.into())
        },
    )];
    let memory = edge.disk.as_ref().map(|disk| match disk.disk.error() {
        Some(trouble) => Err(trouble),
        None => Ok(format!("{} syncs", disk.disk.syncs())),
    });
    parts.push((
        "memory",
        memory.unwrap_or_else(|| Ok("none: all ends with this process".into())),
    ));
    parts.extend(edge.voter.as_ref().map(|voter| match voter.readiness() {
        Ok(ready) => ("ledger", Ok(ready.to_string())),
        Err(reason) => ("ledger", Err(reason.to_string())),
    }));
    parts
}

/// Waits until all up to this version is safe. A reader is not kept waiting by a disk that takes nothing: it is warned.
pub(super) async fn lasting(
    edge: &EdgeHooks,
    version: u64,
    wrote: bool,
) -> Result<Option<String>, ApiError> {
    let Some(disk) = &edge.disk else {
        return Ok(None);
    };
    let within = if wrote || disk.disk.error().is_none() {
        LASTING
    } else {
        0.0
    };
    if disk.lasting(version, within).await {
        return Ok(None);
    }
    let why = disk
        .disk
        .error()
        .unwrap_or_else(|| "the disk is slow".into());
    if wrote {
        let text = format!("the write is not safe yet: {why}; look later whether it stands");
        return Err(ApiError::new(504, "Timeout", text));
    }
    Ok(Some(format!(
        "some of this is not safe yet and may be gone after a power loss: {why}"
    )))
}
