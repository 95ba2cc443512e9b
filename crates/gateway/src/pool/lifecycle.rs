//! Lifecycle of a connection: opened, message received, ended. Interprets its end for its offers and its machine.

use super::{
    ConnectionEnd, DIAL_BACKOFF, HALF_CLOSE_TIMEOUT, HEALTH_CHECK_INTERVAL,
    MACHINE_FAILURE_TIMEOUT, Pool, PoolAction, PoolEvent, Upstream,
};
use crate::UpstreamId;
use crate::message::RequestId;
use std::collections::BTreeSet;
use tidespur_policy::interface::{MachineId, Seconds};

impl Pool {
    /// Handles a dial that succeeded: the connection's offers become ready, and the releases queued for its machine are
    /// written.
    pub fn opened(&mut self, now: Seconds, id: UpstreamId, actions: &mut Vec<PoolAction>) {
        let Some(upstream) = self.upstreams.get_mut(&id) else {
            return actions.push(PoolAction::Close(id));
        };
        upstream.dialling_since = None;
        upstream.last_received_at = now;
        upstream.opened_at = now;
        actions.extend(
            upstream
                .unsent_offers
                .iter()
                .map(|(offer, _)| PoolAction::OfferReady(id, *offer)),
        );
        let machine = upstream.machine;
        let dialled_at = upstream.dialled_at;
        if let Some(peer) = self.peers.get_mut(&machine) {
            peer.consecutive_failures = 0;
            peer.consecutive_refusals = 0;
            peer.message_lost_at = peer.message_lost_at.filter(|&lost_at| dialled_at < lost_at);
            peer.last_received_at = now;
        }
        self.send_queued_releases(now, machine, actions);
        self.update_idle_index(machine);
    }

    /// Records that a message was read. Any message shows that the machine is alive, so it also answers a health check.
    pub fn message_received(&mut self, now: Seconds, id: UpstreamId) {
        let Some(upstream) = self.upstreams.get_mut(&id) else {
            return;
        };
        let machine = upstream.machine;
        let answered_check = upstream.health_check_sent_at.take();
        upstream.last_received_at = now;
        if let Some(peer) = self.peers.get_mut(&machine) {
            peer.last_received_at = now;
        }
        if answered_check.is_some() {
            self.update_idle_index(machine);
        }
    }

    /// Handles the end of a connection, or a dial that failed. After a failed write the connection is still read to its
    /// end, as the machine may have written something before it closed the connection.
    pub fn ended(
        &mut self,
        now: Seconds,
        id: UpstreamId,
        end: ConnectionEnd,
        events: &mut Vec<PoolEvent>,
    ) {
        let is_still_read = matches!(end, ConnectionEnd::WriteFailed(_));
        let is_dialling = self
            .upstreams
            .get(&id)
            .is_some_and(|upstream| upstream.dialling_since.is_some());
        if end == ConnectionEnd::Other
            && !is_dialling
            && let Some(machine) = self.machine(id)
        {
            self.message_may_be_lost(now, machine);
        }
        if !is_still_read {
            self.half_closed.remove(&id);
        }
        let Some(upstream) = self.remove(id) else {
            return;
        };
        let machine = upstream.machine;
        let was_dialling = upstream.dialling_since.is_some();
        if is_still_read {
            self.keep_reading(now, id, &upstream, HALF_CLOSE_TIMEOUT);
        }
        end_offers(upstream, end, events);
        if was_dialling {
            self.dial_failed(now, machine, end, events);
        }
    }

    /// Records that what a machine has sent may not have been read: another connection to it is dialled while it holds
    /// a placed task.
    pub(super) fn message_may_be_lost(&mut self, now: Seconds, machine: MachineId) {
        if let Some(peer) = self.peers.get_mut(&machine) {
            peer.message_lost_at = Some(now);
        }
    }

    /// Counts a failed dial. A machine that refuses two dials in a row has failed, unless it sent something recently on
    /// another connection: then it may refuse because it has too many connections.
    fn dial_failed(
        &mut self,
        now: Seconds,
        machine: MachineId,
        end: ConnectionEnd,
        events: &mut Vec<PoolEvent>,
    ) {
        let is_alive = self.upstreams_to(machine).any(|(_, other)| {
            other.dialling_since.is_none() && now - other.last_received_at < HEALTH_CHECK_INTERVAL
        });
        let Some(peer) = self.peers.get_mut(&machine) else {
            return;
        };
        peer.consecutive_failures += 1;
        if end == ConnectionEnd::Refused {
            peer.consecutive_refusals += 1;
        } else {
            peer.consecutive_refusals = 0;
        }
        peer.next_dial_at = now + DIAL_BACKOFF;
        if peer.consecutive_refusals >= 2 && !is_alive && peer.placed_tasks > 0 {
            events.push(PoolEvent::MachineFailed(machine));
        }
    }

    /// Stops using a connection on which a health check was not answered: ends its offers, and half-closes it. It is read
    /// until the machine counts as failed: in a partition the machine may write the ends of tasks there, and they arrive
    /// once the partition ends. One that is blocked is closed, as the rest of an offer would be sent before the half-close.
    pub(super) fn retire(
        &mut self,
        now: Seconds,
        id: UpstreamId,
        actions: &mut Vec<PoolAction>,
        events: &mut Vec<PoolEvent>,
    ) {
        if self
            .upstreams
            .get(&id)
            .is_some_and(|upstream| upstream.blocked)
        {
            return self.abort(now, id, actions, events);
        }
        let Some(upstream) = self.remove(id) else {
            return;
        };
        self.message_may_be_lost(now, upstream.machine);
        self.keep_reading(now, id, &upstream, MACHINE_FAILURE_TIMEOUT);
        actions.push(PoolAction::HalfClose(id));
        end_offers(upstream, ConnectionEnd::Other, events);
    }

    /// Closes a connection at once, as its bytes are malformed or its dial has timed out.
    pub fn abort(
        &mut self,
        now: Seconds,
        id: UpstreamId,
        actions: &mut Vec<PoolAction>,
        events: &mut Vec<PoolEvent>,
    ) {
        if self.upstreams.contains_key(&id) || self.half_closed.contains_key(&id) {
            actions.push(PoolAction::Close(id));
            self.ended(now, id, ConnectionEnd::Other, events);
        }
    }
}

/// Reports the outcome of each offer on a connection that has ended. Known not to have been sent are the offers that
/// were still queued, and the one whose write failed. The end of an open connection is no evidence against its machine,
/// which closes idle connections; the next dial shows whether it can be reached.
fn end_offers(upstream: Upstream, end: ConnectionEnd, events: &mut Vec<PoolEvent>) {
    let was_dialling = upstream.dialling_since.is_some();
    let unsent: BTreeSet<RequestId> = upstream
        .unsent_offers
        .iter()
        .map(|(offer, _)| *offer)
        .collect();
    for offer in upstream.pending_offers {
        let never_sent = unsent.contains(&offer) || end == ConnectionEnd::WriteFailed(Some(offer));
        events.push(if !never_sent {
            PoolEvent::Interrupted(offer)
        } else if was_dialling {
            PoolEvent::ConnectFailed(offer)
        } else {
            PoolEvent::NeverSent(offer)
        });
    }
}
