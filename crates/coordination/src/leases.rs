//! Leases that this process holds or wants, on its own clock. Owned by the voter.
//!
//! A holder counts the term of a lease from before it sent the request. A process that wants the lease counts from when
//! it observed the last renewal, which is later, and waits for the term and twice the clock drift. By then the holder
//! has stopped, whatever either clock does within the allowed drift. A process does not know how old the renewal is
//! that it finds after its start, so it waits for a full term.

use crate::{Entry, Holder, Lease, ReplicatedState, Seconds, Settings};
use std::collections::{BTreeMap, BTreeSet};

/// A lease is renewed when this fraction of its term has passed.
const RENEWAL_FRACTION: f64 = 0.35;
/// A request that was not applied is repeated after this fraction of the term.
const RETRY_FRACTION: f64 = 0.2;
/// Unanswered requests that are remembered of one lease; beyond it the oldest are forgotten.
const MAX_UNANSWERED_REQUESTS: usize = 16;

#[derive(Clone, Debug)]
struct HeldLease {
    token: u64,
    /// The holder may act before this time only.
    valid_until: Seconds,
}

/// A lease as it was last observed in the log.
#[derive(Clone, Copy, Debug)]
struct ObservedLease {
    token: u64,
    last_request: u64,
    /// When token and request were first observed.
    since: Seconds,
}

/// When each request was made that was not seen in the log yet, by its number.
type UnansweredRequests = BTreeMap<u64, Seconds>;

/// A lease that this process has acquired.
#[derive(Debug)]
pub(crate) struct AcquiredLease {
    pub(crate) name: String,
    pub(crate) token: u64,
}

/// What new entries of the log have changed for this process.
#[derive(Debug, Default)]
pub(crate) struct LeaseChanges {
    pub(crate) acquired: Vec<AcquiredLease>,
    /// Names of the leases that are not held any more.
    pub(crate) lost: Vec<String>,
}

#[derive(Debug, Default)]
pub(crate) struct Leases {
    wanted: BTreeSet<String>,
    held_leases: BTreeMap<String, HeldLease>,
    unanswered: BTreeMap<String, UnansweredRequests>,
    last_request: u64,
    observed: BTreeMap<String, ObservedLease>,
}

impl Leases {
    /// Acquires the lease as soon as possible, and renews it from then on.
    pub(crate) fn acquire(&mut self, lease: String) {
        self.wanted.insert(lease);
    }

    /// Stops renewing the lease; returns the entry that releases it, if it is held.
    pub(crate) fn release(&mut self, lease: &str) -> Option<Entry> {
        self.wanted.remove(lease);
        self.unanswered.remove(lease);
        let held = self.held_leases.remove(lease)?;
        Some(Entry::Release {
            lease: lease.to_owned(),
            token: held.token,
        })
    }

    /// The fencing token, if the lease is held and valid at `now`.
    pub(crate) fn valid_token(&self, now: Seconds, lease: &str) -> Option<u64> {
        let held = self.held_leases.get(lease)?;
        (now < held.valid_until).then_some(held.token)
    }

    fn observe(&mut self, now: Seconds, name: &str, lease: &Lease) {
        let is_unchanged = self.observed.get(name).is_some_and(|observed| {
            observed.token == lease.token && observed.last_request == lease.last_request
        });
        if is_unchanged {
            return;
        }
        let observed = ObservedLease {
            token: lease.token,
            last_request: lease.last_request,
            since: now,
        };
        self.observed.insert(name.to_owned(), observed);
    }

