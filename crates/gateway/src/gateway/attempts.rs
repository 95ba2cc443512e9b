//! Requests and attempts over time: answers to owners, cancels, time-outs, ends.

use super::MAX_PENDING_RELEASES;
use super::{Gateway, Output};
use crate::UpstreamId;
use crate::message::{Message, RequestId, cause};
use crate::pool::PoolAction;
use crate::request_table::RequestState;
use std::collections::BTreeSet;
use tidespur_policy::interface::{AttemptOutcome, Event, LoadReport, Seconds, TaskId};

impl Gateway {
    /// Sends bytes to the owner of a request, by whatever way leads there.
    pub(super) fn reply(&mut self, id: RequestId, bytes: Vec<u8>, outputs: &mut Vec<Output>) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        match self
            .downstreams
            .route_to_owner(Some(request.client), request.from)
        {
            Some(client) => {
                self.downstreams.release_sent(client);
                outputs.push(Output::WriteDownstream(client, bytes));
            }
            None => {
                if self.pending_releases.len() >= MAX_PENDING_RELEASES {
                    self.pending_releases.pop_front();
                }
                self.pending_releases.push_back((request.from, bytes));
            }
        }
    }

    /// What had no way to its owner goes out once there is one.
    pub(super) fn send_pending_releases(&mut self, outputs: &mut Vec<Output>) {
        while let Some((from, _)) = self.pending_releases.front() {
            let Some(client) = self.downstreams.route_to_owner(None, *from) else {
                return;
            };
            let Some((_, bytes)) = self.pending_releases.pop_front() else {
                return;
            };
            self.downstreams.release_sent(client);
            outputs.push(Output::WriteDownstream(client, bytes));
        }
    }

    /// A request whose owner waits is over: nothing is owed, and what is out for it is cancelled at its machine.
    pub(super) fn cancel_request(
        &mut self,
        now: Seconds,
        id: RequestId,
        outputs: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.remove(id) else {
            return;
        };
        let (task, RequestState::Pending { attempt, .. }) = (request.task, request.state) else {
            return;
        };
        self.downstreams.count_pending(now, request.client, false);
        self.events.push(Event::TaskCancelled(task));
        if let Some(attempt) = attempt {
            self.with_pool(outputs, |pool, actions| {
                pool.cancel(now, attempt.upstream, id, false, actions)
            });
            self.events.push(attempt_ended_event(
                task,
                attempt.number,
                AttemptOutcome::Cancelled,
                true,
                None,
            ));
        }
    }

    /// Attempts whose time is over: an answer may lie unread, so their connections are looked at first. Guards against
    /// a loop that lags and takes an attempt for failed that was answered in time. Costs one read.
    pub(super) fn check_overdue_attempts(&mut self, now: Seconds, outputs: &mut Vec<Output>) {
        let of = |id| match self.requests.get(id).map(|request| request.state) {
            Some(RequestState::Pending {
                attempt: Some(attempt),
                ..
            }) => Some(attempt.upstream),
            _ => None,
        };
        let lines: BTreeSet<UpstreamId> = self
            .requests
            .overdue_attempts(now)
            .into_iter()
            .filter_map(of)
            .collect();
        outputs.extend(
            lines
                .into_iter()
                .map(|upstream| Output::Upstream(PoolAction::CheckPeer(upstream))),
        );
    }

    /// What a machine had said on a connection was taken in: what is over now is over.
    pub(super) fn upstream_checked(
        &mut self,
        now: Seconds,
        upstream: UpstreamId,
        outputs: &mut Vec<Output>,
    ) {
        for id in self.requests.overdue_attempts(now) {
            if self.requests.is_attempt_on(id, upstream) {
                self.attempt_timed_out(now, id, outputs);
            }
        }
    }

    /// The time of an attempt is over: it is cancelled.
    fn attempt_timed_out(&mut self, now: Seconds, id: RequestId, outputs: &mut Vec<Output>) {
        let Some(RequestState::Pending {
            attempt: Some(attempt),
            ..
        }) = self.requests.get(id).map(|r| r.state)
        else {
            return;
        };
        self.counts.timed_out += 1;
        let never_left = self.with_pool(outputs, |pool, actions| {
            pool.cancel(now, attempt.upstream, id, true, actions)
        });
        // It waited for its own client or for a machine that takes no bytes: it has not run.
        self.attempt_ended(
            id,
            if never_left {
                AttemptOutcome::NeverSent
            } else {
                AttemptOutcome::TimedOut
            },
            None,
        );
    }

    /// The attempt that is out has ended without an answer that the task stands.
    pub(super) fn attempt_ended(
        &mut self,
        id: RequestId,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
    ) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let RequestState::Pending {
            attempt: Some(attempt),
            may_have_run,
        } = request.state
        else {
            return;
        };
        let task = request.task;
        let ran = !matches!(
            outcome,
            AttemptOutcome::Rejected(_) | AttemptOutcome::ConnectFailed | AttemptOutcome::NeverSent
        );
        self.pool.settle_offer(attempt.upstream, id);
        if !(may_have_run || ran) {
            self.requests.clear_first_attempt(id);
        }
        self.requests.set_state(
            id,
            RequestState::Pending {
                attempt: None,
                may_have_run: may_have_run || ran,
            },
        );
        self.events.push(attempt_ended_event(
            task,
            attempt.number,
            outcome,
            false,
            report,
        ));
    }

    /// A standing task is ended from here: its machine is told.
    pub(super) fn release_at_machine(
        &mut self,
        now: Seconds,
        id: RequestId,
        outputs: &mut Vec<Output>,
    ) {
        let Some(RequestState::Placed {
            machine, attempt, ..
        }) = self.requests.get(id).map(|r| r.state)
        else {
            return;
        };
        let ended = Message::release(id, cause::ENDED).encode();
        self.with_pool(outputs, |pool, actions| {
            pool.notify(now, machine, ended, actions)
        });
        self.finish_placed(now, id, attempt, AttemptOutcome::Cancelled, None);
    }

    /// A standing task has ended.
    pub(super) fn finish_placed(
        &mut self,
        now: Seconds,
        id: RequestId,
        attempt: u32,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
    ) {
        let Some(request) = self.requests.remove(id) else {
            return;
        };
        if let RequestState::Placed { machine, .. } = request.state {
            self.pool.count_placed(now, machine, false);
        }
        self.downstreams.count_placed(request.client, false);
        self.counts.ended += 1;
        self.events.push(attempt_ended_event(
            request.task,
            attempt,
            outcome,
            true,
            report,
        ));
    }
}

/// The policy's event about an attempt that has ended.
pub(super) fn attempt_ended_event(
    task: TaskId,
    attempt: u32,
    outcome: AttemptOutcome,
    closed: bool,
    report: Option<LoadReport>,
) -> Event {
    Event::AttemptEnded {
        task,
        attempt,
        outcome,
        closed,
        report,
    }
}
