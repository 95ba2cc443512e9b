//! Observations of the end of an attempt: what it says of the machine, and what becomes of the task.

use super::Scheduler;
use super::circuit_breakers::BreakerScope;
use super::task_record::{PossibleRun, TaskRecord, TaskState};
use crate::interface::{AttemptOutcome, FailureCause, MachineId, Seconds, TaskId};

/// A failure opens the breaker until about the next visit of the machine, and for this many seconds at least,
const MIN_FAILURE_BACKOFF: Seconds = 1.0;

/// The longest time for which failures open a breaker, in seconds.
const MAX_FAILURE_BACKOFF: Seconds = 12.0;

/// A rejection tells that a machine is full for about this many seconds, doubling with rejections in a row.
const INITIAL_REJECTION_BACKOFF: Seconds = 0.5;

/// The longest time for which rejections open a breaker, in seconds.
const MAX_REJECTION_BACKOFF: Seconds = 4.0;

/// A full queue of offers at a machine lasts for about this many seconds.
const QUEUE_FULL_BACKOFF: Seconds = 0.05;

/// The smallest arrival rate that is divided by, in tasks per second.
const MIN_ARRIVAL_RATE: f64 = 1e-3;

/// The attempt that ended, as its record told before.
struct EndedAttempt {
    state: TaskState,
    machine: MachineId,
    sent_at: Seconds,
    scope: BreakerScope,
    first_error_at: Option<MachineId>,
    is_faulty_task: bool,
}

impl EndedAttempt {
    const fn of(record: &TaskRecord) -> Self {
        Self {
            state: record.state,
            machine: record.machine,
            sent_at: record.sent_at,
            scope: BreakerScope::Traffic(record.traffic_class()),
            first_error_at: record.first_error_at,
            is_faulty_task: record.is_faulty,
        }
    }
}

impl Scheduler {
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
        let ended = EndedAttempt::of(record);
        let failure_backoff = self.failure_backoff();
        self.release(now, id);
        self.record_machine_health(now, &ended, outcome, failure_backoff);
        if is_closed || ended.state != TaskState::Offered {
            self.tasks.remove(&id);
        } else {
            self.requeue(id, &ended, outcome);
        }
    }

    /// How long a first failure opens a breaker, in seconds: it must outlast the time to the next visit of the
    /// same machine, or nothing is learned from it.
    fn failure_backoff(&self) -> Seconds {
        let arrival_rate = self.estimates.arrivals.per_second().max(MIN_ARRIVAL_RATE);
        let visit_interval = self.machines.len() as f64 / arrival_rate;
        visit_interval.clamp(MIN_FAILURE_BACKOFF, MAX_FAILURE_BACKOFF)
    }

    /// Updates the circuit breakers by what the outcome says of the machine.
    fn record_machine_health(
        &mut self,
        now: Seconds,
        ended: &EndedAttempt,
        outcome: AttemptOutcome,
        failure_backoff: Seconds,
    ) {
        let breakers = &mut self
            .machines
            .entry(ended.machine)
            .or_default()
            .circuit_breakers;
        let all = BreakerScope::AllTraffic;
        match outcome {
            AttemptOutcome::Finished | AttemptOutcome::Cancelled | AttemptOutcome::NeverSent => {}
            AttemptOutcome::Rejected(FailureCause::QueueFull) => {
                breakers.record_failure(now, all, QUEUE_FULL_BACKOFF, QUEUE_FULL_BACKOFF);
            }
            // The machine is full, or leaves before the list tells. The cost: one that has room again waits.
            AttemptOutcome::Rejected(
                FailureCause::InsufficientCpu | FailureCause::InsufficientMemory,
            )
            | AttemptOutcome::Interrupted(FailureCause::Drained) => {
                breakers.record_failure(now, all, INITIAL_REJECTION_BACKOFF, MAX_REJECTION_BACKOFF);
            }
            // The reason is none of the machine's: it counts for this class and tenant.
            AttemptOutcome::Rejected(_) => breakers.record_failure(
                now,
                ended.scope,
                INITIAL_REJECTION_BACKOFF,
                MAX_REJECTION_BACKOFF,
            ),
            AttemptOutcome::Interrupted(FailureCause::Evicted | FailureCause::Preempted) => {
                breakers.record_failure(
                    now,
                    all,
                    INITIAL_REJECTION_BACKOFF,
                    INITIAL_REJECTION_BACKOFF,
                );
            }
            AttemptOutcome::Failed => self.record_error(now, ended, failure_backoff),
            // Silence, or an answer that was cut short before the confirmation. Only this class of this tenant is
            // known to be concerned.
            AttemptOutcome::TimedOut => {
                breakers.record_failure(now, ended.scope, failure_backoff, MAX_FAILURE_BACKOFF);
            }
            AttemptOutcome::Interrupted(_) if ended.state == TaskState::Offered => {
                breakers.record_failure(now, ended.scope, failure_backoff, MAX_FAILURE_BACKOFF);
            }
            AttemptOutcome::ConnectFailed | AttemptOutcome::Interrupted(_) => {
                breakers.record_failure(now, all, failure_backoff, MAX_FAILURE_BACKOFF);
                self.record_machine_death(now, ended.machine);
            }
        }
    }

    /// An error counts against the machine for this class and tenant. One that the task meets at a second machine
    /// too is the task's own: it counts against neither. This protects from owners of tasks that no machine can
    /// start. The cost: the task's first error counts against its machine for a while, and where most machines
    /// fail some are found later.
    fn record_error(&mut self, now: Seconds, ended: &EndedAttempt, failure_backoff: Seconds) {
        if ended.is_faulty_task {
            return;
        }
        let other_machine = ended.first_error_at.filter(|first| *first != ended.machine);
        if let Some(first) = other_machine {
            if let Some(machine) = self.machines.get_mut(&first) {
                machine.circuit_breakers.retract_failure(ended.scope);
            }
        } else if let Some(machine) = self.machines.get_mut(&ended.machine) {
            machine.circuit_breakers.record_failure(
                now,
                ended.scope,
                failure_backoff,
                MAX_FAILURE_BACKOFF,
            );
        }
    }

    /// The machine has died or is cut off. The list tells that late, so it counts as in slow start from now on, and
    /// as without programs.
    fn record_machine_death(&mut self, now: Seconds, id: MachineId) {
        let machine = self.machines.entry(id).or_default();
        machine.slow_start_until = now + self.settings.safety_limits.slow_start_duration;
        self.programs.forget_machine(id);
    }

    /// The task is pending again.
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

/// Whether a task may have run in an attempt that ended so before its confirmation.
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
