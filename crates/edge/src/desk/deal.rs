//! Which planner gets what.

use super::{Action, Desk, Planner, PlannerId, Stage};
use std::collections::VecDeque;
use std::hash::Hasher;
use tidespur_api::task::PlacementRequest;
use tidespur_planner_protocol::ToPlanner;

impl Desk {
    /// Gives queued tasks to planners with room.
    pub(super) fn hand_out(&mut self, now: f64, out: &mut Vec<Action>) {
        let mut kept = VecDeque::new();
        while let Some(uid) = self.queue.pop_front() {
            let Some(task) = self
                .tasks
                .get(&uid)
                .filter(|task| task.stage == Stage::Queued)
            else {
                continue;
            };
            if now >= task.deadline {
                continue;
            }
            let Some(planner) = self.choose(&task.ask.service, &uid) else {
                kept.push_back(uid);
                if self.planners.is_empty() || !self.settings.one_home {
                    // None has room for this one, so none has for the next.
                    kept.append(&mut self.queue);
                }
                continue;
            };
            if let Some(p) = self.planners.get_mut(&planner) {
                p.open += 1;
            }
            let Some(task) = self.tasks.get_mut(&uid) else {
                continue;
            };
            task.stage = Stage::Asked(planner, now);
            let ask = PlacementRequest {
                timeout: Some(task.deadline - now),
                ..task.ask.clone()
            };
            out.push(Action::Tell(planner, ToPlanner::Place(ask)));
        }
        self.queue = kept;
    }

    /// The planner for a task: the service's home where services have one, else the one with the fewest open tasks.
    /// Equal ones are taken in turn by a hash, so that at low load all see some traffic and no one's part of what
    /// cold nodes bear is spent alone.
    pub(super) fn choose(&self, service: &str, uid: &str) -> Option<PlannerId> {
        let room = |p: &&Planner| p.open < self.settings.planner_most;
        let speaking = || self.planners.iter().filter(|(_, p)| !p.silent);
        if self.settings.one_home {
            // Rendezvous hashing: a service moves only when its own home comes or goes.
            let home = speaking().max_by_key(|(id, _)| rank(service, **id))?;
            return Some(*home.0).filter(|_| room(&home.1));
        }
        let open = speaking().filter(|(_, p)| room(p));
        open.min_by_key(|(id, p)| (p.open, rank(uid, **id)))
            .map(|(id, _)| *id)
    }

    /// Finds a planner that tells of a task that runs.
    pub(super) fn bind(&mut self, uid: &str, out: &mut Vec<Action>) {
        let Some(task) = self.tasks.get(uid) else {
            return;
        };
        let planner = match self.settings.one_home {
            true => self
                .planners
                .keys()
                .max_by_key(|id| rank(&task.ask.service, **id)),
            false => self.planners.keys().max_by_key(|id| rank(uid, **id)),
        };
        let Some(planner) = planner.copied() else {
            return;
        };
        let Some(task) = self.tasks.get_mut(uid) else {
            return;
        };
        let Stage::Placed(by, node) = &mut task.stage else {
            return;
        };
        *by = Some(planner);
        out.push(Action::Tell(
            planner,
            ToPlanner::Adopt {
                request: task.ask.clone(),
                node: node.clone(),
            },
        ));
    }
}

fn rank(service: &str, planner: PlannerId) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(service.as_bytes());
    hasher.write_u64(planner);
    // FNV mixes its last bytes little; one multiplication spreads them.
    hasher.finish().wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
