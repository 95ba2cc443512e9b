//! What machines say, and what their connections and the discovery stream tell of them.

use super::{Gateway, Output};
use crate::discovery::WatchEvent;
use crate::message::{Message, MessageKind, cause, code};
use crate::pool::{ConnectionEnd, Pool, PoolAction, PoolEvent};
use crate::request_table::RequestState;
use crate::{UpstreamId, task_request};
use tidespur_policy::interface::{
    AttemptOutcome, EndpointStatus, Event, FailureCause, MachineId, Seconds,
};

impl Gateway {
    /// Has something done with the connections to machines, and what it leads to carried out.
    pub(super) fn with_pool<T>(
        &mut self,
        outputs: &mut Vec<Output>,
        act: impl FnOnce(&mut Pool, &mut Vec<PoolAction>) -> T,
    ) -> T {
        let mut actions = Vec::new();
        let done = act(&mut self.pool, &mut actions);
        for act in actions {
            match act {
                PoolAction::OfferReady(upstream, id) => self.offer_ready(upstream, id, outputs),
                act => outputs.push(Output::Upstream(act)),
            }
        }
        done
    }

    pub(super) fn upstream_ended(
        &mut self,
        now: Seconds,
        upstream: UpstreamId,
        end: ConnectionEnd,
        outputs: &mut Vec<Output>,
    ) {
        let mut pool_events = Vec::new();
        self.pool.ended(now, upstream, end, &mut pool_events);
        self.handle_pool_events(now, pool_events, outputs);
    }

    pub(super) fn upstream_message(
        &mut self,
        now: Seconds,
        upstream: UpstreamId,
        message: &Message,
        outputs: &mut Vec<Output>,
    ) {
        self.pool.message_received(now, upstream);
        let Some(from) = self.pool.machine(upstream) else {
            return;
        };
        let id = message.id;
        let known = self
            .requests
            .get(id)
            .map(|request| (request.task, request.client, request.state));
        match (message.kind, known) {
            (
                MessageKind::Answer,
                Some((
                    task,
                    client,
                    RequestState::Pending {
                        attempt: Some(attempt),
                        ..
                    },
                )),
            ) if attempt.upstream == upstream => {
                let Some(description) = message.get(code::DESCRIPTION) else {
                    return self.upstream_malformed(now, upstream, outputs);
                };
                let answer =
                    Message::new(MessageKind::Answer, id).with(code::DESCRIPTION, description);
                self.counts.placed += 1;
                self.pool.settle_offer(upstream, id);
                let since = now;
                self.requests.set_state(
                    id,
                    RequestState::Placed {
                        machine: from,
                        attempt: attempt.number,
                        since,
                    },
                );
                self.pool.count_placed(now, from, true);
                self.downstreams.count_pending(now, client, false);
                self.downstreams.count_placed(client, true);
                self.events.push(Event::AttemptConfirmed {
                    task,
                    attempt: attempt.number,
                });
                self.reply(id, answer.encode(), outputs);
            }
            (
                MessageKind::Release,
                Some((
                    _,
                    _,
                    RequestState::Pending {
                        attempt: Some(attempt),
                        ..
                    },
                )),
            ) if attempt.upstream == upstream => {
                let cause_given = task_request::failure_cause(message);
                let outcome = match message.cause() {
                    Some(cause::FULL) => AttemptOutcome::Rejected(cause_given),
                    Some(cause::ERROR) => AttemptOutcome::Failed,
                    Some(cause::MOOT) => AttemptOutcome::NeverSent,
                    _ => AttemptOutcome::Interrupted(cause_given),
                };
                match outcome {
                    AttemptOutcome::Rejected(_) => self.counts.rejected_by_machine += 1,
                    AttemptOutcome::Failed => self.counts.errors += 1,
                    _ => self.counts.interrupted += 1,
                }
                self.attempt_ended(id, outcome, task_request::load_report(message));
            }
            (
                MessageKind::Release,
                Some((
                    _,
                    _,
                    RequestState::Placed {
                        machine, attempt, ..
                    },
                )),
            ) if machine == from => {
                outputs.push(Output::Upstream(PoolAction::Write(
                    upstream,
                    Message::new(MessageKind::Heard, id).encode(),
                )));
                let word = message.cause().unwrap_or(cause::FAILED);
                let outcome = match word {
                    cause::NORMAL => AttemptOutcome::Finished,
                    cause::ENDED => AttemptOutcome::Cancelled,
                    _ => AttemptOutcome::Interrupted(task_request::failure_cause(message)),
                };
                if word != cause::ENDED {
                    self.reply(id, Message::release(id, word).encode(), outputs);
                }
                self.finish_placed(
                    now,
                    id,
                    attempt,
                    outcome,
                    task_request::load_report(message),
                );
            }
            (MessageKind::Release, None) => {
                self.counts.unmatched += 1;
                self.requests
                    .record_unknown_end(now, id, message.cause().unwrap_or(cause::FAILED));
                outputs.push(Output::Upstream(PoolAction::Write(
                    upstream,
                    Message::new(MessageKind::Heard, id).encode(),
                )));
            }
            (MessageKind::Note, Some((task, _, RequestState::Placed { machine, .. })))
                if machine == from =>
            {
                if let Some(note) = task_request::attempt_progress(message) {
                    self.events.push(Event::AttemptProgressed {
                        task,
                        progress: note,
                    });
                }
            }
            (MessageKind::Test, _) => {
                let tested = Message::new(MessageKind::Tested, id).with(code::CAUSE, &[1]);
                outputs.push(Output::Upstream(PoolAction::Write(
                    upstream,
                    tested.encode(),
                )));
            }
            (MessageKind::Tested | MessageKind::Progress | MessageKind::Heard, _) => {}
            // A second copy, an answer under another's id, or one that comes after it was cancelled or timed out.
            _ => self.counts.unmatched += 1,
        }
    }

