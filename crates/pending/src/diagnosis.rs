//! Snapshot of the reasons why no node accepts tasks with the same requests.

use crate::ReasonCode;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The node that would need the smallest change to accept the task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NearestNode {
    /// Name of the node.
    pub node: String,
    /// Zone of the node; empty if it has none.
    pub zone: String,
    /// Why it was rejected.
    pub code: ReasonCode,
    /// Amount that is missing: cores, memory units or seconds, depending on `code`; 0 for codes without an amount.
    #[serde(rename = "short")]
    pub shortfall: f64,
}

/// The spread limit of a class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpreadLimit {
    /// `node`, `rack`, `zone` or `all`.
    #[serde(rename = "place")]
    pub domain: String,
    /// Maximum number of tasks of one service that one planner places in one such domain.
    #[serde(rename = "most")]
    pub max_tasks: u32,
}

/// Why tasks with the same requests are pending. All of them share one diagnosis.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Diagnosis {
    /// Nodes that were examined.
    #[serde(rename = "nodes")]
    pub node_count: u32,
    /// Number of rejected nodes by reason.
    #[serde(rename = "bars")]
    pub rejections: BTreeMap<ReasonCode, u32>,
    /// Number of rejected nodes by zone and reason.
    pub zones: BTreeMap<String, BTreeMap<ReasonCode, u32>>,
    /// A reason that applies to the task itself, whichever node is considered.
    #[serde(rename = "block")]
    pub blocker: Option<ReasonCode>,
    /// The node that would need the smallest change to accept the task; `None` if no node was rejected.
    pub nearest: Option<NearestNode>,
    /// The spread limit of the class, if it rejects nodes.
    #[serde(rename = "limit")]
    pub spread_limit: Option<SpreadLimit>,
}

/// Orders rejections by how soon they can clear, the soonest first: those that clear without intervention, then missing
/// capacity, then those that only an operator or a different request can clear.
fn distance(code: ReasonCode) -> u32 {
    match code {
        ReasonCode::Line => 0,
        ReasonCode::ColdBudget => 1,
        ReasonCode::SetAside => 2,
        ReasonCode::Cores | ReasonCode::Memory => 3,
        ReasonCode::Spread => 4,
        ReasonCode::Draining => 5,
        _ => 6,
    }
}

impl Diagnosis {
    /// Counts a rejected node. For the unit of `shortfall` see [`NearestNode::shortfall`].
    pub fn add_rejection(&mut self, node: &str, zone: &str, code: ReasonCode, shortfall: f64) {
        *self.rejections.entry(code).or_default() += 1;
        let in_zone = self.zones.entry(zone.to_owned()).or_default();
        *in_zone.entry(code).or_default() += 1;
        if self.is_nearer(code, shortfall) {
            self.nearest = Some(NearestNode {
                node: node.to_owned(),
                zone: zone.to_owned(),
                code,
                shortfall,
            });
        }
    }

    /// Whether this rejection is nearer to an acceptance than that of the nearest node so far.
    fn is_nearer(&self, code: ReasonCode, shortfall: f64) -> bool {
        let Some(nearest) = &self.nearest else {
            return true;
        };
        let by_code = distance(code).cmp(&distance(nearest.code));
        by_code
            .then(shortfall.total_cmp(&nearest.shortfall))
            .is_lt()
    }

    /// Number of examined nodes that were not rejected.
    pub fn available_nodes(&self) -> u32 {
        let rejected = self.rejections.values().sum();
        self.node_count.saturating_sub(rejected)
    }

    /// Reasons with the number of nodes that each rejects, in descending order of that number.
    fn rejections_by_count(&self) -> Vec<(ReasonCode, u32)> {
        let mut rejections: Vec<(ReasonCode, u32)> = Vec::new();
        for (&code, &count) in &self.rejections {
            rejections.push((code, count));
        }
        rejections.sort_by(|a, b| b.1.cmp(&a.1).then(a.0.cmp(&b.0)));
        rejections
    }

