//! Dispatches inputs to their handlers.

use super::{Core, Input, Step};
use crate::convert;
use tidespur_policy::interface::Event;

impl Core {
    pub(super) fn on_input(&mut self, step: &mut Step<'_>, input: Input) {
        match input {
            Input::EdgeMessage(edge, message) => self.on_edge_message(step, edge, message),
            Input::EdgeDisconnected(edge) => self.on_edge_disconnected(step, edge),
            Input::NodesListed(nodes) => self.on_nodes_listed(step, &nodes),
            Input::NodeUpdated(node) => self.on_node_updated(step, &node),
            Input::NodeDeleted(node) => self.on_node_deleted(step, &node),
            Input::NodeListFailed => step.events.push(Event::EndpointListFailed),
            Input::OfferAnswered {
                task,
                attempt,
                answer,
            } => self.on_offer_answered(step, task, attempt, answer),
            Input::PodsListed { node, pods } => self.on_pods_listed(step, &node, &pods),
            Input::PodUpdated { node, pod } => self.on_pod_updated(step, &node, &pod),
            Input::PodDeleted { node, pod } => self.on_pod_deleted(step, &node, &pod),
            Input::NodeAlive(node) => {
                if let Some(node) = self.nodes.get_mut(&node) {
                    node.on_received(step.now);
                }
            }
            Input::NodeWatchLost(node) => self.on_node_watch_lost(&node),
            Input::NodeConnectionRefused(node) => self.on_node_connection_refused(step, &node),
            Input::LoadPolled { node, report } => step.events.push(Event::LoadPolled {
                machine: convert::machine_id(&node),
                report,
            }),
            Input::TimerFired(token) => step.events.push(Event::TimerFired(token)),
            Input::LagProbe(sent_at) => self.shedder.observe_lag(step.now, step.now - sent_at),
            Input::Tick => {}
        }
    }
}
