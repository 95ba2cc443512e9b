//! What keeps tasks of one shape from the nodes, at one moment.

use crate::Code;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The node that came nearest to taking it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Nearest {
    /// The node.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// What kept it out.
    pub code: Code,
    /// By how much: cores, memory units, seconds; 0 where it is not a matter of more or less.
    pub short: f64,
}

/// The spread limit that holds for the class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limit {
    /// `node`, `rack`, `zone` or `all`.
    pub place: String,
    /// The most of one service there, for one planner.
    pub most: u32,
}

/// Why tasks of one shape wait. Equal tasks share one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Diagnosis {
    /// Nodes that were looked at.
    pub nodes: u32,
    /// How many were ruled out by what.
    pub bars: BTreeMap<Code, u32>,
    /// The same by zone.
    pub zones: BTreeMap<String, BTreeMap<Code, u32>>,
    /// What keeps it from all alike.
    pub block: Option<Code>,
    /// The node that came nearest.
    pub nearest: Option<Nearest>,
    /// The class's limit, where one bars.
    pub limit: Option<Limit>,
}

/// How far a node is from taking a task: whether time alone will do comes first, then room, then what only an
/// operator or another shape can change.
fn rank(code: Code) -> u32 {
    match code {
        Code::Line => 0,
        Code::ColdBudget => 1,
        Code::SetAside => 2,
        Code::Cores | Code::Memory => 3,
        Code::Spread => 4,
        Code::Draining => 5,
        _ => 6,
    }
}

impl Diagnosis {
    /// Counts a node that was ruled out.
    pub fn bar(&mut self, node: &str, zone: &str, code: Code, short: f64) {
        *self.bars.entry(code).or_default() += 1;
        *self
            .zones
            .entry(zone.to_owned())
            .or_default()
            .entry(code)
            .or_default() += 1;
        let nearer = self.nearest.as_ref().is_none_or(|nearest| {
            let order = rank(code)
                .cmp(&rank(nearest.code))
                .then(short.total_cmp(&nearest.short));
            order.is_lt()
        });
        if nearer {
            self.nearest = Some(Nearest {
                node: node.to_owned(),
                zone: zone.to_owned(),
                code,
                short,
            });
        }
    }

    /// Nodes that nothing rules out.
    pub fn free(&self) -> u32 {
        self.nodes.saturating_sub(self.bars.values().sum())
    }

    /// What rules nodes out and how many, the one that rules out most first.
    fn ordered(&self) -> Vec<(Code, u32)> {
        let mut bars: Vec<(Code, u32)> = self
            .bars
            .iter()
            .map(|(code, count)| (*code, *count))
            .collect();
        bars.sort_by(|a, b| b.1.cmp(&a.1).then(a.0.cmp(&b.0)));
        bars
    }

    /// All codes that hold now, the one that rules out most first.
    pub fn codes(&self) -> Vec<Code> {
        let free = (self.free() > 0 && self.block.is_none()).then_some(Code::Free);
        let none = (self.nodes == 0).then_some(Code::NoList);
        self.block
            .into_iter()
            .chain(none)
            .chain(self.ordered().into_iter().map(|(code, _)| code))
            .chain(free)
            .collect()
    }

    /// Zones in which a reason rules out nodes.
    pub fn zones_of(&self, code: Code) -> impl Iterator<Item = &str> {
        let there = move |(_, bars): &(&String, &BTreeMap<Code, u32>)| bars.contains_key(&code);
        self.zones
            .iter()
            .filter(there)
            .map(|(zone, _)| zone.as_str())
    }

    /// Whether it says the same, leaving out by how much a node missed: that changes all the time.
    pub fn same(&self, other: &Self) -> bool {
        (self.nodes, &self.bars, &self.zones, self.block, &self.limit)
            == (
                other.nodes,
                &other.bars,
                &other.zones,
                other.block,
                &other.limit,
            )
    }

    /// In the style of the published scheduler: `0/16 nodes are available: 9 no memory, 3 draining`.
    pub fn message(&self) -> String {
        if let Some(block) = self.block {
            return format!("can't be sent: {}", block.words());
        }
        if self.nodes == 0 {
            return "0/0 nodes are available: no list of nodes yet".into();
        }
        let one = |(code, count): (Code, u32)| match (&self.limit, code) {
            (Some(limit), Code::Spread) => {
                format!(
                    "{count} {} limit of the service ({})",
                    limit.place, limit.most
                )
            }
            _ => format!("{count} {}", code.words()),
        };
        let list: Vec<String> = self.ordered().into_iter().map(one).collect();
        let head = format!("{}/{} nodes are available", self.free(), self.nodes);
        if list.is_empty() {
            head
        } else {
            format!("{head}: {}", list.join(", "))
        }
    }

    /// What would have to change, in words.
    pub fn hint(&self) -> Option<String> {
        if let Some(block) = self.block {
            return Some(format!("nothing can be sent any more: {}", block.words()));
        }
        let nearest = self.nearest.as_ref()?;
        let at = if nearest.zone.is_empty() {
            String::new()
        } else {
            format!(" in {}", nearest.zone)
        };
        let node = &nearest.node;
        Some(match (nearest.code, &self.limit) {
            (Code::Cores, _) => format!("{:.1} cores more free on {node}{at}", nearest.short),
            (Code::Memory, _) => {
                format!("{:.1} memory units more free on {node}{at}", nearest.short)
            }
            (Code::Spread, Some(limit)) => {
                format!(
                    "one copy of the service fewer in the {} of {node}{at}",
                    limit.place
                )
            }
            (Code::SetAside, _) => format!("{node}{at} is tried again in {:.1} s", nearest.short),
            (Code::Line, _) => format!("an answer of {node}{at}"),
            (Code::ColdBudget, _) => {
                format!("{node}{at} has just come up and takes more in a moment")
            }
            (Code::Draining, _) => format!("{node}{at} taken back into service"),
            (code, _) => format!("{node}{at}: {}", code.words()),
        })
    }
}
