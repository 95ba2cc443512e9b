//! A read-only view of each choice of a machine: what it rests on, and what it gives.
//!
//! Tests compare the choices of a scheduler, random draws included, with those of a reference implementation that
//! examines all machines anew for each task. An observer can't change a decision.

use super::Scheduler;
use super::dice;
use super::machine_state::MachineState;
use super::preferred_machines::preference_rank;
use super::task_record::{TaskRecord, TaskState};
use crate::interface::{FilterReason, MachineId, Seconds, ServiceId, Task, TaskId};

/// The random number generator of a scheduler.
pub type SchedulerRng = rand_pcg::Pcg32;

/// Is called before and after each choice of a machine.
pub trait PlacementObserver {
    /// A machine is going to be chosen for a task.
    fn before_pick(&mut self, inputs: &PickInputs<'_>);

    /// A machine was chosen, or none, which has left the random number generator in this state.
    fn after_pick(&mut self, task: TaskId, picked: Option<MachineId>, rng: &SchedulerRng);
}

/// Observes nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoObserver;

impl PlacementObserver for NoObserver {
    fn before_pick(&mut self, _: &PickInputs<'_>) {}

    fn after_pick(&mut self, _: TaskId, _: Option<MachineId>, _: &SchedulerRng) {}
}

/// What the choice of a machine for one task rests on, at the moment of the choice.
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

    /// Whether the task is pending and one more attempt is permitted.
    #[must_use]
    pub fn can_be_sent(&self) -> bool {
        let settings = &self.scheduler.settings;
        let class = &settings.classes[self.record.task.class];
        let send_deadline = self.record.send_deadline(class, settings.max_attempts);
        self.record.state == TaskState::Pending && self.now < send_deadline
    }

    /// Whether the scheduler knows the programs of all schedulers.
    #[must_use]
    pub fn knows_all_programs(&self) -> bool {
        self.scheduler.knows_all_programs()
    }

    /// The expected work of the task, in cores times seconds.
    #[must_use]
    pub fn work(&self) -> f64 {
        self.scheduler.estimates.work_of(&self.record.task)
    }

    /// The mean work of tasks, in cores times seconds.
    #[must_use]
    pub const fn mean_work(&self) -> f64 {
        self.scheduler.estimates.work.value()
    }

    /// The state of the random number generator.
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

/// What the choice rests on for one machine.
#[derive(Clone, Copy, Debug)]
pub struct MachineInputs<'a> {
    inputs: PickInputs<'a>,
    id: MachineId,
    machine: &'a MachineState,
}

impl MachineInputs<'_> {
    /// The machine.
    #[must_use]
    pub const fn id(&self) -> MachineId {
        self.id
    }

    /// The first filter that keeps the task from the machine; its capacity is not among them.
    #[must_use]
    pub fn filter(&self) -> Option<FilterReason> {
        let PickInputs {
            scheduler,
            now,
            record,
        } = self.inputs;
        scheduler.filter(now, record, self.id, self.machine)
    }

    /// Whether it has come up a short time ago.
    #[must_use]
    pub fn is_in_slow_start(&self) -> bool {
        self.inputs
            .scheduler
            .is_in_slow_start(self.inputs.now, self.machine)
    }

    /// Whether it is not needed for what runs now.
    #[must_use]
    pub const fn is_idle_capacity(&self) -> bool {
        self.machine.is_idle_capacity
    }

    /// Whether it is believed to have the program of the task's service in its cache.
    #[must_use]
    pub fn has_cached_program(&self) -> bool {
        let service = self.inputs.record.task.service;
        self.inputs
            .scheduler
            .has_cached_program(self.inputs.now, service, self.id)
    }

    /// Whether a task of this scheduler is offered to it or placed there.
    #[must_use]
    pub fn has_reservations(&self) -> bool {
        !self.machine.reservations.is_empty()
    }

    /// Its place in the order of preferred machines of a service; less is earlier.
    #[must_use]
    pub fn preference_rank(&self, service: ServiceId) -> f64 {
        preference_rank(service, self.id, self.machine.capacity.cpu)
    }

    /// What placing the task there is expected to cost, in seconds of its full service; `None` if the machine would
    /// not admit it.
    #[must_use]
    pub fn loss(&self, cached_probability: f64) -> Option<f64> {
        let PickInputs {
            scheduler,
            now,
            record,
        } = self.inputs;
        scheduler.loss(now, record, self.machine, cached_probability)
    }

    /// The backlog that Dice sees there.
    #[must_use]
    pub fn backlog(&self) -> f64 {
        self.inputs.scheduler.backlog(self.inputs.now, self.machine)
    }
}

/// Chooses an index of `backlogs` by Dice, for a task of this `work`.
#[must_use]
pub fn dice(backlogs: &[f64], work: f64, mean_work: f64, rng: &mut SchedulerRng) -> usize {
    dice::choose(backlogs, work, mean_work, rng)
}
