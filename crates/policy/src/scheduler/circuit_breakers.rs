//! The circuit breakers of one machine, which block offers of some traffic after failures.
//!
//! Each failure opens a breaker for a time that doubles with consecutive failures. After that time the breaker is half
//! open: it lets one task at a time through until one succeeds. Owned by the state of the machine, queried by the
//! filters, and updated from outcomes and confirmations.

use super::task_record::TrafficClass;
use crate::backoff::{Backoff, MAX_COUNTED_FAILURES};
use crate::interface::Seconds;
use std::collections::BTreeMap;

/// Precedes the time at which any breaker opened. Breakers open after this time include half open ones.
const BEFORE_ANY_FAILURE: Seconds = -1.0;

/// The traffic that a breaker blocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum BreakerScope {
    /// Tasks of all classes and tenants.
    AllTraffic,
    /// Tasks of one class and tenant.
    Traffic(TrafficClass),
}

/// The state of one breaker.
#[derive(Clone, Copy, Debug, Default)]
struct Breaker {
    /// Consecutive failures, halved by each success.
    failures: i32,
    /// Until when all tasks are blocked.
    open_until: Seconds,
}

/// All circuit breakers of a machine that have counted a failure.
#[derive(Debug, Default)]
pub(super) struct CircuitBreakers {
    breakers: BTreeMap<BreakerScope, Breaker>,
}

impl CircuitBreakers {
    /// Counts a failure and opens the breaker of `scope` for the duration of the backoff.
    pub(super) fn record_failure(&mut self, now: Seconds, scope: BreakerScope, backoff: Backoff) {
        let breaker = self.breakers.entry(scope).or_default();
        breaker.open_until = now + backoff.after(breaker.failures);
        breaker.failures = (breaker.failures + 1).min(MAX_COUNTED_FAILURES);
    }

    /// Undoes the last failure of `scope`, which the machine did not cause.
    pub(super) fn retract_failure(&mut self, scope: BreakerScope) {
        if let Some(breaker) = self.breakers.get_mut(&scope) {
            breaker.failures -= 1;
            breaker.open_until = 0.0;
        }
        self.remove_closed();
    }

    /// Halves the failure counts of all breakers that apply to this traffic, and makes the breakers half open.
    pub(super) fn record_success(&mut self, traffic: TrafficClass) {
        for (scope, breaker) in &mut self.breakers {
            let applies = match scope {
                BreakerScope::AllTraffic => true,
                BreakerScope::Traffic(failed) => *failed == traffic,
            };
            if applies {
                breaker.failures /= 2;
                breaker.open_until = 0.0;
            }
        }
        self.remove_closed();
    }

    /// Whether a task of this class and tenant may be offered. A half open breaker blocks while an offer is
    /// unconfirmed.
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

    /// When the last breaker becomes half open; `now` if none is open.
    pub(super) fn open_until(&self, now: Seconds) -> Seconds {
        let times = self.breakers.values().map(|breaker| breaker.open_until);
        times.fold(now, f64::max)
    }

    /// Whether the breakers that are open after this time block this traffic.
    ///
    /// Failures of several classes or tenants block all traffic that shares what they have in common. This covers a
    /// throttled tenant, a failing class, a hung machine, and combinations of these. The cost is that two independent
    /// faults at the same time look like a fault of the whole machine.
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
