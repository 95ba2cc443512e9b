//! The circuit breakers of one machine: which traffic it gets no offers of after failures, and until when.
//!
//! A breaker opens with each failure, for a time that doubles with failures in a row. After that time it is half
//! open: one task at a time is let through until one succeeds. Owned by the state of the machine, asked by the
//! filters, and updated from outcomes and confirmations.

use super::task_record::TrafficClass;
use crate::backoff::{Backoff, MAX_COUNTED_FAILURES};
use crate::interface::Seconds;
use std::collections::BTreeMap;

/// A time before every time at which a breaker may have opened: from it on all breakers count, half open too.
const BEFORE_ANY_FAILURE: Seconds = -1.0;

/// What a breaker keeps from the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum BreakerScope {
    /// All tasks.
    AllTraffic,
    /// Tasks of one class and tenant.
    Traffic(TrafficClass),
}

/// Failures in a row, and until when no task is let through.
#[derive(Clone, Copy, Debug, Default)]
struct Breaker {
    failures: i32,
    open_until: Seconds,
}

/// All circuit breakers of a machine that have counted a failure.
#[derive(Debug, Default)]
pub(super) struct CircuitBreakers {
    breakers: BTreeMap<BreakerScope, Breaker>,
}

impl CircuitBreakers {
    /// Counts a failure and opens the breaker of `scope` for the time of the backoff.
    pub(super) fn record_failure(&mut self, now: Seconds, scope: BreakerScope, backoff: Backoff) {
        let breaker = self.breakers.entry(scope).or_default();
        breaker.open_until = now + backoff.after(breaker.failures);
        breaker.failures = (breaker.failures + 1).min(MAX_COUNTED_FAILURES);
    }

    /// Takes back the last failure of `scope`, which was not the machine's fault.
    pub(super) fn retract_failure(&mut self, scope: BreakerScope) {
        if let Some(breaker) = self.breakers.get_mut(&scope) {
            breaker.failures -= 1;
            breaker.open_until = 0.0;
        }
        self.remove_closed();
    }

    /// Halves the failures of all breakers that concern this traffic, and makes them half open.
    pub(super) fn record_success(&mut self, traffic: TrafficClass) {
        for (scope, breaker) in &mut self.breakers {
            let concerns = match scope {
                BreakerScope::AllTraffic => true,
                BreakerScope::Traffic(failed) => *failed == traffic,
            };
            if concerns {
                breaker.failures /= 2;
                breaker.open_until = 0.0;
            }
        }
        self.remove_closed();
    }

    /// Whether a task of this class and tenant may be offered. While an offer is unconfirmed a half open breaker
    /// counts as open.
    pub(super) fn allows(
        &self,
        now: Seconds,
        traffic: TrafficClass,
        has_unconfirmed_offers: bool,
    ) -> bool {
        if self.blocks(traffic, now) {
            return false;
        }
        !has_unconfirmed_offers || !self.blocks(traffic, BEFORE_ANY_FAILURE)
    }

    /// The time at which the last breaker becomes half open, or `now` where none is open.
    pub(super) fn open_until(&self, now: Seconds) -> Seconds {
        let times = self.breakers.values().map(|breaker| breaker.open_until);
        times.fold(now, f64::max)
    }

    /// Whether the breakers that are open after this time keep this traffic away.
    ///
    /// Failures of several classes or tenants count for all traffic that shares what these have in common. This
    /// protects from a tenant that is throttled, a class that fails, a machine that hangs, and mixtures of them.
    /// The cost: two independent faults at once look like one that concerns all traffic.
    fn blocks(&self, traffic: TrafficClass, after: Seconds) -> bool {
        let mut first: Option<TrafficClass> = None;
        let mut is_one_class = true;
        let mut is_one_tenant = true;
        let open = |breaker: &Breaker| breaker.open_until > after;
        for (scope, _) in self.breakers.iter().filter(|(_, breaker)| open(breaker)) {
            let BreakerScope::Traffic(failed) = *scope else {
                return true;
            };
            let first = *first.get_or_insert(failed);
            is_one_class &= failed.class == first.class;
            is_one_tenant &= failed.tenant == first.tenant;
        }
        let Some(first) = first else {
            return false;
        };
        let class_matches = !is_one_class || first.class == traffic.class;
        let tenant_matches = !is_one_tenant || first.tenant == traffic.tenant;
        class_matches && tenant_matches
    }

    fn remove_closed(&mut self) {
        self.breakers.retain(|_, breaker| breaker.failures > 0);
    }
}
