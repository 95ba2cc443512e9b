//! Table of the releases that their machines are not known to have received.

use super::HEALTH_CHECK_INTERVAL;
use crate::UpstreamId;
use crate::message::RequestId;
use std::collections::BTreeMap;
use tidespur_policy::interface::{MachineId, Seconds};

/// Releases to all machines that are kept; a further one is sent once, and not kept.
const MAX_PENDING_RELEASES: usize = 8_192;
/// A release that a machine has not received after this time is given up. A machine that was out of reach for longer
/// has failed: its tasks were reported as lost.
const RELEASE_RETRY_TIMEOUT: Seconds = 60.0;

/// How far a release got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Delivery {
    /// Waits for a connection.
    Queued,
    /// Was written to this connection; `health_check` is the number of the first health check after it.
    Sent {
        upstream: UpstreamId,
        health_check: Option<u64>,
    },
}

#[derive(Clone, Copy, Debug)]
pub(super) struct PendingRelease {
    pub(super) cause: u8,
    pub(super) requested_at: Seconds,
    pub(super) delivery: Delivery,
}

impl PendingRelease {
    fn is_sent_on(&self, connection: UpstreamId) -> bool {
        matches!(self.delivery, Delivery::Sent { upstream, .. } if upstream == connection)
    }
}

/// The releases that are kept, by machine, and how many were given up.
#[derive(Debug, Default)]
pub(super) struct PendingReleases {
    releases: BTreeMap<(MachineId, RequestId), PendingRelease>,
    /// Number of releases given up since the last report, by machine.
    given_up: BTreeMap<MachineId, u64>,
}

impl PendingReleases {
    /// Keeps a release in place of an earlier one with its id; gives it up if too many are kept.
    pub(super) fn insert(&mut self, machine: MachineId, id: RequestId, release: PendingRelease) {
        if self.releases.len() >= MAX_PENDING_RELEASES
            && !self.releases.contains_key(&(machine, id))
        {
            *self.given_up.entry(machine).or_default() += 1;
            return;
        }
        self.releases.insert((machine, id), release);
    }

    /// Drops a release that its machine needs no more.
    pub(super) fn remove(&mut self, machine: MachineId, id: RequestId) {
        self.releases.remove(&(machine, id));
    }

    /// When a release that is kept was requested first.
    pub(super) fn requested_at(&self, machine: MachineId, id: RequestId) -> Option<Seconds> {
        self.releases
            .get(&(machine, id))
            .map(|release| release.requested_at)
    }

    fn of_machine(
        &mut self,
        machine: MachineId,
    ) -> impl Iterator<Item = (RequestId, &mut PendingRelease)> {
        self.releases
            .range_mut((machine, RequestId(0))..=(machine, RequestId(u64::MAX)))
            .map(|(&(_, id), release)| (id, release))
    }

    /// Id and cause of the releases to this machine that wait for a connection.
    pub(super) fn queued(&mut self, machine: MachineId) -> Vec<(RequestId, u8)> {
        self.of_machine(machine)
            .filter(|(_, release)| release.delivery == Delivery::Queued)
            .map(|(id, release)| (id, release.cause))
            .collect()
    }

    /// Whether a release to this machine waits for a connection.
    pub(super) fn has_queued(&self, machine: MachineId) -> bool {
        self.releases
            .range((machine, RequestId(0))..=(machine, RequestId(u64::MAX)))
            .any(|(_, release)| release.delivery == Delivery::Queued)
    }

    /// Queues the releases again that were written to a connection which has ended.
    pub(super) fn connection_ended(&mut self, machine: MachineId, upstream: UpstreamId) {
        for (_, release) in self.of_machine(machine) {
            if release.is_sent_on(upstream) {
                release.delivery = Delivery::Queued;
            }
        }
    }

    /// Records that a health check of this number was sent, after all releases on the connection.
    pub(super) fn health_check_sent(
        &mut self,
        machine: MachineId,
        connection: UpstreamId,
        number: u64,
    ) {
        for (_, release) in self.of_machine(machine) {
            if let Delivery::Sent {
                upstream,
                health_check,
            } = &mut release.delivery
                && *upstream == connection
            {
                health_check.get_or_insert(number);
            }
        }
    }

    /// Removes the releases that were sent before the health check of this number, which was answered.
    pub(super) fn health_check_answered(
        &mut self,
        machine: MachineId,
        connection: UpstreamId,
        number: u64,
    ) {
        let received: Vec<RequestId> = self
            .of_machine(machine)
            .filter(|(_, release)| {
                matches!(release.delivery, Delivery::Sent { upstream, health_check: Some(check) }
                    if upstream == connection && check <= number)
            })
            .map(|(id, _)| id)
            .collect();
        for id in received {
            self.remove(machine, id);
        }
    }

    /// Makes the releases to a machine those to another one, which has its address.
    pub(super) fn move_to(&mut self, machine: MachineId, successor: MachineId) {
        let moved: Vec<(RequestId, PendingRelease)> = self
            .of_machine(machine)
            .map(|(id, release)| (id, *release))
            .collect();
        for (id, release) in moved {
            self.remove(machine, id);
            self.insert(successor, id, release);
        }
    }

    /// Drops the releases to machines that are gone.
    pub(super) fn retain_machines(&mut self, is_known: impl Fn(MachineId) -> bool) {
        self.releases.retain(|&(machine, _), _| is_known(machine));
    }

    /// The numbers of releases that were given up since the last call, by machine.
    pub(super) fn take_given_up(&mut self) -> BTreeMap<MachineId, u64> {
        std::mem::take(&mut self.given_up)
    }

    /// Gives up the releases that were requested too long ago.
    pub(super) fn give_up_expired(&mut self, now: Seconds) {
        let given_up = &mut self.given_up;
        self.releases.retain(|&(machine, _), release| {
            let is_expired = now - release.requested_at > RELEASE_RETRY_TIMEOUT;
            if is_expired {
                *given_up.entry(machine).or_default() += 1;
            }
            !is_expired
        });
    }

    /// Connections with a release that is due for a health check.
    pub(super) fn unchecked_connections(&self, now: Seconds) -> Vec<(MachineId, UpstreamId)> {
        let mut connections: Vec<(MachineId, UpstreamId)> = self
            .releases
            .iter()
            .filter(|(_, release)| now - release.requested_at > HEALTH_CHECK_INTERVAL)
            .filter_map(|(&(machine, _), release)| match release.delivery {
                Delivery::Sent {
                    upstream,
                    health_check: None,
                } => Some((machine, upstream)),
                _ => None,
            })
            .collect();
        connections.dedup();
        connections
    }
}
