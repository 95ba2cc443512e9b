//! Carries out the outputs of the core.
//!
//! The futures spawned for an offer, deletion, poll or timer are detached: each completes within a bounded time, and an
//! offer must report its answer even if its task has been abandoned.

use crate::core::{Input, Offer, Output};
use crate::node_client::read_load;
use crate::pod::PodName;
use crate::process::PlannerProcess;
use crate::task_table::EdgeId;
use bytes::Bytes;
use hyper::Method;
use serde_json::json;
use std::sync::Arc;
use tidespur_net::clock;
use tidespur_planner_protocol::ToEdge;

/// Timeout of a load poll, in seconds.
const LOAD_POLL_TIMEOUT: f64 = 1.0;

impl PlannerProcess {
    pub(crate) fn execute(self: &Arc<Self>, output: Output) {
        match output {
            Output::SendToEdge(edge, message) => self.send_to_edge(edge, message),
            Output::DisconnectEdges => self.disconnect_edges(),
            Output::Offer(offer) => self.spawn_offer(offer),
            Output::DeletePod {
                address,
                pod,
                pod_uid,
            } => self.spawn_deletion(address, pod, pod_uid),
            Output::WatchNode { node, address } => self.spawn_node_watch(node, address),
            Output::WatchNodeList => self.spawn_node_list_watch(),
            Output::PollLoad { node, address } => self.spawn_load_poll(node, address),
            Output::SetTimer { after, token } => self.spawn_timer(after, token),
            // Handled by the event loop, which passes it to the core.
            Output::SetPlannerCount(_) => {}
            Output::Log(line) => tracing::info!(planner = self.name, "{line}"),
        }
    }

    fn send_to_edge(&self, edge: EdgeId, message: ToEdge) {
        self.recorder.record("tell", || json!({"message": message}));
        let edges = self.edges.lock();
        let Some(queue) = edges.get(&edge) else {
            return;
        };
        // The queue is full if the edge does not read. Closing it disconnects the edge, whose open tasks are
        // then abandoned.
        if queue.try_send(message).is_err() {
            queue.close();
        }
    }

    fn disconnect_edges(&self) {
        for queue in self.edges.lock().values() {
            queue.close();
        }
    }

    fn spawn_offer(self: &Arc<Self>, offer: Offer) {
        let process = self.clone();
        smol::spawn(async move {
            let answer = process.offer(&offer).await;
            let input = Input::OfferAnswered {
                task: offer.task,
                attempt: offer.attempt,
                answer,
            };
            process.send_input(input).await;
        })
        .detach();
    }

    fn spawn_deletion(self: &Arc<Self>, address: String, pod: PodName, pod_uid: Option<String>) {
        let process = self.clone();
        smol::spawn(async move { process.delete_pod(&address, &pod, pod_uid).await }).detach();
    }

    fn spawn_node_watch(self: &Arc<Self>, node: String, address: String) {
        let process = self.clone();
        let watched = node.clone();
        let watch = smol::spawn(async move { process.watch_node(&watched, &address).await });
        // Inserting drops an older watch on the node, which cancels it.
        self.node_watches.lock().insert(node, watch);
    }

    fn spawn_node_list_watch(self: &Arc<Self>) {
        let process = self.clone();
        smol::spawn(async move {
            process.watch_node_list().await;
            process.send_input(Input::NodeListFailed).await;
        })
        .detach();
    }

    fn spawn_load_poll(self: &Arc<Self>, node: String, address: String) {
        let process = self.clone();
        smol::spawn(async move {
            let client = process.client(&address);
            let reply = client
                .send(Method::GET, "/healthz", "", Bytes::new(), LOAD_POLL_TIMEOUT)
                .await;
            let report = reply.ok().and_then(|reply| read_load(&reply));
            process.send_input(Input::LoadPolled { node, report }).await;
        })
        .detach();
    }

    fn spawn_timer(self: &Arc<Self>, after: f64, token: u64) {
        let process = self.clone();
        smol::spawn(async move {
            clock::sleep(after).await;
            process.send_input(Input::TimerFired(token)).await;
        })
        .detach();
    }
}
