//! Releases that machines have to receive: the ends of placed tasks, and the cancels of offers that were sent.
//!
//! A write succeeds once the system has taken its bytes, and a connection that ends later may lose them. The task would
//! run on, unknown to its owner. So a release is kept until the machine is known to have received it: it released the
//! task itself, or it answered a health check that was sent after the release on the same connection. If the connection
//! ends before that, the release is sent again on another one.

use super::release_table::{Delivery, PendingRelease};
use super::{Pool, PoolAction, PoolEvent};
use crate::UpstreamId;
use crate::message::{Message, RequestId};
use tidespur_policy::interface::{MachineId, Seconds};

impl Pool {
    /// Releases a placed task at its machine; queues the release if there is no connection.
    pub fn release(
        &mut self,
        now: Seconds,
        machine: MachineId,
        id: RequestId,
        cause: u8,
        actions: &mut Vec<PoolAction>,
    ) {
        if !self.peers.contains_key(&machine) {
            return;
        }
        if let Some(upstream) = self.connection_for_releases(machine) {
            return self.write_release(now, upstream, id, cause, actions);
        }
        let release = PendingRelease {
            cause,
            requested_at: now,
            delivery: Delivery::Queued,
        };
        self.releases.insert(machine, id, release);
    }

    /// The healthy connection to a machine with the most recent message.
    fn connection_for_releases(&self, machine: MachineId) -> Option<UpstreamId> {
        self.upstreams_to(machine)
            .filter(|(_, upstream)| upstream.is_healthy())
            .max_by(|a, b| a.1.last_received_at.total_cmp(&b.1.last_received_at))
            .map(|(id, _)| id)
    }

    /// Writes a release to a connection, and keeps it until the machine has received it.
    pub(super) fn write_release(
        &mut self,
        now: Seconds,
        upstream: UpstreamId,
        id: RequestId,
        cause: u8,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(connection) = self.upstreams.get_mut(&upstream) else {
            return;
        };
        connection.last_used_at = now;
        let machine = connection.machine;
        let requested_at = self.releases.requested_at(machine, id).unwrap_or(now);
        let release = PendingRelease {
            cause,
            requested_at,
            delivery: Delivery::Sent {
                upstream,
                health_check: None,
            },
        };
        self.releases.insert(machine, id, release);
        let message = Message::release(id, cause);
        actions.push(PoolAction::Write(upstream, message.encode()));
        self.update_idle_index(machine);
    }

    /// Sends the queued releases to a machine, if there is a connection for them.
    pub(super) fn send_queued_releases(
        &mut self,
        now: Seconds,
        machine: MachineId,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(upstream) = self.connection_for_releases(machine) else {
            return;
        };
        for (id, cause) in self.releases.queued(machine) {
            self.write_release(now, upstream, id, cause, actions);
        }
    }

    /// Records that a machine has released a task itself, so that it needs no release.
    pub fn task_released(&mut self, upstream: UpstreamId, id: RequestId) {
        if let Some(machine) = self.machine(upstream) {
            self.releases.remove(machine, id);
        }
    }

    /// Records the answer to a health check: the machine has received all that was sent before it.
    pub fn health_check_answered(&mut self, upstream: UpstreamId) {
        let Some(connection) = self.upstreams.get_mut(&upstream) else {
            return;
        };
        if connection.health_checks_answered == connection.health_checks_sent {
            return;
        }
        connection.health_checks_answered += 1;
        let number = connection.health_checks_answered;
        let machine = connection.machine;
        self.releases
            .health_check_answered(machine, upstream, number);
    }

    /// Checks the connections on which a release is not known to be received, and gives up the releases that are too
    /// old.
    pub(super) fn maintain_releases(
        &mut self,
        now: Seconds,
        actions: &mut Vec<PoolAction>,
        events: &mut Vec<PoolEvent>,
    ) {
        self.releases.give_up_expired(now);
        for (machine, count) in self.releases.take_given_up() {
            events.push(PoolEvent::ReleasesGivenUp(machine, count));
        }
        for (machine, upstream) in self.releases.unchecked_connections(now) {
            self.verify(now, machine, upstream, actions);
        }
    }
}
