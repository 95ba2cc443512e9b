//! Lists and watches the Nodes of the node registry, and sends changes to the event loop.

use crate::core::Input;
use crate::server::EdgeServer;
use std::sync::Arc;
use tidespur_net::follow::{ListWatchEvent, list_and_watch};
use tidespur_net::{Client, clock};

/// Connections to the node registry: one for the list and one for the watch.
const REGISTRY_CONNECTIONS: usize = 2;
/// Timeout of a request to the node registry, in seconds.
const REQUEST_TIMEOUT: f64 = 2.0;
/// Time without data after which the watch counts as lost, in seconds.
const WATCH_TIMEOUT: f64 = 1.6;
/// Delay before the Nodes are listed again after the watch ended, in seconds.
const RETRY_INTERVAL: f64 = 0.5;

impl EdgeServer {
    /// Lists and watches Nodes, and starts over whenever the watch ends. Does not return.
    pub(crate) async fn watch_nodes(self: Arc<Self>) {
        let registry = &self.options.shared.registry;
        let to_input = |event| match event {
            ListWatchEvent::Listed(nodes) => Input::NodesListed(nodes),
            ListWatchEvent::Updated(node) => Input::NodeUpdated(node),
            ListWatchEvent::Deleted(node) => Input::NodeDeleted(node),
        };
        loop {
            let client = Client::new(registry, REGISTRY_CONNECTIONS, vec![]);
            let error = list_and_watch(
                &client,
                "/api/v1/nodes",
                REQUEST_TIMEOUT,
                WATCH_TIMEOUT,
                to_input,
                &self.inputs,
            )
            .await;
            let edge = &self.options.name;
            tracing::warn!(edge, registry, %error, "the watch of the node registry ended");
            clock::sleep(RETRY_INTERVAL).await;
        }
    }
}
