//! Conversion to the settings of the policy.

use crate::{Class, Config, CostModel, FailureDomain, RetrySafety, SafetyLimits, Tenant};
use tidespur_policy::interface as policy;

impl Config {
    /// The class of this name; the first class if the name is unknown or empty.
    pub fn class_or_default(&self, name: &str) -> Option<&Class> {
        self.classes
            .get(name)
            .or_else(|| self.classes.values().next())
    }

    /// Policy settings of the planner with this ordinal and zone.
    pub fn scheduler_settings(&self, ordinal: usize, zone: usize) -> policy::Settings {
        let classes = self.classes.values();
        let node_types = self.node_types.values();
        let machine_type = |node_type: &crate::NodeType| policy::MachineType {
            capacity: policy::Resources::new(node_type.cores, node_type.memory),
        };
        let nodes = &self.nodes;
        policy::Settings {
            ordinal,
            scheduler_count: self.scheduler_count(ordinal),
            zone,
            classes: classes.map(|class| self.policy_class(class)).collect(),
            tenants: self.tenants.values().map(policy_tenant).collect(),
            machine_types: node_types.map(machine_type).collect(),
            overcommit: policy::Resources::new(nodes.cpu_overcommit, nodes.memory_overcommit),
            single_scheduler_per_service: self.edge.single_planner_per_service,
            confirm_when_running: false,
            requires_subscription: true,
            lists_unclaimed: nodes.lists_unclaimed,
            load_reports: if nodes.load_reports {
                policy::LoadReportSource::OutcomesAndPolls
            } else {
                policy::LoadReportSource::None
            },
            reports_measured_usage: nodes.reports_measured_usage,
            allows_load_polls: nodes.allows_load_polls,
            allows_gossip: false,
            max_attempts: nodes.max_attempts,
            max_retry_after: 0.0,
            over_quota_weight: 1.0,
            safety_limits: policy_safety_limits(&self.safety_limits),
            costs: policy_costs(&self.costs),
        }
    }

    /// How many schedulers share the slow-start budget. With coordination the planners are counted at run time; until a
    /// planner is notified of the count it takes the smallest quota, one offer in a window.
    fn scheduler_count(&self, ordinal: usize) -> usize {
        let uncounted = if self.coordination.is_some() {
            self.safety_limits.slow_start_offers as u32
        } else {
            0
        };
        let configured = self.planner.planner_count;
        configured.max(ordinal as u32 + 1).max(uncounted) as usize
    }

    fn policy_class(&self, class: &Class) -> policy::Class {
        let node_type = class.node_type.as_ref();
        policy::Class {
            latency_objective: class.latency_objective,
            deadline: class.deadline,
            retry_safety: policy_retry_safety(class),
            priority_weight: class.priority_weight,
            start_weight: class.start_weight,
            full_service_utilization: class.full_service_utilization,
            degradation_range: class.degradation_range,
            machine_type: node_type.and_then(|name| self.node_types.get_index_of(name)),
            priority: class.priority,
            spread_domain: class.spread_domain.map(policy_domain),
            max_per_spread_domain: class.max_per_spread_domain,
        }
    }
}

fn policy_domain(domain: FailureDomain) -> policy::FailureDomain {
    match domain {
        FailureDomain::All => policy::FailureDomain::All,
        FailureDomain::Zone => policy::FailureDomain::Zone,
        FailureDomain::Rack => policy::FailureDomain::Cell,
        FailureDomain::Node => policy::FailureDomain::Machine,
    }
}

fn policy_retry_safety(class: &Class) -> policy::RetrySafety {
    let deduplication = (class.deduplication_domain, class.deduplication_window);
    match (class.retry_safety, deduplication) {
        (RetrySafety::Idempotent, _) => policy::RetrySafety::Idempotent,
        (RetrySafety::IdempotencyKeyed, (Some(domain), Some(window))) => {
            let domain = policy_domain(domain);
            policy::RetrySafety::IdempotencyKeyed { domain, window }
        }
        _ => policy::RetrySafety::NonIdempotent,
    }
}

fn policy_tenant(tenant: &Tenant) -> policy::Tenant {
    policy::Tenant {
        quota_fraction: tenant.quota_fraction,
        quota_per_second: tenant.quota_per_second,
    }
}

fn policy_safety_limits(limits: &SafetyLimits) -> policy::SafetyLimits {
    policy::SafetyLimits {
        answer_slack: limits.answer_slack,
        max_poll_interval: limits.max_poll_interval,
        slow_start_speed: limits.slow_start_speed,
        slow_start_duration: limits.slow_start_duration,
        slow_start_offers: limits.slow_start_offers,
        drain_grace: limits.drain_grace,
        overload_ratio: limits.overload_ratio,
        overload_window: limits.overload_window,
    }
}

fn policy_costs(costs: &CostModel) -> policy::CostModel {
    policy::CostModel {
        idle_machines: costs.idle_machines,
        rejected_offer: costs.rejected_offer,
        migration: costs.migration,
        eviction_in_migrations: costs.eviction_in_migrations,
        load_poll: costs.load_poll,
        gossip_message: costs.gossip_message,
    }
}
