//! What keeps tasks of one shape from the nodes, at one moment.

use crate::ReasonCode;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The node that came nearest to taking it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NearestNode {
    /// The node.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// What kept it out.
    pub code: ReasonCode,
    /// By how much: cores, memory units, seconds; 0 where it is not a matter of more or less.
    #[serde(rename = "short")]
    pub shortfall: f64,
}

/// The spread limit that holds for the class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpreadLimit {
    /// `node`, `rack`, `zone` or `all`.
    #[serde(rename = "place")]
    pub domain: String,
    /// The most of one service there, for one planner.
    #[serde(rename = "most")]
    pub max_tasks: u32,
}

/// Why tasks of one shape wait. Equal tasks share one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Diagnosis {
    /// Nodes that were looked at.
    #[serde(rename = "nodes")]
    pub node_count: u32,
    /// How many were ruled out by what.
    #[serde(rename = "bars")]
    pub rejections: BTreeMap<ReasonCode, u32>,
    /// The same by zone.
    pub zones: BTreeMap<String, BTreeMap<ReasonCode, u32>>,
    /// What keeps it from all alike.
    #[serde(rename = "block")]
    pub blocker: Option<ReasonCode>,
    /// The node that came nearest.
    pub nearest: Option<NearestNode>,
    /// The class's limit, where one bars.
    #[serde(rename = "limit")]
    pub spread_limit: Option<SpreadLimit>,
}

/// How far a node is from taking a task: whether time alone will do comes first, then room, then what only an
/// operator or another shape can change.
fn rank(code: ReasonCode) -> u32 {
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
    /// Counts a node that was ruled out.
    pub fn add_rejection(&mut self, node: &str, zone: &str, code: ReasonCode, short: f64) {
        *self.rejections.entry(code).or_default() += 1;
        *self
            .zones
            .entry(zone.to_owned())
            .or_default()
            .entry(code)
            .or_default() += 1;
        let nearer = self.nearest.as_ref().is_none_or(|nearest| {
            let order = rank(code)
                .cmp(&rank(nearest.code))
                .then(short.total_cmp(&nearest.shortfall));
            order.is_lt()
        });
        if nearer {
            self.nearest = Some(NearestNode {
                node: node.to_owned(),
                zone: zone.to_owned(),
                code,
                shortfall: short,
            });
        }
    }

    /// Nodes that nothing rules out.
    pub fn available_nodes(&self) -> u32 {
        self.node_count
            .saturating_sub(self.rejections.values().sum())
    }

    /// What rules nodes out and how many, the one that rules out most first.
    fn ordered(&self) -> Vec<(ReasonCode, u32)> {
        let mut bars: Vec<(ReasonCode, u32)> = self
            .rejections
            .iter()
            .map(|(code, count)| (*code, *count))
            .collect();
        bars.sort_by(|a, b| b.1.cmp(&a.1).then(a.0.cmp(&b.0)));
        bars
    }

    /// All codes that hold now, the one that rules out most first.
    pub fn codes(&self) -> Vec<ReasonCode> {
        let free =
            (self.available_nodes() > 0 && self.blocker.is_none()).then_some(ReasonCode::Free);
        let none = (self.node_count == 0).then_some(ReasonCode::NoList);
        self.blocker
            .into_iter()
            .chain(none)
            .chain(self.ordered().into_iter().map(|(code, _)| code))
            .chain(free)
            .collect()
    }

    /// Zones in which a reason rules out nodes.
    pub fn zones_of(&self, code: ReasonCode) -> impl Iterator<Item = &str> {
        let there =
            move |(_, bars): &(&String, &BTreeMap<ReasonCode, u32>)| bars.contains_key(&code);
        self.zones
            .iter()
            .filter(there)
            .map(|(zone, _)| zone.as_str())
    }

    /// Whether it says the same, leaving out by how much a node missed: that changes all the time.
    pub fn is_equivalent(&self, other: &Self) -> bool {
        (
            self.node_count,
            &self.rejections,
            &self.zones,
            self.blocker,
            &self.spread_limit,
        ) == (
            other.node_count,
            &other.rejections,
            &other.zones,
            other.blocker,
            &other.spread_limit,
        )
    }

    /// In the style of the published scheduler: `0/16 nodes are available: 9 no memory, 3 draining`.
    pub fn message(&self) -> String {
        if let Some(block) = self.blocker {
            return format!("can't be sent: {}", block.description());
        }
        if self.node_count == 0 {
            return "0/0 nodes are available: no list of nodes yet".into();
        }
        let one = |(code, count): (ReasonCode, u32)| match (&self.spread_limit, code) {
            (Some(limit), ReasonCode::Spread) => {
                format!(
                    "{count} {} limit of the service ({})",
                    limit.domain, limit.max_tasks
                )
            }
            _ => format!("{count} {}", code.description()),
        };
        let list: Vec<String> = self.ordered().into_iter().map(one).collect();
        let head = format!(
            "{}/{} nodes are available",
            self.available_nodes(),
            self.node_count
        );
        if list.is_empty() {
            head
        } else {
            format!("{head}: {}", list.join(", "))
        }
    }

    /// What would have to change, in words.
    pub fn hint(&self) -> Option<String> {
        if let Some(block) = self.blocker {
            return Some(format!(
                "nothing can be sent any more: {}",
                block.description()
            ));
        }
        let nearest = self.nearest.as_ref()?;
        let at = if nearest.zone.is_empty() {
            String::new()
        } else {
            format!(" in {}", nearest.zone)
        };
        let node = &nearest.node;
        Some(match (nearest.code, &self.spread_limit) {
            (ReasonCode::Cores, _) => {
                format!("{:.1} cores more free on {node}{at}", nearest.shortfall)
            }
            (ReasonCode::Memory, _) => {
                format!(
                    "{:.1} memory units more free on {node}{at}",
                    nearest.shortfall
                )
            }
            (ReasonCode::Spread, Some(limit)) => {
                format!(
                    "one copy of the service fewer in the {} of {node}{at}",
                    limit.domain
                )
            }
            (ReasonCode::SetAside, _) => {
                format!("{node}{at} is tried again in {:.1} s", nearest.shortfall)
            }
            (ReasonCode::Line, _) => format!("an answer of {node}{at}"),
            (ReasonCode::ColdBudget, _) => {
                format!("{node}{at} has just come up and takes more in a moment")
            }
            (ReasonCode::Draining, _) => format!("{node}{at} taken back into service"),
            (code, _) => format!("{node}{at}: {}", code.description()),
        })
    }
}
