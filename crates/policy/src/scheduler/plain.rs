//! The plain walk, one for each waiting task over all machines, held against the shared one event by event.

use super::dice::*;
use super::*;

impl Scheduler {
    /// What the walk over all machines for this task alone picks, and the chance that is left after it.
    pub(super) fn plain(&self, now: Seconds, id: TaskId) -> (Option<MachineId>, rand_pcg::Pcg32) {
        let mut rng = self.rng.clone();
        let (job, safety) = (&self.jobs[&id], &self.settings.safety_limits);
        let service = job.task.service;
        let gate = |to: MachineId, machine: &Machine| {
            let open = job.state == TaskState::Held && now < self.may_send_until(job);
            open && self.bar(now, job, to, machine).is_none()
        };
        let mut candidates: Vec<(MachineId, &Machine, f64)> = Vec::new();
        for (&to, machine) in self
            .machines
            .iter()
            .filter(|&(&to, machine)| gate(to, machine))
        {
            let salt = if cold(machine, safety, now) {
                id.0.rotate_left(17) ^ self.seed
            } else {
                0
            };
            candidates.push((to, machine, rank(ServiceId(service.0 ^ salt), to, machine)));
        }
        candidates.sort_by(|a, b| a.1.spare.cmp(&b.1.spare).then(a.2.total_cmp(&b.2)));
        let mut chance = if self.informed() { 0.0 } else { AT_HOME };
        for (place, (to, machine, loss)) in candidates.iter_mut().enumerate() {
            chance *= if place < HOMES { 1.0 } else { FALL };
            let cold = cold(machine, safety, now);
            let unknown = if cold { 0.0 } else { chance };
            let program = if self.warm(now, service, *to) {
                AT_HOME
            } else {
                unknown
            };
            *loss = self
                .loss(now, job, machine, program)
                .unwrap_or(f64::INFINITY);
        }
        let least = candidates.iter().map(|c| c.2).fold(f64::INFINITY, f64::min);
        candidates.retain(|c| c.2.is_finite() && c.2 <= least + MARGIN_LOSS);
        candidates.truncate(if self.informed() {
            candidates.len()
        } else {
            HOMES
        });
        if candidates.is_empty() {
            return (None, rng);
        }
        let backlogs: Vec<f64> = candidates.iter().map(|c| self.backlog(now, c.1)).collect();
        let mean = backlogs.iter().sum::<f64>() / backlogs.len() as f64;
        let new = |machine: &Machine| machine.tasks.is_empty() || cold(machine, safety, now);
        let of = |(backlog, c): (&f64, &(MachineId, &Machine, f64))| {
            if new(c.1) { mean } else { *backlog }
        };
        let backlogs: Vec<f64> = backlogs.iter().zip(&candidates).map(of).collect();
        let work = job
            .task
            .expected_duration
            .map_or(self.work.value, |life| life * job.task.request.cpu);
        let picked = candidates[dice(&backlogs, work, self.work.value, &mut rng)].0;
        (Some(picked), rng)
    }
}

fn settings(rng: &mut rand_pcg::Pcg32) -> Settings {
    let places = [
        FailureDomain::All,
        FailureDomain::Zone,
        FailureDomain::Cell,
        FailureDomain::Machine,
    ];
    let effects = [
        RetrySafety::Idempotent,
        RetrySafety::IdempotencyKeyed {
            domain: places[rng.random_range(0..4)],
            window: 2.0,
        },
        RetrySafety::NonIdempotent,
    ];
    let mut class = |effect| Class {
        latency_objective: 0.7,
        deadline: 4.0,
        retry_safety: effect,
        priority_weight: rng.random_range(1..4).into(),
        start_weight: 10.0,
        full_service_utilization: 1.0,
        degradation_range: 1.0,
        machine_type: rng.random_bool(0.2).then_some(0),
        priority: 0,
        spread_domain: [None, Some(places[1]), Some(places[2]), Some(places[3])]
            [rng.random_range(0..4)],
        max_per_spread_domain: 2,
    };
    Settings {
        ordinal: 0,
        scheduler_count: 2,
        zone: 0,
        classes: effects.map(&mut class).to_vec(),
        tenants: vec![],
        machine_types: vec![
            MachineType {
                capacity: Resources::new(4.0, 8.0),
            },
            MachineType {
                capacity: Resources::new(8.0, 16.0),
            },
        ],
        overcommit: Resources::new(1.5, 1.2),
        single_scheduler_per_service: rng.random_bool(0.5),
        confirm_when_running: false,
        requires_subscription: false,
        lists_unclaimed: true,
        load_reports: LoadReportSource::WithAnswers,
        reports_measured_usage: true,
        allows_load_polls: false,
        allows_gossip: false,
        max_attempts: 4,
        max_retry_after: 0.0,
        over_quota_weight: 0.1,
        safety_limits: SafetyLimits {
            answer_slack: 0.05,
            max_poll_interval: 10.0,
            slow_start_speed: 0.15,
            slow_start_duration: 3.0,
            slow_start_offers: 8.0,
            drain_grace: 0.5,
            overload_ratio: 2.5,
            overload_window: 1.0,
        },
        costs: CostModel {
            idle_machines: if rng.random_bool(0.5) { 0.1 } else { 0.0 },
            ..CostModel::default()
        },
    }
}

