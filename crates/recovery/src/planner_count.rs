//! The number of planners among which the slow-start budget of cold nodes is divided. The edge that acts for the fleet
//! counts them in the coordination log, and notifies the planners.
//!
//! A count that is too high makes each share smaller and harms nobody; one that is too low overloads cold nodes. So the
//! count rises as soon as a planner connects, and falls only for a planner that has announced its departure, never
//! because one is silent. A planner is notified only once it is counted; until then it uses the share that the settings
//! give it.

use crate::Seconds;
use std::collections::{BTreeMap, BTreeSet};

/// Longest name of a planner that is counted, in bytes. Bounds what the coordination log stores.
pub const MAX_NAME_BYTES: usize = 64;
/// Planners that are counted. Further ones keep the share that the settings give them.
const MAX_COUNTED_PLANNERS: usize = 4_096;
/// Pause before a change of the count that is not in the log yet is requested again.
const RETRY_INTERVAL: Seconds = 1.0;

/// What the edge observes at a step.
#[derive(Clone, Copy, Debug)]
pub struct Observation<'a> {
    /// The fencing token, if this process may act for the fleet now.
    pub token: Option<u64>,
    /// Names of the planners that are connected to this edge, by connection.
    pub connected: &'a BTreeMap<u64, String>,
    /// Planners that the coordination log counts.
    pub counted: &'a BTreeSet<String>,
    /// Planners that have announced their departure.
    pub departed: &'a BTreeSet<String>,
}

/// What the edge has to do, under the token of the step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Add this planner to the count in the coordination log.
    AddPlanner(String),
    /// Remove this planner from the count.
    RemovePlanner(String),
    /// Notify the planner on this connection of the count.
    NotifyPlanner {
        /// The connection.
        connection_id: u64,
        /// The fencing token.
        token: u64,
        /// The count.
        planners: u32,
    },
}

/// A notification that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Notification {
    token: u64,
    planners: u32,
}

/// Counts the planners.
#[derive(Debug, Default)]
pub struct PlannerCounter {
    /// The last notification on each connection.
    notified: BTreeMap<u64, Notification>,
    /// When a change was last requested for each planner.
    requested_at: BTreeMap<String, Seconds>,
}

impl PlannerCounter {
    /// Appends what is to be done at `now`. Nothing is to be done without a token.
    pub fn step(&mut self, now: Seconds, observation: &Observation<'_>, outputs: &mut Vec<Output>) {
        self.requested_at
            .retain(|_, requested_at| now < *requested_at + RETRY_INTERVAL);
        self.notified
            .retain(|connection_id, _| observation.connected.contains_key(connection_id));
        let Some(token) = observation.token else {
            return;
        };
        let connected: BTreeSet<&String> = observation
            .connected
            .values()
            .filter(|name| is_valid_name(name))
            .collect();
        let added = self.add_connected(now, &connected, observation, outputs);
        self.remove_departed(now, &connected, observation, outputs);
        // A planner that is being added counts for the others already, so that they reduce their shares first.
        let planners = u32::try_from(observation.counted.len() + added).unwrap_or(u32::MAX);
        self.notify(Notification { token, planners }, observation, outputs);
    }

    /// Requests that the connected planners are counted; returns the number of those that are not yet.
    fn add_connected(
        &mut self,
        now: Seconds,
        connected: &BTreeSet<&String>,
        observation: &Observation<'_>,
        outputs: &mut Vec<Output>,
    ) -> usize {
        let capacity = MAX_COUNTED_PLANNERS.saturating_sub(observation.counted.len());
        let uncounted = connected
            .iter()
            .filter(|name| !observation.counted.contains(**name));
        let mut added = 0;
        for name in uncounted.take(capacity) {
            added += 1;
            if self.is_request_due(now, name) {
                outputs.push(Output::AddPlanner((*name).clone()));
            }
        }
        added
    }

    /// Requests that departed planners are not counted any more, unless they have connected again.
    fn remove_departed(
        &mut self,
        now: Seconds,
        connected: &BTreeSet<&String>,
        observation: &Observation<'_>,
        outputs: &mut Vec<Output>,
    ) {
        for name in observation.counted {
            let has_departed = observation.departed.contains(name) && !connected.contains(name);
            if has_departed && self.is_request_due(now, name) {
                outputs.push(Output::RemovePlanner(name.clone()));
            }
        }
    }

    /// Notifies the counted planners whose last notification was a different one.
    fn notify(
        &mut self,
        notification: Notification,
        observation: &Observation<'_>,
        outputs: &mut Vec<Output>,
    ) {
        for (&connection_id, name) in observation.connected {
            if !observation.counted.contains(name) {
                continue;
            }
            if self.notified.insert(connection_id, notification) != Some(notification) {
                outputs.push(Output::NotifyPlanner {
                    connection_id,
                    token: notification.token,
                    planners: notification.planners,
                });
            }
        }
    }

    /// The notification on this connection could not be sent; it is repeated at the next step.
    pub fn notification_failed(&mut self, connection_id: u64) {
        self.notified.remove(&connection_id);
    }

    /// Whether a change of this planner is to be requested now; remembers the request.
    fn is_request_due(&mut self, now: Seconds, name: &str) -> bool {
        if self.requested_at.contains_key(name) {
            return false;
        }
        self.requested_at.insert(name.to_owned(), now);
        true
    }
}

fn is_valid_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES
}
