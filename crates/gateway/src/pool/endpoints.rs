//! Machines of the pool, from the endpoint list and from adopted tasks.

use super::{MAX_UNLISTED_MACHINES, Peer, Pool};
use std::collections::BTreeSet;
use tidespur_policy::interface::{MachineId, Seconds};

impl Pool {
    /// Adds or updates a listed machine. After all endpoints of a watch event, [`Pool::replace_machines`] has to be
    /// called.
    pub fn endpoint_listed(
        &mut self,
        now: Seconds,
        machine: MachineId,
        address: &str,
        is_gone: bool,
    ) {
        let peer = self.peers.entry(machine).or_insert_with(|| Peer {
            last_received_at: now,
            ..Peer::default()
        });
        // A gone machine whose address another machine took over doesn't get it back, as the other may listen there.
        let is_replaced = is_gone && peer.address.is_empty();
        if !address.is_empty() && !is_replaced {
            // Ends on connections to the address were ignored before it was known to be the machine's.
            if peer.placed_tasks > 0 && peer.address != address {
                peer.message_lost_at = Some(now);
            }
            peer.address = address.to_owned();
        }
        peer.is_gone = is_gone;
    }

    /// Marks the machines as gone that a complete list doesn't contain, and returns them.
    pub fn mark_unlisted_gone(&mut self, listed: &BTreeSet<MachineId>) -> Vec<MachineId> {
        let unlisted = self
            .peers
            .iter_mut()
            .filter(|(machine, peer)| !listed.contains(machine) && !peer.is_gone);
        unlisted
            .map(|(&machine, peer)| {
                peer.is_gone = true;
                machine
            })
            .collect()
    }

    /// Counts a task placed on a machine. The first one resets the machine's failure detection.
    pub fn task_placed(&mut self, now: Seconds, machine: MachineId) {
        let Some(peer) = self.peers.get_mut(&machine) else {
            return;
        };
        if peer.placed_tasks == 0 {
            peer.last_received_at = now;
            peer.consecutive_failures = 0;
            peer.consecutive_refusals = 0;
        }
        peer.placed_tasks += 1;
        if peer.placed_tasks == 1 {
            self.update_idle_index(machine);
        }
    }

    /// Counts the end of a task placed on a machine.
    pub fn task_ended(&mut self, machine: MachineId) {
        let Some(peer) = self.peers.get_mut(&machine) else {
            return;
        };
        peer.placed_tasks = peer.placed_tasks.saturating_sub(1);
        if peer.placed_tasks <= 1 {
            self.update_idle_index(machine);
        }
    }

    /// Whether the pool has an entry for a machine, listed or not.
    pub fn contains(&self, machine: MachineId) -> bool {
        self.peers.contains_key(&machine)
    }

    /// Adds the machine of an adopted task, which may be listed only later. Returns false if there are too many
    /// unlisted machines.
    pub fn add_unlisted_machine(&mut self, now: Seconds, machine: MachineId) -> bool {
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
                last_received_at: now,
                ..Peer::default()
            },
        );
        true
    }

    /// Number of machines in the pool, listed or not.
    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }
}
