//! Settings of the dispatcher and the Job controller, derived from the configuration.

use crate::dispatcher;
use std::collections::BTreeSet;
use tidespur_config::{Config, RetrySafety};
use tidespur_job_controller as controller;

/// How long planners may take to answer a query for the location of a task, in seconds.
const LOCATE_TIMEOUT: f64 = 3.0;

pub(super) fn dispatcher_settings(config: &Config) -> dispatcher::Settings {
    dispatcher::Settings {
        max_tasks_per_planner: config.edge.max_tasks_per_planner as usize,
        single_planner_per_service: config.edge.single_planner_per_service,
        // The other half is reserved for the planner, whose answer needs time to reach the edge.
        answer_slack: config.safety_limits.answer_slack / 2.0,
        locate_timeout: LOCATE_TIMEOUT,
        // Half the timeout of the connection, so that the open tasks of a hanging planner are withdrawn before the
        // planner counts as lost.
        acknowledge_timeout: config.edge.planner_timeout / 2.0,
    }
}

pub(super) fn controller_settings(config: &Config) -> controller::Settings {
    let mut non_idempotent_classes = BTreeSet::new();
    for (name, class) in &config.classes {
        if class.retry_safety != RetrySafety::Idempotent {
            non_idempotent_classes.insert(name.clone());
        }
    }
    let settings = &config.job_controller;
    controller::Settings {
        backoff: controller::Backoff {
            initial: settings.initial_backoff,
            max: settings.max_backoff,
            node_lost: settings.lost_task_backoff,
        },
        outcome_query_delay: settings.outcome_query_delay,
        non_idempotent_classes,
        default_class: config.classes.keys().next().cloned().unwrap_or_default(),
    }
}
