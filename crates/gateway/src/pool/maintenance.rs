//! Periodic maintenance: timeouts of dials and health checks, closing of idle and half-closed connections, and probes
//! of the machines that hold placed tasks.

use super::{
    DIAL_BACKOFF, HEALTH_CHECK_INTERVAL, HEALTH_CHECK_TIMEOUT, IdleClass, MACHINE_FAILURE_TIMEOUT,
    Peer, Pool, PoolAction, PoolEvent, REQUIRED_CONNECTION_MIN_AGE, Upstream, VISIT_INTERVAL,
};
use crate::UpstreamId;
use crate::message::{Message, MessageKind, RequestId, code};
use tidespur_policy::interface::{MachineId, Seconds};

impl Pool {
    /// Does the maintenance that is due by `now`, and removes machines that are not listed and have neither placed
    /// tasks nor connections.
    pub fn tick(
        &mut self,
        now: Seconds,
        actions: &mut Vec<PoolAction>,
        events: &mut Vec<PoolEvent>,
    ) {
        self.close_timed_out(now, actions, events);
        self.half_close_idle(now, actions);
        self.close_half_closed(now, actions);
        self.maintain_releases(now, actions, events);
        self.probe_peers(now, actions, events);
        let is_listed = |peer: &Peer| !peer.is_gone && !peer.address.is_empty();
        self.peers.retain(|_, peer| {
            is_listed(peer) || peer.placed_tasks > 0 || !peer.upstreams.is_empty()
        });
        let peers = &self.peers;
        self.releases
            .retain_machines(|machine| peers.contains_key(&machine));
    }

    /// Gives up the dials that have timed out, then stops using the connections whose health check has.
    fn close_timed_out(
        &mut self,
        now: Seconds,
        actions: &mut Vec<PoolAction>,
        events: &mut Vec<PoolEvent>,
    ) {
        let connect_timeout = self.timeouts.connect;
        let is_dial_timed_out = |upstream: &Upstream| {
            upstream
                .dialling_since
                .is_some_and(|since| now - since > connect_timeout)
        };
        let is_check_timed_out = |upstream: &Upstream| {
            upstream
                .health_check_sent_at
                .is_some_and(|sent_at| now - sent_at > HEALTH_CHECK_TIMEOUT)
        };
        for id in self.upstreams_where(is_dial_timed_out) {
            self.abort(now, id, actions, events);
        }
        for id in self.upstreams_where(is_check_timed_out) {
            self.retire(now, id, actions, events);
        }
    }

    /// Half-closes connections that have been idle for too long and are not required. Each one is examined again before
    /// it is closed, as closing another to the same machine may have made it required.
    fn half_close_idle(&mut self, now: Seconds, actions: &mut Vec<PoolAction>) {
        let idle_limit = self.timeouts.idle_limit();
        let idle = self.upstreams_where(|upstream| {
            upstream.is_idle() && now - upstream.last_used_at > idle_limit
        });
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

    /// Closes half-closed connections that their machines have not closed in time.
    fn close_half_closed(&mut self, now: Seconds, actions: &mut Vec<PoolAction>) {
        let timed_out: Vec<(UpstreamId, MachineId)> = self
            .half_closed
            .iter()
            .filter(|(_, half_closed)| now - half_closed.since > half_closed.timeout)
            .map(|(&id, half_closed)| (id, half_closed.machine))
            .collect();
        for (id, machine) in timed_out {
            self.half_closed.remove(&id);
            self.message_may_be_lost(now, machine);
            actions.push(PoolAction::Close(id));
        }
    }

    /// Probes the machines that hold a placed task or have queued releases, in the order of their last received
    /// message: with a fixed order, the last ones would never get a connection at capacity.
    fn probe_peers(
        &mut self,
        now: Seconds,
        actions: &mut Vec<PoolAction>,
        events: &mut Vec<PoolEvent>,
    ) {
        let mut peers: Vec<(Seconds, MachineId)> = self
            .peers
            .iter()
            .filter(|&(&machine, peer)| peer.placed_tasks > 0 || self.releases.has_queued(machine))
            .map(|(&machine, peer)| (peer.last_received_at, machine))
            .collect();
        peers.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, machine) in peers {
            self.send_queued_releases(now, machine, actions);
            self.probe_peer(now, machine, actions, events);
        }
    }

    /// Reports a machine as failed if it has been silent for too long; else sends a health check or dials it if that is
    /// due.
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
        let silent_for = now - peer.last_received_at;
        if peer.placed_tasks > 0
            && silent_for > MACHINE_FAILURE_TIMEOUT
            && peer.consecutive_failures >= 2
        {
            events.push(PoolEvent::MachineFailed(machine));
            return;
        }
        let next_dial_at = peer.next_dial_at;
        let has_no_queued_release = !self.releases.has_queued(machine);
        let open_upstreams = || {
            self.upstreams_to(machine)
                .filter(|(_, upstream)| upstream.dialling_since.is_none())
        };
        let has_unanswered_check =
            open_upstreams().any(|(_, upstream)| upstream.health_check_sent_at.is_some());
        let most_recent = open_upstreams()
            .max_by(|a, b| a.1.last_received_at.total_cmp(&b.1.last_received_at))
            .map(|(id, _)| id);
        // At capacity, machines without a connection take turns.
        let waits_for_turn =
            self.is_at_capacity() && silent_for < VISIT_INTERVAL && has_no_queued_release;
        let needs_dial = peer.message_lost_at.is_some()
            || most_recent.is_none() && !waits_for_turn
            || silent_for > HEALTH_CHECK_INTERVAL + HEALTH_CHECK_TIMEOUT;
        if let Some(id) = most_recent
            && !has_unanswered_check
            && silent_for > HEALTH_CHECK_INTERVAL
        {
            self.send_health_check(now, machine, id, actions);
        }
        if needs_dial && !is_dialling && now >= next_dial_at {
            self.dial_probe(now, machine, actions);
        }
    }

    pub(super) fn send_health_check(
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
        upstream.health_checks_sent += 1;
        self.releases
            .health_check_sent(machine, id, upstream.health_checks_sent);
        let health_check =
            Message::new(MessageKind::HealthCheck, RequestId(0)).with(code::CAUSE, &[0]);
        actions.push(PoolAction::Write(id, health_check.encode()));
        self.update_idle_index(machine);
    }

    /// Dials a machine. An unknown address counts as a failed dial. Lack of capacity doesn't, as it says nothing about
    /// the machine.
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
