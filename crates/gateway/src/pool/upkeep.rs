//! Connections over time: made, heard, ended, tested, idle; and when a machine has failed.

use super::*;

impl Pool {
    /// A connection is made.
    pub fn opened(&mut self, now: Seconds, id: UpstreamId, out: &mut Vec<PoolAction>) {
        let Some(line) = self.upstreams.get_mut(&id) else {
            return out.push(PoolAction::Close(id));
        };
        (line.dialled, line.heard_at, line.opened_at) = (None, now, now);
        out.extend(
            line.waiting
                .iter()
                .map(|(offer, _)| PoolAction::Due(id, *offer)),
        );
        let machine = line.machine;
        if let Some(peer) = self.peers.get_mut(&machine) {
            (peer.fails, peer.refused, peer.heard_at) = (0, 0, now);
            while let Some(bytes) = peer.queue.pop_front() {
                out.push(PoolAction::Write(id, bytes));
            }
        }
        self.reckon(machine);
    }

    /// Something whole was read.
    pub fn heard(&mut self, now: Seconds, id: UpstreamId) {
        let Some(line) = self.upstreams.get_mut(&id) else {
            return;
        };
        let (machine, tested) = (line.machine, line.tested_at.take());
        line.heard_at = now;
        if let Some(peer) = self.peers.get_mut(&machine) {
            peer.heard_at = now;
        }
        if tested.is_some() {
            self.reckon(machine);
        }
    }

    /// A connection ended, or could not be made.
    pub fn ended(&mut self, now: Seconds, id: UpstreamId, end: End, news: &mut Vec<News>) {
        let unwritten = match end {
            End::Unwritten(offer) => Some(offer),
            End::Refused | End::Other => None,
        };
        if unwritten.is_none() {
            self.half_closed.remove(&id);
        }
        let Some(line) = self.remove(id) else { return };
        let dialling = line.dialled.is_some();
        if unwritten.is_some() {
            // What the machine wrote before it ended the connection may still be there to read.
            self.half_closed.insert(id, (line.machine, now));
        }
        // Only the set-up that could not be written is known not to have left: others on the line had.
        let waited: BTreeSet<Id> = line.waiting.iter().map(|(offer, _)| *offer).collect();
        let never_left = |offer: Id| waited.contains(&offer) || unwritten == Some(Some(offer));
        // That an open connection ended is no proof against its machine, which closes idle ones. Whether it can still be
        // reached the next dial tells.
        let told = |offer: Id| match never_left(offer) {
            true if dialling => News::Unsent(offer),
            true => News::Withdrawn(offer),
            false => News::Broken(offer),
        };
        news.extend(line.offers.into_iter().map(told));
        let heard = |other: &Upstream| other.dialled.is_none() && now - other.heard_at < TEST_AFTER;
        let alive = self.to(line.machine).any(|(_, other)| heard(other));
        let Some(peer) = self.peers.get_mut(&line.machine) else {
            return;
        };
        if dialling {
            peer.fails += 1;
            peer.refused = if end == End::Refused {
                peer.refused + 1
            } else {
                0
            };
            peer.redial_at = now + REDIAL;
            // A machine may refuse because it has too many connections: then it is heard on another.
            if peer.refused >= 2 && !alive && peer.holds > 0 {
                news.push(News::Failed(line.machine));
            }
        }
    }

    /// A connection brought what can't be read: it is of no further use.
    pub fn malformed(
        &mut self,
        now: Seconds,
        id: UpstreamId,
        out: &mut Vec<PoolAction>,
        news: &mut Vec<News>,
    ) {
        if self.upstreams.contains_key(&id) || self.half_closed.contains_key(&id) {
            out.push(PoolAction::Close(id));
            self.ended(now, id, End::Other, news);
        }
    }

