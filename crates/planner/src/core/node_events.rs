//! Handles changes of the node list and of the connections to nodes.

use super::locate::LOCATE_TIMEOUT;
use super::{Core, Output, Step};
use crate::convert::{ListedNode, read_node};
use crate::nodes::ConnectionState;
use std::collections::BTreeSet;
use tidespur_api::Object;
use tidespur_planner_protocol::TerminationReason;
use tidespur_policy::interface::{Endpoint, EndpointStatus, Event};

impl Core {
    pub(super) fn on_nodes_listed(&mut self, step: &mut Step<'_>, nodes: &[Object]) {
        let listed: Vec<ListedNode> = nodes
            .iter()
            .filter_map(|node| read_node(node, &self.config))
            .collect();
        let names: BTreeSet<&str> = listed.iter().map(|node| node.name.as_str()).collect();
        let removed: Vec<String> = self
            .nodes
            .iter()
            .filter(|(name, node)| node.is_listed && !names.contains(name))
            .map(|(name, _)| name.to_owned())
            .collect();
        self.has_node_list = true;
        let mut endpoints = Vec::new();
        for node in listed {
            endpoints.push(self.insert_listed(step, node));
        }
        step.events.push(Event::EndpointsListed(endpoints));
        for node in removed {
            self.on_node_removed(step, &node);
        }
    }

    pub(super) fn on_node_updated(&mut self, step: &mut Step<'_>, node: &Object) {
        if let Some(node) = read_node(node, &self.config) {
            self.on_node_changed(step, node);
        }
    }

    pub(super) fn on_node_deleted(&mut self, step: &mut Step<'_>, node: &Object) {
        if let Some(mut node) = read_node(node, &self.config) {
            node.endpoint.status = EndpointStatus::Gone;
            self.on_node_changed(step, node);
        }
    }

    fn on_node_changed(&mut self, step: &mut Step<'_>, node: ListedNode) {
        let name = node.name.clone();
        let is_removed = node.endpoint.status == EndpointStatus::Gone;
        let endpoint = self.insert_listed(step, node);
        step.events.push(Event::EndpointsChanged(vec![endpoint]));
        if is_removed {
            self.on_node_removed(step, &name);
        }
    }

    /// Adds or updates a listed node, and returns its endpoint for the policy. The endpoint of a node that has not
    /// reported its Pods has the status `Gone`: after a start of the planner, or when nodes return, nothing may be
    /// offered to a node before the Pods that run there are known. Cost: a node whose watch can't be opened gets no
    /// offers, although it might accept them.
    fn insert_listed(&mut self, step: &mut Step<'_>, listed: ListedNode) -> Endpoint {
        let ListedNode {
            name,
            address,
            zone,
            endpoint,
        } = listed;
        self.machine_names.insert(endpoint.machine, &name);
        if self.nodes.insert_listed(&name, &address, &zone) {
            step.outputs.push(Output::WatchNode {
                node: name.clone(),
                address,
            });
        }
        if let Some(node) = self.nodes.get_mut(&name) {
            node.is_listed = endpoint.status != EndpointStatus::Gone;
            node.endpoint = Some(endpoint.clone());
            if !node.has_reported() {
                return Endpoint {
                    status: EndpointStatus::Gone,
                    ..endpoint
                };
            }
        }
        endpoint
    }

    /// Handles the removal of a node from the node list. Its tasks are lost unless it has reported within
    /// [`LOCATE_TIMEOUT`]: a node list that lags or flaps must not end running tasks.
    fn on_node_removed(&mut self, step: &mut Step<'_>, name: &str) {
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        node.is_listed = false;
        let is_connected = node.connection == ConnectionState::Connected;
        if is_connected && step.now - node.last_received < LOCATE_TIMEOUT {
            return;
        }
        node.pods.clear();
        self.attempts.clear_node(name);
        self.end_tasks_of_lost_node(step, name);
    }

    pub(super) fn on_node_watch_lost(&mut self, node: &str) {
        if let Some(node) = self.nodes.get_mut(node) {
            node.connection = ConnectionState::Disconnected;
        }
    }

    pub(super) fn on_node_connection_refused(&mut self, step: &mut Step<'_>, name: &str) {
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        node.connection = ConnectionState::Refused;
        node.pods.clear();
        self.end_tasks_of_lost_node(step, name);
    }

    fn end_tasks_of_lost_node(&mut self, step: &mut Step<'_>, node: &str) {
        for task in self.tasks.placed_at(node) {
            self.end_task(step, task, TerminationReason::NodeLost);
        }
    }
}
