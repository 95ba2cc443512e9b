//! Connections of clients: who is there, who has gone, who is closed.
//!
//! One mechanism tells whether a client is still there, before anything depends on it: a look, which reads what it has
//! said by now. An attempt begins only after one, and a connection that seems idle is closed only after one. Guards
//! against a close or a cancel that waits, in the kernel or in the input queue, while its set-up is sent on. Costs
//! one read an attempt. Harm: a client that says more than a look reads has its attempts wait until it was read.

use super::{Gateway, Output, PeerCheck};
use crate::downstream::CloseReason;
use crate::message::RequestId;
use crate::request_table::RequestState;
use crate::{DownstreamId, UpstreamId};
use std::collections::{BTreeMap, BTreeSet};
use tidespur_policy::interface::{AttemptOutcome, RetrySafety, Seconds};

/// After a look that did not come to an end, the next one.
const RECHECK_INTERVAL: Seconds = 0.02;

/// Set-ups that could leave, by the client that they wait for.
#[derive(Debug)]
pub(super) struct ReadyOffers {
    by_client: BTreeMap<DownstreamId, Vec<(UpstreamId, RequestId)>>,
    /// Clients that said more than was read at once, and when they are looked at again.
    busy: BTreeSet<DownstreamId>,
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
    /// A set-up could leave: its client is looked at first, once for all of its set-ups in a step.
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

    /// A look at a client is done: what ends its requests was taken in before.
    pub(super) fn downstream_checked(
        &mut self,
        now: Seconds,
        client: DownstreamId,
        check: PeerCheck,
        outputs: &mut Vec<Output>,
    ) {
        self.resolve_id_conflicts(now, client, outputs);
        if let Some(cause_given) = self.downstreams.close_reason(client) {
            // Who takes long for a message, and is not in the way, may go on with it.
            let idle = check == PeerCheck::Idle
                || check == PeerCheck::PartialMessage && cause_given != CloseReason::Silent;
            if idle && self.downstreams.pending_count(client) == 0 {
                self.close_client(now, client, outputs);
            } else {
                self.downstreams.keep_open(now, client);
                self.close_surplus(now, outputs);
            }
        }
        if check == PeerCheck::MoreUnread {
            // What was cancelled meanwhile is forgotten, however long this goes on.
            let requests = &self.requests;
            if let Some(due) = self.ready_offers.by_client.get_mut(&client) {
                due.retain(|&(upstream, id)| requests.is_attempt_on(id, upstream));
            }
            self.ready_offers.busy.insert(client);
            self.ready_offers.recheck_at = self.ready_offers.recheck_at.min(now + RECHECK_INTERVAL);
            return;
        }
        // Those that were cancelled meanwhile are not in the pool any more.
        for (upstream, id) in self
            .ready_offers
            .by_client
            .remove(&client)
            .unwrap_or_default()
        {
            if self.is_past_window(now, id) {
                self.with_pool(outputs, |pool, actions| {
                    pool.cancel(now, upstream, id, false, actions)
                });
                self.attempt_ended(id, AttemptOutcome::NeverSent, None);
            } else if self.with_pool(outputs, |pool, actions| {
                pool.send_ready_offer(upstream, id, actions)
            }) {
                self.requests.record_first_attempt(now, id);
            }
        }
    }

    /// Whether a repeat would begin after the window in which it has no second effect: it was decided in time, and
    /// then waited for its connection.
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

    /// Time goes on: clients that said more than was read at once are looked at again.
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

    /// Where there are more connections than may be, one that says nothing is closed.
    pub(super) fn close_surplus(&mut self, now: Seconds, outputs: &mut Vec<Output>) {
        outputs.extend(
            self.downstreams
                .mark_surplus(now)
                .map(Output::CheckDownstream),
        );
    }

    /// Nobody listens there any more: what was open on it is cancelled at once, whatever else it said before.
    pub(super) fn downstream_peer_closed(
        &mut self,
        now: Seconds,
        client: DownstreamId,
        outputs: &mut Vec<Output>,
    ) {
        self.downstreams.peer_closed(client);
        self.cancel_client_requests(now, client, outputs);
    }

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

    /// A connection is no more: what was open on it is cancelled, what stands is reached by another way.
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
