//! Chooses a machine for one attempt: machines that pass the filters become candidates, those with the least loss are
//! kept, and Dice chooses among them. Called by the placement for each pending task.

use super::Scheduler;
use super::candidate_cache::{CandidateCache, PlacementConstraints};
use super::dice;
use super::machine_state::MachineState;
use super::preferred_machines::{
    CACHED_PROBABILITY, CACHED_PROBABILITY_DECAY, PREFERRED_MACHINES, preference_rank,
};
use super::task_record::{TaskRecord, TaskState, TrafficClass};
use crate::interface::{MachineId, RetrySafety, Seconds, ServiceId, TaskId};

/// Candidates whose loss exceeds the least loss by at most this many seconds of full service are kept.
const MAX_EXCESS_LOSS: Seconds = 1.3;

/// A machine that passes all filters.
pub(super) struct Candidate<'a> {
    id: MachineId,
    machine: &'a MachineState,
    /// Rank in the order of preference of the task's service; lower is preferred.
    preference_rank: f64,
    /// The estimated loss; infinite if the machine would not admit the task.
    loss: f64,
}

impl Scheduler {
    /// Chooses the machine for the next attempt of a pending task; `None` if no machine can take it.
    pub(super) fn pick(
        &mut self,
        now: Seconds,
        id: TaskId,
        cache: &mut CandidateCache,
    ) -> Option<MachineId> {
        let record = &self.tasks[&id];
        if record.state != TaskState::Pending {
            return None;
        }
        let constraints = self.placement_constraints(record);
        let request = record.task.request;
        if cache.is_unplaceable(&constraints, request) {
            return None;
        }
        let traffic = record.traffic_class();
        let eligible = cache.eligible(traffic, self.machines.len(), || {
            self.eligible_machines(now, traffic)
        });
        if !self.has_capacity(record, eligible) {
            // Other tasks may still be placed outside the deduplication domain that this one is bound to.
            if !self.is_bound_to_domain(record) {
                cache.mark_unplaceable(constraints, request);
            }
            return None;
        }
        let mut candidates = self.candidates(now, record, eligible);
        self.estimate_losses(now, record, &mut candidates);
        self.keep_least_loss(&mut candidates);
        if candidates.is_empty() {
            return None;
        }
        let backlogs = self.backlogs(now, &candidates);
        let work = self.estimates.work_of(&record.task);
        let mean_work = self.estimates.work.value();
        let ids: Vec<MachineId> = candidates.iter().map(|candidate| candidate.id).collect();
        Some(ids[dice::choose(&backlogs, work, mean_work, &mut self.rng)])
    }

    fn placement_constraints(&self, record: &TaskRecord) -> PlacementConstraints {
        let class = &self.settings.classes[record.task.class];
        PlacementConstraints {
            traffic: record.traffic_class(),
            spread_service: class.spread_domain.map(|_| record.task.service),
        }
    }

    fn is_bound_to_domain(&self, record: &TaskRecord) -> bool {
        let retry_safety = self.settings.classes[record.task.class].retry_safety;
        record.possible_run.is_some()
            && matches!(retry_safety, RetrySafety::IdempotencyKeyed { .. })
    }

    fn eligible_machines(&self, now: Seconds, traffic: TrafficClass) -> Vec<MachineId> {
        let mut eligible = Vec::new();
        for (&id, machine) in &self.machines {
            if self.filter_traffic(now, traffic, machine).is_none() {
                eligible.push(id);
            }
        }
        eligible
    }

    /// Whether one of the machines has capacity for the task and passes the filters of the task itself.
    fn has_capacity(&self, record: &TaskRecord, eligible: &[MachineId]) -> bool {
        self.known_machines(eligible).any(|(id, machine)| {
            self.filter_capacity(&record.task, machine).is_none()
                && self.filter_task(record, id, machine).is_none()
        })
    }

