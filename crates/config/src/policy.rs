//! Settings as the policy takes them.

use crate::{Config, Effect, Place};
use tidespur_policy::interface as policy;

fn place(place: Place) -> policy::Place {
    match place {
        Place::All => policy::Place::All,
        Place::Zone => policy::Place::Zone,
        Place::Rack => policy::Place::Cell,
        Place::Node => policy::Place::Machine,
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
            aim: c.aim,
            deadline: c.deadline,
            effect: match (c.effect, c.group, c.window) {
                (Effect::Safe, ..) => policy::Effect::Safe,
                (Effect::Keyed, Some(group), Some(window)) => policy::Effect::Keyed {
                    group: place(group),
                    window,
                },
                _ => policy::Effect::Unsafe,
            },
            worth: c.worth,
            start_worth: c.start_worth,
            calm: c.calm,
            fade: c.fade,
            kind: c
                .kind
                .as_ref()
                .and_then(|kind| self.kind.get_index_of(kind)),
            priority: c.priority,
            spread: c.spread.map(place),
            spread_most: c.spread_most,
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
            schedulers: self.planner.planners.max(ordinal as u32 + 1).max(uncounted) as usize,
            zone,
            classes: self.class.values().map(class).collect(),
            tenants: self
                .tenant
                .values()
                .map(|t| policy::Tenant {
                    share: t.share,
                    quota_per_s: t.quota_per_s,
                })
                .collect(),
            kinds: self
                .kind
                .values()
                .map(|k| policy::Kind {
                    cores: k.cores,
                    memory: k.memory,
                })
                .collect(),
            admit_cores: n.admit_cores,
            admit_memory: n.admit_memory,
            one_home: self.edge.one_home,
            confirm_when_running: false,
            subscribe: true,
            lists_free: n.lists_free,
            reports: if n.reports {
                policy::Reports::Answers
            } else {
                policy::Reports::None
            },
            reports_use: n.reports_use,
            probes: n.probes,
            messages: false,
            max_attempts: n.max_attempts,
            max_retry_after: 0.0,
            over_share_worth: 1.0,
            safety: policy::Safety {
                answer_slack: s.answer_slack,
                ask_within: s.ask_within,
                cold_from: s.cold_from,
                cold: s.cold,
                cold_bears: s.cold_bears,
                drain_grace: s.drain_grace,
                fall_multiple: s.fall_multiple,
                overload_for: s.overload_for,
            },
            prices: policy::Prices {
                machines: p.machines,
                refused: p.refused,
                moves: p.moves,
                eviction_as_moves: p.eviction_as_moves,
                probe: p.probe,
                message: p.message,
            },
        }
    }
}
