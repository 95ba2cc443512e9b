//! Machines whose address now belongs to another machine, their successor.
//!
//! Called for each event of the endpoint list, which lags behind: until it names the successor, connections to the
//! address are dialled under the id of the machine that is gone. That machine's own connections were reset, or stay
//! silent; so a connection to its address that still works leads to the successor.

use super::{Pool, PoolAction, PoolEvent};
use crate::UpstreamId;
use crate::message::RequestId;
use std::collections::BTreeMap;
use tidespur_policy::interface::{MachineId, Seconds};

impl Pool {
    /// Finds each machine that is gone and whose address another machine has, reports it as replaced, and makes its
    /// connections those of the successor.
    pub fn replace_machines(
        &mut self,
        now: Seconds,
        actions: &mut Vec<PoolAction>,
        events: &mut Vec<PoolEvent>,
    ) {
        for (machine, successor) in self.replaced_machines() {
            if let Some(peer) = self.peers.get_mut(&machine) {
                peer.address.clear();
            }
            let offers = self.rebind_connections(now, machine, successor, actions);
            events.push(PoolEvent::MachineReplaced {
                machine,
                successor,
                offers,
            });
        }
    }

    /// Machines that are gone and whose address a machine that is not gone has, each with that machine.
    fn replaced_machines(&self) -> Vec<(MachineId, MachineId)> {
        let has_address = |&(_, peer): &(&MachineId, &super::Peer)| !peer.address.is_empty();
        let (gone, present): (Vec<_>, Vec<_>) = self
            .peers
            .iter()
            .filter(has_address)
            .partition(|(_, peer)| peer.is_gone);
        if gone.is_empty() {
            return Vec::new();
        }
        let machine_at: BTreeMap<&str, MachineId> = present
            .into_iter()
            .map(|(&machine, peer)| (peer.address.as_str(), machine))
            .collect();
        gone.into_iter()
            .filter_map(|(&machine, peer)| Some((machine, *machine_at.get(peer.address.as_str())?)))
            .collect()
    }

    /// Makes all connections to a machine those of its successor, and returns the offers that are pending on them. Each
    /// open one gets a health check: a connection of the machine that is gone doesn't answer it, carries no offers until
    /// then, and is closed.
    fn rebind_connections(
        &mut self,
        now: Seconds,
        machine: MachineId,
        successor: MachineId,
        actions: &mut Vec<PoolAction>,
    ) -> Vec<RequestId> {
        for half_closed in self.half_closed.values_mut() {
            if half_closed.machine == machine {
                half_closed.machine = successor;
            }
        }
        let Some(peer) = self.peers.get_mut(&machine) else {
            return Vec::new();
        };
        let rebound = std::mem::take(&mut peer.upstreams);
        self.releases.move_to(machine, successor);
        let mut offers = Vec::new();
        for &id in &rebound {
            let Some(upstream) = self.upstreams.get_mut(&id) else {
                continue;
            };
            upstream.machine = successor;
            offers.extend(&upstream.pending_offers);
        }
        if let Some(peer) = self.peers.get_mut(&successor) {
            peer.upstreams.extend(&rebound);
        }
        for &id in &rebound {
            self.verify(now, successor, id, actions);
        }
        self.update_idle_index(successor);
        offers
    }

    /// Sends a health check on an open connection, unless one is unanswered.
    pub(super) fn verify(
        &mut self,
        now: Seconds,
        machine: MachineId,
        id: UpstreamId,
        actions: &mut Vec<PoolAction>,
    ) {
        if self
            .upstreams
            .get(&id)
            .is_some_and(super::Upstream::is_healthy)
        {
            self.send_health_check(now, machine, id, actions);
        }
    }
}
