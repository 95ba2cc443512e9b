//! Writes of Nodes. The node registry owns them: a write is forwarded to it, and its effect arrives through the watch.

use super::EdgeHooks;
use hyper::Method;
use serde_json::json;
use tidespur_api::{ApiError, Object, Resource, meta};
use tidespur_net::NetError;
use tidespur_rest::Verb;

/// Timeout of a request to the node registry, in seconds.
const REQUEST_TIMEOUT: f64 = 2.0;
/// Retry-After while the node registry cannot be reached, in seconds.
const RETRY_AFTER_SECONDS: u32 = 1;

pub(super) async fn write(
    edge: &EdgeHooks,
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
    let response = edge
        .registry
        .send(
            Method::PATCH,
            &path,
            "application/merge-patch+json",
            patch.to_string().into_bytes().into(),
            REQUEST_TIMEOUT,
        )
        .await;
    match response {
        Ok(response) if response.status.is_success() => Ok(node.clone()),
        Ok(response) => {
            let status = response.json();
            let reason = meta::text_at(&status, &["message"]);
            let message = format!("the register says: {reason}");
            Err(ApiError::new(response.status.as_u16(), "Conflict", message))
        }
        Err(NetError::Timeout) => Err(ApiError::new(
            504,
            "Timeout",
            "the register does not answer; look whether it took the change",
        )),
        Err(error) => {
            let message = format!("the register can't be reached: {error}");
            Err(ApiError::unavailable(message, RETRY_AFTER_SECONDS))
        }
    }
}
