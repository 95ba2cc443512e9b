//! Set-ups on their way to a machine: which connection carries one, and when it may leave.

use super::*;

impl Pool {
    /// Sends a set-up to a machine; `None`: there is no way to it, and nothing left.
    pub fn offer(
        &mut self,
        now: Seconds,
        machine: MachineId,
        id: RequestId,
        bytes: Vec<u8>,
        out: &mut Vec<PoolAction>,
    ) -> Option<UpstreamId> {
        let fresh = self
            .upstreams_to(machine)
            .filter(|(_, line)| line.is_idle() && line.is_healthy() && !line.blocked);
        let fresh = fresh.filter(|(_, line)| now - line.heard_at < self.timeouts.fresh_limit());
        let fresh = fresh
            .max_by(|a, b| a.1.heard_at.total_cmp(&b.1.heard_at))
            .map(|(at, _)| at);
        // Where there is no room for another connection, the one with the least on it is shared.
        let shared = |lines: &Self| {
            let shared = lines
                .upstreams_to(machine)
                .filter(|(_, line)| line.health_check_sent_at.is_none());
            shared
                .min_by_key(|(_, line)| (line.blocked, line.pending_offers.len()))
                .map(|(at, _)| at)
        };
        let at = fresh
            .or_else(|| self.dial(now, now, machine, out))
            .or_else(|| shared(self))?;
        let line = self.upstreams.get_mut(&at)?;
        let looks = line.is_idle() && line.heard_at < self.stalled_at + STALL_RECHECK_TIMEOUT;
        line.pending_offers.push(id);
        line.used_at = now;
        line.unsent_offers.push((id, bytes));
        out.extend(looks.then_some(PoolAction::CheckPeer(at)));
        if line.dialling_since.is_none() && !line.blocked {
            out.push(PoolAction::OfferReady(at, id));
        }
        self.update_idle_index(machine);
        Some(at)
    }

    /// A set-up that is due leaves, unless it was cancelled, or the machine takes no bytes, meanwhile; `true`: it does.
    pub fn send_ready_offer(
        &mut self,
        line: UpstreamId,
        id: RequestId,
        out: &mut Vec<PoolAction>,
    ) -> bool {
        let Some(at) = self
            .upstreams
            .get_mut(&line)
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
        out.push(PoolAction::Offer(line, id, bytes));
        true
    }

    /// The machine takes no bytes now, and none of this set-up left: it waits on.
    pub fn write_blocked(&mut self, line: UpstreamId, id: RequestId, bytes: Vec<u8>) {
        let Some(at) = self.upstreams.get_mut(&line) else {
            return;
        };
        at.blocked = true;
        if at.pending_offers.contains(&id) {
            at.unsent_offers.push((id, bytes));
        }
    }

    /// The machine takes no bytes now, and has only a part of this set-up.
    pub fn partially_written(&mut self, line: UpstreamId, id: RequestId) {
        if let Some(at) = self.upstreams.get_mut(&line) {
            (at.blocked, at.partially_written) = (true, Some(id));
        }
    }

    /// The machine has taken all that waited for it.
    pub fn write_drained(&mut self, line: UpstreamId, out: &mut Vec<PoolAction>) {
        if let Some(at) = self.upstreams.get_mut(&line) {
            (at.blocked, at.partially_written) = (false, None);
            out.extend(
                at.unsent_offers
                    .iter()
                    .map(|(offer, _)| PoolAction::OfferReady(line, *offer)),
            );
        }
    }

    /// A machine is to get nothing more: set-ups for it that have not left are taken back.
    pub fn withdraw_unsent(
        &mut self,
        now: Seconds,
        machine: MachineId,
        out: &mut Vec<PoolAction>,
        news: &mut Vec<PoolEvent>,
    ) {
        let Some(peer) = self.peers.get(&machine) else {
            return;
        };
        for line in peer.upstreams.clone() {
            let Some(at) = self.upstreams.get_mut(&line) else {
                continue;
            };
            let waiting: Vec<RequestId> = std::mem::take(&mut at.unsent_offers)
                .into_iter()
                .map(|(id, _)| id)
                .collect();
            at.pending_offers.retain(|offer| !waiting.contains(offer));
            if at.dialling_since.is_some() && at.pending_offers.is_empty() && !waiting.is_empty() {
                self.half_close(now, line, out);
            }
            news.extend(waiting.into_iter().map(PoolEvent::NeverSent));
        }
        self.update_idle_index(machine);
    }

    /// Tells a machine something about a task that stands there, now or once there is a connection.
    pub fn notify(
        &mut self,
        now: Seconds,
        machine: MachineId,
        bytes: Vec<u8>,
        out: &mut Vec<PoolAction>,
    ) {
        let sound = self
            .upstreams_to(machine)
            .filter(|(_, line)| line.is_healthy());
        let sound = sound
            .max_by(|a, b| a.1.heard_at.total_cmp(&b.1.heard_at))
            .map(|(at, _)| at);
        if let Some((at, line)) = sound.and_then(|at| Some((at, self.upstreams.get_mut(&at)?))) {
            line.used_at = now;
            out.push(PoolAction::Write(at, bytes));
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
    pub fn settle_offer(&mut self, line: UpstreamId, id: RequestId) {
        if let Some(line) = self.upstreams.get_mut(&line) {
            line.pending_offers.retain(|&offer| offer != id);
            let machine = line.machine;
            self.update_idle_index(machine);
        }
    }

    /// Cancels a set-up. With `suspect`, nothing was heard in time: the connection is used no more, and half-closed
    /// unless others are open on it. Tells whether the machine never got it.
    pub fn cancel(
        &mut self,
        now: Seconds,
        line: UpstreamId,
        id: RequestId,
        suspect: bool,
        out: &mut Vec<PoolAction>,
    ) -> bool {
        let Some(at) = self.upstreams.get_mut(&line) else {
            return false;
        };
        at.pending_offers.retain(|&offer| offer != id);
        let waited = at.unsent_offers.iter().any(|(waiting, _)| *waiting == id);
        at.unsent_offers.retain(|(waiting, _)| *waiting != id);
        let machine = at.machine;
        if at.partially_written == Some(id) && at.pending_offers.is_empty() {
            // The rest of it would still leave as soon as the machine reads. What the machine had to say on this
            // connection it says on the next.
            self.remove(line);
            out.push(PoolAction::Close(line));
            return true;
        }
        if !waited {
            out.push(PoolAction::Write(
                line,
                Message::release(id, cause::NORMAL).encode(),
            ));
        }
        if at.pending_offers.is_empty() && (suspect || at.dialling_since.is_some()) {
            self.half_close(now, line, out);
        }
        self.update_idle_index(machine);
        waited
    }
}
