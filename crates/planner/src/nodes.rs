//! The state of nodes: the Pods that they hold, and the connections to them. Owned by [`crate::core::Core`].

use crate::pod::{ObservedPod, PodName, PodPhase};
use std::collections::BTreeMap;
use tidespur_planner_protocol::{Location, TerminationReason};
use tidespur_policy::interface::{Endpoint, MachineId};

/// State of the watch on a node's Pods.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// The watch is not open: the node may hold any Pods.
    Disconnected,
    /// The watch is open.
    Connected,
    /// The node refuses connections: its process has exited, and its Pods with it.
    Refused,
}

/// The state of one node.
#[derive(Clone, Debug)]
pub struct Node {
    /// `host:port` of the node's API.
    pub address: String,
    /// Name of the node's zone; empty if it has none.
    pub zone: String,
    /// State of the watch on its Pods.
    pub connection: ConnectionState,
    /// When its watch last received data, in seconds; negative infinity before the first data.
    pub last_received: f64,
    /// Whether it is in the node list.
    pub is_listed: bool,
    /// The policy's view of its entry in the node list; `None` until it is listed.
    pub endpoint: Option<Endpoint>,
    /// The Pods that it has reported, including terminated ones.
    pub pods: BTreeMap<PodName, ObservedPod>,
}

impl Node {
    /// Whether it has reported its Pods since this process started.
    pub fn has_reported(&self) -> bool {
        self.last_received.is_finite()
    }

    /// Records that its watch has received data: the node is connected.
    pub fn on_received(&mut self, now: f64) {
        self.connection = ConnectionState::Connected;
        self.last_received = now;
    }
}

/// All nodes, by name.
#[derive(Debug, Default)]
pub struct NodeTable {
    nodes: BTreeMap<String, Node>,
}

impl NodeTable {
    /// The node with this name, listed or not.
    pub fn get(&self, name: &str) -> Option<&Node> {
        self.nodes.get(name)
    }

    /// The node with this name, to update its state.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut Node> {
        self.nodes.get_mut(name)
    }

    /// All nodes, ordered by name, including those that are no longer listed.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Node)> {
        self.nodes.iter().map(|(name, node)| (name.as_str(), node))
    }

    /// A Pod that a node has reported; `None` if the node or the Pod is unknown.
    pub fn pod(&self, node: &str, pod: &PodName) -> Option<&ObservedPod> {
        self.get(node)?.pods.get(pod)
    }

    /// Whether a node has reported its Pods since this process started.
    pub fn has_reported(&self, node: &str) -> bool {
        self.get(node).is_some_and(Node::has_reported)
    }

    /// Adds or updates a node of the node list. Returns whether a watch has to be opened because the node or its
    /// address is new.
    pub fn insert_listed(&mut self, name: &str, address: &str, zone: &str) -> bool {
        if let Some(node) = self.nodes.get_mut(name) {
            let has_moved = node.address != address;
            node.is_listed = true;
            node.address = address.to_owned();
            node.zone = zone.to_owned();
            return has_moved;
        }
        let node = Node {
            address: address.to_owned(),
            zone: zone.to_owned(),
            connection: ConnectionState::Disconnected,
            last_received: f64::NEG_INFINITY,
            is_listed: true,
            endpoint: None,
            pods: BTreeMap::new(),
        };
        self.nodes.insert(name.to_owned(), node);
        true
    }

    /// Searches all nodes for a task's Pod, by its name or its request's uid. A node proves only by a report after
    /// `since` that it does not hold the Pod.
    pub fn locate(&self, pod: &PodName, uid: &str, since: f64) -> Location {
        let mut ended = None;
        let mut may_be_held = false;
        for (name, node) in &self.nodes {
            let has_uid = |observed: &&ObservedPod| observed.request_uid == uid;
            let by_uid = || node.pods.values().find(has_uid);
            match node.pods.get(pod).or_else(by_uid).map(|held| held.phase) {
                Some(PodPhase::Terminated(reason)) => ended = Some(reason),
                Some(_) if node.connection != ConnectionState::Refused => {
                    return Location::At(name.clone());
                }
                _ => {}
            }
            // A silent node that is not listed counts as removed together with its Pods.
            may_be_held |= node.is_listed
                && node.connection != ConnectionState::Refused
                && node.last_received <= since;
        }
        match ended {
            Some(TerminationReason::Succeeded) => Location::Ended(TerminationReason::Succeeded),
            _ if may_be_held => Location::Unknown,
            Some(reason) => Location::Ended(reason),
            None => Location::NotFound,
        }
    }
}

/// Node names by the machine ids of the policy.
#[derive(Debug, Default)]
pub struct MachineNames(BTreeMap<MachineId, String>);

impl MachineNames {
    /// Adds a node. The name of a known id is kept.
    pub fn insert(&mut self, id: MachineId, node: &str) {
        self.0.entry(id).or_insert_with(|| node.to_owned());
    }

    /// The node of a machine id; `None` if it was never added.
    pub fn get(&self, id: MachineId) -> Option<&str> {
        self.0.get(&id).map(String::as_str)
    }
}
