//! Outlier detection: what the outcome of an attempt says of the health of its machine. Updates the circuit breakers
//! of machines. Called when an attempt has ended.

use super::Scheduler;
use super::circuit_breakers::BreakerScope;
use super::task_record::TaskState;
use crate::backoff::Backoff;
use crate::interface::{AttemptOutcome, FailureCause, MachineId, Seconds};

/// The shortest time for which a failure opens a breaker, in seconds.
const MIN_FAILURE_BACKOFF: Seconds = 1.0;

/// The longest time for which failures open a breaker, in seconds.
const MAX_FAILURE_BACKOFF: Seconds = 12.0;

/// For how long a rejection tells that a machine is full, in seconds.
const REJECTION_BACKOFF: Backoff = Backoff {
    initial: 0.5,
    max: 4.0,
};

/// An eviction or preemption tells that a machine is full for about this many seconds.
const EVICTION_BACKOFF: Backoff = Backoff::constant(0.5);

/// A full queue of offers at a machine lasts for about this many seconds.
const QUEUE_FULL_BACKOFF: Backoff = Backoff::constant(0.05);

/// The smallest arrival rate that is divided by, in tasks per second.
const MIN_ARRIVAL_RATE: f64 = 1e-3;

/// The attempt that ended, by the record of its task before that.
pub(super) struct EndedAttempt {
    pub(super) state: TaskState,
    pub(super) machine: MachineId,
    pub(super) sent_at: Seconds,
    /// The class and tenant of the task.
    pub(super) scope: BreakerScope,
    /// The machine at which an attempt of the task first returned an error.
    pub(super) first_error_at: Option<MachineId>,
    /// Two machines have returned an error.
    pub(super) is_faulty_task: bool,
}

impl Scheduler {
    /// For how long failures open a breaker. The first time must outlast that to the next visit of the same machine,
    /// or nothing is learned from it.
    pub(super) fn failure_backoff(&self) -> Backoff {
        let arrival_rate = self.estimates.arrivals.per_second().max(MIN_ARRIVAL_RATE);
        let visit_interval = self.machines.len() as f64 / arrival_rate;
        Backoff {
            initial: visit_interval.clamp(MIN_FAILURE_BACKOFF, MAX_FAILURE_BACKOFF),
            max: MAX_FAILURE_BACKOFF,
        }
    }

    /// Updates the circuit breakers by what the outcome says of the machine.
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
            // The machine is full, or leaves before the list tells. The cost: one that has room again waits.
            AttemptOutcome::Rejected(
                FailureCause::InsufficientCpu | FailureCause::InsufficientMemory,
            )
            | AttemptOutcome::Interrupted(FailureCause::Drained) => {
                breakers.record_failure(now, all, REJECTION_BACKOFF);
            }
            // The cause is none of the machine's: it counts for this class and tenant.
            AttemptOutcome::Rejected(_) => {
                breakers.record_failure(now, ended.scope, REJECTION_BACKOFF);
            }
            AttemptOutcome::Interrupted(FailureCause::Evicted | FailureCause::Preempted) => {
                breakers.record_failure(now, all, EVICTION_BACKOFF);
            }
            AttemptOutcome::Failed => self.record_error(now, ended, failure_backoff),
            // Silence, or an answer that was cut short. Only this class and tenant is known to be concerned.
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

    /// An error counts against the machine for this class and tenant.
    ///
    /// One that the task meets at a second machine too is the task's own: it counts against neither. This protects
    /// from owners of tasks that no machine can start. The cost: the task's first error counts against its machine
    /// for a while, and where most machines fail some are found later.
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

    /// The machine has died or is cut off. The list tells that late, so it counts as in slow start from now on, and
    /// as without programs.
    fn record_machine_death(&mut self, now: Seconds, id: MachineId) {
        let machine = self.machines.entry(id).or_default();
        machine.slow_start_until = now + self.settings.safety_limits.slow_start_duration;
        self.programs.forget_machine(id);
    }
}
