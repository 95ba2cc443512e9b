//! Event objects about Pods, in the format of the Kubernetes API.

use serde_json::json;
use tidespur_api::{Object, meta};

/// The `type` of an Event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EventType {
    Normal,
    Warning,
}

impl EventType {
    fn as_str(self) -> &'static str {
        match self {
            Self::Normal => "Normal",
            Self::Warning => "Warning",
        }
    }
}

/// Creates an Event about a Pod, which has occurred once.
pub(crate) fn pod_event(
    pod: &Object,
    name: &str,
    event_type: EventType,
    reason: &str,
    message: &str,
    now: f64,
) -> Object {
    let timestamp = meta::timestamp(now);
    json!({"kind": "Event", "apiVersion": "v1",
        "metadata": {"name": name, "namespace": meta::namespace(pod)},
        "involvedObject": {"kind": "Pod", "apiVersion": "v1", "namespace": meta::namespace(pod),
            "name": meta::name(pod), "uid": meta::uid(pod)},
        "type": event_type.as_str(), "reason": reason, "message": message, "count": 1,
        "firstTimestamp": timestamp, "lastTimestamp": timestamp,
        "source": {"component": "tidespur"}, "reportingComponent": "tidespur", "reportingInstance": ""})
}

/// Updates an Event that has occurred again, `count` times in total.
pub(crate) fn repeat(event: &mut Object, message: &str, count: u32, now: f64) {
    event["message"] = message.into();
    event["count"] = count.into();
    event["lastTimestamp"] = meta::timestamp(now).into();
    event["series"] = json!({"count": count, "lastObservedTime": meta::timestamp_micro(now)});
}
