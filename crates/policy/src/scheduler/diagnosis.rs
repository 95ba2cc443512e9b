//! Diagnoses of pending tasks, from the same filters that decide about placement.

use super::Scheduler;
use super::task_record::{TaskRecord, TaskState};
use crate::interface::{FilterReason, MachineId, PendingDiagnosis, Seconds, TaskId};

impl Scheduler {
    /// Explains why a task is pending; `None` if it is unknown or not pending.
    #[must_use]
    pub fn explain(&self, now: Seconds, id: TaskId) -> Option<PendingDiagnosis> {
        let record = self.tasks.get(&id)?;
        if record.state != TaskState::Pending {
            return None;
        }
        let class = &self.settings.classes[record.task.class];
        let max_attempts = self.settings.max_attempts;
        let retry_at = self.pending.retry_at();
        Some(PendingDiagnosis {
            rejections: self.rejections(now, record),
            machine_count: self.machines.len(),
            blocker: record.retry_blocker(now, class, max_attempts),
            send_deadline: record.send_deadline(class, max_attempts),
            next_attempt_at: if retry_at.is_finite() { retry_at } else { now },
            attempts: record.attempts,
        })
    }

    /// The machines that can't take the task, each with the reason.
    fn rejections(&self, now: Seconds, record: &TaskRecord) -> Vec<(MachineId, FilterReason)> {
        let mut rejections = Vec::new();
        for (&id, machine) in &self.machines {
            let reason = self
                .filter(now, record, id, machine)
                .or_else(|| self.filter_capacity(&record.task, machine));
            rejections.extend(reason.map(|reason| (id, reason)));
        }
        rejections
    }
}
