//! Set-ups on their way to a machine: which connection carries one, and when it may leave.

use super::{MAX_QUEUED_MESSAGES, Pool, PoolAction, PoolEvent, STALL_RECHECK_TIMEOUT};
use crate::UpstreamId;
use crate::message::{Message, RequestId, cause};
use tidespur_policy::interface::{MachineId, Seconds};

impl Pool {
    /// Sends a set-up to a machine; `None`: there is no way to it, and nothing left.
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
        // Where there is no room for another connection, the one with the least on it is shared.
        let shared = |upstreams: &Self| {
            let shared = upstreams
                .upstreams_to(machine)
                .filter(|(_, upstream)| upstream.health_check_sent_at.is_none());
            shared
                .min_by_key(|(_, upstream)| (upstream.blocked, upstream.pending_offers.len()))
                .map(|(at, _)| at)
        };
        let at = fresh
            .or_else(|| self.dial(now, now, machine, actions))
            .or_else(|| shared(self))?;
        let upstream = self.upstreams.get_mut(&at)?;
        let looks =
            upstream.is_idle() && upstream.heard_at < self.stalled_at + STALL_RECHECK_TIMEOUT;
        upstream.pending_offers.push(id);
        upstream.used_at = now;
        upstream.unsent_offers.push((id, bytes));
        actions.extend(looks.then_some(PoolAction::CheckPeer(at)));
        if upstream.dialling_since.is_none() && !upstream.blocked {
            actions.push(PoolAction::OfferReady(at, id));
        }
        self.update_idle_index(machine);
        Some(at)
    }

    /// A set-up that is due leaves, unless it was cancelled, or the machine takes no bytes, meanwhile; `true`: it does.
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
        let Some(n) = at
            .unsent_offers
            .iter()
            .position(|(waiting, _)| *waiting == id)
        else {
            return false;
        };
        let (_, bytes) = at.unsent_offers.remove(n);
        actions.push(PoolAction::Offer(upstream, id, bytes));
        true
    }

    /// The machine takes no bytes now, and none of this set-up left: it waits on.
    pub fn write_blocked(&mut self, upstream: UpstreamId, id: RequestId, bytes: Vec<u8>) {
        let Some(at) = self.upstreams.get_mut(&upstream) else {
            return;
        };
        at.blocked = true;
        if at.pending_offers.contains(&id) {
            at.unsent_offers.push((id, bytes));
        }
    }

    /// The machine takes no bytes now, and has only a part of this set-up.
    pub fn partially_written(&mut self, upstream: UpstreamId, id: RequestId) {
        if let Some(at) = self.upstreams.get_mut(&upstream) {
            (at.blocked, at.partially_written) = (true, Some(id));
        }
    }

    /// The machine has taken all that waited for it.
    pub fn write_drained(&mut self, upstream: UpstreamId, actions: &mut Vec<PoolAction>) {
        if let Some(at) = self.upstreams.get_mut(&upstream) {
            (at.blocked, at.partially_written) = (false, None);
            actions.extend(
                at.unsent_offers
                    .iter()
                    .map(|(offer, _)| PoolAction::OfferReady(upstream, *offer)),
            );
        }
    }

    /// A machine is to get nothing more: set-ups for it that have not left are taken back.
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

    /// Tells a machine something about a task that stands there, now or once there is a connection.
    pub fn notify(
        &mut self,
        now: Seconds,
        machine: MachineId,
        bytes: Vec<u8>,
        actions: &mut Vec<PoolAction>,
    ) {
        let sound = self
            .upstreams_to(machine)
            .filter(|(_, upstream)| upstream.is_healthy());
        let sound = sound
            .max_by(|a, b| a.1.heard_at.total_cmp(&b.1.heard_at))
            .map(|(at, _)| at);
        if let Some((at, upstream)) = sound.and_then(|at| Some((at, self.upstreams.get_mut(&at)?)))
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

    /// A set-up has had its answer: its connection is free for another.
    pub fn settle_offer(&mut self, upstream: UpstreamId, id: RequestId) {
        if let Some(upstream) = self.upstreams.get_mut(&upstream) {
            upstream.pending_offers.retain(|&offer| offer != id);
            let machine = upstream.machine;
            self.update_idle_index(machine);
        }
    }

    /// Cancels a set-up. With `suspect`, nothing was heard in time: the connection is used no more, and half-closed
    /// unless others are open on it. Tells whether the machine never got it.
    pub fn cancel(
        &mut self,
        now: Seconds,
        upstream: UpstreamId,
        id: RequestId,
        suspect: bool,
        actions: &mut Vec<PoolAction>,
    ) -> bool {
        let Some(at) = self.upstreams.get_mut(&upstream) else {
            return false;
        };
        at.pending_offers.retain(|&offer| offer != id);
        let waited = at.unsent_offers.iter().any(|(waiting, _)| *waiting == id);
        at.unsent_offers.retain(|(waiting, _)| *waiting != id);
        let machine = at.machine;
        if at.partially_written == Some(id) && at.pending_offers.is_empty() {
            // The rest of it would still leave as soon as the machine reads. What the machine had to say on this
            // connection it says on the next.
            self.remove(upstream);
            actions.push(PoolAction::Close(upstream));
            return true;
        }
        if !waited {
            actions.push(PoolAction::Write(
                upstream,
                Message::release(id, cause::NORMAL).encode(),
            ));
        }
        if at.pending_offers.is_empty() && (suspect || at.dialling_since.is_some()) {
            self.half_close(now, upstream, actions);
        }
        self.update_idle_index(machine);
        waited
    }
}