    /// Takes in the state after new entries were applied.
    pub(crate) fn update(
        &mut self,
        now: Seconds,
        state: &ReplicatedState,
        settings: &Settings,
    ) -> LeaseChanges {
        let own = holder(settings);
        let mut changes = LeaseChanges::default();
        for (name, lease) in &state.leases {
            self.observe(now, name, lease);
            if lease.holder.as_ref() != Some(&own) {
                self.unanswered.remove(name);
                if self.held_leases.remove(name).is_some() {
                    changes.lost.push(name.clone());
                }
                continue;
            }
            if !self.wanted.contains(name) {
                continue;
            }
            let Some(requested_at) = self.answer(name, lease.last_request) else {
                continue;
            };
            let held = HeldLease {
                token: lease.token,
                valid_until: requested_at + settings.lease_term,
            };
            if self.held_leases.insert(name.clone(), held).is_none() {
                changes.acquired.push(AcquiredLease {
                    name: name.clone(),
                    token: lease.token,
                });
            }
        }
        changes
    }

    /// When the request of this number was made; it and the earlier ones are forgotten. The term runs from the request
    /// that was applied: a later one may not have been.
    fn answer(&mut self, name: &str, request: u64) -> Option<Seconds> {
        let unanswered = self.unanswered.get_mut(name)?;
        let requested_at = unanswered.get(&request).copied()?;
        unanswered.retain(|number, _| *number > request);
        Some(requested_at)
    }

    /// Drops the leases that have expired at `now`; returns their names.
    pub(crate) fn expire(&mut self, now: Seconds) -> Vec<String> {
        let mut expired = Vec::new();
        self.held_leases.retain(|name, held| {
            let is_valid = now < held.valid_until;
            if !is_valid {
                expired.push(name.clone());
            }
            is_valid
        });
        expired
    }

    /// The entries that acquire and renew leases and are due at `now`.
    pub(crate) fn due_requests(
        &mut self,
        now: Seconds,
        state: &ReplicatedState,
        settings: &Settings,
    ) -> Vec<Entry> {
        let mut entries = Vec::new();
        for name in self.wanted.clone() {
            if self.has_recent_request(now, &name, settings) {
                continue;
            }
            let lease = state.leases.get(&name);
            if let Some(lease) = lease {
                self.observe(now, &name, lease);
            }
            let request = self.last_request + 1;
            let Some(entry) = self.request(now, &name, lease, request, settings) else {
                continue;
            };
            self.last_request = request;
            self.remember_request(now, name, request);
            entries.push(entry);
        }
        entries
    }

    fn has_recent_request(&self, now: Seconds, name: &str, settings: &Settings) -> bool {
        let last = self
            .unanswered
            .get(name)
            .and_then(|unanswered| unanswered.values().next_back());
        last.is_some_and(|at| now < at + RETRY_FRACTION * settings.lease_term)
    }

    fn remember_request(&mut self, now: Seconds, name: String, request: u64) {
        let unanswered = self.unanswered.entry(name).or_default();
        unanswered.insert(request, now);
        while unanswered.len() > MAX_UNANSWERED_REQUESTS {
            unanswered.pop_first();
        }
    }

    /// The entry that renews or acquires a lease, if one of the two is due.
    fn request(
        &self,
        now: Seconds,
        name: &str,
        lease: Option<&Lease>,
        request: u64,
        settings: &Settings,
    ) -> Option<Entry> {
        if let Some(held) = self.held_leases.get(name) {
            let renew_at = held.valid_until - (1.0 - RENEWAL_FRACTION) * settings.lease_term;
            return (now >= renew_at).then(|| Entry::Renew {
                lease: name.to_owned(),
                token: held.token,
                request,
            });
        }
        let observed_at = self
            .observed
            .get(name)
            .map_or(now, |observed| observed.since);
        let longest_term = settings.lease_term * (1.0 + 2.0 * settings.max_clock_drift);
        let is_expired = now >= observed_at + longest_term;
        let is_held = lease.is_some_and(|lease| lease.holder.is_some());
        if is_held && !is_expired {
            return None;
        }
        Some(Entry::Acquire {
            lease: name.to_owned(),
            holder: holder(settings),
            observed_token: lease.map_or(0, |lease| lease.token),
            observed_request: lease.map_or(0, |lease| lease.last_request),
            request,
        })
    }
}

/// This process as the holder of a lease.
fn holder(settings: &Settings) -> Holder {
    Holder {
        name: settings.name.clone(),
        incarnation: settings.incarnation,
    }
}
