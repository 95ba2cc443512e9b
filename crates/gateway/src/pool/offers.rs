//! Offers to machines: which connection carries one, when it is sent, and how it is withdrawn or cancelled.

use super::{
    CancelReason, MAX_QUEUED_MESSAGES, Pool, PoolAction, PoolEvent, STALL_RECHECK_TIMEOUT,
};
use crate::UpstreamId;
use crate::message::{Message, RequestId, cause};
use tidespur_policy::interface::{MachineId, Seconds};

impl Pool {
    /// Assigns an offer to a connection: an idle one that was heard lately, else a new one, else the one with the fewest
    /// offers. Returns `None` if there is no connection and no capacity for one; nothing was sent then.
    pub fn offer(
        &mut self,
        now: Seconds,
        machine: MachineId,
        id: RequestId,
        bytes: Vec<u8>,
        actions: &mut Vec<PoolAction>,
    ) -> Option<UpstreamId> {
        let fresh = self.upstreams_to(machine).filter(|(_, upstream)| {
            upstream.is_idle() && upstream.is_healthy() && !upstream.blocked
        });
        let fresh =
            fresh.filter(|(_, upstream)| now - upstream.heard_at < self.timeouts.fresh_limit());
        let fresh = fresh
            .max_by(|a, b| a.1.heard_at.total_cmp(&b.1.heard_at))
            .map(|(at, _)| at);
        let shared = |pool: &Self| {
            let candidates = pool
                .upstreams_to(machine)
                .filter(|(_, upstream)| upstream.health_check_sent_at.is_none());
            candidates
                .min_by_key(|(_, upstream)| (upstream.blocked, upstream.pending_offers.len()))
                .map(|(at, _)| at)
        };
        let upstream_id = fresh
            .or_else(|| self.dial(now, now, machine, actions))
            .or_else(|| shared(self))?;
        let upstream = self.upstreams.get_mut(&upstream_id)?;
        let needs_check =
            upstream.is_idle() && upstream.heard_at < self.stalled_at + STALL_RECHECK_TIMEOUT;
        upstream.pending_offers.push(id);
        upstream.used_at = now;
        upstream.unsent_offers.push((id, bytes));
        actions.extend(needs_check.then_some(PoolAction::CheckPeer(upstream_id)));
        if upstream.dialling_since.is_none() && !upstream.blocked {
            actions.push(PoolAction::OfferReady(upstream_id, id));
        }
        self.update_idle_index(machine);
        Some(upstream_id)
    }

    /// Sends an offer that was ready, unless it was cancelled or the machine accepts no bytes meanwhile. Returns whether
    /// it is sent.
    pub fn send_ready_offer(
        &mut self,
        upstream: UpstreamId,
        id: RequestId,
        actions: &mut Vec<PoolAction>,
    ) -> bool {
        let Some(at) = self
            .upstreams
            .get_mut(&upstream)
            .filter(|at| at.dialling_since.is_none() && !at.blocked)
        else {
            return false;
        };
        let Some(index) = at
            .unsent_offers
            .iter()
            .position(|(waiting, _)| *waiting == id)
        else {
            return false;
        };
        let (_, bytes) = at.unsent_offers.remove(index);
        actions.push(PoolAction::Offer(upstream, id, bytes));
        true
    }

    /// The machine accepts no bytes now, and none of this offer was sent: the offer waits.
    pub fn write_blocked(&mut self, upstream: UpstreamId, id: RequestId, bytes: Vec<u8>) {
        let Some(at) = self.upstreams.get_mut(&upstream) else {
            return;
        };
        at.blocked = true;
        if at.pending_offers.contains(&id) {
            at.unsent_offers.push((id, bytes));
        }
    }

    /// The machine accepts no bytes now, and a part of this offer was sent.
    pub fn partially_written(&mut self, upstream: UpstreamId, id: RequestId) {
        if let Some(at) = self.upstreams.get_mut(&upstream) {
            at.blocked = true;
            at.partially_written = Some(id);
        }
    }

