//! Checks the safety properties: at most one voter holds the lease at a time, each token has one holder, and commands
//! are executed in the order of their tokens.

use super::{LEASE, Simulation};
use rand::Rng;
use std::collections::BTreeMap;
use tidespur_coordination::Fence;

/// A command of a lease holder that has not reached its receiver yet.
struct PendingCommand {
    arrives_at: f64,
    token: u64,
}

/// A command that the fence has admitted.
pub struct ExecutedCommand {
    pub at: f64,
    pub token: u64,
}

#[derive(Default)]
pub struct SafetyChecker {
    /// The process that held each token.
    pub holders: BTreeMap<u64, String>,
    fence: Fence,
    pending: Vec<PendingCommand>,
    pub executed: Vec<ExecutedCommand>,
    /// Times at which several voters held the lease. Only expected if the clocks drift more than the settings allow.
    pub overlaps: Vec<String>,
    /// All violations, including overlaps.
    pub violations: Vec<String>,
}

impl SafetyChecker {
    pub fn record_holder(&mut self, token: u64, process: &str) {
        if let Some(other) = self.holders.insert(token, process.to_owned())
            && other != process
        {
            self.violations.push(format!(
                "token {token} was acquired by both {other} and {process}"
            ));
        }
    }

    fn execute_due(&mut self, now: f64) {
        for command in std::mem::take(&mut self.pending) {
            if command.arrives_at > now {
                self.pending.push(command);
                continue;
            }
            if self.fence.admit(LEASE, command.token).is_err() {
                continue;
            }
            let last = self.executed.last();
            if last.is_some_and(|last| last.token > command.token) {
                self.violations.push(format!(
                    "{now:.2}: token {} was executed after a higher one",
                    command.token
                ));
            }
            self.executed.push(ExecutedCommand {
                at: now,
                token: command.token,
            });
        }
    }
}

impl Simulation {
    pub fn check_safety(&mut self) {
        let holders: Vec<(usize, u64)> = (0..self.voters.len())
            .filter_map(|index| Some((index, self.valid_token(index)?)))
            .collect();
        if holders.len() > 1 {
            let overlap = format!("{:.2}: {holders:?} hold the lease at once", self.now);
            self.safety.overlaps.push(overlap.clone());
            self.safety.violations.push(overlap);
        }
        for (_, token) in holders {
            // Some commands arrive late, as if the process was suspended after it checked its lease.
            let is_late = self.rng.random_bool(0.02);
            let delay = if is_late { 8.0 } else { 0.005 };
            self.safety.pending.push(PendingCommand {
                arrives_at: self.now + delay,
                token,
            });
        }
        self.safety.execute_due(self.now);
    }
}