fn entry(rng: &mut rand_pcg::Pcg32, machine: u64, now: Seconds) -> Endpoint {
    let standing = match rng.random_range(0..12) {
        0 => EndpointStatus::Draining,
        1 => EndpointStatus::Gone,
        _ => EndpointStatus::Ready,
    };
    Endpoint {
        machine: MachineId(machine),
        machine_type: (machine % 2) as usize,
        cell: (machine / 4) as usize,
        zone: (machine / 8) as usize,
        status: standing,
        started_at: rng
            .random_bool(0.2)
            .then(|| now - rng.random_range(0.0..3.0)),
        unclaimed: Resources::new(rng.random_range(0.0..4.0), rng.random_range(0.0..8.0)),
    }
}

/// Twenty-four small machines under more work than they bear: most tasks wait. `place` compares each pick.
/// Returns how many
/// were sent, and how many waited, over all steps.
fn play(seed: u64) -> (usize, usize) {
    let mut rng = rand_pcg::Pcg32::seed_from_u64(seed);
    let settings = settings(&mut rng);
    let mut scheduler = Scheduler::new(settings, seed).expect("settings are sound");
    let mut out: BTreeMap<TaskId, u32> = BTreeMap::new();
    let (mut now, mut next, mut sent, mut waited) = (1000.0, 0, 0, 0);
    let mut events = vec![Event::EndpointsListed(
        (0..24).map(|m| entry(&mut rng, m, now)).collect(),
    )];
    for _ in 0..400 {
        let mut actions = Vec::new();
        scheduler.step(now, std::mem::take(&mut events), &mut actions);
        for action in actions {
            if let Action::Offer { task, .. } = action {
                *out.entry(task).or_default() += 1;
                sent += 1;
            }
        }
        waited += scheduler.held.len();
        now += rng.random_range(0.001..0.06);
        for _ in 0..rng.random_range(0..6) {
            let deadline = now + rng.random_range(0.0..4.0);
            let size = |rng: &mut rand_pcg::Pcg32| f64::from(rng.random_range(1..5)) / 2.0;
            let (cores, memory) = (size(&mut rng), size(&mut rng));
            let life = rng.random_bool(0.8).then(|| rng.random_range(0.0..8.0));
            let (class, service) = (rng.random_range(0..3), ServiceId(rng.random_range(0..4)));
            let (id, tenant, returned) =
                (TaskId(next), rng.random_range(0..2), rng.random_bool(0.2));
            events.push(Event::TaskSubmitted(Task {
                id,
                class,
                tenant,
                service,
                deadline,
                expected_duration: life,
                request: Resources::new(cores, memory),
                is_resubmission: returned,
            }));
            next += 1;
        }
        for (&task, &sends) in &out {
            let attempt = sends - 1;
            let bound = scheduler
                .jobs
                .get(&task)
                .is_some_and(|job| job.state == TaskState::Bound);
            let ending = match rng.random_range(0..60) {
                0..3 => {
                    events.push(Event::AttemptConfirmed { task, attempt });
                    continue;
                }
                3 => AttemptOutcome::Rejected(FailureCause::InsufficientCpu),
                4 => AttemptOutcome::Rejected(FailureCause::QueueFull),
                5 => AttemptOutcome::TimedOut,
                6 => AttemptOutcome::Failed,
                7 => AttemptOutcome::ConnectFailed,
                8 => AttemptOutcome::Interrupted(FailureCause::Unspecified),
                9 => AttemptOutcome::Rejected(FailureCause::NotEligible),
                10 | 11 if bound => AttemptOutcome::Finished,
                _ => continue,
            };
            events.push(Event::AttemptEnded {
                task,
                attempt,
                outcome: ending,
                closed: bound,
                report: None,
            });
        }
        if rng.random_bool(0.1) {
            let machine = rng.random_range(0..24);
            events.push(Event::EndpointsChanged(vec![entry(&mut rng, machine, now)]));
        }
    }
    (sent, waited)
}

#[test]
fn one_walk_for_all_that_wait_picks_what_a_walk_for_each_does_draws_included() {
    let all: Vec<(usize, usize)> = (0..30).map(play).collect();
    let (sent, waited) = all
        .iter()
        .fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
    assert!(
        sent > 5_000 && waited > 50_000,
        "{sent} sent, {waited} waited: the plays compare nothing"
    );
}
