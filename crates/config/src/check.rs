//! Ranges, and what must fit together.

use crate::{Config, Effect};

/// What is wrong with a file, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The file.
    pub file: String,
    /// Line, from 1; 0 where it can't be told.
    pub line: usize,
    /// The key, with what it stands in.
    pub key: String,
    /// What is wrong and what is allowed.
    pub what: String,
}

impl std::fmt::Display for Problem {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.file)?;
        if self.line > 0 {
            write!(f, ":{}", self.line)?;
        }
        if !self.key.is_empty() {
            write!(f, ": {}", self.key)?;
        }
        write!(f, ": {}", self.what)
    }
}

impl std::error::Error for Problem {}

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
        if self.class.is_empty() {
            return fail("class".into(), "at least one class is needed");
        }
        if self.kind.is_empty() {
            return fail("kind".into(), "at least one kind of node is needed");
        }
        for (name, t) in &self.tenant {
            range(&format!("tenant.{name}.share"), t.share, 0.0, 1.0)?;
            range(
                &format!("tenant.{name}.quota_per_s"),
                t.quota_per_s,
                0.0,
                1e6,
            )?;
        }
        let shares: f64 = self.tenant.values().map(|t| t.share).sum();
        if shares > 1.0 + 1e-6 {
            return fail("tenant".into(), "the shares add up to more than 1");
        }
        for (name, k) in &self.kind {
            range(&format!("kind.{name}.cores"), k.cores, 0.01, 1e6)?;
            range(&format!("kind.{name}.memory"), k.memory, 0.01, 1e7)?;
        }
        for (name, c) in &self.class {
            let at = |key: &str| format!("class.{name}.{key}");
            range(&at("aim"), c.aim, 0.001, 86_400.0)?;
            range(&at("deadline"), c.deadline, c.aim, 86_400.0)?;
            range(&at("worth"), c.worth, 0.0, 1e6)?;
            range(&at("start_worth"), c.start_worth, 0.0, 1e6)?;
            range(&at("calm"), c.calm, 0.01, 1.0)?;
            range(&at("fade"), c.fade, 0.01, 100.0)?;
            range(&at("priority"), f64::from(c.priority), 0.0, 1000.0)?;
            if c.kind
                .as_ref()
                .is_some_and(|kind| !self.kind.contains_key(kind))
            {
                return fail(at("kind"), "is no kind of these settings");
            }
            match (c.effect, c.group, c.window) {
                (Effect::Keyed, Some(_), Some(window)) => {
                    range(&at("window"), window, 0.0, 86_400.0)?
                }
                (Effect::Keyed, None, _) => {
                    return fail(at("effect"), "a keyed class needs a group");
                }
                (Effect::Keyed, _, None) => {
                    return fail(at("effect"), "a keyed class needs a window");
                }
                (_, None, None) => {}
                (_, Some(_), _) => return fail(at("group"), "only a keyed class has a group"),
                (_, _, Some(_)) => return fail(at("window"), "only a keyed class has a window"),
            }
            match (c.spread, c.spread_most) {
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
        range("nodes.admit_cores", n.admit_cores, 0.1, 100.0)?;
        range("nodes.admit_memory", n.admit_memory, 0.1, 100.0)?;
        range("nodes.max_attempts", f64::from(n.max_attempts), 1.0, 100.0)?;
        let s = &self.safety;
        range("safety.answer_slack", s.answer_slack, 0.0, 10.0)?;
        range("safety.ask_within", s.ask_within, 0.1, 3600.0)?;
        range("safety.cold_from", s.cold_from, 0.0, 1.0)?;
        range("safety.cold", s.cold, 0.0, 3600.0)?;
        range("safety.cold_bears", s.cold_bears, 0.0, 1e6)?;
        range("safety.drain_grace", s.drain_grace, 0.0, 60.0)?;
        range("safety.fall_multiple", s.fall_multiple, 0.1, 1000.0)?;
        range("safety.overload_for", s.overload_for, 0.01, 3600.0)?;
        let e = &self.edge;
        range("edge.open_most", f64::from(e.open_most), 1.0, 1e6)?;
        range("edge.planner_most", f64::from(e.planner_most), 1.0, 1e6)?;
        range(
            "edge.connections_most",
            f64::from(e.connections_most),
            1.0,
            1e6,
        )?;
        range(
            "edge.body_most",
            f64::from(e.body_most),
            1024.0,
            64.0 * 1024.0 * 1024.0,
        )?;
        range("edge.head_timeout", e.head_timeout, 0.05, 600.0)?;
        range("edge.body_timeout", e.body_timeout, 0.05, 600.0)?;
        range("edge.history", f64::from(e.history), 16.0, 1e7)?;
        range("edge.objects_most", f64::from(e.objects_most), 16.0, 1e7)?;
        range("edge.bookmark_every", e.bookmark_every, 0.05, 600.0)?;
        range("edge.planner_patience", e.planner_patience, 0.2, 600.0)?;
        let p = &self.planner;
        range(
            "planner.node_connections",
            f64::from(p.node_connections),
            1.0,
            1024.0,
        )?;
        range("planner.step_most", f64::from(p.step_most), 1.0, 1e6)?;
        range("planner.edge_patience", p.edge_patience, 0.2, 600.0)?;
        range("planner.planners", f64::from(p.planners), 1.0, 1e4)?;
        if let Some(fleet) = &self.fleet {
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
                f64::from(fleet.members_most),
                2.0,
                4096.0,
            )?;
        }
        if self
            .durable
            .as_ref()
            .is_some_and(|durable| durable.dir.is_empty())
        {
            return fail(
                "durable.dir".into(),
                "the folder beneath which each process has its own is needed",
            );
        }
        if let Some(ledger) = &self.ledger {
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
            range("ledger.term", ledger.term, 1.0, 600.0)?;
            range("ledger.drift", ledger.drift, 0.0, 0.2)?;
        }
        let o = &self.owner;
        range("owner.again_first", o.again_first, 0.01, 3600.0)?;
        range("owner.again_most", o.again_most, o.again_first, 86_400.0)?;
        range("owner.again_lost", o.again_lost, 0.0, 3600.0)?;
        range("owner.settle", o.settle, 0.0, 3600.0)
    }
}
