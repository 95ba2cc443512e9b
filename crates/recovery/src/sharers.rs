//! How many planners share what cold nodes bear: counted in the ledger by whoever acts for the fleet, told to planners.
//!
//! A count that is too high makes each part smaller and harms nobody; one that is too low pushes cold nodes over. So it
//! rises as soon as a planner is here, and falls only for one that said itself that it left: never as somebody is silent.
//! A planner is told nothing before the ledger counts it; until then it takes the part that the settings give it.

use std::collections::{BTreeMap, BTreeSet};

/// Seconds.
type Seconds = f64;

/// A planner of a longer name is not counted. Bounds what the ledger keeps.
pub const MAX_NAME_BYTES: usize = 64;
/// Planners that are counted at the most; further ones keep to the settings' part.
const COUNTED_MOST: usize = 4_096;
/// What was asked of the ledger and has not come about is asked again after this.
const AGAIN: Seconds = 1.0;

/// How things stand at a step.
#[derive(Clone, Copy, Debug)]
pub struct Observed<'a> {
    /// The token under which this process may act for the fleet now.
    pub token: Option<u64>,
    /// Planners that are linked to it, by link.
    pub connected: &'a BTreeMap<u64, String>,
    /// Planners that the ledger counts.
    pub counted: &'a BTreeSet<String>,
    /// Planners that have said that they left.
    pub departed: &'a BTreeSet<String>,
}

/// What is to be done, each under the token of that step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Have the ledger count this planner.
    AddPlanner(String),
    /// Have the ledger count it no more.
    RemovePlanner(String),
    /// Tell the planner on this link that so many share.
    NotifyPlanner {
        /// The link.
        link: u64,
        /// The token under which it is said.
        token: u64,
        /// How many.
        planners: u32,
    },
}

/// The one who counts.
#[derive(Debug, Default)]
pub struct PlannerCount {
    /// What was told last on each link.
    told: BTreeMap<u64, (u64, u32)>,
    /// When the ledger was last asked about a planner.
    asked: BTreeMap<String, Seconds>,
}

impl PlannerCount {
    /// Tells what is to be done at `now`.
    pub fn step(&mut self, now: Seconds, seen: &Observed<'_>, out: &mut Vec<Output>) {
        self.asked.retain(|_, at| now < *at + AGAIN);
        self.told
            .retain(|link, _| seen.connected.contains_key(link));
        let Some(token) = seen.token else { return };
        let here: BTreeSet<&String> = seen
            .connected
            .values()
            .filter(|name| is_sound(name))
            .collect();
        let new = here.iter().filter(|name| !seen.counted.contains(**name));
        let new: Vec<&String> = new
            .take(COUNTED_MOST.saturating_sub(seen.counted.len()))
            .copied()
            .collect();
        for &name in &new {
            if self.ask(now, name) {
                out.push(Output::AddPlanner(name.clone()));
            }
        }
        for name in seen
            .counted
            .iter()
            .filter(|name| seen.departed.contains(*name) && !here.contains(name))
        {
            if self.ask(now, name) {
                out.push(Output::RemovePlanner(name.clone()));
            }
        }
        // Who is not counted yet counts already for the others: they make room first.
        let planners = u32::try_from(seen.counted.len() + new.len()).unwrap_or(u32::MAX);
        for (&link, _) in seen
            .connected
            .iter()
            .filter(|(_, name)| seen.counted.contains(*name))
        {
            if self.told.insert(link, (token, planners)) != Some((token, planners)) {
                out.push(Output::NotifyPlanner {
                    link,
                    token,
                    planners,
                });
            }
        }
    }

    /// What was to be told on this link was not: it is told again.
    pub fn unsaid(&mut self, link: u64) {
        self.told.remove(&link);
    }

    fn ask(&mut self, now: Seconds, name: &str) -> bool {
        if self.asked.contains_key(name) {
            return false;
        }
        self.asked.insert(name.to_owned(), now);
        true
    }
}

fn is_sound(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES
}
