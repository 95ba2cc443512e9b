//! Connections of clients: which are still connected, and which are closed.
//!
//! Before anything depends on a client, its connection is checked: what it has sent by now is read. An offer is sent
//! only after a check, and a connection that seems idle is closed only after one. Guards against a close or a cancel
//! that waits, in the kernel or in the input queue, while the set-up is forwarded. Costs one read an attempt; offers of
//! a client that sends more than a check reads wait until all was read.

use super::{Gateway, Output, PeerCheck};
use crate::downstream::CloseReason;
use crate::message::RequestId;
use crate::pool::CancelReason;
use crate::request_table::RequestState;
use crate::{DownstreamId, UpstreamId};
use std::collections::{BTreeMap, BTreeSet};
use tidespur_policy::interface::{AttemptOutcome, RetrySafety, Seconds};

/// Time from a check that left unread bytes to the next one.
const RECHECK_INTERVAL: Seconds = 0.02;

/// Offers that can be sent once their clients were checked.
#[derive(Debug)]
pub(super) struct ReadyOffers {
    by_client: BTreeMap<DownstreamId, Vec<(UpstreamId, RequestId)>>,
    /// Clients that had sent more than a check reads.
    busy: BTreeSet<DownstreamId>,
    /// When these clients are checked again; infinite if there are none.
    pub(super) recheck_at: Seconds,
}

impl Default for ReadyOffers {
    fn default() -> Self {
        Self {
            by_client: BTreeMap::new(),
            busy: BTreeSet::new(),
            recheck_at: f64::INFINITY,
        }
    }
}

impl Gateway {
    /// An offer can be sent: its client is checked first, once for all of its offers in a step.
    pub(super) fn offer_ready(
        &mut self,
        upstream: UpstreamId,
        id: RequestId,
        outputs: &mut Vec<Output>,
    ) {
        let Some(client) = self.requests.get(id).map(|request| request.client) else {
            return;
        };
        let due = self.ready_offers.by_client.entry(client).or_default();
        if due.is_empty() {
            outputs.push(Output::CheckDownstream(client));
        }
        due.push((upstream, id));
    }

    /// A client was checked; inputs that end its requests were handled before. Its id conflicts are resolved, it is
    /// closed if that was intended and it is idle, and its offers that are still wanted are sent.
    pub(super) fn downstream_checked(
        &mut self,
        now: Seconds,
        client: DownstreamId,
        check: PeerCheck,
        outputs: &mut Vec<Output>,
    ) {
        self.resolve_id_conflicts(now, client, outputs);
        if let Some(close_reason) = self.downstreams.close_reason(client) {
            // A client that is slow to send a message may go on, unless it has sent no valid set-up yet.
            let is_idle = check == PeerCheck::Idle
                || check == PeerCheck::PartialMessage && close_reason != CloseReason::Silent;
            if is_idle && self.downstreams.pending_count(client) == 0 {
                self.close_client(now, client, outputs);
            } else {
                self.downstreams.keep_open(now, client);
                self.close_surplus(now, outputs);
            }
        }
        if check == PeerCheck::MoreUnread {
            // Offers that were cancelled meanwhile are dropped, however long this goes on.
            let requests = &self.requests;
            if let Some(due) = self.ready_offers.by_client.get_mut(&client) {
                due.retain(|&(upstream, id)| requests.is_attempt_on(id, upstream));
            }
            self.ready_offers.busy.insert(client);
            self.ready_offers.recheck_at = self.ready_offers.recheck_at.min(now + RECHECK_INTERVAL);
            return;
        }
        // The pool ignores offers that were cancelled meanwhile.
        for (upstream, id) in self
            .ready_offers
            .by_client
            .remove(&client)
            .unwrap_or_default()
        {
            if self.is_past_window(now, id) {
                self.with_pool(outputs, |pool, actions| {
                    pool.cancel(now, upstream, id, CancelReason::Unwanted, actions)
                });
                self.attempt_ended(id, AttemptOutcome::NeverSent, None);
            } else if self.with_pool(outputs, |pool, actions| {
                pool.send_ready_offer(upstream, id, actions)
            }) {
                self.requests.record_first_attempt(now, id);
            }
        }
    }

    /// Whether a retry would begin after the window of its idempotency key: it was decided in time, and then waited for
    /// its connection.
    fn is_past_window(&self, now: Seconds, id: RequestId) -> bool {
        let Some((
            request,
            RequestState::Pending {
                attempt: Some(_),
                may_have_run: true,
            },
        )) = self
            .requests
            .get(id)
            .map(|request| (request, request.state))
        else {
            return false;
        };
        let window = match self
            .site
            .settings
            .classes
            .get(request.class_index)
            .map(|class| class.retry_safety)
        {
            Some(RetrySafety::IdempotencyKeyed { window, .. }) => window,
            _ => return false,
        };
        request
            .first_attempt_at
            .is_some_and(|began| now > began + window)
    }

    /// Checks the clients again that had sent more than a check reads, once that is due.
    pub(super) fn recheck_busy_clients(&mut self, now: Seconds, outputs: &mut Vec<Output>) {
        if now >= self.ready_offers.recheck_at {
            self.ready_offers.recheck_at = f64::INFINITY;
            outputs.extend(
                std::mem::take(&mut self.ready_offers.busy)
                    .into_iter()
                    .map(Output::CheckDownstream),
            );
        }
    }

    /// Where there are too many connections, checks one that is then closed if it is idle.
    pub(super) fn close_surplus(&mut self, now: Seconds, outputs: &mut Vec<Output>) {
        outputs.extend(
            self.downstreams
                .mark_surplus(now)
                .map(Output::CheckDownstream),
        );
    }

    /// The client has closed its connection: its pending requests are cancelled at once, whatever it has sent before.
    pub(super) fn downstream_peer_closed(
        &mut self,
        now: Seconds,
        client: DownstreamId,
        outputs: &mut Vec<Output>,
    ) {
        self.downstreams.peer_closed(client);
        self.cancel_client_requests(now, client, outputs);
    }

    /// Closes a client's connection, and cancels its pending requests.
    pub(super) fn close_client(
        &mut self,
        now: Seconds,
        client: DownstreamId,
        outputs: &mut Vec<Output>,
    ) {
        self.downstreams.remove(client);
        self.cancel_client_requests(now, client, outputs);
        self.counts.closed += 1;
        outputs.push(Output::CloseDownstream(client));
    }

    /// Cancels the pending requests of a connection that has ended. Owners of placed tasks are reached by others.
    pub(super) fn cancel_client_requests(
        &mut self,
        now: Seconds,
        client: DownstreamId,
        outputs: &mut Vec<Output>,
    ) {
        self.ready_offers.by_client.remove(&client);
        for id in self.requests.pending_of_client(client) {
            self.counts.cancelled += 1;
            self.cancel_request(now, id, outputs);
        }
    }
}
