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
        let fresh = self
            .to(machine)
            .filter(|(_, line)| line.idle() && line.sound() && !line.blocked);
        let fresh = fresh.filter(|(_, line)| now - line.heard_at < self.times.fresh());
        let fresh = fresh
            .max_by(|a, b| a.1.heard_at.total_cmp(&b.1.heard_at))
            .map(|(at, _)| at);
        // Where there is no room for another connection, the one with the least on it is shared.
        let shared = |lines: &Self| {
            let shared = lines
                .to(machine)
                .filter(|(_, line)| line.tested_at.is_none());
            shared
                .min_by_key(|(_, line)| (line.blocked, line.offers.len()))
                .map(|(at, _)| at)
        };
        let at = fresh
            .or_else(|| self.dial(now, now, machine, out))
            .or_else(|| shared(self))?;
        let line = self.upstreams.get_mut(&at)?;
        let looks = line.idle() && line.heard_at < self.stalled_at + HEARD_LATE;
        line.offers.push(id);
        line.used_at = now;
        line.waiting.push((id, bytes));
        out.extend(looks.then_some(PoolAction::Look(at)));
        if line.dialled.is_none() && !line.blocked {
            out.push(PoolAction::Due(at, id));
        }
        self.reckon(machine);
        Some(at)
    }

    /// A set-up that is due leaves, unless it was cancelled, or the machine takes no bytes, meanwhile; `true`: it does.
    pub fn leaves(&mut self, line: UpstreamId, id: Id, out: &mut Vec<PoolAction>) -> bool {
        let Some(at) = self
            .upstreams
            .get_mut(&line)
            .filter(|at| at.dialled.is_none() && !at.blocked)
        else {
            return false;
        };
        let Some(n) = at.waiting.iter().position(|(waiting, _)| *waiting == id) else {
            return false;
        };
        let (_, bytes) = at.waiting.remove(n);
        out.push(PoolAction::Offer(line, id, bytes));
        true
    }

    /// The machine takes no bytes now, and none of this set-up left: it waits on.
    pub fn full(&mut self, line: UpstreamId, id: Id, bytes: Vec<u8>) {
        let Some(at) = self.upstreams.get_mut(&line) else {
            return;
        };
        at.blocked = true;
        if at.offers.contains(&id) {
            at.waiting.push((id, bytes));
        }
    }

    /// The machine takes no bytes now, and has only a part of this set-up.
    pub fn part(&mut self, line: UpstreamId, id: Id) {
        if let Some(at) = self.upstreams.get_mut(&line) {
            (at.blocked, at.part) = (true, Some(id));
        }
    }

    /// The machine has taken all that waited for it.
    pub fn drained(&mut self, line: UpstreamId, out: &mut Vec<PoolAction>) {
        if let Some(at) = self.upstreams.get_mut(&line) {
            (at.blocked, at.part) = (false, None);
            out.extend(
                at.waiting
                    .iter()
                    .map(|(offer, _)| PoolAction::Due(line, *offer)),
            );
        }
    }

    /// A machine is to get nothing more: set-ups for it that have not left are taken back.
    pub fn withdraw(
        &mut self,
        now: Seconds,
        machine: MachineId,
        out: &mut Vec<PoolAction>,
        news: &mut Vec<News>,
    ) {
        let Some(peer) = self.peers.get(&machine) else {
            return;
        };
        for line in peer.upstreams.clone() {
            let Some(at) = self.upstreams.get_mut(&line) else {
                continue;
            };
            let waiting: Vec<Id> = std::mem::take(&mut at.waiting)
                .into_iter()
                .map(|(id, _)| id)
                .collect();
            at.offers.retain(|offer| !waiting.contains(offer));
            if at.dialled.is_some() && at.offers.is_empty() && !waiting.is_empty() {
                self.half_close(now, line, out);
            }
            news.extend(waiting.into_iter().map(News::Withdrawn));
        }
        self.reckon(machine);
    }

    /// Tells a machine something about a task that stands there, now or once there is a connection.
    pub fn tell(
        &mut self,
        now: Seconds,
        machine: MachineId,
        bytes: Vec<u8>,
        out: &mut Vec<PoolAction>,
    ) {
        let sound = self.to(machine).filter(|(_, line)| line.sound());
        let sound = sound
            .max_by(|a, b| a.1.heard_at.total_cmp(&b.1.heard_at))
            .map(|(at, _)| at);
        if let Some((at, line)) = sound.and_then(|at| Some((at, self.upstreams.get_mut(&at)?))) {
            line.used_at = now;
            out.push(PoolAction::Write(at, bytes));
            return self.reckon(machine);
        }
        let Some(peer) = self.peers.get_mut(&machine) else {
            return;
        };
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

    /// Cancels a set-up. With `suspect`, nothing was heard in time: the connection is used no more, and half-closed
    /// unless others are open on it. Tells whether the machine never got it.
    pub fn cancel(
        &mut self,
        now: Seconds,
        line: UpstreamId,
        id: Id,
        suspect: bool,
        out: &mut Vec<PoolAction>,
    ) -> bool {
        let Some(at) = self.upstreams.get_mut(&line) else {
            return false;
        };
        at.offers.retain(|&offer| offer != id);
        let waited = at.waiting.iter().any(|(waiting, _)| *waiting == id);
        at.waiting.retain(|(waiting, _)| *waiting != id);
        let machine = at.machine;
        if at.part == Some(id) && at.offers.is_empty() {
            // The rest of it would still leave as soon as the machine reads. What the machine had to say on this
            // connection it says on the next.
            self.remove(line);
            out.push(PoolAction::Close(line));
            return true;
        }
        if !waited {
            out.push(PoolAction::Write(
                line,
                Message::release(id, cause::NORMAL).bytes(),
            ));
        }
        if at.offers.is_empty() && (suspect || at.dialled.is_some()) {
            self.half_close(now, line, out);
        }
        self.reckon(machine);
        waited
    }
}
