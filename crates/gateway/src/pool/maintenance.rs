//! Periodic maintenance: dials and health checks that time out, idle and half-closed connections, and probes of the
//! machines that hold placed tasks.

use super::{
    DIAL_BACKOFF, HALF_CLOSE_TIMEOUT, HEALTH_CHECK_INTERVAL, HEALTH_CHECK_TIMEOUT, IdleClass,
    MACHINE_FAILURE_TIMEOUT, Peer, Pool, PoolAction, PoolEvent, REQUIRED_CONNECTION_MIN_AGE,
    Upstream, VISIT_INTERVAL,
};
use crate::UpstreamId;
use crate::message::{Message, MessageKind, RequestId, code};
use tidespur_policy::interface::{MachineId, Seconds};

impl Pool {
    /// Does the maintenance that is due by `now`, and forgets machines that are not listed and have nothing left here.
    pub fn tick(
        &mut self,
        now: Seconds,
        actions: &mut Vec<PoolAction>,
        events: &mut Vec<PoolEvent>,
    ) {
        self.close_timed_out(now, actions, events);
        self.half_close_idle(now, actions);
        self.close_half_closed(now, actions);
        self.probe_peers(now, actions, events);
        let is_listed = |peer: &Peer| !peer.is_gone && !peer.address.is_empty();
        self.peers.retain(|_, peer| {
            is_listed(peer) || peer.placed_tasks > 0 || !peer.upstreams.is_empty()
        });
    }

    /// Closes connections whose dial, and then those whose health check, has taken too long.
    fn close_timed_out(
        &mut self,
        now: Seconds,
        actions: &mut Vec<PoolAction>,
        events: &mut Vec<PoolEvent>,
    ) {
        let connect_timeout = self.timeouts.connect;
        let is_dial_late = |upstream: &Upstream| {
            upstream
                .dialling_since
                .is_some_and(|since| now - since > connect_timeout)
        };
        let is_check_late = |upstream: &Upstream| {
            upstream
                .health_check_sent_at
                .is_some_and(|sent_at| now - sent_at > HEALTH_CHECK_TIMEOUT)
        };
        let mut timed_out = self.upstreams_where(is_dial_late);
        timed_out.extend(self.upstreams_where(is_check_late));
        for id in timed_out {
            self.abort(now, id, actions, events);
        }
    }

    /// Half-closes connections that have been idle for too long and are not required. One at a time, as each may make
    /// another to the same machine required.
    fn half_close_idle(&mut self, now: Seconds, actions: &mut Vec<PoolAction>) {
        let idle_limit = self.timeouts.idle_limit();
        let idle = self
            .upstreams_where(|upstream| upstream.is_idle() && now - upstream.used_at > idle_limit);
        for id in idle {
            let idle_entry = self
                .upstreams
                .get(&id)
                .and_then(|upstream| upstream.idle_entry);
            if matches!(idle_entry, Some((IdleClass::Spare, _))) {
                self.half_close(now, id, actions);
            }
        }
    }

    fn upstreams_where(&self, condition: impl Fn(&Upstream) -> bool) -> Vec<UpstreamId> {
        self.upstreams
            .iter()
            .filter(|(_, upstream)| condition(upstream))
            .map(|(&id, _)| id)
            .collect()
    }

    /// Closes half-closed connections that their machines have not ended in time.
    fn close_half_closed(&mut self, now: Seconds, actions: &mut Vec<PoolAction>) {
        let timed_out: Vec<UpstreamId> = self
            .half_closed
            .iter()
            .filter(|(_, (_, since))| now - since > HALF_CLOSE_TIMEOUT)
            .map(|(&id, _)| id)
            .collect();
        for id in timed_out {
            self.half_closed.remove(&id);
            actions.push(PoolAction::Close(id));
        }
    }

    /// Probes the machines that hold a placed task or are owed a message. The one heard longest ago comes first: where
    /// connections are at capacity, the last one would never have its turn otherwise.
    fn probe_peers(
        &mut self,
        now: Seconds,
        actions: &mut Vec<PoolAction>,
        events: &mut Vec<PoolEvent>,
    ) {
        let mut peers: Vec<(Seconds, MachineId)> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.placed_tasks > 0 || !peer.queued_messages.is_empty())
            .map(|(&machine, peer)| (peer.heard_at, machine))
            .collect();
        peers.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, machine) in peers {
            self.probe_peer(now, machine, actions, events);
        }
    }

    /// Keeps one connection to a machine that holds a placed task, and finds out whether the machine is alive.
    fn probe_peer(
        &mut self,
        now: Seconds,
        machine: MachineId,
        actions: &mut Vec<PoolAction>,
        events: &mut Vec<PoolEvent>,
    ) {
        let is_dialling = self
            .upstreams_to(machine)
            .any(|(_, upstream)| upstream.dialling_since.is_some());
        let Some(peer) = self.peers.get(&machine) else {
            return;
        };
        let silent_for = now - peer.heard_at;
        if peer.placed_tasks > 0
            && silent_for > MACHINE_FAILURE_TIMEOUT
            && peer.consecutive_failures >= 2
        {
            events.push(PoolEvent::MachineFailed(machine));
            return;
        }
        let next_dial_at = peer.next_dial_at;
        let has_no_message = peer.queued_messages.is_empty();
        let open_upstreams = || {
            self.upstreams_to(machine)
                .filter(|(_, upstream)| upstream.dialling_since.is_none())
        };
        let has_check_open =
            open_upstreams().any(|(_, upstream)| upstream.health_check_sent_at.is_some());
        let last_heard = open_upstreams()
            .max_by(|a, b| a.1.heard_at.total_cmp(&b.1.heard_at))
            .map(|(id, _)| id);
        // At capacity, machines without a connection take turns.
        let waits_for_turn = self.is_at_capacity() && silent_for < VISIT_INTERVAL && has_no_message;
        let needs_dial = last_heard.is_none() && !waits_for_turn
            || silent_for > HEALTH_CHECK_INTERVAL + HEALTH_CHECK_TIMEOUT;
        if let Some(id) = last_heard
            && !has_check_open
            && silent_for > HEALTH_CHECK_INTERVAL
        {
            self.send_health_check(now, machine, id, actions);
        }
        if needs_dial && !is_dialling && now >= next_dial_at {
            self.dial_probe(now, machine, actions);
        }
    }

    fn send_health_check(
        &mut self,
        now: Seconds,
        machine: MachineId,
        id: UpstreamId,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(upstream) = self.upstreams.get_mut(&id) else {
            return;
        };
        upstream.health_check_sent_at = Some(now);
        let test = Message::new(MessageKind::HealthCheck, RequestId(0)).with(code::CAUSE, &[0]);
        actions.push(PoolAction::Write(id, test.encode()));
        self.update_idle_index(machine);
    }

    /// Dials a machine. One without an address counts as failed dial, as nobody knows where it listens; lack of
    /// capacity does not, as it says nothing about the machine.
    fn dial_probe(&mut self, now: Seconds, machine: MachineId, actions: &mut Vec<PoolAction>) {
        let required_before = now - REQUIRED_CONNECTION_MIN_AGE;
        if self.dial(now, required_before, machine, actions).is_some() {
            return;
        }
        if let Some(peer) = self.peers.get_mut(&machine)
            && peer.address.is_empty()
        {
            peer.consecutive_failures += 1;
            peer.next_dial_at = now + DIAL_BACKOFF;
        }
    }
}
