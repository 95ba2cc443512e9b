//! Handlers for events of an attempt in progress: its confirmation, its start, and the resources it uses.

use super::Scheduler;
use super::estimates::TASK_WEIGHT;
use super::task_record::TaskState;
use crate::interface::{AttemptProgress, Seconds, TaskId};

/// The usage of a task is recorded once its offer is more than this many seconds old, as its memory grows at first.
const WARM_UP_DURATION: Seconds = 4.0;

/// The largest ratio of use to request that is recorded for one task.
const MAX_TASK_USAGE_RATIO: f64 = 3.0;

impl Scheduler {
    pub(super) fn attempt_confirmed(&mut self, now: Seconds, id: TaskId, attempt: u32) {
        let Some(record) = self.tasks.get_mut(&id) else {
            return;
        };
        if record.state != TaskState::Offered || attempt + 1 != record.attempts {
            return;
        }
        record.state = TaskState::Placed;
        let response_time = now - record.sent_at;
        if let Some(machine) = self.machines.get_mut(&record.machine) {
            if let Some(reservation) = machine.reservations.get_mut(&id) {
                reservation.is_confirmed = true;
            }
            machine
                .circuit_breakers
                .record_success(record.traffic_class());
        }
        if self.settings.confirm_when_running {
            self.task_started(now, id);
        } else {
            self.estimates.response_time.record(response_time);
        }
    }

    pub(super) fn attempt_progressed(
        &mut self,
        now: Seconds,
        id: TaskId,
        progress: AttemptProgress,
    ) {
        let Some(record) = self.tasks.get(&id) else {
            return;
        };
        let is_warm = record.state == TaskState::Placed && now - record.sent_at > WARM_UP_DURATION;
        let request = record.task.request;
        let usage = &mut self.estimates.usage;
        let (mean, ratio) = match progress {
            AttemptProgress::Started => return self.task_started(now, id),
            AttemptProgress::CpuUsage(cores) => (&mut usage.cpu, cores / request.cpu),
            AttemptProgress::MemoryUsage(memory) => (&mut usage.memory, memory / request.memory),
            AttemptProgress::ServiceLevel(_) | AttemptProgress::MachineMemoryUtilization(_) => {
                return;
            }
        };
        if is_warm && ratio.is_finite() {
            mean.record(ratio.clamp(0.0, MAX_TASK_USAGE_RATIO), TASK_WEIGHT);
        }
    }

    /// Marks the task as running and records its start time, unless it was queued behind other starts.
    fn task_started(&mut self, now: Seconds, id: TaskId) {
        let Some(record) = self.tasks.get(&id) else {
            return;
        };
        let Some(machine) = self.machines.get_mut(&record.machine) else {
            return;
        };
        let Some(reservation) = machine.reservations.get_mut(&id) else {
            return;
        };
        if reservation.is_running {
            return;
        }
        reservation.is_running = true;
        if reservation.starts_alone {
            let start_time = (now - reservation.sent_at).max(0.0);
            self.estimates
                .start_time
                .record(start_time, record.had_cached_program);
        }
    }
}
