//! The number of planners that share the slow-start budget of cold nodes. The edge that holds the lease of the fleet
//! keeps the set of counted planners in the coordination log and notifies the planners of their number.
//!
//! A count that is too high only makes each share smaller, which does no harm; one that is too low overloads cold
//! nodes. Therefore the count increases as soon as a planner connects, and decreases only when a planner has announced
//! its departure, never because a planner is silent. A planner is notified only once it is counted; until then it uses
//! the share from its settings.

use crate::Seconds;
use std::collections::{BTreeMap, BTreeSet};

/// Longest name of a counted planner, in bytes. Limits the size of the data in the coordination log.
pub const MAX_NAME_BYTES: usize = 64;
/// Largest number of counted planners. Further planners keep the share from their settings.
const MAX_COUNTED_PLANNERS: usize = 4_096;
/// Time after which a change of the count that is not in the log yet is requested again.
const RETRY_INTERVAL: Seconds = 1.0;

/// The input of a step, as observed by the edge.
#[derive(Clone, Copy, Debug)]
pub struct Observation<'a> {
    /// The fencing token, if this process holds the lease of the fleet now.
    pub token: Option<u64>,
    /// Names of the planners that are connected to this edge, by connection id.
    pub connected: &'a BTreeMap<u64, String>,
    /// Names of the planners that the coordination log counts.
    pub counted: &'a BTreeSet<String>,
    /// Names of the planners that have announced their departure.
    pub departed: &'a BTreeSet<String>,
}

/// An action for the edge, to be executed under the token of the step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Add the planner of this name to the count in the coordination log.
    AddPlanner(String),
    /// Remove the planner of this name from the count in the coordination log.
    RemovePlanner(String),
    /// Notify the planner on this connection of the count.
    NotifyPlanner {
        /// The edge's id of the connection, a key of [`Observation::connected`].
        connection_id: u64,
        /// The fencing token, which the planner checks.
        token: u64,
        /// Number of counted planners, including those that are being added.
        planners: u32,
    },
}

/// The content of a notification.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Notification {
    token: u64,
    planners: u32,
}

/// State machine that counts the planners.
#[derive(Debug, Default)]
pub struct PlannerCounter {
    /// The last notification on each connection, by connection id.
    notified: BTreeMap<u64, Notification>,
    /// When a change was last requested for each planner, by name.
    requested_at: BTreeMap<String, Seconds>,
}

impl PlannerCounter {
    /// Appends the actions that are due at `now`. Without a token there are none.
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
        // A planner that is being added is already included in the count for the others, so that they reduce their
        // shares before it uses its own.
        let planners = u32::try_from(observation.counted.len() + added).unwrap_or(u32::MAX);
        self.notify(Notification { token, planners }, observation, outputs);
    }

    /// Requests that connected planners are added to the count; returns the number of those not counted yet.
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
            if self.take_due_request(now, name) {
                outputs.push(Output::AddPlanner((*name).clone()));
            }
        }
        added
    }

    /// Requests that departed planners are removed from the count, unless they have connected again.
    fn remove_departed(
        &mut self,
        now: Seconds,
        connected: &BTreeSet<&String>,
        observation: &Observation<'_>,
        outputs: &mut Vec<Output>,
    ) {
        for name in observation.counted {
            let has_departed = observation.departed.contains(name) && !connected.contains(name);
            if has_departed && self.take_due_request(now, name) {
                outputs.push(Output::RemovePlanner(name.clone()));
            }
        }
    }

    /// Notifies the counted planners whose last notification differs from this one.
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

    /// Records that the notification on this connection could not be sent, so that the next step repeats it.
    pub fn notification_failed(&mut self, connection_id: u64) {
        self.notified.remove(&connection_id);
    }

    /// Whether a change for this planner is due; if so, starts its retry interval.
    fn take_due_request(&mut self, now: Seconds, name: &str) -> bool {
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
