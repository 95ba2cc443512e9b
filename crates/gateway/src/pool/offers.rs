//! Offers to machines: assignment to a connection, sending, withdrawal and cancellation.

use super::{CancelReason, Pool, PoolAction, PoolEvent, STALL_RECHECK_TIMEOUT};
use crate::UpstreamId;
use crate::message::{RequestId, cause};
use tidespur_policy::interface::{MachineId, Seconds};

impl Pool {
    /// Assigns an offer to a connection: the idle one with the most recent message if that is fresh, else a new one,
    /// else the one with the fewest offers. Returns `None` if there is neither a connection nor capacity for one; then
    /// nothing was sent.
    pub fn offer(
        &mut self,
        now: Seconds,
        machine: MachineId,
        id: RequestId,
        bytes: Vec<u8>,
        actions: &mut Vec<PoolAction>,
    ) -> Option<UpstreamId> {
        let usable = self.upstreams_to(machine).filter(|(_, upstream)| {
            upstream.is_idle() && upstream.is_healthy() && !upstream.blocked
        });
        let fresh = usable
            .filter(|(_, upstream)| now - upstream.last_received_at < self.timeouts.fresh_limit())
            .max_by(|a, b| a.1.last_received_at.total_cmp(&b.1.last_received_at))
            .map(|(upstream_id, _)| upstream_id);
        let shared = |pool: &Self| {
            let candidates = pool
                .upstreams_to(machine)
                .filter(|(_, upstream)| upstream.health_check_sent_at.is_none());
            candidates
                .min_by_key(|(_, upstream)| (upstream.blocked, upstream.pending_offers.len()))
                .map(|(upstream_id, _)| upstream_id)
        };
        let upstream_id = fresh
            .or_else(|| self.dial(now, now, machine, actions))
            .or_else(|| shared(self))?;
        // The machine gets this task anew; a release of an earlier offer would end it.
        self.releases.remove(machine, id);
        let upstream = self.upstreams.get_mut(&upstream_id)?;
        let needs_check = upstream.is_idle()
            && upstream.last_received_at < self.stalled_at + STALL_RECHECK_TIMEOUT;
        upstream.pending_offers.push(id);
        upstream.last_used_at = now;
        upstream.unsent_offers.push((id, bytes));
        actions.extend(needs_check.then_some(PoolAction::CheckPeer(upstream_id)));
        if upstream.dialling_since.is_none() && !upstream.blocked {
            actions.push(PoolAction::OfferReady(upstream_id, id));
        }
        self.update_idle_index(machine);
        Some(upstream_id)
    }

    /// Sends an offer that was reported as ready, unless it was cancelled or the connection has become blocked since.
    /// Returns whether it is sent.
    pub fn send_ready_offer(
        &mut self,
        upstream: UpstreamId,
        id: RequestId,
        actions: &mut Vec<PoolAction>,
    ) -> bool {
        let Some(connection) = self
            .upstreams
            .get_mut(&upstream)
            .filter(|connection| connection.dialling_since.is_none() && !connection.blocked)
        else {
            return false;
        };
        let Some(index) = connection
            .unsent_offers
            .iter()
            .position(|(unsent, _)| *unsent == id)
        else {
            return false;
        };
        let (_, bytes) = connection.unsent_offers.remove(index);
        actions.push(PoolAction::Offer(upstream, id, bytes));
        true
    }

    /// Marks a connection as blocked, and queues an offer of which no byte was sent, unless it was cancelled meanwhile.
    pub fn write_blocked(&mut self, upstream: UpstreamId, id: RequestId, bytes: Vec<u8>) {
        let Some(connection) = self.upstreams.get_mut(&upstream) else {
            return;
        };
        connection.blocked = true;
        if connection.pending_offers.contains(&id) {
            connection.unsent_offers.push((id, bytes));
        }
    }

    /// Marks a connection as blocked in the middle of an offer.
    pub fn partially_written(&mut self, upstream: UpstreamId, id: RequestId) {
        if let Some(connection) = self.upstreams.get_mut(&upstream) {
            connection.blocked = true;
            connection.partially_written = Some(id);
        }
    }

    /// Marks a connection as no longer blocked; its unsent offers become ready again.
    pub fn write_drained(&mut self, upstream: UpstreamId, actions: &mut Vec<PoolAction>) {
        if let Some(connection) = self.upstreams.get_mut(&upstream) {
            connection.blocked = false;
            connection.partially_written = None;
            actions.extend(
                connection
                    .unsent_offers
                    .iter()
                    .map(|(offer, _)| PoolAction::OfferReady(upstream, *offer)),
            );
        }
    }

    /// Withdraws the unsent offers to a machine that must get no new tasks.
    pub fn withdraw_unsent(
        &mut self,
        now: Seconds,
        machine: MachineId,
        actions: &mut Vec<PoolAction>,
        events: &mut Vec<PoolEvent>,
    ) {
        let Some(peer) = self.peers.get(&machine) else {
            return;
        };
        for upstream in peer.upstreams.clone() {
            let Some(connection) = self.upstreams.get_mut(&upstream) else {
                continue;
            };
            let withdrawn: Vec<RequestId> = std::mem::take(&mut connection.unsent_offers)
                .into_iter()
                .map(|(id, _)| id)
                .collect();
            connection
                .pending_offers
                .retain(|offer| !withdrawn.contains(offer));
            if connection.dialling_since.is_some()
                && connection.pending_offers.is_empty()
                && !withdrawn.is_empty()
            {
                self.half_close(now, upstream, actions);
            }
            events.extend(withdrawn.into_iter().map(PoolEvent::NeverSent));
        }
        self.update_idle_index(machine);
    }

    /// Removes an offer that was answered, so that its connection can carry another.
    pub fn settle_offer(&mut self, upstream: UpstreamId, id: RequestId) {
        if let Some(upstream) = self.upstreams.get_mut(&upstream) {
            upstream.pending_offers.retain(|&offer| offer != id);
            let machine = upstream.machine;
            self.update_idle_index(machine);
        }
    }

    /// Cancels an offer. After a timeout the connection may be dead; it is half-closed, like one that is still being
    /// dialled, unless other offers are pending on it. Returns whether the machine never received the offer.
    pub fn cancel(
        &mut self,
        now: Seconds,
        upstream: UpstreamId,
        id: RequestId,
        reason: CancelReason,
        actions: &mut Vec<PoolAction>,
    ) -> bool {
        let Some(connection) = self.upstreams.get_mut(&upstream) else {
            return false;
        };
        connection.pending_offers.retain(|&offer| offer != id);
        let was_unsent = connection
            .unsent_offers
            .iter()
            .any(|(unsent, _)| *unsent == id);
        connection.unsent_offers.retain(|(unsent, _)| *unsent != id);
        let machine = connection.machine;
        let has_no_offers = connection.pending_offers.is_empty();
        let is_dialling = connection.dialling_since.is_some();
        if connection.partially_written == Some(id) && has_no_offers {
            // Otherwise the rest of the offer would be sent as soon as the machine reads.
            self.remove(upstream);
            self.message_may_be_lost(now, machine);
            actions.push(PoolAction::Close(upstream));
            return true;
        }
        if !was_unsent {
            self.write_release(now, upstream, id, cause::NORMAL, actions);
        }
        if has_no_offers && (reason == CancelReason::TimedOut || is_dialling) {
            self.half_close(now, upstream, actions);
        }
        self.update_idle_index(machine);
        was_unsent
    }
}
