//! Lifecycle of requests and attempts: answers to owners, cancels, timeouts and ends.

use super::{Gateway, Output};
use crate::UpstreamId;
use crate::message::{RequestId, cause};
use crate::pool::{CancelReason, PoolAction};
use crate::request_table::RequestState;
use std::collections::BTreeSet;
use tidespur_policy::interface::{AttemptOutcome, Event, LoadReport, Seconds, TaskId};

impl Gateway {
    /// Cancels a pending request and its current attempt. The owner gets no answer.
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
        self.downstreams.request_closed(now, request.client);
        self.events.push(Event::TaskCancelled(task));
        if let Some(attempt) = attempt {
            self.with_pool(outputs, |pool, actions| {
                pool.cancel(now, attempt.upstream, id, CancelReason::Unwanted, actions)
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

    /// Checks the connections of overdue attempts, as the answer may be unread. Otherwise a lagging event loop would
    /// time out attempts that were answered in time. Costs one read per connection.
    pub(super) fn check_overdue_attempts(&mut self, now: Seconds, outputs: &mut Vec<Output>) {
        let upstream_of_attempt = |id| match self.requests.get(id).map(|request| request.state) {
            Some(RequestState::Pending {
                attempt: Some(attempt),
                ..
            }) => Some(attempt.upstream),
            _ => None,
        };
        let upstreams: BTreeSet<UpstreamId> = self
            .requests
            .overdue_attempts(now)
            .into_iter()
            .filter_map(upstream_of_attempt)
            .collect();
        outputs.extend(
            upstreams
                .into_iter()
                .map(|upstream| Output::Upstream(PoolAction::CheckPeer(upstream))),
        );
    }

    /// Times out the attempts on a connection that are still overdue after its check: all that the machine had sent was
    /// handled.
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

    /// Cancels an attempt that has passed its deadline. The task can't have run if the offer was never sent, as its
    /// client was being checked or the machine accepted no bytes.
    fn attempt_timed_out(&mut self, now: Seconds, id: RequestId, outputs: &mut Vec<Output>) {
        let Some(RequestState::Pending {
            attempt: Some(attempt),
            ..
        }) = self.requests.get(id).map(|r| r.state)
        else {
            return;
        };
        self.counts.timed_out += 1;
        let never_sent = self.with_pool(outputs, |pool, actions| {
            pool.cancel(now, attempt.upstream, id, CancelReason::TimedOut, actions)
        });
        self.attempt_ended(
            id,
            if never_sent {
                AttemptOutcome::NeverSent
            } else {
                AttemptOutcome::TimedOut
            },
            None,
        );
    }

    /// Handles the end of a request's current attempt that did not place the task.
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
        let attempt_may_have_run = !matches!(
            outcome,
            AttemptOutcome::Rejected(_) | AttemptOutcome::ConnectFailed | AttemptOutcome::NeverSent
        );
        self.pool.settle_offer(attempt.upstream, id);
        if !(may_have_run || attempt_may_have_run) {
            self.requests.clear_first_attempt(id);
        }
        self.requests.set_state(
            id,
            RequestState::Pending {
                attempt: None,
                may_have_run: may_have_run || attempt_may_have_run,
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

    /// Ends a placed task by order of its owner or of the policy, and notifies its machine.
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
        self.with_pool(outputs, |pool, actions| {
            pool.release(now, machine, id, cause::ENDED, actions)
        });
        self.finish_placed(id, attempt, AttemptOutcome::Cancelled, None);
    }

    /// Removes a placed task that has ended.
    pub(super) fn finish_placed(
        &mut self,
        id: RequestId,
        attempt: u32,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
    ) {
        let Some(request) = self.requests.remove(id) else {
            return;
        };
        if let RequestState::Placed { machine, .. } = request.state {
            self.pool.task_ended(machine);
        }
        self.recent_ends.record(id);
        self.downstreams.task_ended(request.client);
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
