//! Placement: each step offers pending tasks to machines, keeps them for a retry, or ends their requests.

use super::Scheduler;
use super::candidate_cache::CandidateCache;
use super::observer::{PickInputs, PlacementObserver};
use super::task_record::{FINAL_ANSWER_MARGIN, TaskState};
use crate::backoff::Backoff;
use crate::interface::{Action, MachineId, RetrySafety, Seconds, TaskId};

impl Scheduler {
    /// Places the tasks that are due, in descending order of priority weight.
    pub(super) fn place(
        &mut self,
        now: Seconds,
        actions: &mut Vec<Action>,
        observer: &mut impl PlacementObserver,
    ) {
        let mut cache = CandidateCache::default();
        for id in self.due_tasks(now) {
            let Some(record) = self.tasks.get(&id) else {
                continue;
            };
            let class = &self.settings.classes[record.task.class];
            if now >= record.send_deadline(class, self.settings.max_attempts) {
                self.finish(id, actions);
                continue;
            }
            let deadline = record.task.deadline;
            observer.before_pick(&PickInputs::new(self, now, record));
            let picked = self.pick(now, id, &mut cache);
            observer.after_pick(id, picked, &self.rng);
            if let Some(machine) = picked {
                self.offer(now, id, machine, actions);
                self.update_cache(now, machine, &mut cache);
            } else {
                self.pending.defer(now, id, deadline);
            }
        }
        self.machines_examined += cache.machines_examined;
    }

    /// The tasks to place now, in descending order of priority weight, then by id.
    fn due_tasks(&mut self, now: Seconds) -> Vec<TaskId> {
        let due = self.pending.take_due(now);
        let mut weighted: Vec<(f64, TaskId)> = due
            .into_iter()
            .map(|id| (self.priority_weight(id), id))
            .collect();
        weighted.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        weighted.into_iter().map(|(_, id)| id).collect()
    }

    fn priority_weight(&self, id: TaskId) -> f64 {
        self.tasks.get(&id).map_or(0.0, |record| {
            self.settings.classes[record.task.class].priority_weight
        })
    }

    /// Removes the machine from the cache where the offer just made excludes it for subsequent tasks.
    fn update_cache(&self, now: Seconds, id: MachineId, cache: &mut CandidateCache) {
        let Some(machine) = self.machines.get(&id) else {
            return;
        };
        if self.is_in_slow_start(now, machine) {
            // The offer has reduced the shared budget of all machines in slow start.
            cache.clear_eligible();
            return;
        }
        cache.remove_filtered(id, |traffic| {
            self.filter_traffic(now, traffic, machine).is_some()
        });
    }

    fn offer(&mut self, now: Seconds, id: TaskId, to: MachineId, actions: &mut Vec<Action>) {
        let Some(timeout) = self.offer_timeout(now, id) else {
            return;
        };
        let Some(record) = self.tasks.get_mut(&id) else {
            return;
        };
        record.state = TaskState::Offered;
        record.sent_at = now;
        record.machine = to;
        record.attempts += 1;
        self.reserve(now, id);
        let limits = &self.settings.safety_limits;
        if let Some(machine) = self.machines.get_mut(&to)
            && machine.is_in_slow_start(limits, now)
        {
            self.slow_start.spend();
            machine.last_slow_start_offer_at = now;
        }
        actions.push(Action::Offer {
            task: id,
            machine: to,
            timeout,
        });
    }

    /// The timeout of the next offer, in seconds. It is estimated from response times and doubles with each attempt. If
    /// a timeout ends the request, or a confirmation means that the task runs, it is half the deadline of the class.
    fn offer_timeout(&self, now: Seconds, id: TaskId) -> Option<Seconds> {
        let record = self.tasks.get(&id)?;
        let class = &self.settings.classes[record.task.class];
        let is_patient =
            self.settings.confirm_when_running || class.retry_safety == RetrySafety::NonIdempotent;
        let timeout = if is_patient {
            class.deadline / 2.0
        } else {
            let timeout = Backoff {
                initial: self.estimates.response_time.timeout(),
                max: class.deadline,
            };
            timeout.after(record.attempts as i32)
        };
        Some(timeout.min(record.task.deadline - now - FINAL_ANSWER_MARGIN / 2.0))
    }

    /// Ends a request that was not placed: as rejected if it can be resubmitted safely, otherwise as failed.
    fn finish(&mut self, id: TaskId, actions: &mut Vec<Action>) {
        let Some(record) = self.tasks.remove(&id) else {
            return;
        };
        let class = &self.settings.classes[record.task.class];
        actions.push(if record.can_be_rejected(class) {
            Action::Reject {
                task: id,
                retry_after: 0.0,
            }
        } else {
            Action::Fail(id)
        });
    }
}
