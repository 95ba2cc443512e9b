//! Outlier detection: updates the circuit breakers of a machine from the outcomes of attempts. Called when an attempt
//! has ended.

use super::Scheduler;
use super::circuit_breakers::BreakerScope;
use super::task_record::TaskState;
use crate::backoff::Backoff;
use crate::interface::{AttemptOutcome, FailureCause, MachineId, Seconds};

/// The shortest initial backoff after a failure, in seconds.
const MIN_FAILURE_BACKOFF: Seconds = 1.0;

/// The longest backoff after failures, in seconds.
const MAX_FAILURE_BACKOFF: Seconds = 12.0;

/// How long a machine counts as full after a rejection, in seconds.
const REJECTION_BACKOFF: Backoff = Backoff {
    initial: 0.5,
    max: 4.0,
};

/// How long a machine counts as full after an eviction or preemption, in seconds.
const EVICTION_BACKOFF: Backoff = Backoff::constant(0.5);

/// How long the offer queue of a machine counts as full after a rejection for that reason, in seconds.
const QUEUE_FULL_BACKOFF: Backoff = Backoff::constant(0.05);

/// Lower bound of the arrival rate, in tasks per second, to avoid a division by zero.
const MIN_ARRIVAL_RATE: f64 = 1e-3;

/// An attempt that ended, as recorded before its end.
pub(super) struct EndedAttempt {
    pub(super) state: TaskState,
    pub(super) machine: MachineId,
    pub(super) sent_at: Seconds,
    /// The class and tenant of the task.
    pub(super) scope: BreakerScope,
    /// The machine at which an attempt of the task first returned an error.
    pub(super) first_error_at: Option<MachineId>,
    /// Whether two machines have returned an error for the task.
    pub(super) is_faulty_task: bool,
}

impl Scheduler {
    /// The backoff after failures. The initial backoff must exceed the time between two offers to the same machine, or
    /// the breaker would have no effect.
    pub(super) fn failure_backoff(&self) -> Backoff {
        let arrival_rate = self.estimates.arrivals.per_second().max(MIN_ARRIVAL_RATE);
        let offer_interval = self.machines.len() as f64 / arrival_rate;
        Backoff {
            initial: offer_interval.clamp(MIN_FAILURE_BACKOFF, MAX_FAILURE_BACKOFF),
            max: MAX_FAILURE_BACKOFF,
        }
    }

    /// Updates the circuit breakers of the machine according to the outcome.
    pub(super) fn record_machine_health(
        &mut self,
        now: Seconds,
        ended: &EndedAttempt,
        outcome: AttemptOutcome,
        failure_backoff: Backoff,
    ) {
        let machine = self.machines.entry(ended.machine).or_default();
        let breakers = &mut machine.circuit_breakers;
        let all = BreakerScope::AllTraffic;
        match outcome {
            AttemptOutcome::Finished | AttemptOutcome::Cancelled | AttemptOutcome::NeverSent => {}
            AttemptOutcome::Rejected(FailureCause::QueueFull) => {
                breakers.record_failure(now, all, QUEUE_FULL_BACKOFF);
            }
            // The machine is full, or is draining before the endpoint list shows it. The cost is that a machine with
            // free capacity again has to wait.
            AttemptOutcome::Rejected(
                FailureCause::InsufficientCpu | FailureCause::InsufficientMemory,
            )
            | AttemptOutcome::Interrupted(FailureCause::Drained) => {
                breakers.record_failure(now, all, REJECTION_BACKOFF);
            }
            // The machine is not the cause, so the rejection counts only for this class and tenant.
            AttemptOutcome::Rejected(_) => {
                breakers.record_failure(now, ended.scope, REJECTION_BACKOFF);
            }
            AttemptOutcome::Interrupted(FailureCause::Evicted | FailureCause::Preempted) => {
                breakers.record_failure(now, all, EVICTION_BACKOFF);
            }
            AttemptOutcome::Failed => self.record_error(now, ended, failure_backoff),
            // No response, or one that was cut off. Only this class and tenant are known to be affected.
            AttemptOutcome::TimedOut => {
                breakers.record_failure(now, ended.scope, failure_backoff);
            }
            AttemptOutcome::Interrupted(_) if ended.state == TaskState::Offered => {
                breakers.record_failure(now, ended.scope, failure_backoff);
            }
            AttemptOutcome::ConnectFailed | AttemptOutcome::Interrupted(_) => {
                breakers.record_failure(now, all, failure_backoff);
                self.record_machine_death(now, ended.machine);
            }
        }
    }

    /// Counts an error against the machine, for this class and tenant.
    ///
    /// If the task fails at a second machine too, the task itself is faulty, and the error counts against neither. This
    /// protects machines from tasks that none of them can start. The cost is that the first error of such a task counts
    /// against its machine for a while, and that when most machines fail, some are detected later.
    fn record_error(&mut self, now: Seconds, ended: &EndedAttempt, backoff: Backoff) {
        if ended.is_faulty_task {
            return;
        }
        let other_machine = ended.first_error_at.filter(|first| *first != ended.machine);
        if let Some(first) = other_machine {
            if let Some(machine) = self.machines.get_mut(&first) {
                machine.circuit_breakers.retract_failure(ended.scope);
            }
        } else if let Some(machine) = self.machines.get_mut(&ended.machine) {
            let breakers = &mut machine.circuit_breakers;
            breakers.record_failure(now, ended.scope, backoff);
        }
    }

    /// Handles a machine that has died or is unreachable. The endpoint list shows that late, so the machine is treated
    /// as in slow start and without cached programs from now on.
    fn record_machine_death(&mut self, now: Seconds, id: MachineId) {
        let machine = self.machines.entry(id).or_default();
        machine.slow_start_until = now + self.settings.safety_limits.slow_start_duration;
        self.programs.forget_machine(id);
    }
}
