//! Assigns tasks to planners.

use super::{Action, Dispatcher, Planner, PlannerId, TaskState};
use std::collections::VecDeque;
use std::hash::Hasher;
use tidespur_api::task::PlacementRequest;
use tidespur_planner_protocol::ToPlanner;

/// Multiplier of Fibonacci hashing, 2^64 divided by the golden ratio and odd (Knuth, The Art of Computer Programming,
/// volume 3, section 6.4). FNV mixes the last bytes of its input poorly; the multiplication spreads them.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

impl Dispatcher {
    /// Sends queued tasks to planners that have capacity.
    pub(super) fn offer_queued_tasks(&mut self, now: f64, actions: &mut Vec<Action>) {
        let mut still_queued = VecDeque::new();
        while let Some(uid) = self.queue.pop_front() {
            let Some(task) = self.tasks.get(&uid) else {
                continue;
            };
            if task.state != TaskState::Queued || now >= task.deadline {
                continue;
            }
            let Some(planner) = self.choose_planner(&task.request.service, &uid) else {
                still_queued.push_back(uid);
                if self.planners.is_empty() || !self.settings.single_planner_per_service {
                    // The choice does not depend on the task, so there is no capacity for the remaining tasks either.
                    still_queued.append(&mut self.queue);
                }
                continue;
            };
            self.offer(now, &uid, planner, actions);
        }
        self.queue = still_queued;
    }

    fn offer(&mut self, now: f64, uid: &str, planner: PlannerId, actions: &mut Vec<Action>) {
        if let Some(state) = self.planners.get_mut(&planner) {
            state.open_tasks += 1;
        }
        let Some(task) = self.tasks.get_mut(uid) else {
            return;
        };
        task.state = TaskState::Offered { planner, at: now };
        let request = PlacementRequest {
            timeout: Some(task.deadline - now),
            ..task.request.clone()
        };
        actions.push(Action::send(planner, ToPlanner::Place(request)));
    }

    /// Chooses the planner for a task: the planner of its service if each service has a single one, else the planner
    /// with the fewest open tasks. Ties are broken by a hash, so that all planners get tasks even at low load;
    /// otherwise one planner would use up its share of the slow-start budget while the shares of the others are unused.
    fn choose_planner(&self, service: &str, uid: &str) -> Option<PlannerId> {
        let has_capacity =
            |planner: &Planner| planner.open_tasks < self.settings.max_tasks_per_planner;
        let responsive = self
            .planners
            .iter()
            .filter(|(_, planner)| !planner.is_unresponsive);
        if self.settings.single_planner_per_service {
            // Rendezvous hashing: a service moves to another planner only if that one connects or the present one is
            // lost.
            let (&id, planner) = responsive.max_by_key(|(id, _)| rank(service, **id))?;
            return has_capacity(planner).then_some(id);
        }
        responsive
            .filter(|(_, planner)| has_capacity(planner))
            .min_by_key(|(id, planner)| (planner.open_tasks, rank(uid, **id)))
            .map(|(id, _)| *id)
    }

    /// Hands over a placed task to a planner, which reports its progress from then on. Does nothing without planners.
    pub(super) fn hand_over_placed_task(&mut self, uid: &str, actions: &mut Vec<Action>) {
        let Some(task) = self.tasks.get_mut(uid) else {
            return;
        };
        let key = if self.settings.single_planner_per_service {
            &task.request.service
        } else {
            uid
        };
        let Some(&chosen) = self.planners.keys().max_by_key(|id| rank(key, **id)) else {
            return;
        };
        let TaskState::Placed { planner, node } = &mut task.state else {
            return;
        };
        *planner = Some(chosen);
        let message = ToPlanner::Adopt {
            request: task.request.clone(),
            node: node.clone(),
        };
        actions.push(Action::send(chosen, message));
    }
}

/// Rank of a planner for a key, by rendezvous hashing.
fn rank(key: &str, planner: PlannerId) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(key.as_bytes());
    hasher.write_u64(planner);
    hasher.finish().wrapping_mul(HASH_MULTIPLIER)
}
