//! Set-ups on their way to a machine: which connection carries one, and when it may leave.

use super::*;

impl Pool {
    /// Sends a set-up to a machine; `None`: there is no way to it, and nothing left.
    pub fn offer(
        &mut self,
        now: Seconds,
        machine: MachineId,
        id: Id,
        bytes: Vec<u8>,
        out: &mut Vec<PoolAction>,
    ) -> Option<UpstreamId> {
        let fresh = self.to(machine).filter(|(_, line)| line.idle() && line.sound());
        let fresh = fresh.filter(|(_, line)| now - line.heard_at < FRESH);
        let fresh = fresh.max_by(|a, b| a.1.heard_at.total_cmp(&b.1.heard_at)).map(|(at, _)| at);
        // Where there is no room for another connection, the one with the least on it is shared.
        let shared = |lines: &Self| {
            let shared = lines.to(machine).filter(|(_, line)| line.tested_at.is_none());
            shared.min_by_key(|(_, line)| line.offers.len()).map(|(at, _)| at)
        };
        let at = fresh.or_else(|| self.dial(now, now, machine, out)).or_else(|| shared(self))?;
        let line = self.upstreams.get_mut(&at)?;
        line.offers.push(id);
        line.used_at = now;
        if line.dialled.is_some() {
            line.waiting.push((id, bytes));
        } else {
            out.push(PoolAction::Offer(at, id, bytes));
        }
        self.reckon(machine);
        Some(at)
    }

    /// Tells a machine something about a task that stands there, now or once there is a connection.
    pub fn tell(&mut self, now: Seconds, machine: MachineId, bytes: Vec<u8>, out: &mut Vec<PoolAction>) {
        let sound = self.to(machine).filter(|(_, line)| line.sound());
        let sound = sound.max_by(|a, b| a.1.heard_at.total_cmp(&b.1.heard_at)).map(|(at, _)| at);
        if let Some((at, line)) = sound.and_then(|at| Some((at, self.upstreams.get_mut(&at)?))) {
            line.used_at = now;
            out.push(PoolAction::Write(at, bytes));
            return self.reckon(machine);
        }
        let Some(peer) = self.peers.get_mut(&machine) else { return };
        if peer.queue.len() >= QUEUE_MOST {
            peer.queue.pop_front();
        }
        peer.queue.push_back(bytes);
    }

    /// A set-up has had its answer: its connection is free for another.
    pub fn settled(&mut self, line: UpstreamId, id: Id) {
        if let Some(line) = self.upstreams.get_mut(&line) {
            line.offers.retain(|&offer| offer != id);
            let machine = line.machine;
            self.reckon(machine);
        }
    }

    /// Gives a set-up up. With `suspect`, nothing was heard in time: the connection is used no more, and closed
    /// unless others are open on it.
    pub fn cancel(
        &mut self,
        now: Seconds,
        line: UpstreamId,
        id: Id,
        suspect: bool,
        out: &mut Vec<PoolAction>,
    ) {
        let Some(at) = self.upstreams.get_mut(&line) else { return };
        at.offers.retain(|&offer| offer != id);
        at.waiting.retain(|(waiting, _)| *waiting != id);
        if at.dialled.is_none() {
            out.push(PoolAction::Write(line, Message::release(id, cause::NORMAL).bytes()));
        }
        let machine = at.machine;
        if at.offers.is_empty() && (suspect || at.dialled.is_some()) {
            self.half_close(now, line, out);
        }
        self.reckon(machine);
    }
}
