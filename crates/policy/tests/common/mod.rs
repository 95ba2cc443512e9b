//! Helpers for settings and events, and a scheduler whose rules are checked. Machines are not simulated.
#![allow(
    dead_code,
    unused_imports,
    reason = "each test file uses only some helpers"
)]

mod observed_task;
mod rule_checker;

pub use rule_checker::CheckedScheduler;

use tidespur_policy::interface::{
    Action, AttemptOutcome, AttemptProgress, Class, CostModel, Endpoint, EndpointStatus, Event,
    LoadReportSource, MachineId, MachineType, Resources, RetrySafety, SafetyLimits, Seconds,
    ServiceId, Settings, Task, TaskId,
};

/// A class without a spread limit, for any machine type.
pub fn class(retry_safety: RetrySafety) -> Class {
    Class {
        latency_objective: 0.7,
        deadline: 6.0,
        retry_safety,
        priority_weight: 1.0,
        start_weight: 10.0,
        full_service_utilization: 1.0,
        degradation_range: 1.0,
        machine_type: None,
        priority: 0,
        spread_domain: None,
        max_per_spread_domain: 0,
    }
}

/// Settings of the first of two schedulers, which may neither poll nor gossip.
pub fn settings(classes: Vec<Class>) -> Settings {
    Settings {
        ordinal: 0,
        scheduler_count: 2,
        zone: 0,
        classes,
        tenants: vec![],
        machine_types: vec![MachineType {
            capacity: Resources::new(32.0, 64.0),
        }],
        overcommit: Resources::new(2.5, 1.5),
        single_scheduler_per_service: false,
        confirm_when_running: false,
        requires_subscription: false,
        lists_unclaimed: true,
        load_reports: LoadReportSource::OutcomesAndPolls,
        reports_measured_usage: true,
        allows_load_polls: false,
        allows_gossip: false,
        max_attempts: 4,
        max_retry_after: 0.0,
        over_quota_weight: 0.1,
        safety_limits: SafetyLimits {
            answer_slack: 0.008,
            max_poll_interval: 10.0,
            slow_start_speed: 0.15,
            slow_start_duration: 18.0,
            slow_start_offers: 8.0,
            drain_grace: 0.5,
            overload_ratio: 2.5,
            overload_window: 1.0,
        },
        costs: CostModel::default(),
    }
}

/// Settings with one idempotent class.
pub fn idempotent_settings() -> Settings {
    settings(vec![class(RetrySafety::Idempotent)])
}

/// A ready machine that started long ago and has most of its capacity free.
pub fn endpoint(machine: u64) -> Endpoint {
    Endpoint {
        machine: MachineId(machine),
        machine_type: 0,
        cell: machine as usize / 4,
        zone: machine as usize / 8,
        status: EndpointStatus::Ready,
        started_at: None,
        unclaimed: Resources::new(30.0, 60.0),
    }
}

/// An event with the complete list of `machines` such machines.
pub fn endpoints_listed(machines: u64) -> Event {
    Event::EndpointsListed((0..machines).map(endpoint).collect())
}

/// A small task of one of five services.
pub fn task(id: u64, class: usize, deadline: Seconds) -> Task {
    Task {
        id: TaskId(id),
        class,
        tenant: 0,
        service: ServiceId(id % 5),
        deadline,
        expected_duration: Some(12.0),
        request: Resources::new(1.0, 2.0),
        is_resubmission: false,
    }
}

/// An event for the submission of a task of the first class.
pub fn submitted(id: u64, deadline: Seconds) -> Event {
    Event::TaskSubmitted(task(id, 0, deadline))
}

/// An event for the confirmation of the first attempt of a task.
pub fn confirmed(id: u64) -> Event {
    Event::AttemptConfirmed {
        task: TaskId(id),
        attempt: 0,
    }
}

/// An event for the start of a task.
pub fn started(id: u64) -> Event {
    Event::AttemptProgressed {
        task: TaskId(id),
        progress: AttemptProgress::Started,
    }
}

/// An event for the end of an attempt whose request is not closed.
pub fn ended(task: u64, attempt: u32, outcome: AttemptOutcome) -> Event {
    Event::AttemptEnded {
        task: TaskId(task),
        attempt,
        outcome,
        closed: false,
        report: None,
    }
}

/// The offered tasks and the machines that they are offered to.
pub fn offers(actions: &[Action]) -> Vec<(TaskId, MachineId)> {
    let offer = |action: &Action| match action {
        Action::Offer { task, machine, .. } => Some((*task, *machine)),
        _ => None,
    };
    actions.iter().filter_map(offer).collect()
}
