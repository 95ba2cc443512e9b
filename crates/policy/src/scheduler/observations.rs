//! Dispatches each event to its handler. Handlers update the state and make no placement decisions.

use super::Scheduler;
use super::task_record::{TaskRecord, TaskState};
use crate::interface::{Event, MachineId, Seconds, Task, TaskId};

impl Scheduler {
    pub(super) fn observe(&mut self, now: Seconds, event: Event) {
        match event {
            Event::TaskSubmitted(task) => self.task_submitted(now, task),
            Event::TaskAdopted(task, machine) => self.task_adopted(now, task, machine),
            Event::TaskMoved { task, machine } => self.task_moved(now, task, machine),
            Event::AttemptConfirmed { task, attempt } => self.attempt_confirmed(now, task, attempt),
            Event::AttemptProgressed { task, progress } => {
                self.attempt_progressed(now, task, progress);
            }
            Event::AttemptEnded {
                task,
                attempt,
                outcome,
                closed,
                report,
            } => {
                let machine = self.tasks.get(&task).map(|record| record.machine);
                if let (Some(machine), Some(report)) = (machine, report) {
                    self.record_load_report(now, machine, &report);
                }
                self.attempt_ended(now, task, attempt, outcome, closed);
            }
            Event::TaskCancelled(task) => self.task_cancelled(task),
            Event::TimerFired(_) => self.next_wakeup_at = f64::INFINITY,
            Event::EndpointsChanged(endpoints) => self.endpoints_changed(now, endpoints),
            Event::EndpointsListed(endpoints) => self.endpoints_listed(now, endpoints),
            Event::EndpointListFailed => self.endpoint_subscription.record_failure(
                now,
                &self.settings.safety_limits,
                &mut self.rng,
            ),
            Event::GossipReceived(message) => self.programs.record_gossip(now, &message),
            Event::SchedulerCountChanged(count) => self.scheduler_count_changed(count),
            Event::LoadPolled { machine, report } => self.load_polled(now, machine, report),
        }
    }

    fn task_submitted(&mut self, now: Seconds, task: Task) {
        if self.tasks.contains_key(&task.id) {
            return;
        }
        self.estimates.record_task(now, &task);
        let id = task.id;
        let record = TaskRecord {
            task,
            sent_at: now,
            ..TaskRecord::default()
        };
        self.tasks.insert(id, record);
        self.pending.push(id);
    }

    fn task_adopted(&mut self, now: Seconds, task: Task, machine: MachineId) {
        if self.tasks.contains_key(&task.id) {
            return;
        }
        self.estimates.record_task(now, &task);
        let id = task.id;
        let record = TaskRecord {
            task,
            state: TaskState::Placed,
            attempts: 1,
            sent_at: now,
            machine,
            ..TaskRecord::default()
        };
        self.tasks.insert(id, record);
        self.reserve(now, id);
    }

    /// Accounts an offered or placed task to another machine.
    fn task_moved(&mut self, now: Seconds, id: TaskId, machine: MachineId) {
        let state = self.tasks.get(&id).map(|record| record.state);
        if !matches!(state, Some(TaskState::Offered | TaskState::Placed)) {
            return;
        }
        self.release(now, id);
        if let Some(record) = self.tasks.get_mut(&id) {
            record.machine = machine;
        }
        self.reserve(now, id);
    }

    fn task_cancelled(&mut self, id: TaskId) {
        let Some(record) = self.tasks.get_mut(&id) else {
            return;
        };
        if record.state == TaskState::Pending {
            self.tasks.remove(&id);
        } else {
            record.state = TaskState::Finished;
        }
    }

    fn scheduler_count_changed(&mut self, count: usize) {
        self.settings.scheduler_count = count.max(self.settings.ordinal + 1);
    }
}
