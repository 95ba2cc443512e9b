//! What the discovery stream and the tasks in place tell of machines.

use super::{MAX_UNLISTED_MACHINES, Peer, Pool, PoolEvent};
use std::collections::BTreeSet;
use tidespur_policy::interface::{MachineId, Seconds};

impl Pool {
    /// The list tells of a machine. Once all that is told at a time was told, [`Pool::fail_replaced_machines`] follows.
    pub fn endpoint_listed(&mut self, now: Seconds, machine: MachineId, address: &str, gone: bool) {
        let peer = self.peers.entry(machine).or_insert_with(|| Peer {
            heard_at: now,
            ..Peer::default()
        });
        // One that was forgotten gets no address back: another may listen there.
        let forgotten = gone && peer.address.is_empty();
        if !address.is_empty() && !forgotten {
            peer.address = address.to_owned();
        }
        peer.is_gone = gone;
    }

    /// A machine that has gone and at whose address another listens now is no more.
    pub fn fail_replaced_machines(&mut self, events: &mut Vec<PoolEvent>) {
        let (gone, here): (Vec<_>, Vec<_>) = self.peers.iter().partition(|(_, peer)| peer.is_gone);
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
                if peer.placed_tasks > 0 {
                    events.push(PoolEvent::MachineFailed(id));
                }
            }
        }
    }

    /// The whole list was told: who is not in it has gone. Tells who that is.
    pub fn mark_unlisted_gone(&mut self, listed: &BTreeSet<MachineId>) -> Vec<MachineId> {
        let away = self
            .peers
            .iter_mut()
            .filter(|(machine, peer)| !listed.contains(machine) && !peer.is_gone);
        away.map(|(&machine, peer)| {
            peer.is_gone = true;
            machine
        })
        .collect()
    }

    /// Tasks of ours that stand at a machine came or went.
    pub fn count_placed(&mut self, now: Seconds, machine: MachineId, more: bool) {
        let Some(peer) = self.peers.get_mut(&machine) else {
            return;
        };
        if more {
            if peer.placed_tasks == 0 {
                (
                    peer.heard_at,
                    peer.consecutive_failures,
                    peer.consecutive_refusals,
                ) = (now, 0, 0);
            }
            peer.placed_tasks += 1;
        } else {
            peer.placed_tasks = peer.placed_tasks.saturating_sub(1);
        }
        if peer.placed_tasks <= 1 {
            self.update_idle_index(machine);
        }
    }

    /// Whether a machine is listed, or something of it is still here.
    pub fn knows(&self, machine: MachineId) -> bool {
        self.peers.contains_key(&machine)
    }

    /// A task was handed over that stands at a machine which the list may tell of only later; `false`: too many such.
    pub fn expect_machine(&mut self, now: Seconds, machine: MachineId) -> bool {
        if self.peers.contains_key(&machine) {
            return true;
        }
        if self
            .peers
            .values()
            .filter(|peer| peer.address.is_empty())
            .count()
            >= MAX_UNLISTED_MACHINES
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
    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }
}
