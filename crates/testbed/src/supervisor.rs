//! What becomes of a child that ended: started again after a pause that grows, or the whole given up. No I/O.

use std::collections::BTreeMap;

/// Pauses and bounds.
#[derive(Clone, Debug)]
pub struct Settings {
    /// First pause before a child is started again; it doubles with each end in a row.
    pub initial_backoff: f64,
    /// The longest pause.
    pub max_backoff: f64,
    /// A child that ran for this long begins anew with the first pause.
    pub stable_uptime: f64,
    /// Ends in a row after which all is given up: what fails so often will not mend by itself.
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

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start this child again now.
    Start(String),
    /// This child will be started again after so many seconds.
    Backoff(String, f64),
    /// This child ends again and again: end all.
    GiveUp(String),
}

#[derive(Debug, Default)]
struct Child {
    ends: u32,
    started: f64,
    start_at: Option<f64>,
}

/// Watches over children by name.
#[derive(Debug)]
pub struct Supervisor {
    settings: Settings,
    children: BTreeMap<String, Child>,
}

impl Supervisor {
    /// Children that all start now.
    pub fn new(settings: Settings, names: impl IntoIterator<Item = String>, now: f64) -> Self {
        let child = |name| {
            (
                name,
                Child {
                    started: now,
                    ..Child::default()
                },
            )
        };
        Self {
            settings,
            children: names.into_iter().map(child).collect(),
        }
    }

    /// Takes in which children do not run now, and says what is to be done.
    pub fn step(&mut self, now: f64, ended: &[String]) -> Vec<Action> {
        let mut out = Vec::new();
        for name in ended {
            let Some(child) = self.children.get_mut(name) else {
                continue;
            };
            match child.start_at {
                Some(at) if now >= at => {
                    (child.start_at, child.started) = (None, now);
                    out.push(Action::Start(name.clone()));
                }
                Some(_) => {}
                None => {
                    if now - child.started >= self.settings.stable_uptime {
                        child.ends = 0;
                    }
                    child.ends += 1;
                    if child.ends >= self.settings.max_consecutive_exits {
                        out.push(Action::GiveUp(name.clone()));
                        continue;
                    }
                    let pause = self.settings.initial_backoff * 2f64.powi(child.ends as i32 - 1);
                    let pause = pause.min(self.settings.max_backoff);
                    child.start_at = Some(now + pause);
                    out.push(Action::Backoff(name.clone(), pause));
                }
            }
        }
        out
    }
}
