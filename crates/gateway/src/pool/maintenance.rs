//! Connections over time: made, heard, ended, tested, idle; and when a machine has failed.

use super::{
    ConnectionEnd, DIAL_BACKOFF, HALF_CLOSE_TIMEOUT, HEALTH_CHECK_INTERVAL, HEALTH_CHECK_TIMEOUT,
    IdleClass, MACHINE_FAILURE_TIMEOUT, Peer, Pool, PoolAction, PoolEvent,
    REQUIRED_CONNECTION_MIN_AGE, Upstream, VISIT_INTERVAL,
};
use crate::UpstreamId;
use crate::message::{Message, MessageKind, RequestId, code};
use std::collections::BTreeSet;
use tidespur_policy::interface::{MachineId, Seconds};

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

    /// Time goes on: dials that take too long, tests, silence, idle connections.
    pub fn tick(
        &mut self,
        now: Seconds,
        actions: &mut Vec<PoolAction>,
        events: &mut Vec<PoolEvent>,
    ) {
        let slow = self.upstreams.iter().filter(|(_, l)| {
            l.dialling_since
                .is_some_and(|at| now - at > self.timeouts.connect)
        });
        let silent = self.upstreams.iter().filter(|(_, l)| {
            l.health_check_sent_at
                .is_some_and(|at| now - at > HEALTH_CHECK_TIMEOUT)
        });
        let over: Vec<UpstreamId> = slow.chain(silent).map(|(&id, _)| id).collect();
        for id in over {
            self.malformed(now, id, actions, events);
        }
        let idle = |upstream: &Upstream| {
            upstream.is_idle() && now - upstream.used_at > self.timeouts.idle_limit()
        };
        let idle: Vec<UpstreamId> = self
            .upstreams
            .iter()
            .filter(|(_, upstream)| idle(upstream))
            .map(|(&id, _)| id)
            .collect();
        for id in idle {
            // One at a time, as of two idle ones to a machine one may be needed.
            if self
                .upstreams
                .get(&id)
                .is_some_and(|upstream| matches!(upstream.idle_entry, Some((IdleClass::Spare, _))))
            {
                self.half_close(now, id, actions);
            }
        }
        let slow = self
            .half_closed
            .iter()
            .filter(|(_, (_, at))| now - at > HALF_CLOSE_TIMEOUT);
        let slow: Vec<UpstreamId> = slow.map(|(&id, _)| id).collect();
        for id in slow {
            self.half_closed.remove(&id);
            actions.push(PoolAction::Close(id));
        }
        let wanted = |peer: &Peer| peer.placed_tasks > 0 || !peer.queued_messages.is_empty();
        let wanted = self.peers.iter().filter(|(_, peer)| wanted(peer));
        let mut wanted: Vec<(Seconds, MachineId)> = wanted
            .map(|(&machine, peer)| (peer.heard_at, machine))
            .collect();
        // Who was heard longest ago comes first: where there is no room for all, the last would never be called.
        wanted.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, machine) in wanted {
            self.probe_peer(now, machine, actions, events);
        }
        let listed = |peer: &Peer| !peer.is_gone && !peer.address.is_empty();
        self.peers
            .retain(|_, peer| listed(peer) || peer.placed_tasks > 0 || !peer.upstreams.is_empty());
    }

    /// Keeps one connection to a machine that holds a task of ours, and finds out whether it lives.
    fn probe_peer(
        &mut self,
        now: Seconds,
        machine: MachineId,
        actions: &mut Vec<PoolAction>,
        events: &mut Vec<PoolEvent>,
    ) {
        let dialling = self
            .upstreams_to(machine)
            .any(|(_, upstream)| upstream.dialling_since.is_some());
        let Some(peer) = self.peers.get(&machine) else {
            return;
        };
        if peer.placed_tasks > 0
            && now - peer.heard_at > MACHINE_FAILURE_TIMEOUT
            && peer.consecutive_failures >= 2
        {
            events.push(PoolEvent::MachineFailed(machine));
            return;
        }
        let (silent_for, redial_at, told) = (
            now - peer.heard_at,
            peer.next_dial_at,
            peer.queued_messages.is_empty(),
        );
        let open = || {
            self.upstreams_to(machine)
                .filter(|(_, upstream)| upstream.dialling_since.is_none())
        };
        let tested = open().any(|(_, upstream)| upstream.health_check_sent_at.is_some());
        let newest = open()
            .max_by(|a, b| a.1.heard_at.total_cmp(&b.1.heard_at))
            .map(|(id, _)| id);
        // Where there is no room for all, those without a connection take turns.
        let waits = self.is_at_capacity() && silent_for < VISIT_INTERVAL && told;
        let suspect =
            newest.is_none() && !waits || silent_for > HEALTH_CHECK_INTERVAL + HEALTH_CHECK_TIMEOUT;
        let silent = newest.filter(|_| !tested && silent_for > HEALTH_CHECK_INTERVAL);
        if let Some((id, upstream)) = silent.and_then(|id| Some((id, self.upstreams.get_mut(&id)?)))
        {
            upstream.health_check_sent_at = Some(now);
            let test = Message::new(MessageKind::Test, RequestId(0)).with(code::CAUSE, &[0]);
            actions.push(PoolAction::Write(id, test.encode()));
            self.update_idle_index(machine);
        }
        if suspect
            && !dialling
            && now >= redial_at
            && self
                .dial(now, now - REQUIRED_CONNECTION_MIN_AGE, machine, actions)
                .is_none()
            && let Some(peer) = self
                .peers
                .get_mut(&machine)
                .filter(|peer| peer.address.is_empty())
        {
            // Nobody knows where it could be heard. That there is no room is not its fault, and proves nothing.
            (peer.consecutive_failures, peer.next_dial_at) =
                (peer.consecutive_failures + 1, now + DIAL_BACKOFF);
        }
    }
}
