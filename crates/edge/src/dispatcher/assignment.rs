//! Assignment of tasks to planners.

use super::{Action, Dispatcher, Planner, PlannerId, TaskState};
use std::collections::VecDeque;
use std::hash::Hasher;
use tidespur_api::task::PlacementRequest;
use tidespur_planner_protocol::ToPlanner;

/// Odd multiplier that spreads the last bytes of an FNV hash: 2^64 divided by the golden ratio (Knuth, The Art of
/// Computer Programming, volume 3, section 6.4).
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

impl Dispatcher {
    /// Sends queued tasks to planners with capacity.
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
                    // No planner has capacity for this task, so none has for the next one.
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

    /// The planner for a task: the planner of its service where each service has one, else the one with the fewest open
    /// tasks. Ties are broken by a hash, so that at low load all planners get some tasks, and no planner's part of the
    /// slow-start budget is spent alone.
    fn choose_planner(&self, service: &str, uid: &str) -> Option<PlannerId> {
        let has_capacity =
            |planner: &Planner| planner.open_tasks < self.settings.max_tasks_per_planner;
        let responsive = self
            .planners
            .iter()
            .filter(|(_, planner)| !planner.is_unresponsive);
        if self.settings.single_planner_per_service {
            // Rendezvous hashing: a service changes its planner only when that planner connects or is lost.
            let (&id, planner) = responsive.max_by_key(|(id, _)| rank(service, **id))?;
            return has_capacity(planner).then_some(id);
        }
        responsive
            .filter(|(_, planner)| has_capacity(planner))
            .min_by_key(|(id, planner)| (planner.open_tasks, rank(uid, **id)))
            .map(|(id, _)| *id)
    }

    /// Hands a placed task to a planner, which reports on it from then on; without planners it stays as it is.
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
