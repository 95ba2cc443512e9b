//! Handles messages of machines: answers to offers, ends of placed tasks, progress and health checks.

use super::{Gateway, Output};
use crate::message::{Message, MessageKind, RequestId, cause, code};
use crate::pool::PoolAction;
use crate::request_table::RequestState;
use crate::{UpstreamId, machine_report};
use tidespur_policy::interface::{AttemptOutcome, Event, MachineId, Seconds};

impl Gateway {
    /// Handles a message of a machine. One that matches no attempt on its connection and no task placed on its machine
    /// is only counted: a duplicate, an answer with a wrong id, or one that arrives after its attempt was cancelled or
    /// timed out.
    pub(super) fn upstream_message(
        &mut self,
        now: Seconds,
        upstream: UpstreamId,
        message: &Message,
        outputs: &mut Vec<Output>,
    ) {
        self.pool.message_received(now, upstream);
        let Some(machine) = self.pool.machine(upstream) else {
            return;
        };
        let id = message.id;
        match message.kind {
            MessageKind::Release => self.pool.task_released(upstream, id),
            MessageKind::HealthCheckReply => self.pool.health_check_answered(upstream),
            _ => {}
        }
        let state = self.requests.get(id).map(|request| request.state);
        let is_attempt_here = self.requests.is_attempt_on(id, upstream);
        let is_placed_here = matches!(
            state,
            Some(RequestState::Placed { machine, .. }) if self.pool.may_lead_to(upstream, machine)
        );
        match message.kind {
            MessageKind::Accepted if is_attempt_here => {
                self.offer_accepted(now, upstream, machine, message, outputs);
            }
            MessageKind::Release if is_attempt_here => self.offer_released(message),
            MessageKind::Release if is_placed_here => {
                self.placed_task_released(upstream, message, outputs);
            }
            MessageKind::Release if state.is_none() => {
                self.unknown_task_released(now, upstream, message, outputs);
            }
            MessageKind::ProgressReport if is_placed_here => self.progress_reported(message),
            MessageKind::HealthCheck => {
                let reply = Message::new(MessageKind::HealthCheckReply, id).with(code::CAUSE, &[1]);
                outputs.push(Output::Upstream(PoolAction::Write(
                    upstream,
                    reply.encode(),
                )));
            }
            MessageKind::HealthCheckReply | MessageKind::Progress | MessageKind::ReleaseAck => {}
            _ => {
                let is_end = message.kind == MessageKind::Release
                    && matches!(state, Some(RequestState::Placed { .. }));
                self.counts.unmatched += 1;
                self.counts.unmatched_ends += u64::from(is_end);
            }
        }
    }

    /// Handles an accepted offer. An answer without a description is malformed.
    fn offer_accepted(
        &mut self,
        now: Seconds,
        upstream: UpstreamId,
        machine: MachineId,
        message: &Message,
        outputs: &mut Vec<Output>,
    ) {
        let id = message.id;
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let RequestState::Pending {
            attempt: Some(attempt),
            ..
        } = request.state
        else {
            return;
        };
        let task = request.task;
        let client = request.client;
        let Some(description) = message.get(code::DESCRIPTION) else {
            return self.upstream_malformed(now, upstream, outputs);
        };
        let reply = Message::new(MessageKind::Accepted, id).with(code::DESCRIPTION, description);
        self.counts.placed += 1;
        self.pool.settle_offer(upstream, id);
        self.requests.set_state(
            id,
            RequestState::Placed {
                machine,
                attempt: attempt.number,
                since: now,
                dialled_at: self.pool.dialled_at(upstream),
            },
        );
        self.pool.task_placed(now, machine);
        self.downstreams.request_closed(now, client);
        self.downstreams.task_placed(client);
        self.events.push(Event::AttemptConfirmed {
            task,
            attempt: attempt.number,
        });
        self.reply(id, reply.encode(), outputs);
    }

    /// Handles an offer that the machine rejected or aborted.
    fn offer_released(&mut self, message: &Message) {
        let failure = machine_report::failure_cause(message);
        let outcome = match message.cause() {
            Some(cause::FULL) => AttemptOutcome::Rejected(failure),
            Some(cause::ERROR) => AttemptOutcome::Failed,
            Some(cause::NEVER_SENT) => AttemptOutcome::NeverSent,
            _ => AttemptOutcome::Interrupted(failure),
        };
        match outcome {
            AttemptOutcome::Rejected(_) => self.counts.rejected_by_machine += 1,
            AttemptOutcome::Failed => self.counts.errors += 1,
            _ => self.counts.interrupted += 1,
        }
        self.attempt_ended(message.id, outcome, machine_report::load_report(message));
    }

    /// Handles the end of a placed task at its machine. The owner is told, unless the gateway requested the end.
    fn placed_task_released(
        &mut self,
        upstream: UpstreamId,
        message: &Message,
        outputs: &mut Vec<Output>,
    ) {
        let id = message.id;
        let Some(RequestState::Placed { attempt, .. }) =
            self.requests.get(id).map(|request| request.state)
        else {
            return;
        };
        acknowledge_release(upstream, id, outputs);
        let release_cause = message.cause().unwrap_or(cause::FAILED);
        let outcome = match release_cause {
            cause::NORMAL => AttemptOutcome::Finished,
            cause::ENDED => AttemptOutcome::Cancelled,
            _ => AttemptOutcome::Interrupted(machine_report::failure_cause(message)),
        };
        if release_cause != cause::ENDED {
            self.reply(id, Message::release(id, release_cause).encode(), outputs);
        }
        let report = machine_report::load_report(message);
        self.finish_placed(id, attempt, outcome, report);
    }

    /// Handles the end of an unknown task. Its owner may hand it over later, and is told then.
    fn unknown_task_released(
        &mut self,
        now: Seconds,
        upstream: UpstreamId,
        message: &Message,
        outputs: &mut Vec<Output>,
    ) {
        self.counts.unmatched += 1;
        let release_cause = message.cause().unwrap_or(cause::FAILED);
        self.requests
            .unknown_ends()
            .record(now, message.id, release_cause);
        acknowledge_release(upstream, message.id, outputs);
    }

    /// Passes the progress of a placed task to the policy. A report of an unknown kind is ignored.
    fn progress_reported(&mut self, message: &Message) {
        let Some(request) = self.requests.get(message.id) else {
            return;
        };
        if let Some(progress) = machine_report::attempt_progress(message) {
            self.events.push(Event::AttemptProgressed {
                task: request.task,
                progress,
            });
        }
    }
}

fn acknowledge_release(upstream: UpstreamId, id: RequestId, outputs: &mut Vec<Output>) {
    let ack = Message::new(MessageKind::ReleaseAck, id);
    outputs.push(Output::Upstream(PoolAction::Write(upstream, ack.encode())));
}
