//! Settings as the policy takes them.

use crate::{Config, Effect, Place};
use tidespur_policy::interface as policy;

fn place(place: Place) -> policy::FailureDomain {
    match place {
        Place::All => policy::FailureDomain::All,
        Place::Zone => policy::FailureDomain::Zone,
        Place::Rack => policy::FailureDomain::Cell,
        Place::Node => policy::FailureDomain::Machine,
    }
}

impl Config {
    /// The class of that name; the first one where the name is none of theirs, as it is for Pods that name none.
    pub fn class_called(&self, name: &str) -> Option<&crate::Class> {
        self.class.get(name).or_else(|| self.class.values().next())
    }

    /// What a planner of that number and zone tells its policy at the start.
    pub fn policy(&self, ordinal: usize, zone: usize) -> policy::Settings {
        let class = |c: &crate::Class| policy::Class {
            latency_objective: c.aim,
            deadline: c.deadline,
            retry_safety: match (c.effect, c.group, c.window) {
                (Effect::Safe, ..) => policy::RetrySafety::Idempotent,
                (Effect::Keyed, Some(group), Some(window)) => {
                    policy::RetrySafety::IdempotencyKeyed {
                        domain: place(group),
                        window,
                    }
                }
                _ => policy::RetrySafety::NonIdempotent,
            },
            priority_weight: c.worth,
            start_weight: c.start_worth,
            full_service_utilization: c.calm,
            degradation_range: c.fade,
            machine_type: c
                .kind
                .as_ref()
                .and_then(|kind| self.kind.get_index_of(kind)),
            priority: c.priority,
            spread_domain: c.spread.map(place),
            max_per_spread_domain: c.spread_most,
        };
        let (n, s, p) = (&self.nodes, &self.safety, &self.prices);
        // Where the ledger counts planners, one that was not told yet takes the smallest part: one offer in a window.
        let uncounted = if self.ledger.is_some() {
            s.cold_bears as u32
        } else {
            0
        };
        policy::Settings {
            ordinal,
            scheduler_count: self.planner.planners.max(ordinal as u32 + 1).max(uncounted) as usize,
            zone,
            classes: self.class.values().map(class).collect(),
            tenants: self
                .tenant
                .values()
                .map(|t| policy::Tenant {
                    quota_fraction: t.share,
                    quota_per_second: t.quota_per_s,
                })
                .collect(),
            machine_types: self
                .kind
                .values()
                .map(|k| policy::MachineType {
                    capacity: policy::Resources::new(k.cores, k.memory),
                })
                .collect(),
            overcommit: policy::Resources::new(n.admit_cores, n.admit_memory),
            single_scheduler_per_service: self.edge.one_home,
            confirm_when_running: false,
            requires_subscription: true,
            lists_unclaimed: n.lists_free,
            load_reports: if n.reports {
                policy::LoadReportSource::WithAnswers
            } else {
                policy::LoadReportSource::None
            },
            reports_measured_usage: n.reports_use,
            allows_load_polls: n.probes,
            allows_gossip: false,
            max_attempts: n.max_attempts,
            max_retry_after: 0.0,
            over_quota_weight: 1.0,
            safety_limits: policy::SafetyLimits {
                answer_slack: s.answer_slack,
                max_poll_interval: s.ask_within,
                slow_start_speed: s.cold_from,
                slow_start_duration: s.cold,
                slow_start_offers: s.cold_bears,
                drain_grace: s.drain_grace,
                overload_ratio: s.fall_multiple,
                overload_window: s.overload_for,
            },
            costs: policy::CostModel {
                idle_machines: p.machines,
                rejected_offer: p.refused,
                migration: p.moves,
                eviction_in_migrations: p.eviction_as_moves,
                load_poll: p.probe,
                gossip_message: p.message,
            },
        }
    }
}
