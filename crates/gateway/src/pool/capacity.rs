//! Capacity for connections: which one gives way to another, and how one is dialled, half-closed and removed.

use super::{IdleClass, MAX_HALF_CLOSED, Pool, PoolAction, Upstream};
use crate::UpstreamId;
use crate::request_table::micros;
use tidespur_policy::interface::{MachineId, Seconds};

impl Pool {
    /// Whether a connection has to give way before another can be dialled.
    pub(super) fn is_at_capacity(&self) -> bool {
        self.upstreams.len() + MAX_HALF_CLOSED.min(self.max_connections / 4) >= self.max_connections
    }

    /// Makes capacity for one more connection; a required one gives way only if it was opened by `required_before`.
    /// Returns whether there is capacity now.
    pub(super) fn make_capacity(
        &mut self,
        now: Seconds,
        required_before: Seconds,
        actions: &mut Vec<PoolAction>,
    ) -> bool {
        if self.is_at_capacity() {
            let gives_way = |&&(class, since, _): &&(IdleClass, u64, UpstreamId)| {
                class == IdleClass::Spare || since <= micros(required_before)
            };
            let Some(&(.., id)) = self.idle.first().filter(gives_way) else {
                return self.count() < self.max_connections;
            };
            self.half_close(now, id, actions);
        }
        while self.count() >= self.max_connections {
            // The one half-closed first: its machine has had most time to end it.
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

    /// Dials a machine, if its address is known and there is or can be made capacity.
    pub(super) fn dial(
        &mut self,
        now: Seconds,
        required_before: Seconds,
        machine: MachineId,
        actions: &mut Vec<PoolAction>,
    ) -> Option<UpstreamId> {
        let address = self
            .peers
            .get(&machine)
            .map(|peer| peer.address.clone())
            .filter(|a| !a.is_empty())?;
        if !self.make_capacity(now, required_before, actions) {
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

    /// Ends a connection that is not needed any more, and goes on reading what its machine has written.
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

    /// Removes a connection from the pool and its indexes.
    pub(super) fn remove(&mut self, id: UpstreamId) -> Option<Upstream> {
        let upstream = self.upstreams.remove(&id)?;
        if let Some((class, since)) = upstream.idle_entry {
            self.idle.remove(&(class, since, id));
        }
        if let Some(peer) = self.peers.get_mut(&upstream.machine) {
            peer.upstreams.remove(&id);
        }
        self.update_idle_index(upstream.machine);
        Some(upstream)
    }

    /// Classes the connections to a machine anew: idle and spare, idle and required, or in use. Called after every
    /// change that may affect this. A connection is required if its machine holds a placed task and no other connection
    /// to it is healthy.
    pub(super) fn update_idle_index(&mut self, machine: MachineId) {
        let Some(peer) = self.peers.get(&machine) else {
            return;
        };
        let healthy = peer
            .upstreams
            .iter()
            .filter_map(|id| self.upstreams.get(id))
            .filter(|upstream| upstream.is_healthy())
            .count();
        for &id in &peer.upstreams {
            let Some(upstream) = self.upstreams.get_mut(&id) else {
                continue;
            };
            let other_healthy = healthy - usize::from(upstream.is_healthy());
            let is_required = peer.placed_tasks > 0 && other_healthy == 0;
            let idle_entry = if !upstream.is_idle() {
                None
            } else if is_required {
                Some((IdleClass::Required, micros(upstream.opened_at)))
            } else {
                Some((IdleClass::Spare, micros(upstream.used_at)))
            };
            if idle_entry == upstream.idle_entry {
                continue;
            }
            if let Some((class, since)) = upstream.idle_entry {
                self.idle.remove(&(class, since, id));
            }
            if let Some((class, since)) = idle_entry {
                self.idle.insert((class, since, id));
            }
            upstream.idle_entry = idle_entry;
        }
    }
}
