//! Converts the policy's diagnosis of a pending task to a [`Diagnosis`].

use super::PlannerState;
use tidespur_config::FailureDomain;
use tidespur_pending::{Diagnosis, ReasonCode, SpreadLimit};
use tidespur_policy::interface::{FilterReason, PendingDiagnosis, RetryBlocker};

/// Why a node was filtered out. The unit of `shortfall` depends on the code: cores, GiB or seconds; it is 0 for other
/// codes.
struct Rejection {
    code: ReasonCode,
    shortfall: f64,
}

/// Converts the diagnosis of a task of this class, made at `now`.
pub(super) fn diagnose(
    now: f64,
    pending: &PendingDiagnosis,
    class: &str,
    state: &PlannerState<'_>,
) -> Diagnosis {
    let mut diagnosis = Diagnosis {
        node_count: pending.machine_count as u32,
        blocker: pending.blocker.map(blocker_code),
        ..Diagnosis::default()
    };
    for (machine, reason) in &pending.rejections {
        let name = state.machine_names.get(*machine).unwrap_or("");
        let node = state.nodes.get(name);
        let awaits_report = node.is_some_and(|node| node.is_listed && !node.has_reported());
        let rejection = convert_rejection(now, *reason, awaits_report);
        // Nodes removed from the node list are not counted in what the task's owner reads.
        if rejection.code == ReasonCode::Unlisted {
            diagnosis.node_count = diagnosis.node_count.saturating_sub(1);
            continue;
        }
        let zone = node.map_or("", |node| node.zone.as_str());
        diagnosis.add_rejection(name, zone, rejection.code, rejection.shortfall);
    }
    if diagnosis.rejections.contains_key(&ReasonCode::Spread) {
        diagnosis.spread_limit = spread_limit(class, state);
    }
    diagnosis
}

fn blocker_code(blocker: RetryBlocker) -> ReasonCode {
    match blocker {
        RetryBlocker::AttemptsExhausted => ReasonCode::AttemptsUsed,
        RetryBlocker::MayHaveRun => ReasonCode::MayHaveRun,
        RetryBlocker::DeduplicationWindowElapsed => ReasonCode::WindowOver,
        RetryBlocker::DeadlineExceeded => ReasonCode::GivesUp,
    }
}

fn convert_rejection(now: f64, reason: FilterReason, awaits_report: bool) -> Rejection {
    let (code, shortfall) = match reason {
        FilterReason::NotListed if awaits_report => (ReasonCode::Unheard, 0.0),
        FilterReason::NotListed => (ReasonCode::Unlisted, 0.0),
        FilterReason::Draining => (ReasonCode::Draining, 0.0),
        FilterReason::MachineTypeMismatch => (ReasonCode::WrongKind, 0.0),
        FilterReason::OutsideDeduplicationDomain => (ReasonCode::OutsideGroup, 0.0),
        FilterReason::SlowStart => (ReasonCode::ColdBudget, 0.0),
        FilterReason::SpreadLimit(_) => (ReasonCode::Spread, 0.0),
        FilterReason::CircuitOpen(until) => (ReasonCode::SetAside, (until - now).max(0.0)),
        FilterReason::TooManyOffersInFlight => (ReasonCode::Line, 0.0),
        FilterReason::InsufficientCpu(missing) => (ReasonCode::Cores, missing),
        FilterReason::InsufficientMemory(missing) => (ReasonCode::Memory, missing),
    };
    Rejection { code, shortfall }
}

fn spread_limit(class: &str, state: &PlannerState<'_>) -> Option<SpreadLimit> {
    let class = state.config.class_or_default(class)?;
    let domain = match class.spread_domain? {
        FailureDomain::All => "all",
        FailureDomain::Zone => "zone",
        FailureDomain::Rack => "rack",
        FailureDomain::Node => "node",
    };
    Some(SpreadLimit {
        domain: domain.to_owned(),
        max_tasks: class.max_per_spread_domain,
    })
}