    pub(super) fn upstream_malformed(
        &mut self,
        now: Seconds,
        upstream: UpstreamId,
        outputs: &mut Vec<Output>,
    ) {
        let mut pool_events = Vec::new();
        self.with_pool(outputs, |pool, actions| {
            pool.malformed(now, upstream, actions, &mut pool_events)
        });
        self.handle_pool_events(now, pool_events, outputs);
    }

    pub(super) fn handle_pool_events(
        &mut self,
        now: Seconds,
        pool_events: Vec<PoolEvent>,
        outputs: &mut Vec<Output>,
    ) {
        for pool_events in pool_events {
            match pool_events {
                PoolEvent::ConnectFailed(id) => {
                    self.counts.unsent += 1;
                    self.attempt_ended(id, AttemptOutcome::ConnectFailed, None);
                }
                PoolEvent::Interrupted(id) => {
                    self.counts.interrupted += 1;
                    self.attempt_ended(
                        id,
                        AttemptOutcome::Interrupted(FailureCause::Unspecified),
                        None,
                    );
                }
                PoolEvent::NeverSent(id) => {
                    self.counts.unsent += 1;
                    self.attempt_ended(id, AttemptOutcome::NeverSent, None);
                }
                PoolEvent::MachineFailed(machine) => {
                    let name = self
                        .machines
                        .get(&machine)
                        .map_or("", |(name, _)| name.as_str());
                    outputs.push(Output::Log(format!("machine {name} has failed")));
                    self.machine_failed(now, machine, now, outputs);
                }
            }
        }
    }

    /// What stood at a machine since before `before` is over.
    pub(super) fn machine_failed(
        &mut self,
        now: Seconds,
        machine: MachineId,
        before: Seconds,
        outputs: &mut Vec<Output>,
    ) {
        for id in self.requests.placed_at_machine(machine) {
            let Some(RequestState::Placed { attempt, since, .. }) =
                self.requests.get(id).map(|r| r.state)
            else {
                continue;
            };
            if since > before {
                continue;
            }
            self.counts.lost += 1;
            self.reply(id, Message::release(id, cause::FAILED).encode(), outputs);
            self.finish_placed(
                now,
                id,
                attempt,
                AttemptOutcome::Interrupted(FailureCause::Unspecified),
                None,
            );
        }
    }

    pub(super) fn endpoints_delivered(
        &mut self,
        now: Seconds,
        notice: WatchEvent,
        outputs: &mut Vec<Output>,
    ) {
        // Events may be written twice, and two boards may tell the same ones.
        if notice.revision <= self.last_revision && self.last_revision > 0 {
            return;
        }
        self.last_revision = notice.revision;
        let mut pool_events = Vec::new();
        let (mut entries, mut leaving) = (Vec::new(), Vec::new());
        if notice.is_complete_list {
            let listed = notice
                .endpoints
                .iter()
                .map(|listed| listed.endpoint.machine)
                .collect();
            leaving.extend(self.pool.mark_unlisted_gone(&listed));
        }
        for listed in notice.endpoints {
            let (machine, gone) = (
                listed.endpoint.machine,
                listed.endpoint.status == EndpointStatus::Gone,
            );
            if listed.endpoint.status != EndpointStatus::Ready {
                leaving.push(machine);
            }
            self.pool
                .endpoint_listed(now, machine, &listed.address, gone);
            let before = self
                .machines
                .insert(machine, (listed.name, listed.endpoint.started_at));
            if let (Some((_, before)), Some(up)) = (before, listed.endpoint.started_at)
                && before.is_none_or(|before| up > before)
            {
                // It has started anew: what stood there before is over.
                self.machine_failed(now, machine, up, outputs);
            }
            entries.push(listed.endpoint);
        }
        self.pool.fail_replaced_machines(&mut pool_events);
        for machine in leaving {
            self.with_pool(outputs, |pool, actions| {
                pool.withdraw_unsent(now, machine, actions, &mut pool_events)
            });
        }
        self.handle_pool_events(now, pool_events, outputs);
        self.events.push(if notice.is_complete_list {
            Event::EndpointsListed(entries)
        } else {
            Event::EndpointsChanged(entries)
        });
    }
}