    /// Time goes on: dials that take too long, tests, silence, idle connections.
    pub fn tick(&mut self, now: Seconds, out: &mut Vec<PoolAction>, news: &mut Vec<News>) {
        let slow = self.upstreams.iter().filter(|(_, l)| {
            l.dialled
                .is_some_and(|at| now - at > self.times.connect_within)
        });
        let silent = self
            .upstreams
            .iter()
            .filter(|(_, l)| l.tested_at.is_some_and(|at| now - at > TEST_FOR));
        let over: Vec<UpstreamId> = slow.chain(silent).map(|(&id, _)| id).collect();
        for id in over {
            self.malformed(now, id, out, news);
        }
        let idle = |line: &Upstream| line.idle() && now - line.used_at > self.times.spare();
        let idle: Vec<UpstreamId> = self
            .upstreams
            .iter()
            .filter(|(_, line)| idle(line))
            .map(|(&id, _)| id)
            .collect();
        for id in idle {
            // One at a time, as of two idle ones to a machine one may be needed.
            if self
                .upstreams
                .get(&id)
                .is_some_and(|line| matches!(line.rests, Some((Rest::Spare, _))))
            {
                self.half_close(now, id, out);
            }
        }
        let slow = self
            .half_closed
            .iter()
            .filter(|(_, (_, at))| now - at > HALF_CLOSED_FOR);
        let slow: Vec<UpstreamId> = slow.map(|(&id, _)| id).collect();
        for id in slow {
            self.half_closed.remove(&id);
            out.push(PoolAction::Close(id));
        }
        let wanted = |peer: &Peer| peer.holds > 0 || !peer.queue.is_empty();
        let wanted = self.peers.iter().filter(|(_, peer)| wanted(peer));
        let mut wanted: Vec<(Seconds, MachineId)> = wanted
            .map(|(&machine, peer)| (peer.heard_at, machine))
            .collect();
        // Who was heard longest ago comes first: where there is no room for all, the last would never be called.
        wanted.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, machine) in wanted {
            self.keep(now, machine, out, news);
        }
        let listed = |peer: &Peer| !peer.gone && !peer.address.is_empty();
        self.peers
            .retain(|_, peer| listed(peer) || peer.holds > 0 || !peer.upstreams.is_empty());
    }

    /// Keeps one connection to a machine that holds a task of ours, and finds out whether it lives.
    fn keep(
        &mut self,
        now: Seconds,
        machine: MachineId,
        out: &mut Vec<PoolAction>,
        news: &mut Vec<News>,
    ) {
        let dialling = self.to(machine).any(|(_, line)| line.dialled.is_some());
        let Some(peer) = self.peers.get(&machine) else {
            return;
        };
        if peer.holds > 0 && now - peer.heard_at > FAILED_AFTER && peer.fails >= 2 {
            news.push(News::Failed(machine));
            return;
        }
        let (silent_for, redial_at, told) =
            (now - peer.heard_at, peer.redial_at, peer.queue.is_empty());
        let open = || self.to(machine).filter(|(_, line)| line.dialled.is_none());
        let tested = open().any(|(_, line)| line.tested_at.is_some());
        let newest = open()
            .max_by(|a, b| a.1.heard_at.total_cmp(&b.1.heard_at))
            .map(|(id, _)| id);
        // Where there is no room for all, those without a connection take turns.
        let waits = self.short() && silent_for < VISIT && told;
        let suspect = newest.is_none() && !waits || silent_for > TEST_AFTER + TEST_FOR;
        let silent = newest.filter(|_| !tested && silent_for > TEST_AFTER);
        if let Some((id, line)) = silent.and_then(|id| Some((id, self.upstreams.get_mut(&id)?))) {
            line.tested_at = Some(now);
            let test = Message::new(Kind::Test, Id(0)).with(code::CAUSE, &[0]);
            out.push(PoolAction::Write(id, test.bytes()));
            self.reckon(machine);
        }
        if suspect
            && !dialling
            && now >= redial_at
            && self.dial(now, now - KEPT, machine, out).is_none()
            && let Some(peer) = self
                .peers
                .get_mut(&machine)
                .filter(|peer| peer.address.is_empty())
        {
            // Nobody knows where it could be heard. That there is no room is not its fault, and proves nothing.
            (peer.fails, peer.redial_at) = (peer.fails + 1, now + REDIAL);
        }
    }
}