    /// All current reasons: first the blocker, then the others in descending order of rejected nodes.
    pub fn codes(&self) -> Vec<ReasonCode> {
        let mut codes = Vec::new();
        codes.extend(self.blocker);
        if self.node_count == 0 {
            codes.push(ReasonCode::NoList);
        }
        for (code, _) in self.rejections_by_count() {
            codes.push(code);
        }
        if self.available_nodes() > 0 && self.blocker.is_none() {
            codes.push(ReasonCode::Free);
        }
        codes
    }

    /// Names of the zones in which a reason rejects nodes.
    pub fn zones_of(&self, code: ReasonCode) -> impl Iterator<Item = &str> {
        let zones = self.zones.iter();
        zones
            .filter(move |(_, rejections)| rejections.contains_key(&code))
            .map(|(zone, _)| zone.as_str())
    }

    /// Whether both have the same reasons and counts. Ignores the nearest node, whose shortfall changes constantly.
    pub fn is_equivalent(&self, other: &Self) -> bool {
        self.node_count == other.node_count
            && self.rejections == other.rejections
            && self.zones == other.zones
            && self.blocker == other.blocker
            && self.spread_limit == other.spread_limit
    }

    /// Message for users, in the style of kube-scheduler: `0/16 nodes are available: 9 no memory, 3 draining`.
    pub fn message(&self) -> String {
        if let Some(blocker) = self.blocker {
            return format!("can't be sent: {}", blocker.description());
        }
        if self.node_count == 0 {
            return "0/0 nodes are available: no list of nodes yet".into();
        }
        let available = self.available_nodes();
        let head = format!("{available}/{} nodes are available", self.node_count);
        let rejections = self.rejections_by_count();
        if rejections.is_empty() {
            return head;
        }
        let mut parts = Vec::new();
        for (code, count) in rejections {
            parts.push(self.rejection_message(code, count));
        }
        format!("{head}: {}", parts.join(", "))
    }

    fn rejection_message(&self, code: ReasonCode, count: u32) -> String {
        match (&self.spread_limit, code) {
            (Some(limit), ReasonCode::Spread) => {
                let (domain, max_tasks) = (&limit.domain, limit.max_tasks);
                format!("{count} {domain} limit of the service ({max_tasks})")
            }
            _ => format!("{count} {}", code.description()),
        }
    }

    /// Message for users on what would have to change for the task to be placed; `None` if nothing is known.
    pub fn hint(&self) -> Option<String> {
        if let Some(blocker) = self.blocker {
            let reason = blocker.description();
            return Some(format!("nothing can be sent any more: {reason}"));
        }
        let nearest = self.nearest.as_ref()?;
        Some(self.hint_for(nearest))
    }

    fn hint_for(&self, nearest: &NearestNode) -> String {
        let node = if nearest.zone.is_empty() {
            nearest.node.clone()
        } else {
            format!("{} in {}", nearest.node, nearest.zone)
        };
        let shortfall = nearest.shortfall;
        match (nearest.code, &self.spread_limit) {
            (ReasonCode::Cores, _) => format!("{shortfall:.1} cores more free on {node}"),
            (ReasonCode::Memory, _) => format!("{shortfall:.1} memory units more free on {node}"),
            (ReasonCode::Spread, Some(limit)) => {
                let domain = &limit.domain;
                format!("one copy of the service fewer in the {domain} of {node}")
            }
            (ReasonCode::SetAside, _) => format!("{node} is tried again in {shortfall:.1} s"),
            (ReasonCode::Line, _) => format!("an answer of {node}"),
            (ReasonCode::ColdBudget, _) => {
                format!("{node} has just come up and takes more in a moment")
            }
            (ReasonCode::Draining, _) => format!("{node} taken back into service"),
            (code, _) => format!("{node}: {}", code.description()),
        }
    }
}
