//! Room for connections: which one gives way, and how a connection begins and is half-closed.

use super::{IdleClass, MAX_HALF_CLOSED, Pool, PoolAction, Upstream};
use crate::UpstreamId;
use crate::request_table::micros;
use std::collections::BTreeMap;
use tidespur_policy::interface::{MachineId, Seconds};

impl Pool {
    /// Whether a connection has to give way before another can be dialled.
    pub(super) fn is_at_capacity(&self) -> bool {
        self.upstreams.len() + MAX_HALF_CLOSED.min(self.max_connections / 4) >= self.max_connections
    }

    /// Makes room for one more connection; one that is kept gives way if it came up by `kept`.
    pub(super) fn make_capacity(
        &mut self,
        now: Seconds,
        kept: Seconds,
        actions: &mut Vec<PoolAction>,
    ) -> bool {
        if self.is_at_capacity() {
            let gives = |&&(rest, at, _): &&(IdleClass, u64, UpstreamId)| {
                rest == IdleClass::Spare || at <= micros(kept)
            };
            let Some(&(.., id)) = self.idle.first().filter(gives) else {
                return self.count() < self.max_connections;
            };
            self.half_close(now, id, actions);
        }
        while self.count() >= self.max_connections {
            // The one that was half-closed first: an end on its way there has had most time.
            let first = self
                .half_closed
                .iter()
                .min_by(|a, b| a.1.1.total_cmp(&b.1.1))
                .map(|(&id, _)| id);
            let Some(id) = first else { return false };
            self.half_closed.remove(&id);
            actions.push(PoolAction::Close(id));
        }
        true
    }

    pub(super) fn dial(
        &mut self,
        now: Seconds,
        kept: Seconds,
        machine: MachineId,
        actions: &mut Vec<PoolAction>,
    ) -> Option<UpstreamId> {
        let address = self
            .peers
            .get(&machine)
            .map(|peer| peer.address.clone())
            .filter(|a| !a.is_empty())?;
        if !self.make_capacity(now, kept, actions) {
            return None;
        }
        self.next += 1;
        let upstream = UpstreamId(self.next);
        actions.push(PoolAction::Dial(upstream, address));
        let made = Upstream {
            machine,
            dialling_since: Some(now),
            pending_offers: Vec::new(),
            unsent_offers: Vec::new(),
            blocked: false,
            partially_written: None,
            heard_at: now,
            used_at: now,
            health_check_sent_at: None,
            opened_at: now,
            idle_entry: None,
        };
        self.upstreams.insert(upstream, made);
        self.peers.get_mut(&machine)?.upstreams.insert(upstream);
        Some(upstream)
    }

    /// Ends a connection that is not needed any more, without losing what is on its way here.
    pub(super) fn half_close(
        &mut self,
        now: Seconds,
        id: UpstreamId,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(upstream) = self.remove(id) else {
            return;
        };
        if upstream.dialling_since.is_some() {
            return actions.push(PoolAction::Close(id));
        }
        self.half_closed.insert(id, (upstream.machine, now));
        actions.push(PoolAction::HalfClose(id));
    }

    /// Takes a connection out.
    pub(super) fn remove(&mut self, id: UpstreamId) -> Option<Upstream> {
        let upstream = self.upstreams.remove(&id)?;
        upstream
            .idle_entry
            .map(|(rest, at)| self.idle.remove(&(rest, at, id)));
        if let Some(peer) = self.peers.get_mut(&upstream.machine) {
            peer.upstreams.remove(&id);
        }
        self.update_idle_index(upstream.machine);
        Some(upstream)
    }

    /// Finds out anew how the connections to a machine rest. Follows whatever may have changed that.
    pub(super) fn update_idle_index(&mut self, machine: MachineId) {
        let Some(peer) = self.peers.get(&machine) else {
            return;
        };
        let sound = |upstreams: &BTreeMap<UpstreamId, Upstream>, id| {
            upstreams.get(id).is_some_and(Upstream::is_healthy)
        };
        let all = peer
            .upstreams
            .iter()
            .filter(|id| sound(&self.upstreams, id))
            .count();
        for &id in &peer.upstreams {
            let Some(upstream) = self.upstreams.get_mut(&id) else {
                continue;
            };
            let needed = peer.placed_tasks > 0 && all - usize::from(upstream.is_healthy()) == 0;
            let rests = match needed {
                _ if !upstream.is_idle() => None,
                false => Some((IdleClass::Spare, micros(upstream.used_at))),
                true => Some((IdleClass::Required, micros(upstream.opened_at))),
            };
            if rests != upstream.idle_entry {
                upstream
                    .idle_entry
                    .map(|(rest, at)| self.idle.remove(&(rest, at, id)));
                self.idle.extend(rests.map(|(rest, at)| (rest, at, id)));
                upstream.idle_entry = rests;
            }
        }
    }
}
