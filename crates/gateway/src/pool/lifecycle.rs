//! Changes of a connection: opened, a message received, ended; and what its end means for its offers and its machine.

use super::{
    ConnectionEnd, DIAL_BACKOFF, HEALTH_CHECK_INTERVAL, Pool, PoolAction, PoolEvent, Upstream,
};
use crate::UpstreamId;
use crate::message::RequestId;
use std::collections::BTreeSet;
use tidespur_policy::interface::{MachineId, Seconds};

impl Pool {
    /// A connection is open: its offers can be sent, and the messages that waited for its machine are.
    pub fn opened(&mut self, now: Seconds, id: UpstreamId, actions: &mut Vec<PoolAction>) {
        let Some(upstream) = self.upstreams.get_mut(&id) else {
            return actions.push(PoolAction::Close(id));
        };
        upstream.dialling_since = None;
        upstream.heard_at = now;
        upstream.opened_at = now;
        actions.extend(
            upstream
                .unsent_offers
                .iter()
                .map(|(offer, _)| PoolAction::OfferReady(id, *offer)),
        );
        let machine = upstream.machine;
        if let Some(peer) = self.peers.get_mut(&machine) {
            peer.consecutive_failures = 0;
            peer.consecutive_refusals = 0;
            peer.heard_at = now;
            while let Some(bytes) = peer.queued_messages.pop_front() {
                actions.push(PoolAction::Write(id, bytes));
            }
        }
        self.update_idle_index(machine);
    }

    /// A message was read, whatever it says: its machine is alive.
    pub fn message_received(&mut self, now: Seconds, id: UpstreamId) {
        let Some(upstream) = self.upstreams.get_mut(&id) else {
            return;
        };
        let machine = upstream.machine;
        let health_check = upstream.health_check_sent_at.take();
        upstream.heard_at = now;
        if let Some(peer) = self.peers.get_mut(&machine) {
            peer.heard_at = now;
        }
        if health_check.is_some() {
            self.update_idle_index(machine);
        }
    }

    /// A connection has ended, or could not be opened. After a failed write it is still read to its end, as the machine
    /// may have written something before it ended the connection.
    pub fn ended(
        &mut self,
        now: Seconds,
        id: UpstreamId,
        end: ConnectionEnd,
        events: &mut Vec<PoolEvent>,
    ) {
        let is_read_on = matches!(end, ConnectionEnd::WriteFailed(_));
        if !is_read_on {
            self.half_closed.remove(&id);
        }
        let Some(upstream) = self.remove(id) else {
            return;
        };
        let machine = upstream.machine;
        let was_dialling = upstream.dialling_since.is_some();
        if is_read_on {
            self.half_closed.insert(id, (machine, now));
        }
        end_offers(upstream, end, events);
        if was_dialling {
            self.dial_failed(now, machine, end, events);
        }
    }

    /// Counts a failed dial. A machine that refuses twice in a row has failed, unless it was heard lately on another
    /// connection: it may refuse because it has too many.
    fn dial_failed(
        &mut self,
        now: Seconds,
        machine: MachineId,
        end: ConnectionEnd,
        events: &mut Vec<PoolEvent>,
    ) {
        let is_alive = self.upstreams_to(machine).any(|(_, other)| {
            other.dialling_since.is_none() && now - other.heard_at < HEALTH_CHECK_INTERVAL
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

    /// Closes a connection on which nothing more can be read, such as one with malformed bytes.
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

/// Tells what became of each offer of a connection that has ended. Only the offer that could not be written is known not
/// to have been sent, beside those that waited: others had been. That an open connection ended is no evidence against
/// its machine, which closes idle ones; the next dial tells whether it can be reached.
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