    fn known_machines<'a>(
        &'a self,
        ids: &'a [MachineId],
    ) -> impl Iterator<Item = (MachineId, &'a MachineState)> {
        ids.iter()
            .filter_map(|id| Some((*id, self.machines.get(id)?)))
    }

    /// The candidates in order of preference: needed machines before idle capacity, then by the rank for the service.
    ///
    /// If schedulers don't know the programs of each other, they thus all prefer the same few machines for a service;
    /// a filtered machine is replaced by the next in order. The cost is that a popular service fills its preferred
    /// machines.
    fn candidates<'a>(
        &'a self,
        now: Seconds,
        record: &TaskRecord,
        eligible: &'a [MachineId],
    ) -> Vec<Candidate<'a>> {
        let mut candidates = Vec::new();
        for (id, machine) in self.known_machines(eligible) {
            if self.filter_task(record, id, machine).is_some() {
                continue;
            }
            candidates.push(Candidate {
                id,
                machine,
                preference_rank: self.candidate_preference_rank(now, record, id, machine),
                loss: f64::INFINITY,
            });
        }
        candidates.sort_by(|a, b| {
            let idle_last = a.machine.is_idle_capacity.cmp(&b.machine.is_idle_capacity);
            idle_last.then(a.preference_rank.total_cmp(&b.preference_rank))
        });
        candidates
    }

    /// The rank of a machine in the order of preference. Machines in slow start have no cached programs, and schedulers
    /// must not all choose the same one, so there the order differs by task and scheduler.
    fn candidate_preference_rank(
        &self,
        now: Seconds,
        record: &TaskRecord,
        id: MachineId,
        machine: &MachineState,
    ) -> f64 {
        let salt = if self.is_in_slow_start(now, machine) {
            record.task.id.0.rotate_left(17) ^ self.seed
        } else {
            0
        };
        let service = ServiceId(record.task.service.0 ^ salt);
        preference_rank(service, id, machine.capacity.cpu)
    }

    /// Sets the losses of candidates, which must be in order of preference.
    fn estimate_losses(&self, now: Seconds, record: &TaskRecord, candidates: &mut [Candidate<'_>]) {
        let mut unknown_cached_probability = if self.knows_all_programs() {
            0.0
        } else {
            CACHED_PROBABILITY
        };
        for (position, candidate) in candidates.iter_mut().enumerate() {
            if position >= PREFERRED_MACHINES {
                unknown_cached_probability *= CACHED_PROBABILITY_DECAY;
            }
            let machine = candidate.machine;
            let cached_probability =
                if self.has_cached_program(now, record.task.service, candidate.id) {
                    CACHED_PROBABILITY
                } else if self.is_in_slow_start(now, machine) {
                    0.0
                } else {
                    unknown_cached_probability
                };
            candidate.loss = self
                .loss(now, record, machine, cached_probability)
                .unwrap_or(f64::INFINITY);
        }
    }

    /// Keeps the candidates with the least loss, and of these only the preferred machines if the programs of other
    /// schedulers are not known.
    fn keep_least_loss(&self, candidates: &mut Vec<Candidate<'_>>) {
        let losses = candidates.iter().map(|candidate| candidate.loss);
        let least = losses.fold(f64::INFINITY, f64::min);
        candidates.retain(|candidate| {
            candidate.loss.is_finite() && candidate.loss <= least + MAX_EXCESS_LOSS
        });
        if !self.knows_all_programs() {
            candidates.truncate(PREFERRED_MACHINES);
        }
    }

    /// The backlogs of the candidates. Machines in slow start, and those without a task of this scheduler, get the
    /// mean.
    fn backlogs(&self, now: Seconds, candidates: &[Candidate<'_>]) -> Vec<f64> {
        let mut backlogs: Vec<f64> = candidates
            .iter()
            .map(|candidate| self.backlog(now, candidate.machine))
            .collect();
        let mean = backlogs.iter().sum::<f64>() / backlogs.len() as f64;
        for (backlog, candidate) in backlogs.iter_mut().zip(candidates) {
            let machine = candidate.machine;
            if machine.reservations.is_empty() || self.is_in_slow_start(now, machine) {
                *backlog = mean;
            }
        }
        backlogs
    }
}
