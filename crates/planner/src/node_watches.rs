//! Watches on the Pods of nodes and on the node list.

use crate::core::Input;
use crate::process::{PlannerProcess, RECONNECT_BACKOFF, WATCH_HEADER_TIMEOUT, WATCH_TIMEOUT};
use serde_json::{Value, json};
use tidespur_api::{Object, meta, names};
use tidespur_net::follow::{ListWatchEvent, list_and_watch};
use tidespur_net::{NetError, clock};

/// Watches a node's Pods. The response starts with one event for each Pod and a bookmark; changes and bookmarks follow.
const WATCH_PODS: &str = "/api/v1/pods?watch=true&allowWatchBookmarks=true&sendInitialEvents=true\
    &resourceVersionMatch=NotOlderThan";
const LIST_NODES: &str = "/api/v1/nodes";

/// The state of one watch on a node's Pods.
enum PodStream {
    /// The initial list is incomplete: these Pods, but not yet its final bookmark, were received.
    Listing(Vec<Object>),
    /// The initial list is complete.
    Following,
}

/// A watch event has an unknown type.
struct UnknownEvent;

impl PodStream {
    /// Converts an event to an input. The events of the initial list yield one input, with its final bookmark.
    fn read(&mut self, node: &str, mut event: Value) -> Result<Option<Input>, UnknownEvent> {
        let node = node.to_owned();
        let pod = event["object"].take();
        let event_type = event["type"].as_str().unwrap_or("");
        let input = match (event_type, &mut *self) {
            ("BOOKMARK", Self::Listing(pods)) => {
                let pods = std::mem::take(pods);
                *self = Self::Following;
                Input::PodsListed { node, pods }
            }
            ("BOOKMARK", Self::Following) => Input::NodeAlive(node),
            ("ADDED", Self::Listing(pods)) => {
                pods.push(pod);
                return Ok(None);
            }
            ("ADDED" | "MODIFIED", _) => Input::PodUpdated { node, pod },
            ("DELETED", _) => Input::PodDeleted { node, pod },
            _ => return Err(UnknownEvent),
        };
        Ok(Some(input))
    }
}

impl PlannerProcess {
    /// Watches the Pods of a node, and reopens the watch whenever it ends.
    pub(crate) async fn watch_node(&self, node: &str, address: &str) {
        loop {
            let input = match self.watch_pods(node, address).await {
                Err(NetError::Refused) => Input::NodeConnectionRefused(node.to_owned()),
                Ok(()) | Err(_) => Input::NodeWatchLost(node.to_owned()),
            };
            self.send_input(input).await;
            clock::sleep(RECONNECT_BACKOFF).await;
        }
    }

    /// Watches the Pods of a node until the watch ends.
    async fn watch_pods(&self, node: &str, address: &str) -> Result<(), NetError> {
        let client = self.client(address);
        let mut lines = client
            .stream_lines(WATCH_PODS, WATCH_HEADER_TIMEOUT)
            .await?;
        let mut stream = PodStream::Listing(Vec::new());
        while let Some(Ok(Some(line))) = clock::timeout(WATCH_TIMEOUT, lines.next()).await {
            let Ok(event) = serde_json::from_slice::<Value>(&line) else {
                break;
            };
            let Ok(input) = stream.read(node, event) else {
                break;
            };
            if let Some(input) = input {
                self.send_input(input).await;
            }
        }
        Ok(())
    }

    /// Requests the node list and watches it until the watch ends.
    pub(crate) async fn watch_node_list(&self) {
        let client = self.client(&self.options.shared.registry);
        let read = |event| self.read_node_event(event);
        let reason = list_and_watch(
            &client,
            LIST_NODES,
            WATCH_HEADER_TIMEOUT,
            WATCH_TIMEOUT,
            read,
            &self.inputs,
        )
        .await;
        tracing::warn!(planner = self.name, %reason, "watch on the node list ended");
    }

    fn read_node_event(&self, event: ListWatchEvent) -> Input {
        match event {
            ListWatchEvent::Listed(nodes) => {
                let lines: Vec<Value> = nodes.iter().map(recorded_node).collect();
                self.recorder.record("list", || json!({"nodes": lines}));
                Input::NodesListed(nodes)
            }
            ListWatchEvent::Updated(node) => {
                self.record_node_event(&node, false);
                Input::NodeUpdated(node)
            }
            ListWatchEvent::Deleted(node) => {
                self.record_node_event(&node, true);
                Input::NodeDeleted(node)
            }
        }
    }

    fn record_node_event(&self, node: &Object, is_deleted: bool) {
        self.recorder.record("told", || {
            let mut line = recorded_node(node);
            line["deleted"] = is_deleted.into();
            line
        });
    }
}

/// The part of a Node that is recorded. The keys are part of the format of recordings.
fn recorded_node(node: &Object) -> Value {
    json!({"node": meta::name(node), "unschedulable": meta::value_at(node, &["spec", "unschedulable"]),
        "up_since": meta::annotation(node, names::STARTED_AT), "rack": meta::label(node, names::RACK),
        "zone": meta::label(node, names::ZONE)})
}
