//! Set-ups with an id that is already in use on another connection.
//!
//! The outcome depends on whether that connection, the holder, is still open. Its close may be unread, so the holder is
//! checked first.

use super::{Gateway, Output};
use crate::message::Message;
use crate::request_table::RequestState;
use crate::{DownstreamId, task_request};
use tidespur_policy::interface::Seconds;

/// A set-up of `claimant` with the id of a request of `holder`.
#[derive(Debug)]
pub(super) struct IdConflict {
    pub(super) holder: DownstreamId,
    pub(super) claimant: DownstreamId,
    pub(super) message: Message,
}

impl Gateway {
    /// Has the holder's connection checked, and keeps the set-up until then.
    pub(super) fn defer_id_conflict(&mut self, conflict: IdConflict, outputs: &mut Vec<Output>) {
        outputs.push(Output::CheckDownstream(conflict.holder));
        self.id_conflicts.push(conflict);
    }

    /// Resolves the conflicts with `holder` in their order, once its connection has been checked.
    pub(super) fn resolve_id_conflicts(
        &mut self,
        now: Seconds,
        holder: DownstreamId,
        outputs: &mut Vec<Output>,
    ) {
        let conflicts: Vec<IdConflict>;
        (conflicts, self.id_conflicts) = std::mem::take(&mut self.id_conflicts)
            .into_iter()
            .partition(|conflict| conflict.holder == holder);
        for conflict in conflicts {
            self.resolve_id_conflict(now, conflict, outputs);
        }
    }

    /// Handles the set-up if the holder's request has ended. A hand-over of a placed task makes the claimant its owner
    /// only if the holder has disconnected; otherwise a client that knows an id could divert the end of another
    /// client's task. Any other set-up closes the claimant's connection, as two answers with the same id would be
    /// ambiguous.
    fn resolve_id_conflict(
        &mut self,
        now: Seconds,
        conflict: IdConflict,
        outputs: &mut Vec<Output>,
    ) {
        let IdConflict {
            holder,
            claimant,
            message,
        } = conflict;
        let id = message.id;
        let Some(request) = self.requests.get(id) else {
            return self.handle_set_up(now, claimant, message, outputs);
        };
        let is_placed = matches!(request.state, RequestState::Placed { .. });
        if !is_placed || !task_request::is_handover(&message) {
            return self.close_malformed_client(now, claimant, outputs);
        }
        if request.client == holder && !self.downstreams.is_reachable(holder) {
            self.downstreams.record_valid_set_up(now, claimant);
            self.downstreams.task_placed(claimant);
            let address = self.downstreams.address(claimant);
            self.requests.rebind_client(id, claimant, address);
        }
    }
}
