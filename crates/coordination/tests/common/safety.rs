//! Checks of safety: at most one voter may act at a time, a token has one holder, and acts are executed in the order of
//! their tokens.

use super::World;
use rand::Rng;
use std::collections::BTreeMap;
use tidespur_coordination::Fence;

/// An act of a lease holder on its way to whoever executes it.
struct PendingAct {
    arrives_at: f64,
    token: u64,
}

/// An act that the fence has admitted.
pub struct ExecutedAct {
    pub at: f64,
    pub token: u64,
}

#[derive(Default)]
pub struct SafetyChecker {
    /// The process that held each token.
    pub holders: BTreeMap<u64, String>,
    fence: Fence,
    pending: Vec<PendingAct>,
    pub executed: Vec<ExecutedAct>,
    /// Acts of two voters at a time. They are violations unless the clocks drift more than is allowed.
    pub overlaps: Vec<String>,
    /// All violations, overlaps included.
    pub violations: Vec<String>,
}

impl SafetyChecker {
    pub fn record_holder(&mut self, token: u64, process: &str) {
        if let Some(other) = self.holders.insert(token, process.to_owned())
            && other != process
        {
            self.violations
                .push(format!("token {token} is {other}'s and {process}'s"));
        }
    }

    fn execute_due(&mut self, now: f64) {
        for act in std::mem::take(&mut self.pending) {
            if act.arrives_at > now {
                self.pending.push(act);
                continue;
            }
            if self.fence.admit("l", act.token).is_err() {
                continue;
            }
            let last = self.executed.last();
            if last.is_some_and(|last| last.token > act.token) {
                self.violations.push(format!(
                    "{now:.2}: {} was executed after a later token",
                    act.token
                ));
            }
            self.executed.push(ExecutedAct {
                at: now,
                token: act.token,
            });
        }
    }
}

impl World {
    pub fn check_safety(&mut self) {
        let acting: Vec<(usize, u64)> = (0..self.voters.len())
            .filter_map(|index| Some((index, self.valid_token(index)?)))
            .collect();
        if acting.len() > 1 {
            let overlap = format!("{:.2}: {acting:?} may act at once", self.now);
            self.safety.overlaps.push(overlap.clone());
            self.safety.violations.push(overlap);
        }
        for (_, token) in acting {
            // Some acts arrive late: the process was suspended after the check of its lease.
            let is_late = self.rng.random_bool(0.02);
            let delay = if is_late { 8.0 } else { 0.005 };
            self.safety.pending.push(PendingAct {
                arrives_at: self.now + delay,
                token,
            });
        }
        self.safety.execute_due(self.now);
    }
}
