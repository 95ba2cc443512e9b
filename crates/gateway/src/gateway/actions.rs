//! Actions of the policy, carried out.

use super::attempts::attempt_ended_event;
use super::{Gateway, Output};
use crate::message::{Message, MessageKind, cause, code};
use crate::request_table::{Attempt, RequestState, micros};
use tidespur_policy::interface::{Action, AttemptOutcome, Event, MachineId, Seconds, TaskId};

impl Gateway {
    pub(super) fn carry_out(&mut self, now: Seconds, action: Action, outputs: &mut Vec<Output>) {
        match action {
            Action::Offer {
                task,
                machine,
                timeout: wait,
            } => self.send_offer(now, task, machine, wait, outputs),
            Action::Reject { task, .. } => {
                self.counts.rejected += 1;
                self.reject_request(now, task, cause::FULL, outputs);
            }
            Action::Fail(task) => {
                self.counts.failed += 1;
                self.reject_request(now, task, cause::FAILED, outputs);
            }
            Action::Migrate(task) => {
                let Some(id) = self.requests.id_of_task(task) else {
                    return;
                };
                if self
                    .requests
                    .get(id)
                    .is_some_and(|r| matches!(r.state, RequestState::Placed { .. }))
                {
                    self.reply(id, Message::new(MessageKind::Move, id).encode(), outputs);
                    self.release_at_machine(now, id, outputs);
                }
            }
            // The board is followed all the time: there is nothing to ask for.
            Action::SubscribeEndpoints => self.events.push(Event::EndpointsChanged(Vec::new())),
            Action::SetTimer { after, token } => {
                self.timers.insert((micros(now + after), token));
            }
            // The platform has no way to ask for a load alone, and none to other schedulers that is used here.
            Action::PollLoad(machine) => self.events.push(Event::LoadPolled {
                machine,
                report: None,
            }),
            Action::Gossip(_) => {}
            Action::Log(line) => outputs.push(Output::Log(line)),
        }
    }

    pub(super) fn reject_request(
        &mut self,
        now: Seconds,
        task: TaskId,
        word: u8,
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
        self.reply(id, Message::release(id, word).encode(), outputs);
        self.downstreams.count_pending(now, client, false);
        self.requests.remove(id);
    }

    pub(super) fn send_offer(
        &mut self,
        now: Seconds,
        task: TaskId,
        machine: MachineId,
        wait: Seconds,
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
        let milliseconds = ((wait * 1000.0).ceil().max(1.0) as u64).to_string();
        let mut set_up = Message::new(MessageKind::SetUp, id);
        for (code, value) in &request.forwarded {
            set_up = set_up.with(
                *code,
                if *code == code::WAIT {
                    milliseconds.as_bytes()
                } else {
                    value
                },
            );
        }
        self.counts.offers += 1;
        match self.with_pool(outputs, |pool, actions| {
            pool.offer(now, machine, id, set_up.encode(), actions)
        }) {
            Some(upstream) => {
                let attempt = Some(Attempt {
                    number,
                    upstream,
                    deadline: now + wait,
                });
                self.requests.set_state(
                    id,
                    RequestState::Pending {
                        attempt,
                        may_have_run,
                    },
                );
            }
            None => {
                self.counts.unsent += 1;
                self.events.push(attempt_ended_event(
                    task,
                    number,
                    AttemptOutcome::ConnectFailed,
                    false,
                    None,
                ));
            }
        }
    }
}
