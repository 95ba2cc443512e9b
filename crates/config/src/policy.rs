//! Settings as the policy takes them.

use crate::{Config, FailureDomain, RetrySafety};
use tidespur_policy::interface as policy;

fn place(place: FailureDomain) -> policy::FailureDomain {
    match place {
        FailureDomain::All => policy::FailureDomain::All,
        FailureDomain::Zone => policy::FailureDomain::Zone,
        FailureDomain::Rack => policy::FailureDomain::Cell,
        FailureDomain::Node => policy::FailureDomain::Machine,
    }
}

impl Config {
    /// The class of that name; the first one where the name is none of theirs, as it is for Pods that name none.
    pub fn class_or_default(&self, name: &str) -> Option<&crate::Class> {
        self.classes
            .get(name)
            .or_else(|| self.classes.values().next())
    }

    /// What a planner of that number and zone tells its policy at the start.
    pub fn scheduler_settings(&self, ordinal: usize, zone: usize) -> policy::Settings {
        let class = |c: &crate::Class| policy::Class {
            latency_objective: c.latency_objective,
            deadline: c.deadline,
            retry_safety: match (
                c.retry_safety,
                c.deduplication_domain,
                c.deduplication_window,
            ) {
                (RetrySafety::Idempotent, ..) => policy::RetrySafety::Idempotent,
                (RetrySafety::IdempotencyKeyed, Some(group), Some(window)) => {
                    policy::RetrySafety::IdempotencyKeyed {
                        domain: place(group),
                        window,
                    }
                }
                _ => policy::RetrySafety::NonIdempotent,
            },
            priority_weight: c.priority_weight,
            start_weight: c.start_weight,
            full_service_utilization: c.full_service_utilization,
            degradation_range: c.degradation_range,
            machine_type: c
                .node_type
                .as_ref()
                .and_then(|kind| self.node_types.get_index_of(kind)),
            priority: c.priority,
            spread_domain: c.spread_domain.map(place),
            max_per_spread_domain: c.max_per_spread_domain,
        };
        let (n, s, p) = (&self.nodes, &self.safety_limits, &self.costs);
        // Where the ledger counts planners, one that was not told yet takes the smallest part: one offer in a window.
        let uncounted = if self.coordination.is_some() {
            s.slow_start_offers as u32
        } else {
            0
        };
        policy::Settings {
            ordinal,
            scheduler_count: self
                .planner
                .planner_count
                .max(ordinal as u32 + 1)
                .max(uncounted) as usize,
            zone,
            classes: self.classes.values().map(class).collect(),
            tenants: self
                .tenants
                .values()
                .map(|t| policy::Tenant {
                    quota_fraction: t.quota_fraction,
                    quota_per_second: t.quota_per_second,
                })
                .collect(),
            machine_types: self
                .node_types
                .values()
                .map(|k| policy::MachineType {
                    capacity: policy::Resources::new(k.cores, k.memory),
                })
                .collect(),
            overcommit: policy::Resources::new(n.cpu_overcommit, n.memory_overcommit),
            single_scheduler_per_service: self.edge.single_planner_per_service,
            confirm_when_running: false,
            requires_subscription: true,
            lists_unclaimed: n.lists_unclaimed,
            load_reports: if n.load_reports {
                policy::LoadReportSource::WithAnswers
            } else {
                policy::LoadReportSource::None
            },
            reports_measured_usage: n.reports_measured_usage,
            allows_load_polls: n.allows_load_polls,
            allows_gossip: false,
            max_attempts: n.max_attempts,
            max_retry_after: 0.0,
            over_quota_weight: 1.0,
            safety_limits: policy::SafetyLimits {
                answer_slack: s.answer_slack,
                max_poll_interval: s.max_poll_interval,
                slow_start_speed: s.slow_start_speed,
                slow_start_duration: s.slow_start_duration,
                slow_start_offers: s.slow_start_offers,
                drain_grace: s.drain_grace,
                overload_ratio: s.overload_ratio,
                overload_window: s.overload_window,
            },
            costs: policy::CostModel {
                idle_machines: p.idle_machines,
                rejected_offer: p.rejected_offer,
                migration: p.migration,
                eviction_in_migrations: p.eviction_in_migrations,
                load_poll: p.load_poll,
                gossip_message: p.gossip_message,
            },
        }
    }
}
