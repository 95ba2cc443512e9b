//! What the discovery stream and the tasks in place tell of machines.

use super::*;

impl Pool {
    /// The list tells of a machine. Once all that is told at a time was told, [`Pool::taken_over`] follows.
    pub fn listed(&mut self, now: Seconds, machine: MachineId, address: &str, gone: bool) {
        let peer = self.peers.entry(machine).or_insert_with(|| Peer {
            heard_at: now,
            ..Peer::default()
        });
        // One that was forgotten gets no address back: another may listen there.
        let forgotten = gone && peer.address.is_empty();
        if !address.is_empty() && !forgotten {
            peer.address = address.to_owned();
        }
        peer.gone = gone;
    }

    /// A machine that has gone and at whose address another listens now is no more.
    pub fn taken_over(&mut self, news: &mut Vec<News>) {
        let (gone, here): (Vec<_>, Vec<_>) = self.peers.iter().partition(|(_, peer)| peer.gone);
        let here: BTreeSet<&str> = here
            .into_iter()
            .map(|(_, peer)| peer.address.as_str())
            .collect();
        let over = gone
            .into_iter()
            .filter(|(_, peer)| !peer.address.is_empty());
        let over: Vec<MachineId> = over
            .filter(|(_, peer)| here.contains(peer.address.as_str()))
            .map(|(&id, _)| id)
            .collect();
        for id in over {
            if let Some(peer) = self.peers.get_mut(&id) {
                peer.address.clear();
                if peer.holds > 0 {
                    news.push(News::Failed(id));
                }
            }
        }
    }

    /// The whole list was told: who is not in it has gone. Tells who that is.
    pub fn only(&mut self, listed: &BTreeSet<MachineId>) -> Vec<MachineId> {
        let away = self
            .peers
            .iter_mut()
            .filter(|(machine, peer)| !listed.contains(machine) && !peer.gone);
        away.map(|(&machine, peer)| {
            peer.gone = true;
            machine
        })
        .collect()
    }

    /// Tasks of ours that stand at a machine came or went.
    pub fn hold(&mut self, now: Seconds, machine: MachineId, more: bool) {
        let Some(peer) = self.peers.get_mut(&machine) else {
            return;
        };
        if more {
            if peer.holds == 0 {
                (peer.heard_at, peer.fails, peer.refused) = (now, 0, 0);
            }
            peer.holds += 1;
        } else {
            peer.holds = peer.holds.saturating_sub(1);
        }
        if peer.holds <= 1 {
            self.reckon(machine);
        }
    }

    /// Whether a machine is listed, or something of it is still here.
    pub fn knows(&self, machine: MachineId) -> bool {
        self.peers.contains_key(&machine)
    }

    /// A task was handed over that stands at a machine which the list may tell of only later; `false`: too many such.
    pub fn expect(&mut self, now: Seconds, machine: MachineId) -> bool {
        if self.peers.contains_key(&machine) {
            return true;
        }
        if self
            .peers
            .values()
            .filter(|peer| peer.address.is_empty())
            .count()
            >= UNLISTED_MOST
        {
            return false;
        }
        self.peers.insert(
            machine,
            Peer {
                heard_at: now,
                ..Peer::default()
            },
        );
        true
    }

    /// Machines that are known.
    pub fn peers(&self) -> usize {
        self.peers.len()
    }
}
