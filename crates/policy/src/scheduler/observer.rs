//! A read-only view of the inputs and the result of each choice of a machine.
//!
//! Tests use it to compare the choices of a scheduler, random draws included, with those of a reference implementation
//! that examines all machines for each task. An observer can't change a decision.

use super::Scheduler;
use super::dice;
use super::machine_state::MachineState;
use super::preferred_machines::preference_rank;
use super::task_record::{TaskRecord, TaskState};
use crate::interface::{FilterReason, MachineId, Seconds, ServiceId, Task, TaskId};

/// The random number generator of a scheduler.
pub type SchedulerRng = rand_pcg::Pcg32;

/// Callbacks before and after each choice of a machine.
pub trait PlacementObserver {
    /// Called before a machine is chosen for a task.
    fn before_pick(&mut self, inputs: &PickInputs<'_>);

    /// Called after the choice, with the chosen machine, if any, and the state of the random number generator.
    fn after_pick(&mut self, task: TaskId, picked: Option<MachineId>, rng: &SchedulerRng);
}

/// An observer that does nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoObserver;

impl PlacementObserver for NoObserver {
    fn before_pick(&mut self, _: &PickInputs<'_>) {}

    fn after_pick(&mut self, _: TaskId, _: Option<MachineId>, _: &SchedulerRng) {}
}

/// The inputs of the choice of a machine for one task, at the time of the choice.
#[derive(Clone, Copy, Debug)]
pub struct PickInputs<'a> {
    scheduler: &'a Scheduler,
    now: Seconds,
    record: &'a TaskRecord,
}

impl<'a> PickInputs<'a> {
    pub(super) const fn new(
        scheduler: &'a Scheduler,
        now: Seconds,
        record: &'a TaskRecord,
    ) -> Self {
        Self {
            scheduler,
            now,
            record,
        }
    }

    /// The task that a machine is chosen for.
    #[must_use]
    pub const fn task(&self) -> &'a Task {
        &self.record.task
    }

    /// Whether the task is pending and another attempt is permitted.
    #[must_use]
    pub fn can_be_sent(&self) -> bool {
        let settings = &self.scheduler.settings;
        let class = &settings.classes[self.record.task.class];
        let send_deadline = self.record.send_deadline(class, settings.max_attempts);
        self.record.state == TaskState::Pending && self.now < send_deadline
    }

    /// Whether the scheduler knows where programs of all schedulers are cached.
    #[must_use]
    pub fn knows_all_programs(&self) -> bool {
        self.scheduler.knows_all_programs()
    }

    /// The expected work of the task, in core seconds.
    #[must_use]
    pub fn work(&self) -> f64 {
        self.scheduler.estimates.work_of(&self.record.task)
    }

    /// The mean work of tasks, in core seconds.
    #[must_use]
    pub const fn mean_work(&self) -> f64 {
        self.scheduler.estimates.work.value()
    }

    /// A copy of the random number generator in its current state.
    #[must_use]
    pub fn rng(&self) -> SchedulerRng {
        self.scheduler.rng.clone()
    }

    /// All machines that the scheduler knows, in order of their ids.
    pub fn machines(&self) -> impl Iterator<Item = MachineInputs<'a>> {
        let inputs = *self;
        let machines = inputs.scheduler.machines.iter();
        machines.map(move |(&id, machine)| MachineInputs {
            inputs,
            id,
            machine,
        })
    }
}

/// The inputs of the choice for one machine.
#[derive(Clone, Copy, Debug)]
pub struct MachineInputs<'a> {
    inputs: PickInputs<'a>,
    id: MachineId,
    machine: &'a MachineState,
}

impl MachineInputs<'_> {
    /// The id of the machine.
    #[must_use]
    pub const fn id(&self) -> MachineId {
        self.id
    }

    /// The first filter that excludes the machine, if any. Capacity is not included.
    #[must_use]
    pub fn filter(&self) -> Option<FilterReason> {
        let PickInputs {
            scheduler,
            now,
            record,
        } = self.inputs;
        scheduler.filter(now, record, self.id, self.machine)
    }

    /// Whether the machine started recently.
    #[must_use]
    pub fn is_in_slow_start(&self) -> bool {
        self.inputs
            .scheduler
            .is_in_slow_start(self.inputs.now, self.machine)
    }

    /// Whether the machine is not needed for the current usage.
    #[must_use]
    pub const fn is_idle_capacity(&self) -> bool {
        self.machine.is_idle_capacity
    }

    /// Whether the machine is believed to have the program of the task's service in its cache.
    #[must_use]
    pub fn has_cached_program(&self) -> bool {
        let service = self.inputs.record.task.service;
        self.inputs
            .scheduler
            .has_cached_program(self.inputs.now, service, self.id)
    }

    /// Whether a task of this scheduler is offered to the machine or placed on it.
    #[must_use]
    pub fn has_reservations(&self) -> bool {
        !self.machine.reservations.is_empty()
    }

    /// The rank of the machine in the order of preference of a service; lower is preferred.
    #[must_use]
    pub fn preference_rank(&self, service: ServiceId) -> f64 {
        preference_rank(service, self.id, self.machine.capacity.cpu)
    }

    /// The expected cost of placing the task on the machine, in seconds of its full service; `None` if the machine
    /// would not admit the task.
    #[must_use]
    pub fn loss(&self, cached_probability: f64) -> Option<f64> {
        let PickInputs {
            scheduler,
            now,
            record,
        } = self.inputs;
        scheduler.loss(now, record, self.machine, cached_probability)
    }

    /// The backlog of the machine as input to Dice.
    #[must_use]
    pub fn backlog(&self) -> f64 {
        self.inputs.scheduler.backlog(self.inputs.now, self.machine)
    }
}

/// Chooses an index into `backlogs` by Dice, for a task of this `work`.
#[must_use]
pub fn dice(backlogs: &[f64], work: f64, mean_work: f64, rng: &mut SchedulerRng) -> usize {
    dice::choose(backlogs, work, mean_work, rng)
}
