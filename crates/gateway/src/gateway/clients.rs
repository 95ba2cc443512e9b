//! Checks of client connections: before an offer is sent, and before a connection is closed.
//!
//! Before the gateway acts on a client's behalf, it has the client's connection checked: all that the client has sent
//! by then is read. An offer is sent only after such a check, and a connection that seems idle is closed only after
//! one. Otherwise a set-up could be offered although its client's close or cancel is already in the kernel or in the
//! input queue. Costs one read per attempt. Offers of a client that sends more than a check reads wait until all of it
//! was read.

use super::{Gateway, Output, PeerCheck};
use crate::downstream::CloseReason;
use crate::message::RequestId;
use crate::pool::CancelReason;
use crate::request_table::RequestState;
use crate::{DownstreamId, UpstreamId};
use std::collections::{BTreeMap, BTreeSet};
use tidespur_policy::interface::{AttemptOutcome, RetrySafety, Seconds};

/// Delay until the next check after one that left unread bytes.
const RECHECK_INTERVAL: Seconds = 0.02;
/// Connections that are checked for a surplus one, after an opened connection and in each maintenance. A client that
/// never stops sending is never idle, so that without a limit one check would follow the other.
const MAX_SURPLUS_CHECKS: u32 = 8;

/// Offers that can be sent once their clients have been checked.
#[derive(Debug)]
pub(super) struct ReadyOffers {
    by_client: BTreeMap<DownstreamId, Vec<(UpstreamId, RequestId)>>,
    /// Clients that have sent more than one check reads.
    busy: BTreeSet<DownstreamId>,
    /// When the busy clients are checked again; infinite if there are none.
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
    /// Queues an offer that can be sent until its client has been checked. One check covers all queued offers of a
    /// client.
    pub(super) fn offer_ready(
        &mut self,
        upstream: UpstreamId,
        id: RequestId,
        outputs: &mut Vec<Output>,
    ) {
        let Some(client) = self.requests.get(id).map(|request| request.client) else {
            return;
        };
        let queued = self.ready_offers.by_client.entry(client).or_default();
        if queued.is_empty() {
            outputs.push(Output::CheckDownstream(client));
        }
        queued.push((upstream, id));
    }

    /// Handles the result of a check, after the inputs that end requests of the client: resolves the client's id
    /// conflicts, closes the connection if that was requested and it is idle, and sends the client's queued offers.
    pub(super) fn downstream_checked(
        &mut self,
        now: Seconds,
        client: DownstreamId,
        check: PeerCheck,
        outputs: &mut Vec<Output>,
    ) {
        self.resolve_id_conflicts(now, client, outputs);
        if let Some(close_reason) = self.downstreams.close_reason(client) {
            // A connection without a valid set-up stays open if a message on it is incomplete, as that may be the
            // set-up. At capacity and during a shutdown it is closed.
            let is_idle = check == PeerCheck::Idle
                || check == PeerCheck::PartialMessage && close_reason != CloseReason::Silent;
            if is_idle && self.downstreams.pending_count(client) == 0 {
                self.close_client(now, client, outputs);
            } else {
                self.downstreams.keep_open(now, client);
                self.check_surplus(now, outputs);
            }
        }
        if check == PeerCheck::MoreUnread {
            // Drops cancelled offers here too, as a client may stay busy without limit.
            let requests = &self.requests;
            if let Some(queued) = self.ready_offers.by_client.get_mut(&client) {
                queued.retain(|&(upstream, id)| requests.is_attempt_on(id, upstream));
            }
            self.ready_offers.busy.insert(client);
            self.ready_offers.recheck_at = self.ready_offers.recheck_at.min(now + RECHECK_INTERVAL);
            return;
        }
        // The pool ignores offers that were cancelled since.
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

    /// Whether a retry would begin after the window of its idempotency key. The policy decides on retries within the
    /// window, but the offer may have waited for its connection since.
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
            .is_some_and(|first_attempt_at| now > first_attempt_at + window)
    }

    /// Has the busy clients checked again, if that is due.
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

    /// Has connections checked while there are too many, up to [`MAX_SURPLUS_CHECKS`], until one is idle and closed.
    pub(super) fn close_surplus(&mut self, now: Seconds, outputs: &mut Vec<Output>) {
        self.surplus_checks_left = MAX_SURPLUS_CHECKS;
        self.check_surplus(now, outputs);
    }

    /// If there are too many connections, has one checked, which is closed then if it is idle.
    fn check_surplus(&mut self, now: Seconds, outputs: &mut Vec<Output>) {
        if self.surplus_checks_left == 0 {
            return;
        }
        if let Some(client) = self.downstreams.mark_surplus(now) {
            self.surplus_checks_left -= 1;
            outputs.push(Output::CheckDownstream(client));
        }
    }

    /// Whether another connection may be accepted. One more than the limit is, and replaces an idle one; while none is
    /// idle, new connections wait in the listener's backlog.
    pub fn may_accept(&self) -> bool {
        self.downstreams.may_accept()
    }

    /// Handles a client's close of its connection: its pending requests are cancelled at once, before messages that are
    /// still queued.
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

    /// Cancels the pending requests of a connection that has ended. Placed tasks stay, as their owner can be reached on
    /// another connection.
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
