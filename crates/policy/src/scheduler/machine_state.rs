//! A machine as it is known here: what our tasks and others ask of it, and what troubles stand against it.

use super::*;

const STATE_WEIGHT: f64 = 0.25; // and those that must follow a machine's state by this much.
const VIEW_LEAST: f64 = 0.1; // Where less than this share of a machine is asked for, use can't be told.

impl Machine {
    pub(super) fn strike(
        &mut self,
        now: Seconds,
        whose: Option<TrafficClass>,
        first: Seconds,
        most: Seconds,
    ) {
        let (strikes, until) = self.troubles.entry(whose).or_default();
        *until = now + doubled(first, *strikes, most);
        *strikes = (*strikes + 1).min(STRIKES_MOST);
    }

    /// What struck it last was not its fault.
    pub(super) fn acquit(&mut self, whose: Option<TrafficClass>) {
        if let Some(trouble) = self.troubles.get_mut(&whose) {
            *trouble = (trouble.0 - 1, 0.0);
        }
        self.troubles.retain(|_, trouble| trouble.0 > 0);
    }

    /// An answer to this class and tenant takes back half of what stands against them.
    pub(super) fn relieve(&mut self, whose: TrafficClass) {
        for (_, trouble) in self
            .troubles
            .iter_mut()
            .filter(|(struck, _)| struck.is_none_or(|s| s == whose))
        {
            *trouble = (trouble.0 / 2, 0.0);
        }
        self.troubles.retain(|_, trouble| trouble.0 > 0);
    }

    /// Whether a task of this class and tenant may be sent. What struck several classes or tenants strikes
    /// all that share what these have in common: guards against a tenant that is throttled, a class that
    /// fails, a machine that hangs, and mixtures. Harm: two troubles at once look like one that strikes all.
    pub(super) fn open(&self, now: Seconds, whose: TrafficClass) -> bool {
        let bars = |after: Seconds| {
            let (mut first, mut same) = (None, (true, true));
            for (struck, _) in self
                .troubles
                .iter()
                .filter(|(_, trouble)| trouble.1 > after)
            {
                let Some(struck) = *struck else { return true };
                let one = *first.get_or_insert(struck);
                same = (same.0 && struck.0 == one.0, same.1 && struck.1 == one.1);
            }
            first.is_some_and(|one| (!same.0 || one.0 == whose.0) && (!same.1 || one.1 == whose.1))
        };
        !bars(now) && (self.unanswered() == 0 || !bars(-1.0))
    }

    /// Until when what stands against it bars.
    pub(super) fn aside_until(&self, now: Seconds) -> Seconds {
        self.troubles
            .values()
            .map(|trouble| trouble.1)
            .fold(now, f64::max)
    }

    pub(super) fn ready(&self) -> bool {
        self.entry.is_some() && !self.leaving
    }

    pub(super) fn asked(&self, i: usize) -> f64 {
        self.own[i] + self.others[i]
    }

    /// Changes what our tasks ask for, after what a view would show has followed until now.
    pub(super) fn add(&mut self, now: Seconds, asked: [f64; 2]) {
        let keep = (-(now - self.lagged_at).max(0.0) / VIEW_LAG).exp();
        for (i, asked) in asked.into_iter().enumerate() {
            self.lagged[i] = self.own[i] + (self.lagged[i] - self.own[i]) * keep;
            self.own[i] = if self.tasks.is_empty() {
                0.0
            } else {
                self.own[i] + asked
            };
        }
        self.lagged_at = now;
    }

    pub(super) fn unanswered(&self) -> usize {
        self.tasks.values().filter(|task| !task.answered).count()
    }

    /// What the machine was seen to be asked for in all, a while ago: beyond our own, it is others'.
    pub(super) fn see_asked(&mut self, now: Seconds, seen: [Option<f64>; 2]) {
        self.add(now, [0.0; 2]);
        for (i, seen) in seen.into_iter().enumerate() {
            self.others[i] = seen.map_or(self.others[i], |seen| (seen - self.lagged[i]).max(0.0));
        }
    }

    /// What the machine was seen to use of what is asked for.
    pub(super) fn see_used(&mut self, i: usize, used: f64, asked: f64) -> Option<f64> {
        let ratio = (asked > VIEW_LEAST * self.size[i]).then(|| (used / asked).clamp(0.1, 2.0))?;
        self.used[i].learn(ratio, STATE_WEIGHT);
        Some(ratio)
    }
}

pub(super) fn cold(machine: &Machine, safety: &SafetyLimits, now: Seconds) -> bool {
    let up_since = machine.entry.as_ref().and_then(|entry| entry.started_at);
    up_since.is_some_and(|up| now < up + safety.slow_start_duration) || now < machine.cold_until
}
