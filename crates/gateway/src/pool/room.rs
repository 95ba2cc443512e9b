//! Room for connections: which one gives way, and how a connection begins and is half-closed.

use super::*;

impl Pool {
    /// Whether a connection has to give way before another can be dialled.
    pub(super) fn short(&self) -> bool {
        self.upstreams.len() + HALF_CLOSED_MOST.min(self.most / 4) >= self.most
    }

    /// Makes room for one more connection; one that is kept gives way if it came up by `kept`.
    pub(super) fn make_room(
        &mut self,
        now: Seconds,
        kept: Seconds,
        out: &mut Vec<PoolAction>,
    ) -> bool {
        if self.short() {
            let gives = |&&(rest, at, _): &&(Rest, u64, UpstreamId)| {
                rest == Rest::Spare || at <= micros(kept)
            };
            let Some(&(.., id)) = self.idle.first().filter(gives) else {
                return self.count() < self.most;
            };
            self.half_close(now, id, out);
        }
        while self.count() >= self.most {
            // The one that was half-closed first: an end on its way there has had most time.
            let first = self
                .half_closed
                .iter()
                .min_by(|a, b| a.1.1.total_cmp(&b.1.1))
                .map(|(&id, _)| id);
            let Some(id) = first else { return false };
            self.half_closed.remove(&id);
            out.push(PoolAction::Close(id));
        }
        true
    }

    pub(super) fn dial(
        &mut self,
        now: Seconds,
        kept: Seconds,
        machine: MachineId,
        out: &mut Vec<PoolAction>,
    ) -> Option<UpstreamId> {
        let address = self
            .peers
            .get(&machine)
            .map(|peer| peer.address.clone())
            .filter(|a| !a.is_empty())?;
        if !self.make_room(now, kept, out) {
            return None;
        }
        self.next += 1;
        let line = UpstreamId(self.next);
        out.push(PoolAction::Dial(line, address));
        let made = Upstream {
            machine,
            dialled: Some(now),
            offers: Vec::new(),
            waiting: Vec::new(),
            blocked: false,
            part: None,
            heard_at: now,
            used_at: now,
            tested_at: None,
            opened_at: now,
            rests: None,
        };
        self.upstreams.insert(line, made);
        self.peers.get_mut(&machine)?.upstreams.insert(line);
        Some(line)
    }

    /// Ends a connection that is not needed any more, without losing what is on its way here.
    pub(super) fn half_close(&mut self, now: Seconds, id: UpstreamId, out: &mut Vec<PoolAction>) {
        let Some(line) = self.remove(id) else { return };
        if line.dialled.is_some() {
            return out.push(PoolAction::Close(id));
        }
        self.half_closed.insert(id, (line.machine, now));
        out.push(PoolAction::HalfClose(id));
    }

    /// Takes a connection out.
    pub(super) fn remove(&mut self, id: UpstreamId) -> Option<Upstream> {
        let line = self.upstreams.remove(&id)?;
        line.rests
            .map(|(rest, at)| self.idle.remove(&(rest, at, id)));
        if let Some(peer) = self.peers.get_mut(&line.machine) {
            peer.upstreams.remove(&id);
        }
        self.reckon(line.machine);
        Some(line)
    }

    /// Finds out anew how the connections to a machine rest. Follows whatever may have changed that.
    pub(super) fn reckon(&mut self, machine: MachineId) {
        let Some(peer) = self.peers.get(&machine) else {
            return;
        };
        let sound = |upstreams: &BTreeMap<UpstreamId, Upstream>, id| {
            upstreams.get(id).is_some_and(Upstream::sound)
        };
        let all = peer
            .upstreams
            .iter()
            .filter(|id| sound(&self.upstreams, id))
            .count();
        for &id in &peer.upstreams {
            let Some(line) = self.upstreams.get_mut(&id) else {
                continue;
            };
            let needed = peer.holds > 0 && all - usize::from(line.sound()) == 0;
            let rests = match needed {
                _ if !line.idle() => None,
                false => Some((Rest::Spare, micros(line.used_at))),
                true => Some((Rest::Kept, micros(line.opened_at))),
            };
            if rests != line.rests {
                line.rests
                    .map(|(rest, at)| self.idle.remove(&(rest, at, id)));
                self.idle.extend(rests.map(|(rest, at)| (rest, at, id)));
                line.rests = rests;
            }
        }
    }
}
