//! Handles messages of clients: set-ups, cancels, acknowledgements and health checks.

use super::{Gateway, Output};
use crate::DownstreamId;
use crate::message::{Message, MessageKind, RequestId, code};
use crate::request_table::RequestState;
use tidespur_policy::interface::Seconds;

impl Gateway {
    /// Handles a message of a client, and closes the connection if the client exceeds the limit on malformed messages.
    pub(super) fn downstream_message(
        &mut self,
        now: Seconds,
        client: DownstreamId,
        message: Message,
        outputs: &mut Vec<Output>,
    ) {
        let is_over_limit = match message.kind {
            MessageKind::SetUp => return self.handle_set_up(now, client, message, outputs),
            MessageKind::HealthCheck => {
                let reply =
                    Message::new(MessageKind::HealthCheckReply, message.id).with(code::CAUSE, &[1]);
                outputs.push(Output::WriteDownstream(client, reply.encode()));
                self.downstreams.record_cheap_message(now, client)
            }
            MessageKind::Release => self.handle_release(now, client, message.id, outputs),
            MessageKind::ReleaseAck => self.downstreams.release_acknowledged(now, client),
            MessageKind::Progress => self.downstreams.record_cheap_message(now, client),
            MessageKind::Accepted
            | MessageKind::HealthCheckReply
            | MessageKind::ProgressReport
            | MessageKind::Migrate => self.downstreams.record_malformed(now, client),
        };
        if is_over_limit {
            self.close_malformed_client(now, client, outputs);
        }
    }

    /// Cancels a pending request of this client, or ends a placed task, which its owner may release on any connection.
    /// A pending request of another client is not affected. Returns whether the client exceeds the limit on malformed
    /// messages.
    fn handle_release(
        &mut self,
        now: Seconds,
        client: DownstreamId,
        id: RequestId,
        outputs: &mut Vec<Output>,
    ) -> bool {
        let Some(request) = self.requests.get(id) else {
            return self.release_of_unknown_id(now, client, id);
        };
        match request.state {
            RequestState::Pending { .. } if request.client == client => {
                self.counts.cancelled += 1;
                self.cancel_request(now, id, outputs);
                false
            }
            RequestState::Pending { .. } => self.downstreams.record_malformed(now, client),
            RequestState::Placed { .. } => {
                let ack = Message::new(MessageKind::ReleaseAck, id);
                outputs.push(Output::WriteDownstream(client, ack.encode()));
                self.release_at_machine(now, id, outputs);
                false
            }
        }
    }
    /// Handles a release for a request that has ended: the release may have crossed the gateway's own. Any other one
    /// counts as malformed. Returns whether the client exceeds the limit on malformed messages.
    fn release_of_unknown_id(&mut self, now: Seconds, client: DownstreamId, id: RequestId) -> bool {
        let has_crossed = self.recent_ends.take(id) || self.downstreams.release_crossed(client);
        !has_crossed && self.downstreams.record_malformed(now, client)
    }
}
