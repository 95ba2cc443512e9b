//! Connections of clients: who is there, who has gone, who is closed.
//!
//! One mechanism tells whether a client is still there, before anything depends on it: a look, which reads what it has
//! said by now. An attempt begins only after one, and a connection that seems idle is closed only after one. Guards
//! against a close or a cancel that waits, in the kernel or in the input queue, while its set-up is sent on. Costs
//! one read an attempt. Harm: a client that says more than a look reads has its attempts wait until it was read.

use super::*;
use crate::downstream::Closing;

/// After a look that did not come to an end, the next one.
const LOOK_AGAIN: Seconds = 0.02;

/// Set-ups that could leave, by the client that they wait for.
#[derive(Debug)]
pub(super) struct Due {
    of: BTreeMap<DownstreamId, Vec<(UpstreamId, Id)>>,
    /// Clients that said more than was read at once, and when they are looked at again.
    busy: BTreeSet<DownstreamId>,
    pub(super) again_at: Seconds,
}

/// A set-up under the number of a request that another connection holds.
#[derive(Debug)]
pub(super) struct Claim {
    pub(super) known: DownstreamId,
    pub(super) client: DownstreamId,
    pub(super) message: Message,
}

impl Default for Due {
    fn default() -> Self {
        Self {
            of: BTreeMap::new(),
            busy: BTreeSet::new(),
            again_at: f64::INFINITY,
        }
    }
}

impl Gateway {
    /// A set-up could leave: its client is looked at first, once for all of its set-ups in a step.
    pub(super) fn due(&mut self, upstream: UpstreamId, id: Id, out: &mut Vec<Output>) {
        let Some(client) = self.table.get(id).map(|request| request.client) else {
            return;
        };
        let due = self.due.of.entry(client).or_default();
        if due.is_empty() {
            out.push(Output::Look(client));
        }
        due.push((upstream, id));
    }

    /// A look at a client is done: what ends its requests was taken in before.
    pub(super) fn looked_at(
        &mut self,
        now: Seconds,
        client: DownstreamId,
        seen: Seen,
        out: &mut Vec<Output>,
    ) {
        self.claimed(now, client, out);
        if let Some(why) = self.downstreams.closing(client) {
            // Who takes long for a message, and is not in the way, may go on with it.
            let idle = seen == Seen::All || seen == Seen::Half && why != Closing::Silent;
            if idle && self.downstreams.open(client) == 0 {
                self.close_client(now, client, out);
            } else {
                self.downstreams.stays(now, client);
                self.close_surplus(now, out);
            }
        }
        if seen == Seen::Part {
            // What was cancelled meanwhile is forgotten, however long this goes on.
            let table = &self.table;
            if let Some(due) = self.due.of.get_mut(&client) {
                due.retain(|&(upstream, id)| table.is_out(id, upstream));
            }
            self.due.busy.insert(client);
            self.due.again_at = self.due.again_at.min(now + LOOK_AGAIN);
            return;
        }
        // Those that were cancelled meanwhile are not in the pool any more.
        for (upstream, id) in self.due.of.remove(&client).unwrap_or_default() {
            if self.is_past_window(now, id) {
                self.on_pool(out, |pool, acts| {
                    pool.cancel(now, upstream, id, false, acts)
                });
                self.attempt_ended(id, AttemptOutcome::NeverSent, None);
            } else if self.on_pool(out, |pool, acts| pool.leaves(upstream, id, acts)) {
                self.table.begins(now, id);
            }
        }
    }

    /// Whether a repeat would begin after the window in which it has no second effect: it was decided in time, and
    /// then waited for its connection.
    fn is_past_window(&self, now: Seconds, id: Id) -> bool {
        let Some((
            request,
            Stage::Open {
                attempt: Some(_),
                may_have_run: true,
            },
        )) = self.table.get(id).map(|request| (request, request.stage))
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
        request.began.is_some_and(|began| now > began + window)
    }

    /// Time goes on: clients that said more than was read at once are looked at again.
    pub(super) fn look_again(&mut self, now: Seconds, out: &mut Vec<Output>) {
        if now >= self.due.again_at {
            self.due.again_at = f64::INFINITY;
            out.extend(
                std::mem::take(&mut self.due.busy)
                    .into_iter()
                    .map(Output::Look),
            );
        }
    }

    /// Where there are more connections than may be, one that says nothing is closed.
    pub(super) fn close_surplus(&mut self, now: Seconds, out: &mut Vec<Output>) {
        out.extend(self.downstreams.surplus(now).map(Output::Look));
    }

    /// Nobody listens there any more: what was open on it is cancelled at once, whatever else it said before.
    pub(super) fn client_gone(
        &mut self,
        now: Seconds,
        client: DownstreamId,
        out: &mut Vec<Output>,
    ) {
        self.downstreams.gone(client);
        self.forget_client(now, client, out);
    }

    pub(super) fn close_client(
        &mut self,
        now: Seconds,
        client: DownstreamId,
        out: &mut Vec<Output>,
    ) {
        self.downstreams.closed(client);
        self.forget_client(now, client, out);
        self.counts.closed += 1;
        out.push(Output::CloseDownstream(client));
    }

    /// A connection is no more: what was open on it is cancelled, what stands is reached by another way.
    pub(super) fn forget_client(
        &mut self,
        now: Seconds,
        client: DownstreamId,
        out: &mut Vec<Output>,
    ) {
        self.due.of.remove(&client);
        for id in self.table.of_client(client) {
            self.counts.cancelled += 1;
            self.cancel_request(now, id, out);
        }
    }

    /// A set-up names what another connection holds already. Whether that one is still there decides, and its close may
    /// not have been read.
    pub(super) fn claim(&mut self, claim: Claim, out: &mut Vec<Output>) {
        out.push(Output::Look(claim.known));
        self.claims.push(claim);
    }

    /// A connection was looked at: what was claimed of it is decided.
    fn claimed(&mut self, now: Seconds, looked_at: DownstreamId, out: &mut Vec<Output>) {
        let (decided, rest) = std::mem::take(&mut self.claims)
            .into_iter()
            .partition(|claim| claim.known == looked_at);
        self.claims = rest;
        let decided: Vec<Claim> = decided;
        for Claim {
            known,
            client,
            message,
        } in decided
        {
            let id = message.id;
            let there = self.downstreams.is_there(known);
            match self
                .table
                .get(id)
                .map(|request| (request.client, request.stage))
            {
                // It was cancelled with its connection.
                None => self.set_up(now, client, message, out),
                // Who names what stands is believed to be its owner only where the one who is known has gone: else
                // anybody with an id could draw its end to himself.
                Some((by, Stage::Standing { .. })) if ask::is_handed(&message) => {
                    if by == known && !there {
                        self.downstreams.proves(now, client);
                        self.downstreams.count_standing(client, true);
                        self.table
                            .reached_by(id, client, self.downstreams.from(client));
                    }
                }
                // Two requests of one number: neither answer could be told from the other.
                Some(_) => {
                    self.counts.useless += 1;
                    self.close_client(now, client, out);
                }
            }
        }
    }
}
