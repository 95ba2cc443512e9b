//! A reference implementation of the choice of a machine, which examines all machines for each task. The scheduler
//! shares that work between the tasks of a step, and must make the same choices.

use rand_pcg::Pcg32;
use tidespur_policy::interface::{MachineId, Seconds, ServiceId, TaskId};
use tidespur_policy::scheduler::observer::{MachineInputs, PickInputs, PlacementObserver, dice};

/// The number of preferred machines of a service.
const PREFERRED_MACHINES: usize = 2;

/// The probability that a preferred machine, or one that is believed to have the program, has it in its cache.
const CACHED_PROBABILITY: f64 = 0.9;

/// The factor by which this probability falls with each machine after the preferred ones.
const CACHED_PROBABILITY_DECAY: f64 = 0.7;

/// Candidates whose loss exceeds the least loss by at most this many seconds of full service are kept.
const MAX_EXCESS_LOSS: Seconds = 1.3;

struct Candidate<'a> {
    machine: MachineInputs<'a>,
    preference_rank: f64,
    loss: f64,
}

/// Returns the machine for the task, if any, and the random number generator after the choice. `seed` is that of the
/// scheduler.
fn reference_pick(inputs: &PickInputs<'_>, seed: u64) -> (Option<MachineId>, Pcg32) {
    let mut rng = inputs.rng();
    let mut candidates = candidates(inputs, seed);
    estimate_losses(inputs, &mut candidates);
    let losses = candidates.iter().map(|candidate| candidate.loss);
    let least = losses.fold(f64::INFINITY, f64::min);
    candidates.retain(|candidate| {
        candidate.loss.is_finite() && candidate.loss <= least + MAX_EXCESS_LOSS
    });
    if !inputs.knows_all_programs() {
        candidates.truncate(PREFERRED_MACHINES);
    }
    if candidates.is_empty() {
        return (None, rng);
    }
    let backlogs = backlogs(&candidates);
    let chosen = dice(&backlogs, inputs.work(), inputs.mean_work(), &mut rng);
    (Some(candidates[chosen].machine.id()), rng)
}

/// The machines that pass all filters, in order of preference.
fn candidates<'a>(inputs: &PickInputs<'a>, seed: u64) -> Vec<Candidate<'a>> {
    let task = inputs.task();
    let mut candidates = Vec::new();
    for machine in inputs.machines() {
        if !inputs.can_be_sent() || machine.filter().is_some() {
            continue;
        }
        let salt = if machine.is_in_slow_start() {
            task.id.0.rotate_left(17) ^ seed
        } else {
            0
        };
        candidates.push(Candidate {
            preference_rank: machine.preference_rank(ServiceId(task.service.0 ^ salt)),
            machine,
            loss: f64::INFINITY,
        });
    }
    candidates.sort_by(|a, b| {
        let idle = |candidate: &Candidate| candidate.machine.is_idle_capacity();
        idle(a)
            .cmp(&idle(b))
            .then(a.preference_rank.total_cmp(&b.preference_rank))
    });
    candidates
}

fn estimate_losses(inputs: &PickInputs<'_>, candidates: &mut [Candidate<'_>]) {
    let mut unknown_cached_probability = if inputs.knows_all_programs() {
        0.0
    } else {
        CACHED_PROBABILITY
    };
    for (position, candidate) in candidates.iter_mut().enumerate() {
        unknown_cached_probability *= if position < PREFERRED_MACHINES {
            1.0
        } else {
            CACHED_PROBABILITY_DECAY
        };
        let probability = if candidate.machine.has_cached_program() {
            CACHED_PROBABILITY
        } else if candidate.machine.is_in_slow_start() {
            0.0
        } else {
            unknown_cached_probability
        };
        let loss = candidate.machine.loss(probability);
        candidate.loss = loss.unwrap_or(f64::INFINITY);
    }
}

/// The backlogs of the candidates. Machines in slow start, and those without a task of the scheduler, get the mean.
fn backlogs(candidates: &[Candidate<'_>]) -> Vec<f64> {
    let known: Vec<f64> = candidates
        .iter()
        .map(|candidate| candidate.machine.backlog())
        .collect();
    let mean = known.iter().sum::<f64>() / known.len() as f64;
    let mut backlogs = Vec::new();
    for (backlog, candidate) in known.into_iter().zip(candidates) {
        let machine = &candidate.machine;
        let is_known = machine.has_reservations() && !machine.is_in_slow_start();
        backlogs.push(if is_known { backlog } else { mean });
    }
    backlogs
}

/// Asserts that each choice of a scheduler, random draws included, matches the reference implementation.
pub struct ReferenceCheck {
    seed: u64,
    expected: Option<(TaskId, Option<MachineId>, Pcg32)>,
    /// The number of compared choices.
    pub compared: usize,
}

impl ReferenceCheck {
    /// Creates a check for the scheduler with this seed.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            expected: None,
            compared: 0,
        }
    }
}

impl PlacementObserver for ReferenceCheck {
    fn before_pick(&mut self, inputs: &PickInputs<'_>) {
        assert!(
            self.expected.is_none(),
            "`after_pick` was not called for the previous choice"
        );
        let (machine, rng) = reference_pick(inputs, self.seed);
        self.expected = Some((inputs.task().id, machine, rng));
    }

    fn after_pick(&mut self, task: TaskId, picked: Option<MachineId>, rng: &Pcg32) {
        assert_eq!(Some((task, picked, rng.clone())), self.expected.take());
        self.compared += 1;
    }
}
