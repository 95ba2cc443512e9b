//! Restart policy for child processes, without I/O: exponential backoff, and giving up after too many exits in a row.

use std::collections::BTreeMap;

/// Backoff and limits. Times are in seconds.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Delay before the first restart; it doubles with each further exit in a row.
    pub initial_backoff: f64,
    /// Upper limit of the delay.
    pub max_backoff: f64,
    /// After this uptime, an exit counts as the first one again.
    pub stable_uptime: f64,
    /// Exits in a row after which the supervisor gives up, because a child that fails so often will not recover.
    pub max_consecutive_exits: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            initial_backoff: 0.5,
            max_backoff: 10.0,
            stable_uptime: 30.0,
            max_consecutive_exits: 6,
        }
    }
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Restart this child now.
    Start(String),
    /// This child will be restarted after this many seconds; nothing to do yet.
    Backoff(String, f64),
    /// This child exits again and again: stop the whole cluster.
    GiveUp(String),
}

#[derive(Debug, Default)]
struct Child {
    exits: u32,
    started_at: f64,
    restart_at: Option<f64>,
}

/// Tracks children by name and decides when to restart them.
#[derive(Debug)]
pub struct Supervisor {
    settings: Settings,
    children: BTreeMap<String, Child>,
}

impl Supervisor {
    /// A supervisor of children that have all just started.
    pub fn new(settings: Settings, names: impl IntoIterator<Item = String>, now: f64) -> Self {
        let child = |name| {
            (
                name,
                Child {
                    started_at: now,
                    ..Child::default()
                },
            )
        };
        Self {
            settings,
            children: names.into_iter().map(child).collect(),
        }
    }

    /// Takes the names of all children that do not run at `now`, and returns what to do.
    pub fn step(&mut self, now: f64, exited: &[String]) -> Vec<Action> {
        let mut actions = Vec::new();
        for name in exited {
            let Some(child) = self.children.get_mut(name) else {
                continue;
            };
            match child.restart_at {
                Some(at) if now >= at => {
                    (child.restart_at, child.started_at) = (None, now);
                    actions.push(Action::Start(name.clone()));
                }
                Some(_) => {}
                None => {
                    if now - child.started_at >= self.settings.stable_uptime {
                        child.exits = 0;
                    }
                    child.exits += 1;
                    if child.exits >= self.settings.max_consecutive_exits {
                        actions.push(Action::GiveUp(name.clone()));
                        continue;
                    }
                    let delay = self.settings.initial_backoff * 2f64.powi(child.exits as i32 - 1);
                    let delay = delay.min(self.settings.max_backoff);
                    child.restart_at = Some(now + delay);
                    actions.push(Action::Backoff(name.clone(), delay));
                }
            }
        }
        actions
    }
}
