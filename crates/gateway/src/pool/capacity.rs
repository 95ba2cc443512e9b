//! Connection capacity: dials, and replaces idle connections when the limit is reached.

use super::{
    HALF_CLOSE_TIMEOUT, HalfClosed, IdleClass, MAX_HALF_CLOSED, Pool, PoolAction, Upstream,
};
use crate::UpstreamId;
use crate::request_table::micros;
use tidespur_policy::interface::{MachineId, Seconds};

impl Pool {
    /// Whether a connection has to be replaced before another can be dialled.
    pub(super) fn is_at_capacity(&self) -> bool {
        self.upstreams.len() + MAX_HALF_CLOSED.min(self.max_connections / 4) >= self.max_connections
    }

    /// Makes capacity for one more connection. A required connection is replaced only if it was opened by
    /// `required_before`. Returns whether there is capacity.
    pub(super) fn make_capacity(
        &mut self,
        now: Seconds,
        required_before: Seconds,
        actions: &mut Vec<PoolAction>,
    ) -> bool {
        if self.is_at_capacity() {
            let is_replaceable = |&&(class, since, _): &&(IdleClass, u64, UpstreamId)| {
                class == IdleClass::Spare || since <= micros(required_before)
            };
            let Some(&(.., id)) = self.idle.first().filter(is_replaceable) else {
                return self.count() < self.max_connections;
            };
            self.half_close(now, id, actions);
        }
        while self.count() >= self.max_connections {
            // Of the half-closed ones the oldest, as its machine has had the most time to close it.
            let oldest = self
                .half_closed
                .iter()
                .min_by(|a, b| a.1.since.total_cmp(&b.1.since))
                .map(|(&id, _)| id);
            let Some(id) = oldest else { return false };
            self.half_closed.remove(&id);
            actions.push(PoolAction::Close(id));
        }
        true
    }

    /// Dials a machine, if its address is known and there is capacity or an idle connection can be replaced; see
    /// [`Pool::make_capacity`].
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
        self.last_upstream_id += 1;
        let id = UpstreamId(self.last_upstream_id);
        actions.push(PoolAction::Dial(id, address.clone()));
        let upstream = Upstream {
            machine,
            address,
            dialled_at: now,
            dialling_since: Some(now),
            pending_offers: Vec::new(),
            unsent_offers: Vec::new(),
            blocked: false,
            partially_written: None,
            last_received_at: now,
            last_used_at: now,
            health_check_sent_at: None,
            health_checks_sent: 0,
            health_checks_answered: 0,
            opened_at: now,
            idle_entry: None,
        };
        self.upstreams.insert(id, upstream);
        self.peers.get_mut(&machine)?.upstreams.insert(id);
        Some(id)
    }

    /// Half-closes a connection that is no longer needed; what its machine has written is still read. Closes it if it
    /// is being dialled.
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
        self.keep_reading(now, id, &upstream, HALF_CLOSE_TIMEOUT);
        actions.push(PoolAction::HalfClose(id));
    }

    /// Adds a connection to those that are closed for writing and still read.
    pub(super) fn keep_reading(
        &mut self,
        now: Seconds,
        id: UpstreamId,
        upstream: &Upstream,
        timeout: Seconds,
    ) {
        let half_closed = HalfClosed {
            machine: upstream.machine,
            address: upstream.address.clone(),
            since: now,
            timeout,
        };
        self.half_closed.insert(id, half_closed);
    }

    /// Removes a connection from the pool and its indexes. Releases that it may lose are queued again.
    pub(super) fn remove(&mut self, id: UpstreamId) -> Option<Upstream> {
        let upstream = self.upstreams.remove(&id)?;
        if let Some((class, since)) = upstream.idle_entry {
            self.idle.remove(&(class, since, id));
        }
        if let Some(peer) = self.peers.get_mut(&upstream.machine) {
            peer.upstreams.remove(&id);
        }
        self.releases.connection_ended(upstream.machine, id);
        self.update_idle_index(upstream.machine);
        Some(upstream)
    }

    /// Updates the index entries of the connections to a machine: spare or required if idle, none if in use. Has to be
    /// called after each change that may affect them. A connection is required if its machine holds a placed task and
    /// no other connection to it is healthy.
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
                Some((IdleClass::Spare, micros(upstream.last_used_at)))
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
