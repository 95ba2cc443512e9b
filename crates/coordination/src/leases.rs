//! Leases as this process holds or wants them, on its own clock.
//!
//! A holder counts its term from before it asked. Whoever wants the lease counts from when it saw the last renewal,
//! which is later, and waits the term and twice the drift more: by then the holder has stopped, whatever either clock
//! does within the bound. Nobody knows how old the last renewal is that it finds after its own start, so it waits whole.

use crate::{Entry, Holder, Lease, ReplicatedState, Seconds, Settings};
use std::collections::{BTreeMap, BTreeSet};

/// A renewal is asked for when this share of the term has passed.
const RENEW_AT: f64 = 0.35;
/// An entry that was asked for and not seen is asked for again after this share of the term.
const AGAIN: f64 = 0.2;

#[derive(Clone, Debug)]
struct Mine {
    token: u64,
    /// Acting is right until then.
    until: Seconds,
}

/// Askings that were not heard yet, by number, and when each was made; the oldest go first beyond a bound.
type Asked = BTreeMap<u64, Seconds>;

/// Askings of one lease that may be out.
const ASKED_MOST: usize = 16;

#[derive(Debug, Default)]
pub(crate) struct Leases {
    wanted: BTreeSet<String>,
    mine: BTreeMap<String, Mine>,
    asked: BTreeMap<String, Asked>,
    asks: u64,
    /// Token and last asking of each lease as last seen, and when that was.
    seen: BTreeMap<String, (u64, u64, Seconds)>,
}

impl Leases {
    pub(crate) fn want(&mut self, lease: String) {
        self.wanted.insert(lease);
    }

    /// It is not wanted any more; what gives it back.
    pub(crate) fn give_back(&mut self, lease: &str) -> Option<Entry> {
        self.wanted.remove(lease);
        self.asked.remove(lease);
        let mine = self.mine.remove(lease)?;
        Some(Entry::Release {
            lease: lease.to_owned(),
            token: mine.token,
        })
    }

    pub(crate) fn may_act(&self, now: Seconds, lease: &str) -> Option<u64> {
        self.mine
            .get(lease)
            .filter(|mine| now < mine.until)
            .map(|mine| mine.token)
    }

    fn see(&mut self, now: Seconds, name: &str, lease: &Lease) {
        let seen = self
            .seen
            .get(name)
            .map(|(token, heard, _)| (*token, *heard));
        if seen != Some((lease.token, lease.heard)) {
            self.seen
                .insert(name.to_owned(), (lease.token, lease.heard, now));
        }
    }

    /// The log has gone on: takes in what it says now; what is held newly, and what no more.
    pub(crate) fn read(
        &mut self,
        now: Seconds,
        state: &ReplicatedState,
        set: &Settings,
    ) -> (Vec<(String, u64)>, Vec<String>) {
        let own = Holder {
            name: set.own.clone(),
            incarnation: set.incarnation,
        };
        let (mut held, mut lost) = (Vec::new(), Vec::new());
        for (name, lease) in &state.leases {
            self.see(now, name, lease);
            if lease.holder.as_ref() != Some(&own) {
                self.asked.remove(name);
                lost.extend(self.mine.remove(name).map(|_| name.clone()));
                continue;
            }
            // The term runs from when the very asking was made that was heard: a later one may not have been.
            let asked = self
                .asked
                .get(name)
                .and_then(|asked| asked.get(&lease.heard))
                .copied();
            let (Some(asked), true) = (asked, self.wanted.contains(name)) else {
                continue;
            };
            if let Some(all) = self.asked.get_mut(name) {
                all.retain(|ask, _| *ask > lease.heard);
            }
            let mine = Mine {
                token: lease.token,
                until: asked + set.lease_term,
            };
            if self.mine.insert(name.clone(), mine).is_none() {
                held.push((name.clone(), lease.token));
            }
        }
        (held, lost)
    }

    /// What is to be asked of the log now, and which leases have run out.
    pub(crate) fn due(
        &mut self,
        now: Seconds,
        state: &ReplicatedState,
        set: &Settings,
    ) -> (Vec<Entry>, Vec<String>) {
        let over = |mine: &Mine| now >= mine.until;
        let ran_out: Vec<String> = self
            .mine
            .iter()
            .filter(|(_, mine)| over(mine))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &ran_out {
            self.mine.remove(name);
        }
        let holder = || Holder {
            name: set.own.clone(),
            incarnation: set.incarnation,
        };
        let mut out = Vec::new();
        for name in self.wanted.clone() {
            let last = self
                .asked
                .get(&name)
                .and_then(|asked| asked.values().next_back());
            if last.is_some_and(|at| now < at + AGAIN * set.lease_term) {
                continue;
            }
            let lease = state.leases.get(&name);
            if let Some(lease) = lease {
                self.see(now, &name, lease);
            }
            let token = lease.map_or(0, |lease| lease.token);
            let ask = self.asks + 1;
            let entry = match self.mine.get(&name) {
                Some(mine) if now < mine.until - (1.0 - RENEW_AT) * set.lease_term => continue,
                Some(mine) => Entry::Renew {
                    lease: name.clone(),
                    token: mine.token,
                    ask,
                },
                None => {
                    let seen = self.seen.get(&name).map_or(now, |(.., at)| *at);
                    let over = now >= seen + set.lease_term * (1.0 + 2.0 * set.max_clock_drift);
                    if lease.is_some_and(|lease| lease.holder.is_some()) && !over {
                        continue;
                    }
                    let heard = lease.map_or(0, |lease| lease.heard);
                    Entry::Acquire {
                        lease: name.clone(),
                        holder: holder(),
                        after: token,
                        heard,
                        ask,
                    }
                }
            };
            self.asks = ask;
            let asked = self.asked.entry(name).or_default();
            asked.insert(ask, now);
            while asked.len() > ASKED_MOST {
                asked.pop_first();
            }
            out.push(entry);
        }
        (out, ran_out)
    }
}
