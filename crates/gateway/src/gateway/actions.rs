//! Carries out actions of the policy: offers, rejections, migrations and timers.

use super::attempts::attempt_ended_event;
use super::{Gateway, Output};
use crate::message::{Message, MessageKind, RequestId, cause, code};
use crate::request_table::{Attempt, Request, RequestState, micros};
use tidespur_policy::interface::{Action, AttemptOutcome, Event, MachineId, Seconds, TaskId};

impl Gateway {
    /// Carries out one action of the policy.
    pub(super) fn apply_action(&mut self, now: Seconds, action: Action, outputs: &mut Vec<Output>) {
        match action {
            Action::Offer {
                task,
                machine,
                timeout,
            } => self.send_offer(now, task, machine, timeout, outputs),
            Action::Reject { task, .. } => {
                self.counts.rejected += 1;
                self.reject_request(now, task, cause::FULL, outputs);
            }
            Action::Fail(task) => {
                self.counts.failed += 1;
                self.reject_request(now, task, cause::FAILED, outputs);
            }
            Action::Migrate(task) => self.migrate(now, task, outputs),
            // The discovery stream is always followed, so there is nothing to subscribe to.
            Action::SubscribeEndpoints => self.events.push(Event::EndpointsChanged(Vec::new())),
            Action::SetTimer { after, token } => {
                self.timers.insert((micros(now + after), token));
            }
            // The platform has no message to poll the load of a machine, and its schedulers don't gossip.
            Action::PollLoad(machine) => self.events.push(Event::LoadPolled {
                machine,
                report: None,
            }),
            Action::Gossip(_) => {}
            Action::Log(line) => outputs.push(Output::Log(line)),
        }
    }

    /// Asks the owner of a placed task to resubmit it, and ends the task at its machine.
    fn migrate(&mut self, now: Seconds, task: TaskId, outputs: &mut Vec<Output>) {
        let Some(id) = self.requests.id_of_task(task) else {
            return;
        };
        let state = self.requests.get(id).map(|request| request.state);
        if let Some(RequestState::Placed { .. }) = state {
            self.reply(id, Message::new(MessageKind::Migrate, id).encode(), outputs);
            self.release_at_machine(now, id, outputs);
        }
    }

    /// Answers a pending request with a release of this cause, and removes it.
    pub(super) fn reject_request(
        &mut self,
        now: Seconds,
        task: TaskId,
        release_cause: u8,
        outputs: &mut Vec<Output>,
    ) {
        let Some(id) = self.requests.id_of_task(task) else {
            return;
        };
        let Some((client, RequestState::Pending { .. })) =
            self.requests.get(id).map(|r| (r.client, r.state))
        else {
            return;
        };
        self.reply(id, Message::release(id, release_cause).encode(), outputs);
        self.downstreams.request_closed(now, client);
        self.requests.remove(id);
    }

    /// Offers a task to a machine. The offer carries the timeout of this attempt instead of the owner's.
    pub(super) fn send_offer(
        &mut self,
        now: Seconds,
        task: TaskId,
        machine: MachineId,
        timeout: Seconds,
        outputs: &mut Vec<Output>,
    ) {
        let Some(id) = self.requests.id_of_task(task) else {
            return;
        };
        let number = self.requests.count_attempt(id);
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let RequestState::Pending { may_have_run, .. } = request.state else {
            return;
        };
        let set_up = offer_message(id, request, timeout);
        self.counts.offers += 1;
        let upstream = self.with_pool(outputs, |pool, actions| {
            pool.offer(now, machine, id, set_up.encode(), actions)
        });
        let Some(upstream) = upstream else {
            self.counts.unsent += 1;
            let outcome = AttemptOutcome::ConnectFailed;
            self.events
                .push(attempt_ended_event(task, number, outcome, false, None));
            return;
        };
        let attempt = Some(Attempt {
            number,
            upstream,
            deadline: now + timeout,
        });
        self.requests.set_state(
            id,
            RequestState::Pending {
                attempt,
                may_have_run,
            },
        );
    }
}

/// Builds the set-up for a machine: the forwarded parameters in their order, with the attempt's timeout in
/// milliseconds.
fn offer_message(id: RequestId, request: &Request, timeout: Seconds) -> Message {
    let milliseconds = ((timeout * 1000.0).ceil().max(1.0) as u64).to_string();
    let mut set_up = Message::new(MessageKind::SetUp, id);
    for (code, value) in request.forwarded.iter() {
        let value = if code == code::TIMEOUT {
            milliseconds.as_bytes()
        } else {
            value
        };
        set_up.parameters.push(code, value);
    }
    set_up
}
