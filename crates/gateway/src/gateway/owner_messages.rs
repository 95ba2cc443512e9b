//! Messages to the owners of requests, on whichever connection reaches them.

use super::{Gateway, Output};
use crate::DownstreamId;
use crate::message::{Message, RequestId};
use std::net::IpAddr;

/// Releases queued until there is a connection to their owner; beyond that the oldest is dropped.
const MAX_PENDING_RELEASES: usize = 4_096;

/// A release that is sent once there is a connection to its owner.
pub(super) struct PendingRelease {
    client_address: Option<IpAddr>,
    /// The encoded message.
    bytes: Vec<u8>,
}

impl Gateway {
    /// Sends a message to the owner of a request, or queues it until there is a connection to the owner.
    pub(super) fn reply(&mut self, id: RequestId, bytes: Vec<u8>, outputs: &mut Vec<Output>) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        match self
            .downstreams
            .route_to_owner(Some(request.client), request.client_address)
        {
            Some(client) => self.write_release(client, bytes, outputs),
            None => {
                let release = PendingRelease {
                    client_address: request.client_address,
                    bytes,
                };
                if self.pending_releases.len() >= MAX_PENDING_RELEASES {
                    self.pending_releases.pop_front();
                }
                self.pending_releases.push_back(release);
            }
        }
    }

    /// Sends the queued releases in their order, up to the first one whose owner has no connection.
    pub(super) fn send_pending_releases(&mut self, outputs: &mut Vec<Output>) {
        while let Some(release) = self.pending_releases.front() {
            let Some(client) = self
                .downstreams
                .route_to_owner(None, release.client_address)
            else {
                return;
            };
            let Some(PendingRelease { bytes, .. }) = self.pending_releases.pop_front() else {
                return;
            };
            self.write_release(client, bytes, outputs);
        }
    }

    /// Rejects a set-up that is not in the request table.
    pub(super) fn reject(
        &mut self,
        client: DownstreamId,
        id: RequestId,
        release_cause: u8,
        outputs: &mut Vec<Output>,
    ) {
        let release = Message::release(id, release_cause);
        self.write_release(client, release.encode(), outputs);
    }

    /// Writes a message that its client may acknowledge.
    fn write_release(&mut self, client: DownstreamId, bytes: Vec<u8>, outputs: &mut Vec<Output>) {
        self.downstreams.release_sent(client);
        outputs.push(Output::WriteDownstream(client, bytes));
    }
}
