//! What a planner hears from nodes: which Pods they hold, and since when they are silent.

use crate::words::AtNode;
use std::collections::BTreeMap;
use tidespur_planner_protocol::{Location, TerminationReason};
use tidespur_policy::interface::Endpoint;

/// How the watch on a node stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// No word yet, or none now: it may hold anything.
    Unheard,
    /// Its watch stands.
    Watched,
    /// It refuses connections: its process is dead, and what it held with it.
    Dead,
}

/// A Pod at a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Held {
    /// Uid of the request that it was offered for.
    pub uid: String,
    /// Uid of the Pod there.
    pub pod_uid: String,
    /// How it stands.
    pub at: AtNode,
}

/// One node.
#[derive(Clone, Debug)]
pub struct Node {
    /// Where it takes Pods.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// How the watch stands.
    pub standing: Standing,
    /// When it was last heard.
    pub heard: f64,
    /// The register lists it.
    pub listed: bool,
    /// What the register says of it.
    pub entry: Option<Endpoint>,
    /// What it holds, by namespace and name.
    pub pods: BTreeMap<(String, String), Held>,
}

impl Node {
    /// Whether it has said what it holds, since this process began.
    pub fn is_known(&self) -> bool {
        self.heard.is_finite()
    }
}

/// All nodes, by name.
#[derive(Debug, Default)]
pub struct Nodes(pub BTreeMap<String, Node>);

impl Nodes {
    /// Takes in a listed node; true where its watch is to be opened (anew).
    pub fn list(&mut self, name: &str, address: &str, zone: &str) -> bool {
        match self.0.get_mut(name) {
            Some(node) => {
                let moved = node.address != address;
                (node.listed, node.address, node.zone) =
                    (true, address.to_owned(), zone.to_owned());
                moved
            }
            None => {
                let node = Node {
                    address: address.to_owned(),
                    zone: zone.to_owned(),
                    standing: Standing::Unheard,
                    heard: f64::NEG_INFINITY,
                    listed: true,
                    entry: None,
                    pods: BTreeMap::new(),
                };
                self.0.insert(name.to_owned(), node);
                true
            }
        }
    }

    /// Where a task is that was once offered under this name. `since`: nodes heard after this are sure of theirs.
    pub fn locate(&self, tenant: &str, name: &str, uid: &str, since: f64) -> Location {
        let key = (tenant.to_owned(), name.to_owned());
        let (mut ended, mut unclear) = (None, false);
        for (node_name, node) in &self.0 {
            match node
                .pods
                .get(&key)
                .or_else(|| node.pods.values().find(|held| held.uid == uid))
            {
                Some(Held {
                    at: AtNode::Over(end),
                    ..
                }) => ended = Some(*end),
                Some(_) if node.standing != Standing::Dead => {
                    return Location::At(node_name.clone());
                }
                _ => {}
            }
            // One that has left the list and stays silent counts as gone, with what it held.
            unclear |= node.listed && node.standing != Standing::Dead && node.heard <= since;
        }
        match ended {
            Some(TerminationReason::Succeeded) => Location::Ended(TerminationReason::Succeeded),
            _ if unclear => Location::Unknown,
            Some(end) => Location::Ended(end),
            None => Location::NotFound,
        }
    }
}
