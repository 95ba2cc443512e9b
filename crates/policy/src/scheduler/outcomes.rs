//! Handles the end of an attempt with regard to the task. `machine_health` handles it with regard to the machine.

use super::Scheduler;
use super::circuit_breakers::BreakerScope;
use super::machine_health::EndedAttempt;
use super::task_record::{PossibleRun, TaskState};
use crate::interface::{AttemptOutcome, Seconds, TaskId};

impl Scheduler {
    /// Processes the end of an attempt. Any attempt but the latest of the task is ignored. If the request is not closed
    /// and the attempt was not confirmed, the task becomes pending again.
    pub(super) fn attempt_ended(
        &mut self,
        now: Seconds,
        id: TaskId,
        attempt: u32,
        outcome: AttemptOutcome,
        is_closed: bool,
    ) {
        let Some(record) = self.tasks.get(&id) else {
            return;
        };
        if attempt + 1 != record.attempts {
            return;
        }
        let ended = EndedAttempt {
            state: record.state,
            machine: record.machine,
            sent_at: record.sent_at,
            scope: BreakerScope::Traffic(record.traffic_class()),
            first_error_at: record.first_error_at,
            is_faulty_task: record.is_faulty,
        };
        let failure_backoff = self.failure_backoff();
        self.release(now, id);
        self.record_machine_health(now, &ended, outcome, failure_backoff);
        if is_closed || ended.state != TaskState::Offered {
            self.tasks.remove(&id);
        } else {
            self.requeue(id, &ended, outcome);
        }
    }

    /// Makes the task pending again.
    fn requeue(&mut self, id: TaskId, ended: &EndedAttempt, outcome: AttemptOutcome) {
        let Some(record) = self.tasks.get_mut(&id) else {
            return;
        };
        if may_have_run(outcome) {
            record.possible_run.get_or_insert(PossibleRun {
                sent_at: ended.sent_at,
                machine: ended.machine,
            });
        }
        if outcome == AttemptOutcome::Failed {
            let first = *record.first_error_at.get_or_insert(ended.machine);
            record.is_faulty |= first != ended.machine;
        }
        record.state = TaskState::Pending;
        self.pending.push(id);
    }
}

/// Whether the task may have run in an attempt that ended with this outcome before its confirmation.
const fn may_have_run(outcome: AttemptOutcome) -> bool {
    match outcome {
        AttemptOutcome::Failed
        | AttemptOutcome::TimedOut
        | AttemptOutcome::Interrupted(_)
        | AttemptOutcome::Cancelled => true,
        AttemptOutcome::Finished
        | AttemptOutcome::Rejected(_)
        | AttemptOutcome::ConnectFailed
        | AttemptOutcome::NeverSent => false,
    }
}
