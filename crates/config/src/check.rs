//! Validates ranges of values and dependencies between them. Errors name the keys of the file.

mod classes;
mod fleet;

use crate::error::{InvalidValue, check_range};
use crate::{
    Config, EdgeSection, JobControllerSection, NodesSection, PlannerSection, SafetyLimits,
};

/// Rounding error by which the sum of all quota fractions may exceed 1.
const QUOTA_TOLERANCE: f64 = 1e-6;
/// Longest duration of any setting: a day, in seconds.
const DAY: f64 = 86_400.0;
/// Longest duration of most settings: an hour, in seconds.
const HOUR: f64 = 3_600.0;

impl Config {
    /// Validates all values, in the order of the documented settings; returns the first violation.
    pub(crate) fn check(&self) -> Result<(), InvalidValue> {
        if self.classes.is_empty() {
            return Err(InvalidValue::new("class", "at least one class is needed"));
        }
        if self.node_types.is_empty() {
            let message = "at least one kind of node is needed";
            return Err(InvalidValue::new("kind", message));
        }
        self.check_tenants()?;
        self.check_node_types()?;
        for (name, class) in &self.classes {
            classes::check(name, class, &self.node_types)?;
        }
        check_nodes(&self.nodes)?;
        check_safety_limits(&self.safety_limits)?;
        check_edge(&self.edge)?;
        check_planner(&self.planner)?;
        if let Some(section) = &self.membership {
            fleet::check_membership(section)?;
        }
        if let Some(section) = &self.persistence {
            fleet::check_persistence(section)?;
        }
        if let Some(section) = &self.coordination {
            fleet::check_coordination(section)?;
        }
        check_job_controller(&self.job_controller)
    }

    fn check_tenants(&self) -> Result<(), InvalidValue> {
        for (name, tenant) in &self.tenants {
            let key = |key: &str| format!("tenant.{name}.{key}");
            check_range(&key("share"), tenant.quota_fraction, 0.0, 1.0)?;
            check_range(&key("quota_per_s"), tenant.quota_per_second, 0.0, 1e6)?;
        }
        let total: f64 = self.tenants.values().map(|t| t.quota_fraction).sum();
        if total > 1.0 + QUOTA_TOLERANCE {
            let message = "the shares add up to more than 1";
            return Err(InvalidValue::new("tenant", message));
        }
        Ok(())
    }

    fn check_node_types(&self) -> Result<(), InvalidValue> {
        for (name, node_type) in &self.node_types {
            check_range(&format!("kind.{name}.cores"), node_type.cores, 0.01, 1e6)?;
            check_range(&format!("kind.{name}.memory"), node_type.memory, 0.01, 1e7)?;
        }
        Ok(())
    }
}

fn check_nodes(nodes: &NodesSection) -> Result<(), InvalidValue> {
    let max_attempts = f64::from(nodes.max_attempts);
    check_range("nodes.admit_cores", nodes.cpu_overcommit, 0.1, 100.0)?;
    check_range("nodes.admit_memory", nodes.memory_overcommit, 0.1, 100.0)?;
    check_range("nodes.max_attempts", max_attempts, 1.0, 100.0)
}

fn check_safety_limits(limits: &SafetyLimits) -> Result<(), InvalidValue> {
    check_range("safety.answer_slack", limits.answer_slack, 0.0, 10.0)?;
    check_range("safety.ask_within", limits.max_poll_interval, 0.1, HOUR)?;
    check_range("safety.cold_from", limits.slow_start_speed, 0.0, 1.0)?;
    check_range("safety.cold", limits.slow_start_duration, 0.0, HOUR)?;
    check_range("safety.cold_bears", limits.slow_start_offers, 0.0, 1e6)?;
    check_range("safety.drain_grace", limits.drain_grace, 0.0, 60.0)?;
    check_range("safety.fall_multiple", limits.overload_ratio, 0.1, 1000.0)?;
    check_range("safety.overload_for", limits.overload_window, 0.01, HOUR)
}

fn check_edge(edge: &EdgeSection) -> Result<(), InvalidValue> {
    let max_open_tasks = f64::from(edge.max_open_tasks);
    let max_tasks_per_planner = f64::from(edge.max_tasks_per_planner);
    let max_connections = f64::from(edge.max_connections);
    let max_body_bytes = f64::from(edge.max_body_bytes);
    check_range("edge.open_most", max_open_tasks, 1.0, 1e6)?;
    check_range("edge.planner_most", max_tasks_per_planner, 1.0, 1e6)?;
    check_range("edge.connections_most", max_connections, 1.0, 1e6)?;
    check_range(
        "edge.body_most",
        max_body_bytes,
        1024.0,
        64.0 * 1024.0 * 1024.0,
    )?;
    check_range("edge.head_timeout", edge.head_timeout, 0.05, 600.0)?;
    check_range("edge.body_timeout", edge.body_timeout, 0.05, 600.0)?;
    check_range("edge.history", f64::from(edge.max_history), 16.0, 1e7)?;
    check_range("edge.objects_most", f64::from(edge.max_objects), 16.0, 1e7)?;
    check_range("edge.bookmark_every", edge.bookmark_interval, 0.05, 600.0)?;
    check_range("edge.planner_patience", edge.planner_timeout, 0.2, 600.0)
}

fn check_planner(planner: &PlannerSection) -> Result<(), InvalidValue> {
    let max_connections = f64::from(planner.max_connections_per_node);
    let max_events = f64::from(planner.max_events_per_step);
    let planner_count = f64::from(planner.planner_count);
    check_range("planner.node_connections", max_connections, 1.0, 1024.0)?;
    check_range("planner.step_most", max_events, 1.0, 1e6)?;
    check_range("planner.edge_patience", planner.edge_timeout, 0.2, 600.0)?;
    check_range("planner.planners", planner_count, 1.0, 1e4)
}

fn check_job_controller(section: &JobControllerSection) -> Result<(), InvalidValue> {
    let initial = section.initial_backoff;
    check_range("owner.again_first", initial, 0.01, HOUR)?;
    check_range("owner.again_most", section.max_backoff, initial, DAY)?;
    check_range("owner.again_lost", section.lost_task_backoff, 0.0, HOUR)?;
    check_range("owner.settle", section.outcome_query_delay, 0.0, HOUR)
}
