//! Ranges, and what must fit together.

use crate::{Config, RetrySafety};

/// What is wrong with a file, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The file.
    pub file: String,
    /// Line, from 1; 0 where it can't be told.
    pub line: usize,
    /// The key, with what it stands in.
    pub key: String,
    /// What is wrong and what is allowed.
    pub message: String,
}

impl std::fmt::Display for ConfigError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.file)?;
        if self.line > 0 {
            write!(f, ":{}", self.line)?;
        }
        if !self.key.is_empty() {
            write!(f, ": {}", self.key)?;
        }
        write!(f, ": {}", self.message)
    }
}

impl std::error::Error for ConfigError {}

type Checked = Result<(), (String, String)>;

fn range(path: &str, value: f64, least: f64, most: f64) -> Checked {
    if value.is_finite() && value >= least && value <= most {
        return Ok(());
    }
    Err((
        path.to_owned(),
        format!("{value} is out of range: allowed is {least} to {most}"),
    ))
}

impl Config {
    pub(crate) fn check(&self) -> Checked {
        let fail = |path: String, what: &str| Err((path, what.to_owned()));
        if self.classes.is_empty() {
            return fail("class".into(), "at least one class is needed");
        }
        if self.node_types.is_empty() {
            return fail("kind".into(), "at least one kind of node is needed");
        }
        for (name, t) in &self.tenants {
            range(&format!("tenant.{name}.share"), t.quota_fraction, 0.0, 1.0)?;
            range(
                &format!("tenant.{name}.quota_per_s"),
                t.quota_per_second,
                0.0,
                1e6,
            )?;
        }
        let shares: f64 = self.tenants.values().map(|t| t.quota_fraction).sum();
        if shares > 1.0 + 1e-6 {
            return fail("tenant".into(), "the shares add up to more than 1");
        }
        for (name, k) in &self.node_types {
            range(&format!("kind.{name}.cores"), k.cores, 0.01, 1e6)?;
            range(&format!("kind.{name}.memory"), k.memory, 0.01, 1e7)?;
        }
        for (name, c) in &self.classes {
            let at = |key: &str| format!("class.{name}.{key}");
            range(&at("aim"), c.latency_objective, 0.001, 86_400.0)?;
            range(&at("deadline"), c.deadline, c.latency_objective, 86_400.0)?;
            range(&at("worth"), c.priority_weight, 0.0, 1e6)?;
            range(&at("start_worth"), c.start_weight, 0.0, 1e6)?;
            range(&at("calm"), c.full_service_utilization, 0.01, 1.0)?;
            range(&at("fade"), c.degradation_range, 0.01, 100.0)?;
            range(&at("priority"), f64::from(c.priority), 0.0, 1000.0)?;
            if c.node_type
                .as_ref()
                .is_some_and(|kind| !self.node_types.contains_key(kind))
            {
                return fail(at("kind"), "is no kind of these settings");
            }
            match (
                c.retry_safety,
                c.deduplication_domain,
                c.deduplication_window,
            ) {
                (RetrySafety::IdempotencyKeyed, Some(_), Some(window)) => {
                    range(&at("window"), window, 0.0, 86_400.0)?
                }
                (RetrySafety::IdempotencyKeyed, None, _) => {
                    return fail(at("effect"), "a keyed class needs a group");
                }
                (RetrySafety::IdempotencyKeyed, _, None) => {
                    return fail(at("effect"), "a keyed class needs a window");
                }
                (_, None, None) => {}
                (_, Some(_), _) => return fail(at("group"), "only a keyed class has a group"),
                (_, _, Some(_)) => return fail(at("window"), "only a keyed class has a window"),
            }
            match (c.spread_domain, c.max_per_spread_domain) {
                (Some(_), 0) => {
                    return fail(
                        at("spread_most"),
                        "0 would let nothing start: allowed is 1 to 4294967295",
                    );
                }
                (None, most) if most > 0 => {
                    return fail(at("spread_most"), "has no meaning without spread");
                }
                _ => {}
            }
        }
        let n = &self.nodes;
        range("nodes.admit_cores", n.cpu_overcommit, 0.1, 100.0)?;
        range("nodes.admit_memory", n.memory_overcommit, 0.1, 100.0)?;
        range("nodes.max_attempts", f64::from(n.max_attempts), 1.0, 100.0)?;
        let s = &self.safety_limits;
        range("safety.answer_slack", s.answer_slack, 0.0, 10.0)?;
        range("safety.ask_within", s.max_poll_interval, 0.1, 3600.0)?;
        range("safety.cold_from", s.slow_start_speed, 0.0, 1.0)?;
        range("safety.cold", s.slow_start_duration, 0.0, 3600.0)?;
        range("safety.cold_bears", s.slow_start_offers, 0.0, 1e6)?;
        range("safety.drain_grace", s.drain_grace, 0.0, 60.0)?;
        range("safety.fall_multiple", s.overload_ratio, 0.1, 1000.0)?;
        range("safety.overload_for", s.overload_window, 0.01, 3600.0)?;
        let e = &self.edge;
        range("edge.open_most", f64::from(e.max_open_tasks), 1.0, 1e6)?;
        range(
            "edge.planner_most",
            f64::from(e.max_tasks_per_planner),
            1.0,
            1e6,
        )?;
        range(
            "edge.connections_most",
            f64::from(e.max_connections),
            1.0,
            1e6,
        )?;
        range(
            "edge.body_most",
            f64::from(e.max_body_bytes),
            1024.0,
            64.0 * 1024.0 * 1024.0,
        )?;
        range("edge.head_timeout", e.head_timeout, 0.05, 600.0)?;
        range("edge.body_timeout", e.body_timeout, 0.05, 600.0)?;
        range("edge.history", f64::from(e.max_history), 16.0, 1e7)?;
        range("edge.objects_most", f64::from(e.max_objects), 16.0, 1e7)?;
        range("edge.bookmark_every", e.bookmark_interval, 0.05, 600.0)?;
        range("edge.planner_patience", e.planner_timeout, 0.2, 600.0)?;
        let p = &self.planner;
        range(
            "planner.node_connections",
            f64::from(p.max_connections_per_node),
            1.0,
            1024.0,
        )?;
        range(
            "planner.step_most",
            f64::from(p.max_events_per_step),
            1.0,
            1e6,
        )?;
        range("planner.edge_patience", p.edge_timeout, 0.2, 600.0)?;
        range("planner.planners", f64::from(p.planner_count), 1.0, 1e4)?;
        if let Some(fleet) = &self.membership {
            if !tidespur_membership::is_valid_name(&fleet.cluster) {
                return fail(
                    "fleet.cluster".into(),
                    "1 to 48 letters, digits, '-', '_' or '.' are needed",
                );
            }
            for (key, address) in [("listen", &fleet.listen)]
                .into_iter()
                .chain(fleet.join.iter().map(|a| ("join", a)))
            {
                let Ok(at) = address.parse::<std::net::SocketAddr>() else {
                    let what = "an address and a port are needed, as 127.0.0.1:7001";
                    return fail(format!("fleet.{key}"), what);
                };
                // Others are told this address, and must be able to send to it.
                if key == "listen" && at.ip().is_unspecified() {
                    let what = "the address that others reach is needed, not 0.0.0.0 or ::";
                    return fail("fleet.listen".into(), what);
                }
            }
            range(
                "fleet.members_most",
                f64::from(fleet.max_members),
                2.0,
                4096.0,
            )?;
        }
        if self
            .persistence
            .as_ref()
            .is_some_and(|durable| durable.directory.is_empty())
        {
            return fail(
                "durable.dir".into(),
                "the folder beneath which each process has its own is needed",
            );
        }
        if let Some(ledger) = &self.coordination {
            if ![1, 3, 5].contains(&ledger.voters.len()) {
                let what = "1, 3 or 5 voters are needed: an even number bears no more failures";
                return fail("ledger.voters".into(), what);
            }
            for (name, address) in &ledger.voters {
                let sound = address
                    .parse::<std::net::SocketAddr>()
                    .is_ok_and(|at| !at.ip().is_unspecified());
                if !sound || !tidespur_membership::is_valid_name(name) {
                    let what = "a name and the address that the others reach are needed, as edge-0 = \"127.0.0.1:7101\"";
                    return fail("ledger.voters".into(), what);
                }
            }
            range("ledger.term", ledger.lease_term, 1.0, 600.0)?;
            range("ledger.drift", ledger.max_clock_drift, 0.0, 0.2)?;
        }
        let o = &self.job_controller;
        range("owner.again_first", o.initial_backoff, 0.01, 3600.0)?;
        range(
            "owner.again_most",
            o.max_backoff,
            o.initial_backoff,
            86_400.0,
        )?;
        range("owner.again_lost", o.lost_task_backoff, 0.0, 3600.0)?;
        range("owner.settle", o.outcome_query_delay, 0.0, 3600.0)
    }
}
