//! Writes of Nodes. They belong to the node registry: a change is requested there, and comes back by the watch.

use super::EdgeHooks;
use hyper::Method;
use serde_json::json;
use tidespur_api::{ApiError, Object, Resource, meta};
use tidespur_net::NetError;
use tidespur_rest::Verb;

/// Bound of a request to the node registry, in seconds.
const REQUEST_TIMEOUT: f64 = 2.0;
/// Clients may retry after this long where the registry cannot be reached, in seconds.
const RETRY_AFTER: u32 = 1;

pub(super) async fn write(
    hooks: &EdgeHooks,
    verb: Verb,
    resource: &'static Resource,
    node: &Object,
) -> Result<Object, ApiError> {
    if verb != Verb::Update {
        return Err(ApiError::method_not_allowed());
    }
    let path = resource.path("", meta::name(node));
    let unschedulable = meta::value_at(node, &["spec", "unschedulable"]);
    let patch = json!({"spec": {"unschedulable": unschedulable}});
    let sent = hooks
        .registry
        .send(
            Method::PATCH,
            &path,
            "application/merge-patch+json",
            patch.to_string().into_bytes().into(),
            REQUEST_TIMEOUT,
        )
        .await;
    match sent {
        Ok(reply) if reply.status.is_success() => Ok(node.clone()),
        Ok(reply) => {
            let status = reply.json();
            let reason = meta::text_at(&status, &["message"]);
            let message = format!("the register says: {reason}");
            Err(ApiError::new(reply.status.as_u16(), "Conflict", message))
        }
        Err(NetError::Timeout) => Err(ApiError::new(
            504,
            "Timeout",
            "the register does not answer; look whether it took the change",
        )),
        Err(error) => {
            let message = format!("the register can't be reached: {error}");
            Err(ApiError::unavailable(message, RETRY_AFTER))
        }
    }
}