    /// All bytes that waited for the machine were sent: its unsent offers are ready again.
    pub fn write_drained(&mut self, upstream: UpstreamId, actions: &mut Vec<PoolAction>) {
        if let Some(at) = self.upstreams.get_mut(&upstream) {
            at.blocked = false;
            at.partially_written = None;
            actions.extend(
                at.unsent_offers
                    .iter()
                    .map(|(offer, _)| PoolAction::OfferReady(upstream, *offer)),
            );
        }
    }

    /// Withdraws the unsent offers to a machine that is to get no new tasks.
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
            let Some(at) = self.upstreams.get_mut(&upstream) else {
                continue;
            };
            let waiting: Vec<RequestId> = std::mem::take(&mut at.unsent_offers)
                .into_iter()
                .map(|(id, _)| id)
                .collect();
            at.pending_offers.retain(|offer| !waiting.contains(offer));
            if at.dialling_since.is_some() && at.pending_offers.is_empty() && !waiting.is_empty() {
                self.half_close(now, upstream, actions);
            }
            events.extend(waiting.into_iter().map(PoolEvent::NeverSent));
        }
        self.update_idle_index(machine);
    }

    /// Sends a message about a placed task to its machine, now or once there is a connection.
    pub fn notify(
        &mut self,
        now: Seconds,
        machine: MachineId,
        bytes: Vec<u8>,
        actions: &mut Vec<PoolAction>,
    ) {
        let healthy = self
            .upstreams_to(machine)
            .filter(|(_, upstream)| upstream.is_healthy());
        let last_heard = healthy
            .max_by(|a, b| a.1.heard_at.total_cmp(&b.1.heard_at))
            .map(|(at, _)| at);
        if let Some((at, upstream)) =
            last_heard.and_then(|at| Some((at, self.upstreams.get_mut(&at)?)))
        {
            upstream.used_at = now;
            actions.push(PoolAction::Write(at, bytes));
            return self.update_idle_index(machine);
        }
        let Some(peer) = self.peers.get_mut(&machine) else {
            return;
        };
        if peer.queued_messages.len() >= MAX_QUEUED_MESSAGES {
            peer.queued_messages.pop_front();
        }
        peer.queued_messages.push_back(bytes);
    }

    /// An offer was answered: its connection is free for another.
    pub fn settle_offer(&mut self, upstream: UpstreamId, id: RequestId) {
        if let Some(upstream) = self.upstreams.get_mut(&upstream) {
            upstream.pending_offers.retain(|&offer| offer != id);
            let machine = upstream.machine;
            self.update_idle_index(machine);
        }
    }

    /// Cancels an offer. After a timeout the connection is suspect, and is half-closed unless other offers are pending on
    /// it. Returns whether the machine never received the offer.
    pub fn cancel(
        &mut self,
        now: Seconds,
        upstream: UpstreamId,
        id: RequestId,
        reason: CancelReason,
        actions: &mut Vec<PoolAction>,
    ) -> bool {
        let Some(at) = self.upstreams.get_mut(&upstream) else {
            return false;
        };
        at.pending_offers.retain(|&offer| offer != id);
        let was_unsent = at.unsent_offers.iter().any(|(waiting, _)| *waiting == id);
        at.unsent_offers.retain(|(waiting, _)| *waiting != id);
        let machine = at.machine;
        if at.partially_written == Some(id) && at.pending_offers.is_empty() {
            // Else the rest of it would be sent as soon as the machine reads. The machine repeats on the next connection
            // what it has to say.
            self.remove(upstream);
            actions.push(PoolAction::Close(upstream));
            return true;
        }
        if !was_unsent {
            actions.push(PoolAction::Write(
                upstream,
                Message::release(id, cause::NORMAL).encode(),
            ));
        }
        if at.pending_offers.is_empty()
            && (reason == CancelReason::TimedOut || at.dialling_since.is_some())
        {
            self.half_close(now, upstream, actions);
        }
        self.update_idle_index(machine);
        was_unsent
    }
}
