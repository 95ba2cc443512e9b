//! Changes of a connection: opened, a message received, ended; and what its end means for its offers and its machine.

use super::{
    ConnectionEnd, DIAL_BACKOFF, HEALTH_CHECK_INTERVAL, Pool, PoolAction, PoolEvent, Upstream,
};
use crate::UpstreamId;
use crate::message::RequestId;
use std::collections::BTreeSet;
use tidespur_policy::interface::Seconds;

impl Pool {
    /// A connection is made.
    pub fn opened(&mut self, now: Seconds, id: UpstreamId, actions: &mut Vec<PoolAction>) {
        let Some(upstream) = self.upstreams.get_mut(&id) else {
            return actions.push(PoolAction::Close(id));
        };
        (
            upstream.dialling_since,
            upstream.heard_at,
            upstream.opened_at,
        ) = (None, now, now);
        actions.extend(
            upstream
                .unsent_offers
                .iter()
                .map(|(offer, _)| PoolAction::OfferReady(id, *offer)),
        );
        let machine = upstream.machine;
        if let Some(peer) = self.peers.get_mut(&machine) {
            (
                peer.consecutive_failures,
                peer.consecutive_refusals,
                peer.heard_at,
            ) = (0, 0, now);
            while let Some(bytes) = peer.queued_messages.pop_front() {
                actions.push(PoolAction::Write(id, bytes));
            }
        }
        self.update_idle_index(machine);
    }

    /// Something whole was read.
    pub fn message_received(&mut self, now: Seconds, id: UpstreamId) {
        let Some(upstream) = self.upstreams.get_mut(&id) else {
            return;
        };
        let (machine, tested) = (upstream.machine, upstream.health_check_sent_at.take());
        upstream.heard_at = now;
        if let Some(peer) = self.peers.get_mut(&machine) {
            peer.heard_at = now;
        }
        if tested.is_some() {
            self.update_idle_index(machine);
        }
    }

    /// A connection ended, or could not be made.
    pub fn ended(
        &mut self,
        now: Seconds,
        id: UpstreamId,
        end: ConnectionEnd,
        events: &mut Vec<PoolEvent>,
    ) {
        let unwritten = match end {
            ConnectionEnd::WriteFailed(offer) => Some(offer),
            ConnectionEnd::Refused | ConnectionEnd::Other => None,
        };
        if unwritten.is_none() {
            self.half_closed.remove(&id);
        }
        let Some(upstream) = self.remove(id) else {
            return;
        };
        let dialling = upstream.dialling_since.is_some();
        if unwritten.is_some() {
            // What the machine wrote before it ended the connection may still be there to read.
            self.half_closed.insert(id, (upstream.machine, now));
        }
        // Only the set-up that could not be written is known not to have left: others on the line had.
        let waited: BTreeSet<RequestId> = upstream
            .unsent_offers
            .iter()
            .map(|(offer, _)| *offer)
            .collect();
        let never_left =
            |offer: RequestId| waited.contains(&offer) || unwritten == Some(Some(offer));
        // That an open connection ended is no proof against its machine, which closes idle ones. Whether it can still be
        // reached the next dial tells.
        let told = |offer: RequestId| match never_left(offer) {
            true if dialling => PoolEvent::ConnectFailed(offer),
            true => PoolEvent::NeverSent(offer),
            false => PoolEvent::Interrupted(offer),
        };
        events.extend(upstream.pending_offers.into_iter().map(told));
        let heard = |other: &Upstream| {
            other.dialling_since.is_none() && now - other.heard_at < HEALTH_CHECK_INTERVAL
        };
        let alive = self
            .upstreams_to(upstream.machine)
            .any(|(_, other)| heard(other));
        let Some(peer) = self.peers.get_mut(&upstream.machine) else {
            return;
        };
        if dialling {
            peer.consecutive_failures += 1;
            peer.consecutive_refusals = if end == ConnectionEnd::Refused {
                peer.consecutive_refusals + 1
            } else {
                0
            };
            peer.next_dial_at = now + DIAL_BACKOFF;
            // A machine may refuse because it has too many connections: then it is heard on another.
            if peer.consecutive_refusals >= 2 && !alive && peer.placed_tasks > 0 {
                events.push(PoolEvent::MachineFailed(upstream.machine));
            }
        }
    }

    /// A connection brought what can't be read: it is of no further use.
    pub fn malformed(
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
