//! Leases that this process holds or requests, timed by its own clock. Owned by the voter.
//!
//! A holder counts the term of a lease from the time at which it created the request, before sending it. Another
//! process that requests the lease counts from the time at which it observed the last renewal, which is later, and
//! waits for the term extended by twice the clock drift. By then the holder's lease has expired, as long as both clocks
//! stay within the allowed drift. A process that has just started does not know the age of the last renewal, so it
//! waits for the full time.

use crate::{Entry, Holder, Lease, ReplicatedState, Seconds, Settings};
use std::collections::{BTreeMap, BTreeSet};

/// Fraction of the term after which a lease is renewed.
const RENEWAL_FRACTION: f64 = 0.35;
/// Fraction of the term after which a request that was not applied is repeated.
const RETRY_FRACTION: f64 = 0.2;
/// Requests for one lease that are tracked until they are applied; the oldest are dropped beyond this number.
const MAX_PENDING_REQUESTS: usize = 16;

#[derive(Clone, Debug)]
struct HeldLease {
    token: u64,
    /// When the lease expires; this process may act as its holder only before then.
    valid_until: Seconds,
}

/// A lease as it was last observed in the log.
#[derive(Clone, Copy, Debug)]
struct ObservedLease {
    token: u64,
    last_request: u64,
    /// When this token and request were first observed.
    since: Seconds,
}

/// Requests that were not yet observed in the log: when each was made, by its number.
type PendingRequests = BTreeMap<u64, Seconds>;

/// A lease that this process has acquired, with its fencing token.
#[derive(Debug)]
pub(crate) struct AcquiredLease {
    pub(crate) name: String,
    pub(crate) token: u64,
}

/// Leases that this process acquired and lost through newly applied entries.
#[derive(Debug, Default)]
pub(crate) struct LeaseChanges {
    pub(crate) acquired: Vec<AcquiredLease>,
    /// Names of the leases that this process no longer holds.
    pub(crate) lost: Vec<String>,
}

#[derive(Debug, Default)]
pub(crate) struct Leases {
    /// Names of the leases to acquire and to keep.
    requested: BTreeSet<String>,
    held_leases: BTreeMap<String, HeldLease>,
    /// Requests that were not yet observed in the log, by name of the lease.
    pending: BTreeMap<String, PendingRequests>,
    last_request: u64,
    observed: BTreeMap<String, ObservedLease>,
}

impl Leases {
    /// Requests the lease until it is acquired, and renews it from then on.
    pub(crate) fn acquire(&mut self, lease: String) {
        self.requested.insert(lease);
    }

    /// Stops requesting and renewing the lease; returns the entry that releases it, if it is held.
    pub(crate) fn release(&mut self, lease: &str) -> Option<Entry> {
        self.requested.remove(lease);
        self.pending.remove(lease);
        let held = self.held_leases.remove(lease)?;
        Some(Entry::Release {
            lease: lease.to_owned(),
            token: held.token,
        })
    }

    /// The fencing token, if this process holds the lease and it has not expired at `now`.
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

    /// Updates the held leases from the replicated state after new entries were applied.
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
                self.pending.remove(name);
                if self.held_leases.remove(name).is_some() {
                    changes.lost.push(name.clone());
                }
                continue;
            }
            if !self.requested.contains(name) {
                continue;
            }
            let Some(requested_at) = self.take_request_time(name, lease.last_request) else {
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

    /// Returns when the request of this number was made, and stops tracking it and the earlier ones. The term counts
    /// from the request that was applied, since a later one may not have been applied.
    fn take_request_time(&mut self, name: &str, request: u64) -> Option<Seconds> {
        let pending = self.pending.get_mut(name)?;
        let requested_at = pending.get(&request).copied()?;
        pending.retain(|number, _| *number > request);
        Some(requested_at)
    }

    /// Removes the leases that have expired at `now`; returns their names.
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

    /// The entries that acquire or renew leases and are due at `now`.
    pub(crate) fn due_requests(
        &mut self,
        now: Seconds,
        state: &ReplicatedState,
        settings: &Settings,
    ) -> Vec<Entry> {
        let mut entries = Vec::new();
        for name in self.requested.clone() {
            if self.has_recent_request(now, &name, settings) {
                continue;
            }
            let lease = state.leases.get(&name);
            if let Some(lease) = lease {
                self.observe(now, &name, lease);
            }
            let request = self.last_request + 1;
            let Some(entry) = self.request_entry(now, &name, lease, request, settings) else {
                continue;
            };
            self.last_request = request;
            self.track_request(now, name, request);
            entries.push(entry);
        }
        entries
    }

    fn has_recent_request(&self, now: Seconds, name: &str, settings: &Settings) -> bool {
        let last = self
            .pending
            .get(name)
            .and_then(|pending| pending.values().next_back());
        last.is_some_and(|at| now < at + RETRY_FRACTION * settings.lease_term)
    }

    fn track_request(&mut self, now: Seconds, name: String, request: u64) {
        let pending = self.pending.entry(name).or_default();
        pending.insert(request, now);
        while pending.len() > MAX_PENDING_REQUESTS {
            pending.pop_first();
        }
    }

    /// The entry that renews or acquires a lease, if either is due.
    fn request_entry(
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
